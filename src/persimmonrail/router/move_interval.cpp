#include "persimmonrail/router/move_interval.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// The second move has to take account of the loads that are reported after the first.
constexpr milliseconds overloadedInterval{1000};
// An owner that can serve its load moves keys less often, since requests for keys wait while the
// keys move.
constexpr milliseconds nonOverloadedInterval{4000};
// Least mean time between the moves of all owners of a service.
constexpr milliseconds intervalPerOwner{200};
// Replaces overloadedInterval if a writer is used. The owner's own rates, an average over half a
// second, show the effect of the last move by then.
constexpr milliseconds writerInterval{500};
// Loads of peers are one to two seconds old, so a single peer may have none of its spare capacity
// left.
constexpr size_t minOverloadTargets = 2;
constexpr size_t maxOverloadTargets = 12;

} // namespace

milliseconds minMoveInterval(size_t owners, bool isOverloaded, bool usesWriter)
{
    if (usesWriter && isOverloaded) {
        return writerInterval;
    }
    return std::max(isOverloaded ? overloadedInterval : nonOverloadedInterval,
                    intervalPerOwner * static_cast<int64_t>(owners));
}

size_t targetsForOverload(const owner_load &self, const std::vector<owner_load> &others,
                          const move_options &options)
{
    double spareSlots = 0;
    size_t peers = 0;
    for (const owner_load &other : others) {
        if (self.utilization - other.utilization >= options.minUtilizationDifference
            && other.utilization < 1) {
            spareSlots += (1 - other.utilization) * other.slots * options.capacityShare;
            ++peers;
        }
    }
    if (peers == 0) {
        return minOverloadTargets;
    }
    const double excessSlots = (self.utilization - 1) * self.slots;
    const double needed = std::ceil(excessSlots * static_cast<double>(peers) / spareSlots);
    return static_cast<size_t>(std::clamp(needed, static_cast<double>(minOverloadTargets),
                                          static_cast<double>(maxOverloadTargets)));
}

} // namespace persimmonrail
