#include "persimmonrail/ownership/lease_state.h"

#include "persimmonrail/ownership/witness_choice.h"

#include <algorithm>
#include <functional>

namespace persimmonrail {
namespace {

constexpr size_t majority = witnessCount / 2 + 1;

template <typename Predicate>
size_t countWitnesses(const std::vector<instance_id> &set, Predicate predicate)
{
    return static_cast<size_t>(std::count_if(set.begin(), set.end(), predicate));
}

// Returns the newest send time such that a majority of the set has acknowledged a message sent then
// or later, or steady_time::min() if there is none.
steady_time majorityTime(const std::vector<instance_id> &set, const ack_map &acks)
{
    std::vector<steady_time> times;
    for (const auto &id : set) {
        if (const auto it = acks.find(id); it != acks.end()) {
            times.push_back(it->second.sentAt);
        }
    }
    if (times.size() < majority) {
        return steady_time::min();
    }
    std::sort(times.begin(), times.end(), std::greater<>());
    return times[majority - 1];
}

} // namespace

std::vector<instance_id> allWitnesses(const placement_record &record)
{
    auto ids = record.witnesses;
    for (const auto &id : record.previousWitnesses) {
        if (std::find(ids.begin(), ids.end(), id) == ids.end()) {
            ids.push_back(id);
        }
    }
    return ids;
}

const std::vector<instance_id> &establishedWitnesses(const placement_record &record)
{
    return record.previousWitnesses.empty() ? record.witnesses : record.previousWitnesses;
}

steady_time leaseEndFromAcks(const placement_record &record, const ack_map &acks,
                             milliseconds leaseDuration)
{
    auto sentAt = majorityTime(record.witnesses, acks);
    if (!record.previousWitnesses.empty()) {
        sentAt = std::min(sentAt, majorityTime(record.previousWitnesses, acks));
    }
    return sentAt == steady_time::min() ? sentAt : sentAt + leaseDuration;
}

bool isAdopted(const placement_record &record, const ack_map &acks, uint64_t recordVersion)
{
    const auto hasAdopted = [&](const instance_id &id) {
        const auto it = acks.find(id);
        return it != acks.end() && it->second.recordVersion >= recordVersion;
    };
    return countWitnesses(record.witnesses, hasAdopted) >= majority
        && (record.previousWitnesses.empty()
            || countWitnesses(record.previousWitnesses, hasAdopted) >= majority);
}

bool isMajorityLost(const placement_record &record, const std::set<instance_id> &rejecting)
{
    const auto isRejecting = [&](const instance_id &id) { return rejecting.contains(id); };
    return countWitnesses(record.witnesses, isRejecting) >= majority
        || countWitnesses(record.previousWitnesses, isRejecting) >= majority;
}

} // namespace persimmonrail
