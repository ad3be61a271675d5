#pragma once

#include "persimmonrail/base/clock.h"

#include <cstddef>
#include <cstdint>

namespace persimmonrail {

// Returns the least time between two load moves of one owner. `owners` is the number of live
// upstreams of the service; all of them change the same record. `isOverloaded` tells whether the
// owner cannot serve its load.
//
// The owners together begin at most five moves a second: if they begin more than slow hosts can
// write, most writes fail, and the released keys stay unserved meanwhile. With `usesWriter`, one
// daemon writes the moves of all owners together, so an overloaded owner need not wait for others.
milliseconds minMoveInterval(size_t owners, bool isOverloaded, bool usesWriter = false);

// Returns how long an owner waits after another owner's write has made its own one out of date,
// until it tries again: until the watch of its relay has shown the record, and longer by a random
// time that grows with the number of owners, since all of them may be waiting. `random` is any
// number.
milliseconds delayAfterConflict(size_t owners, uint64_t random);

} // namespace persimmonrail
