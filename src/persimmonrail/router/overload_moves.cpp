#include "persimmonrail/router/overload_moves.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// The rates of keys are averages over half a second. A move that is chosen at the first sign of a
// hot range gives its targets several times the load that was planned.
constexpr milliseconds settlingTime{200};
// Loads of peers are one to two seconds old, and several owners may choose the same peer. Many
// small moves overload fewer of them than few large ones.
constexpr size_t minOverloadTargets = 8;
constexpr size_t maxOverloadTargets = 12;

} // namespace

void overload_timer::update(bool isOverloaded, steady_time now)
{
    if (!isOverloaded) {
        m_since.reset();
    } else if (!m_since) {
        m_since = now;
    }
}

bool overload_timer::isSettled(steady_time now) const
{
    return m_since && now - *m_since >= settlingTime;
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

std::vector<planned_move> chooseOverloadMoves(const std::vector<key_interval> &own,
                                              const std::function<double(shard_key)> &rate,
                                              const owner_load &self,
                                              const std::vector<owner_load> &others,
                                              move_options options)
{
    std::vector<planned_move> moves;
    for (size_t targets = targetsForOverload(self, others, options); targets > 0 && moves.empty();
         targets /= 2) {
        options.maxTargets = targets;
        moves = chooseMoves(own, rate, self, others, options);
    }
    return moves;
}

} // namespace persimmonrail
