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

// Size of the objects in one pull reply. An object larger than this is sent alone.
inline constexpr size_t pullReplyBytes = 64 * 1024;
// Tombstones are kept for at least this time, so that a daemon cut off for less catches up from
// any peer by the changes alone.
inline constexpr std::chrono::hours tombstoneAge{1};
// Number of tombstones that are kept beyond that age.
inline constexpr size_t tombstonesKept = 4096;
// Hard limit on tombstones, about 10 MB. Only more than 18 deletions a second over an hour reach
// it; daemons further behind than the dropped ones then pull the whole state.
inline constexpr size_t maxTombstones = 65536;
// Consecutive answers that can't be applied for lack of tombstones before the whole state is
// pulled.
inline constexpr int refusalsBeforeWholePull = 4;

// The newest known version of every platform object, tombstones included, and the revision up to
// which that knowledge is complete.
//
// Versions only move forward, and a change is never skipped: an answer is applied only if it starts
// at or below the known revision and its source still holds all tombstones above that revision. An
// empty store, or one too far behind for its peers' tombstones, pulls the whole state into a
// staging area and adopts it at once when it is complete.
//
// Belongs to the control thread; the views it builds may be shared with other threads.
class object_replica
{
public:
    struct hooks
    {
        // Parses the value of "accepted/<service>".
        std::function<absl::StatusOr<service_document>(std::string_view value)> parseDocument;
        // Called for an object that can't be decoded; its last good version stays in force.
        std::function<void(const stored_object &object, const absl::Status &status)> undecodable;
    };

    explicit object_replica(hooks hooks);
    object_replica(const object_replica &) = delete;
    object_replica &operator=(const object_replica &) = delete;
    ~object_replica();

    // Revision up to which every change is known.
    uint64_t revision() const;
    // Returns null if the object is unknown or deleted.
    const stored_object *find(std::string_view key) const;
    // Calls `visit` for each object that exists and whose key starts with the prefix.
    void visitPrefix(std::string_view prefix,
                     const std::function<void(const stored_object &)> &visit) const;
    size_t tombstones() const;

    // The request to send next: everything after the known revision, or after the staged one while
    // the whole state is pulled.
    wire::Pull nextPull() const;
    // Applies the answer to a pull after `afterRevision`. Returns false if the answer was ignored,
    // because it starts above what is known or brings nothing new. After a truncated answer
    // (complete_to below revision) the next pull should follow at once, from the same peer.
    bool applyPull(uint64_t afterRevision, const wire::PullReply &reply, steady_time now);
    // Applies the answer to a watch of all keys from `sinceRevision`. Returns as applyPull() does.
    bool applyWatch(uint64_t sinceRevision, const object_list &changes, steady_time now);
    // Applies a list of all keys (prefix ""). Known objects that are missing from it were deleted.
    // Returns as applyPull() does.
    bool applyList(const object_list &list, steady_time now);

    // Answers a peer's pull with objects in version order and remembers the revision it reported.
    // Until markReady() the answer holds only the floor, so that a daemon that may be behind is no
    // source for others.
    wire::PullReply respondToPull(const wire::Pull &pull, const instance_id &asking);
    void markReady();

    // Drops tombstones beyond the limits above. To be called about once a minute.
    void expireTombstones(steady_time now);

    // Returns a view of the current state. Returns the same view as before while no member,
    // accepted document or placement record has changed, even if the revision has moved on.
    std::shared_ptr<const fleet_view> buildView();

private:
    class state;
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
