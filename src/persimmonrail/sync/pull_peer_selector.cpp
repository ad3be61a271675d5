#include "persimmonrail/sync/pull_peer_selector.h"

#include <array>

namespace persimmonrail {

pull_peer_selector::pull_peer_selector(location self, std::vector<std::string> seeds,
                                       random_source random)
    : m_self(std::move(self))
    , m_seeds(std::move(seeds))
    , m_random(std::move(random))
{ }

std::optional<pull_peer_selector::target> pull_peer_selector::next(const fleet_view &view)
{
    std::vector<const member_record *> sameZone;
    std::vector<const member_record *> otherZone;
    std::vector<const member_record *> otherRegion;
    for (const auto &[name, member] : view.members) {
        if (name == m_self.instance) {
            continue;
        }
        if (member.region != m_self.region) {
            otherRegion.push_back(&member);
        } else if (member.availabilityZone != m_self.availabilityZone) {
            otherZone.push_back(&member);
        } else {
            sameZone.push_back(&member);
        }
    }
    // The groups in order of preference. The target is chosen from the first group that has a
    // member.
    std::array groups{&sameZone, &otherZone, &otherRegion};
    const uint64_t draw = randomBelow(m_random, pullsPerOtherRegionPull);
    if (draw == 0) {
        groups = {&otherRegion, &otherZone, &sameZone};
    } else if (draw <= pullsPerOtherRegionPull / pullsPerOtherZonePull) {
        groups = {&otherZone, &otherRegion, &sameZone};
    }
    for (const auto *group : groups) {
        if (!group->empty()) {
            const auto *member = (*group)[randomBelow(m_random, group->size())];
            return target{member->id.name, member->controlAddress};
        }
    }
    if (m_seeds.empty()) {
        return std::nullopt;
    }
    return target{"", m_seeds[randomBelow(m_random, m_seeds.size())]};
}

} // namespace persimmonrail
