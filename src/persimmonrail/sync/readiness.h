#pragma once

#include "persimmonrail/sync/fleet_view.h"

#include <control.pb.h>

#include <map>
#include <string>

namespace persimmonrail {

// Number of peers, and number of availability zones of these peers, that must have replied before a
// daemon that has just started relies on their state.
inline constexpr size_t minReadinessPeers = 3;
inline constexpr size_t minReadinessZones = 2;

// Decides when a daemon that has just started is ready. The daemon is ready once its state can't be
// older than a state that the daemon itself (in an earlier incarnation) or the fleet has already
// acted on, which is the case once the daemon
// - has reached its minimum revision, and
// - has read the platform, or has caught up with three peers in two availability zones (with all
//   peers and zones, if there are fewer).
// A daemon that is ready stays ready.
//
// If the platform is reachable, a daemon that has just started should not wait for peers, because
// in a fleet that starts as a whole no peer may be ready yet. After its first pull, the daemon
// watches the platform from the pulled revision (see relay_watch). One result of the watch counts
// as a read of the platform and costs far less than a list.
//
// Not thread safe; used on the control thread only.
class readiness
{
public:
    explicit readiness(std::string selfName);

    // Records a read of the platform. Must be called after a list or watch result with this
    // revision was passed to the object replica.
    void recordPlatformRead(uint64_t revision);
    // Records the reply to a pull. Must be called for each reply, whether or not the reply was
    // applied. The reply of a peer that is not ready itself (revision 0) can only raise the minimum
    // revision.
    void recordPullReply(const instance_id &peer, const wire::PullReply &reply);

    // Updates the decision and returns whether the daemon is ready. `revision` is the revision of
    // the object replica.
    bool evaluate(uint64_t revision, const fleet_view &view);
    bool isReady() const { return m_isReady; }
    // Returns the highest revision that, according to a peer, this instance has reported in this or
    // an earlier incarnation. The daemon is not ready below this revision.
    uint64_t minimumRevision() const { return m_minimumRevision; }

private:
    bool hasCaughtUpWithPeers(uint64_t revision, const fleet_view &view) const;

    std::string m_selfName;
    bool m_isReady = false;
    bool m_hasReadPlatform = false;
    // Highest revision read from the platform.
    uint64_t m_platformRevision = 0;
    uint64_t m_minimumRevision = 0;
    // Revision in the first reply of each peer that was ready, by instance name.
    std::map<std::string, uint64_t> m_firstRevisions;
};

} // namespace persimmonrail
