#pragma once

#include "persimmonrail/base/random_source.h"
#include "persimmonrail/sync/rendezvous_election.h"

#include <string>

namespace persimmonrail {

// Daemons per availability zone that watch the platform.
inline constexpr size_t relaysPerZone = 2;
// A daemon that knows no member of its availability zone waits for up to this long before it reads
// the platform itself, so that a fleet that starts at once does not do so in one moment.
inline constexpr milliseconds bootstrapSpread{2000};

// Decides whether this daemon is a relay of its availability zone.
//
// Belongs to the control thread.
class relay_election
{
public:
    relay_election(std::string selfName, std::string availabilityZone, steady_time started,
                   const random_source &random);

    void setView(const fleet_view &view, steady_time now);
    // Members to ping each electionPingInterval.
    std::vector<member_record> pingTargets() const { return m_election.pingTargets(); }
    void recordResponse(std::string_view name, steady_time now)
    {
        m_election.recordResponse(name, now);
    }
    // True while fewer than two higher-ranked members of the zone answered, or if no member of the
    // zone is known and the bootstrap delay has passed.
    bool isRelay(steady_time now) const;

private:
    std::string m_availabilityZone;
    steady_time m_bootstrapAt;
    bool m_zoneKnown = false;
    rendezvous_election m_election;
};

} // namespace persimmonrail
