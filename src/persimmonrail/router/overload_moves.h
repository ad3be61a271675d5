#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/keyspace/range_plan.h"

#include <functional>
#include <optional>
#include <vector>

namespace persimmonrail {

// Moves of an overloaded owner, if one daemon writes the moves of all owners together.

// Tells since when an owner has been overloaded. Not thread safe.
class overload_timer
{
public:
    void update(bool isOverloaded, steady_time now);
    // Returns whether the overload has lasted for long enough to show in the rates of the keys.
    bool isSettled(steady_time now) const;

private:
    std::optional<steady_time> m_since;
};

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

} // namespace persimmonrail
