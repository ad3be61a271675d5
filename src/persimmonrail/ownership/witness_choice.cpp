#include "persimmonrail/ownership/witness_choice.h"

#include "persimmonrail/base/key_hash.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace persimmonrail {
namespace {

using candidate_list = std::vector<const member_record *>;

uint64_t weightOf(const member_record &member, std::string_view subject)
{
    return rendezvousWeight(member.id.name, subject);
}

// Sorts the candidates by descending weight. Equal weights are ordered by name, so that all
// instances make the same choice.
void sortByWeight(candidate_list &candidates, std::string_view subject)
{
    std::sort(candidates.begin(), candidates.end(), [&](const auto *a, const auto *b) {
        return std::tuple(weightOf(*b, subject), a->id.name)
            < std::tuple(weightOf(*a, subject), b->id.name);
    });
}

// The hosts and availability zones of the witnesses chosen so far. The owner's host is added as
// well.
struct used_locations
{
    std::multiset<std::string_view> hosts;
    std::multiset<std::string_view> zones;

    void add(const member_record &member)
    {
        hosts.insert(hostOf(member));
        zones.insert(member.availabilityZone);
    }
    // Returns how often the host and the availability zone of `member` are in use, the host first.
    // The candidate with the lowest cost is chosen next.
    std::pair<size_t, size_t> cost(const member_record &member) const
    {
        return {hosts.count(hostOf(member)), zones.count(member.availabilityZone)};
    }
};

} // namespace

std::string_view hostOf(const member_record &member)
{
    const std::string_view address = member.controlAddress;
    return address.substr(0, address.rfind(':'));
}

std::vector<instance_id> chooseWitnesses(const fleet_view &view, const instance_id &owner,
                                         std::string_view /*partition*/)
{
    return completeWitnesses(view, owner, {}, {});
}

std::vector<instance_id> completeWitnesses(const fleet_view &view, const instance_id &owner,
                                           std::vector<instance_id> kept,
                                           const std::vector<instance_id> &avoided)
{
    const auto *ownerMember = view.findMember(owner);
    if (ownerMember == nullptr) {
        return {};
    }
    used_locations chosen;
    chosen.hosts.insert(hostOf(*ownerMember));
    for (const auto &id : kept) {
        if (const auto *member = view.findMember(id)) {
            chosen.add(*member);
        }
    }
    const auto contains = [](const std::vector<instance_id> &ids, const instance_id &id) {
        return std::find(ids.begin(), ids.end(), id) != ids.end();
    };
    candidate_list candidates;
    for (const auto &[name, member] : view.members) {
        if (member.region == ownerMember->region && member.id != owner && !contains(kept, member.id)
            && !contains(avoided, member.id)) {
            candidates.push_back(&member);
        }
    }
    // All partitions of an owner get the same witnesses as far as possible. Heartbeats are batched
    // per witness; with a separate witness set for each partition they would exceed 30 KB/s per
    // daemon.
    sortByWeight(candidates, owner.name);
    while (kept.size() < witnessCount && !candidates.empty()) {
        // Of several candidates with the lowest cost, min_element() returns the first, which has
        // the highest weight.
        const auto best = std::min_element(
            candidates.begin(), candidates.end(),
            [&](const auto *a, const auto *b) { return chosen.cost(*a) < chosen.cost(*b); });
        chosen.add(**best);
        kept.push_back((*best)->id);
        candidates.erase(best);
    }
    return kept;
}

std::vector<instance_id> chooseStandbys(const fleet_view &view, std::string_view service,
                                        const instance_id &owner, std::string_view partition)
{
    const auto *ownerMember = view.findMember(owner);
    if (ownerMember == nullptr) {
        return {};
    }
    auto candidates = view.membersOf(service);
    std::erase_if(candidates, [&](const auto *member) {
        return member->id == owner || member->region != ownerMember->region;
    });
    sortByWeight(candidates, partition);
    std::stable_sort(candidates.begin(), candidates.end(), [&](const auto *a, const auto *b) {
        const auto sharedLocations = [&](const member_record &member) {
            return std::pair(member.availabilityZone == ownerMember->availabilityZone,
                             hostOf(member) == hostOf(*ownerMember));
        };
        return sharedLocations(*a) < sharedLocations(*b);
    });
    std::vector<instance_id> standbys;
    for (size_t i = 0; i < std::min(candidates.size(), maxStandbys); ++i) {
        standbys.push_back(candidates[i]->id);
    }
    return standbys;
}

} // namespace persimmonrail
