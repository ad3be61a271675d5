#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/keyspace/range_plan.h"

#include <cstddef>
#include <vector>

namespace persimmonrail {

// Returns the least time between two load moves of one owner. `owners` is the number of live
// upstreams of the service; all of them change the same record. `isOverloaded` tells whether the
// owner cannot serve its load.
//
// The owners together begin at most five moves a second: if they begin more than slow hosts can
// write, most writes fail, and the released keys stay unserved meanwhile. With `usesWriter`, one
// daemon writes the moves of all owners together, so an overloaded owner need not wait for others.
milliseconds minMoveInterval(size_t owners, bool isOverloaded, bool usesWriter = false);

// Returns to how many peers an overloaded owner moves keys at once, if one daemon writes the moves
// of all owners together: as many as have the spare capacity for what the owner cannot serve, at
// least 2 and at most 12. `options` are the limits of the move.
size_t targetsForOverload(const owner_load &self, const std::vector<owner_load> &others,
                          const move_options &options);

} // namespace persimmonrail
