#include "persimmonrail/balance/standby_repair.h"

#include <algorithm>
#include <iterator>

namespace persimmonrail {
namespace {

constexpr size_t standbysPerPartition = 3;

} // namespace

std::optional<std::vector<instance_id>>
repairedStandbys(const fleet_view &view, std::string_view service, const placement_record &record,
                 size_t maxStandbys, const placement_hooks &hooks)
{
    std::vector<instance_id> standbys;
    // A standby that has become the owner may still be listed.
    std::copy_if(record.standbys.begin(), record.standbys.end(), std::back_inserter(standbys),
                 [&](const instance_id &id) {
                     return view.findMember(id) != nullptr && id != record.owner;
                 });
    // If the owner is lost, its standbys claim the partition, and a change of the record would
    // only delay their claims.
    if (view.findMember(record.owner) == nullptr && !standbys.empty()) {
        return std::nullopt;
    }
    // The hook sorts all members by rendezvous weight, which is too slow to be done for every
    // record on each call.
    const bool isComplete = standbys.size() >= std::min(standbysPerPartition, maxStandbys);
    if (isComplete && standbys.size() == record.standbys.size()) {
        return std::nullopt;
    }
    const auto chosen = hooks.chooseStandbys(view, service, record.owner, record.partition);
    for (const auto &id : chosen) {
        const bool isListed = std::find(standbys.begin(), standbys.end(), id) != standbys.end();
        if (standbys.size() < standbysPerPartition && !isListed && id != record.owner) {
            standbys.push_back(id);
        }
    }
    if (standbys == record.standbys) {
        return std::nullopt;
    }
    return standbys;
}

} // namespace persimmonrail
