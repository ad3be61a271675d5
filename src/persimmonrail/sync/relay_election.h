#pragma once

#include "persimmonrail/base/random_source.h"
#include "persimmonrail/sync/rendezvous_election.h"

#include <string>

namespace persimmonrail {

// Target number of relays per availability zone. More may be active for a time (see
// rendezvous_election).
inline constexpr size_t relaysPerZone = 2;
// A daemon that knows no member of its availability zone becomes a relay after a random delay below
// this limit, so that the daemons of a fleet that starts as a whole do not all read the platform's
// store at the same moment.
inline constexpr milliseconds maxBootstrapDelay{2000};

// Decides whether this daemon is a relay, that is, one of the daemons that watch the platform's
// store for their availability zone.
//
// Not thread safe; used on the control thread only.
class relay_election
{
public:
    relay_election(std::string selfName, std::string availabilityZone, steady_time startTime,
                   const random_source &random);

    // Determines the candidates of the zone again. Must be called whenever the fleet view has
    // changed.
    void setView(const fleet_view &view, steady_time now);
    // Returns the members to ping every electionPingInterval.
    std::vector<member_record> pingTargets() const { return m_election.pingTargets(); }
    // Records that a member replied to a ping.
    void recordReply(std::string_view name, steady_time now) { m_election.recordReply(name, now); }
    // Returns true if this daemon holds the relay role of its zone (see rendezvous_election), or
    // if no member of the zone is known and the bootstrap delay has passed since the start.
    bool isRelay(steady_time now) const;

private:
    std::string m_availabilityZone;
    steady_time m_bootstrapTime;
    bool m_hasZoneMembers = false;
    rendezvous_election m_election;
};

} // namespace persimmonrail
