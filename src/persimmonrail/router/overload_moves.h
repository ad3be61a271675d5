#pragma once

#include "persimmonrail/keyspace/range_plan.h"

#include <functional>
#include <vector>

namespace persimmonrail {

// Moves of an overloaded owner, if one daemon writes the moves of all owners together.

// Returns to how many peers an overloaded owner moves keys at once: as many as have the spare
// capacity for what the owner cannot serve, at least 8 and at most 12.
size_t targetsForOverload(const owner_load &self, const std::vector<owner_load> &others,
                          const move_options &options);

// Returns the moves of chooseMoves() to as many peers as the overload needs, or to fewer if the
// keys have too many requests to be shared between so many.
std::vector<planned_move> chooseOverloadMoves(const std::vector<key_interval> &own,
                                              const std::function<double(shard_key)> &rate,
                                              const owner_load &self,
                                              const std::vector<owner_load> &others,
                                              move_options options = {});

// Least number of additional requests that are served because of the moves. A new version of the
// record costs five calls to the store in a region of four zones: the write, and a watch of the
// relay of each zone. Each call is to gain two requests; with a higher minimum, hot ranges are
// spread too slowly (docs/design/placement-writer.md).
inline constexpr double minMoveGain = 10;

// Returns how many requests above the capacity of the owner are expected to be served elsewhere
// because of the moves, over the time for which a load lasts. 0 if one key has more requests than
// the owner can serve: the owner stays overloaded, whichever other keys it moves.
double expectedGain(const std::vector<planned_move> &moves, const std::vector<key_interval> &own,
                    const std::function<double(shard_key)> &rate, const owner_load &self);

// Returns the moves of chooseOverloadMoves() if they are expected to gain at least minMoveGain,
// else none.
std::vector<planned_move> chooseWorthwhileMoves(const std::vector<key_interval> &own,
                                                const std::function<double(shard_key)> &rate,
                                                const owner_load &self,
                                                const std::vector<owner_load> &others);

// Mean time for one request divided by the slots, over the last seconds. Upstreams are slow for
// 400 ms at times, which is no reason to move keys. Not thread safe.
class mean_slot_time
{
public:
    // Must be called about every 100 ms. If `slots` has changed, as it does when an upstream
    // becomes cold, the mean begins anew.
    void update(std::chrono::microseconds meanServiceTime, int slots);
    // Returns the mean service time for `slots` of the last update(); 0 if it is not known.
    std::chrono::microseconds serviceTime() const;

private:
    double m_microseconds = 0;
    int m_slots = 0;
};

} // namespace persimmonrail
