#include "persimmonrail/sync/relay_election.h"

namespace persimmonrail {

relay_election::relay_election(std::string selfName, std::string availabilityZone,
                               steady_time startTime, const random_source &random)
    : m_availabilityZone(std::move(availabilityZone))
    , m_bootstrapTime(startTime + milliseconds(randomBelow(random, maxBootstrapDelay.count())))
    , m_election(std::move(selfName), "relay/" + m_availabilityZone, relaysPerZone)
{ }

void relay_election::setView(const fleet_view &view, steady_time now)
{
    std::vector<const member_record *> zoneMembers;
    for (const auto &[name, member] : view.members) {
        if (member.availabilityZone == m_availabilityZone) {
            zoneMembers.push_back(&member);
        }
    }
    m_hasZoneMembers = !zoneMembers.empty();
    m_election.setMembers(zoneMembers, now);
}

bool relay_election::isRelay(steady_time now) const
{
    return m_hasZoneMembers ? m_election.holdsRole(now) : now >= m_bootstrapTime;
}

} // namespace persimmonrail
