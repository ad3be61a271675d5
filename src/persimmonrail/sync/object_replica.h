#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/sync/fleet_view.h"

#include <control.pb.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace persimmonrail {

// Maximum size of the objects in one pull reply, in bytes of keys and values. An object larger than
// this limit is sent alone.
inline constexpr size_t maxPullReplyBytes = 64 * 1024;
// Every tombstone is kept for at least this time, so that a daemon that was disconnected for a
// shorter time catches up from any peer by incremental pulls. Only maxTombstones overrides this
// time.
inline constexpr std::chrono::hours minTombstoneRetention{1};
// Number of tombstones that are kept even if they are older than minTombstoneRetention.
inline constexpr size_t minRetainedTombstones = 4096;
// Hard limit on the number of tombstones, about 10 MB. Only more than 18 deletions a second over an
// hour reach this limit. A daemon that has not seen the deletions whose tombstones were dropped
// pulls the whole state.
inline constexpr size_t maxTombstones = 65536;
// The whole state is pulled after this many consecutive pull replies that could not be applied
// because the senders lacked tombstones that this daemon needs.
inline constexpr int maxRejectedPullReplies = 4;

// Holds this daemon's copy of the platform's objects: the newest known version of every object,
// tombstones included, and the revision up to which the copy is complete.
//
// The version of an object never decreases, and no change is skipped: a reply is applied only if it
// starts at or below the known revision and its sender holds all tombstones above that
// revision. A replica that is empty, or too far behind for the tombstones that its peers keep,
// pulls the whole state into a staging area and replaces its own state in one step once the pulled
// state is complete.
//
// Not thread safe; used on the control thread only. The views that buildView() returns may be
// shared with other threads.
class object_replica
{
public:
    struct hooks
    {
        // Parses the value of "accepted/<service>".
        std::function<absl::StatusOr<service_document>(std::string_view value)> parseDocument;
        // Called for an object that can't be decoded. The view keeps the last valid version of the
        // object.
        std::function<void(const stored_object &object, const absl::Status &status)>
            onDecodeFailure;
    };

    explicit object_replica(hooks hooks);
    object_replica(const object_replica &) = delete;
    object_replica &operator=(const object_replica &) = delete;
    ~object_replica();

    // Returns the revision up to which every change is known.
    uint64_t revision() const;
    // Returns null if the object is unknown or deleted.
    const stored_object *find(std::string_view key) const;
    // Calls `visit` for each object that exists and whose key starts with `prefix`, in key order.
    void visitPrefix(std::string_view prefix,
                     const std::function<void(const stored_object &)> &visit) const;
    size_t tombstoneCount() const;

    // Returns the next pull request. The request asks for every change after the known revision or,
    // while the whole state is being pulled, for the next page of the whole state.
    wire::Pull nextPullRequest() const;
    // Applies the reply to a pull request whose after_revision was `afterRevision`. Returns false
    // if the reply was ignored: the sender is not ready, the reply starts above the known revision
    // or contains nothing new, or the sender lacks tombstones that are needed. After a truncated
    // reply (complete_to below revision) the caller should send the next pull to the same peer at
    // once.
    bool applyPull(uint64_t afterRevision, const wire::PullReply &reply, steady_time now);
    // Applies the result of a watch of all keys from `sinceRevision`. Returns false if the result
    // was ignored because it starts above the known revision or contains nothing new.
    bool applyWatch(uint64_t sinceRevision, const object_list &changes, steady_time now);
    // Applies a list of all keys (prefix ""). Known objects that are missing from the list are
    // marked as deleted. Returns false if the list was ignored because it is not newer than the
    // known revision.
    bool applyList(const object_list &list, steady_time now);

    // Returns the reply to a peer's pull request, with the objects in version order, and stores the
    // revision that `requester` reported. Before markReady() the reply contains only the minimum
    // revision of the requester, so that no peer copies the state of a daemon that may be behind.
    wire::PullReply respondToPull(const wire::Pull &pull, const instance_id &requester);
    void markReady();

    // Drops the tombstones that exceed the limits above. Should be called about once a minute.
    void expireTombstones(steady_time now);

    // Returns a view of the current state. Returns the previous view as long as no member, accepted
    // document or placement record has changed, even if the revision has increased.
    std::shared_ptr<const fleet_view> buildView();

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
