#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/objects/object_api.h"

#include <absl/status/statusor.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

namespace persimmonrail {

// How far a follower has read one feed. Default: it has read nothing.
struct feed_cursor
{
    // The feed that the position belongs to; 0 for none.
    uint64_t feed = 0;
    uint64_t position = 0;

    bool operator==(const feed_cursor &) const = default;
};

struct feed_changes
{
    // `revision`: the feed holds all changes of the store up to it.
    object_list changes;
    feed_cursor cursor;
};

// What this daemon knows of the objects under one prefix of the store, for daemons that follow it
// in place of the store. Thread safe.
//
// Invariants: a follower that has read up to a cursor, and listed the store before its first read,
// knows every object at least as new as the feed does there. Changes are given out only while the
// store has answered this daemon lately, so that a follower of a daemon that is cut off looks
// elsewhere.
class change_feed
{
public:
    // `id` tells this feed from those of other daemons and of earlier runs; not 0, below 2^53.
    explicit change_feed(uint64_t id);

    // Takes the whole content of the store.
    void reset(const object_list &objects);
    // Takes changes in order.
    void apply(const object_list &changes);
    // Takes one object that was written or read by itself.
    void applyOne(const stored_object &object);
    // The store answered this daemon at `now`, so that the feed held what it holds.
    void confirm(steady_time now);

    // Returns what is new after `cursor`, waiting until `until` for it. A follower without a cursor
    // gets the objects newer than `revision` at once. Errors: Unavailable if the store has not
    // answered lately; OutOfRange if the cursor is of another feed or objects were removed, so that
    // the follower has to list the store.
    absl::StatusOr<feed_changes> changesAfter(const feed_cursor &cursor, uint64_t revision,
                                              steady_time now, steady_time until);
    // Ends all waits; later ones end at once.
    void stop();

private:
    struct entry
    {
        stored_object object;
        // When it changed, counted in changes of the feed.
        uint64_t position = 0;
    };
    void put(const stored_object &object);
    void remove(const std::string &key);
    feed_changes collect(uint64_t position, uint64_t revision) const;

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, entry> m_entries;
    uint64_t m_id;
    uint64_t m_position = 0;
    uint64_t m_revision = 0;
    steady_time m_confirmedAt{};
    bool m_stopping = false;
};

} // namespace persimmonrail
