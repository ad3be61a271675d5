#pragma once

#include "persimmonrail/sync/fleet_view.h"

#include <control.pb.h>

#include <map>
#include <string>

namespace persimmonrail {

// Peers and availability zones that must have answered before a fresh daemon trusts their state.
inline constexpr size_t readinessPeers = 3;
inline constexpr size_t readinessZones = 2;

// Decides when a fresh daemon's state can't be older than one it, or the fleet, had in force
// before: it has read the platform, or it has caught up with three peers (all, if there are fewer)
// in two availability zones; in both cases it has reached its floor. Once ready, a daemon stays
// ready.
//
// While the platform answers, a fresh daemon should not wait for peers, since in a starting fleet
// none may be ready yet: after its first pull it makes one watch from the pulled revision (see
// relay_watch), which is a platform read and costs far less than a list.
//
// Belongs to the control thread.
class readiness
{
public:
    explicit readiness(std::string selfName);

    // To be called once a list or watch of the platform has been applied.
    void notePlatformRead(uint64_t revision);
    // To be called for each answer to a pull, whether or not it was applied. Answers of peers that
    // are not ready themselves (revision 0) raise the floor only.
    void notePull(const instance_id &peer, const wire::PullReply &reply);

    // `revision` is the store's.
    bool evaluate(uint64_t revision, const fleet_view &view);
    bool isReady() const { return m_ready; }
    // Highest revision that a peer remembers of this instance's earlier runs.
    uint64_t minimumRevision() const { return m_minimumRevision; }

private:
    bool hasCaughtUpWithPeers(uint64_t revision, const fleet_view &view) const;

    std::string m_selfName;
    bool m_ready = false;
    bool m_platformRead = false;
    uint64_t m_platformRevision = 0;
    uint64_t m_minimumRevision = 0;
    // Revision that each peer stated first.
    std::map<std::string, uint64_t> m_replies;
};

} // namespace persimmonrail
