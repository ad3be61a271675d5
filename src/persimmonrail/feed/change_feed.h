#pragma once

#include "persimmonrail/base/boot_clock.h"
#include "persimmonrail/base/clock.h"
#include "persimmonrail/feed/change_notice.h"
#include "persimmonrail/objects/object_api.h"

#include <absl/status/statusor.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace persimmonrail {

// Resume token of a follower: the position up to which the follower has read one feed. The default
// value states that the follower has read nothing.
struct feed_cursor
{
    // Id of the feed that the position belongs to; 0 for none.
    uint64_t feed = 0;
    uint64_t position = 0;

    bool operator==(const feed_cursor &) const = default;
};

struct feed_changes
{
    // Changed objects. The feed has received all changes of the store up to `changes.revision`.
    object_list changes;
    // Cursor from which the follower continues.
    feed_cursor cursor;
    // What the feed's daemon knows of the objects that are not in the feed.
    std::vector<change_notice> notices = {};
};

// This daemon's copy of the objects under one prefix of the store. Other daemons ("followers") read
// changes from the copy instead of watching the store. Thread safe.
//
// Invariants: a follower that listed the store before its first read and has read up to a cursor
// has received, for every object, a version at least as new as the feed's version at that cursor.
// Changes are returned only if the store has recently responded to this daemon, so that the
// followers of a daemon that has lost its connection to the store switch to another source.
// A follower that listed the store before a restore lists it again, since the restored store may
// lack objects that the follower knows and the feed never had.
class change_feed
{
public:
    // `id` distinguishes this feed from those of other daemons and of earlier incarnations. It must
    // not be 0 and must be below 2^53.
    explicit change_feed(uint64_t id);

    // Applies a complete listing of the prefix. Objects that are missing from the listing are
    // removed unless their version is newer than the revision of the listing. The listing of a new
    // epoch of the store replaces all objects of older epochs.
    void reset(const object_list &objects);
    // Applies changes that the store's watch returned. Must be called in the order of the changes.
    void apply(const object_list &changes);
    // Applies a single object that was written or read outside the watch. The revision of the feed
    // stays the same, because earlier changes may still be missing.
    void applyObject(const stored_object &object);
    // Records that the store certainly held the feed's content at `confirmedAt`. Must be called
    // after the content was applied.
    void confirm(boot_time confirmedAt);
    // Records what this daemon knows of the objects under another prefix: the version of the newest
    // change, and when the store showed that there was no newer one. A newer version ends the waits
    // of the followers.
    void notice(const std::string &prefix, uint64_t version, boot_time confirmedAt);

    // Returns the changes after `cursor`, with their age at `now`, when the follower's call
    // arrived. If there are none, waits for one until `until` and returns no changes if the wait
    // times out. A follower without a cursor receives the objects newer than `revision` at once.
    // Errors: Unavailable if the store has not responded recently or stop() was called before;
    // OutOfRange if the cursor belongs to another feed, objects were removed, or the store was
    // restored from a copy since the follower's list, in which case the follower must list the
    // store.
    absl::StatusOr<feed_changes> changesAfter(const feed_cursor &cursor, uint64_t revision,
                                              boot_time now, steady_time until);
    // Ends all waits. Later calls of changesAfter() return Unavailable.
    void stop();

private:
    struct entry
    {
        stored_object object;
        // Position of the object's latest change.
        uint64_t position = 0;
    };
    struct known_change
    {
        uint64_t version = 0;
        boot_time confirmedAt{};
    };
    // The following functions require m_mutex to be held.
    // Adds or replaces an object, unless the known one is as new or the feed has the listing of a
    // newer epoch of the store.
    void put(const stored_object &object);
    void remove(const std::string &key);
    // Returns the objects whose position is above `position` and whose version is above `revision`.
    feed_changes collectChanges(uint64_t position, uint64_t revision, boot_time now) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, entry> m_entries;
    // The newest changes under other prefixes.
    std::map<std::string, known_change> m_noticed;
    uint64_t m_id;
    // Number of changes that the feed has applied or noticed.
    uint64_t m_position = 0;
    uint64_t m_revision = 0;
    // When the store certainly held the feed's content.
    boot_time m_confirmedAt{};
    bool m_isStopped = false;
};

} // namespace persimmonrail
