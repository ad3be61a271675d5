#include "persimmonrail/sync/relay_election.h"

namespace persimmonrail {

relay_election::relay_election(std::string selfName, std::string availabilityZone,
                               steady_time started, const random_source &random)
    : m_availabilityZone(std::move(availabilityZone))
    , m_bootstrapAt(started + milliseconds(randomBelow(random, bootstrapSpread.count())))
    , m_election(std::move(selfName), "relay/" + m_availabilityZone, relaysPerZone)
{ }

void relay_election::setView(const fleet_view &view, steady_time now)
{
    std::vector<const member_record *> zone;
    for (const auto &[name, member] : view.members) {
        if (member.availabilityZone == m_availabilityZone) {
            zone.push_back(&member);
        }
    }
    m_zoneKnown = !zone.empty();
    m_election.setMembers(zone, now);
}

bool relay_election::isRelay(steady_time now) const
{
    return m_zoneKnown ? m_election.holdsRole(now) : now >= m_bootstrapAt;
}

} // namespace persimmonrail
