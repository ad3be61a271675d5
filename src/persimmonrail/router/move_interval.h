#pragma once

#include "persimmonrail/base/clock.h"

#include <cstddef>

namespace persimmonrail {

// Returns the least time between two load moves of one owner. `owners` is the number of live
// upstreams of the service; all of them change the same record. `isOverloaded` tells whether the
// owner cannot serve its load.
//
// The owners together begin at most five moves a second: if they begin more than slow hosts can
// write, most writes fail, and the released keys stay unserved meanwhile. With `usesWriter`, one
// daemon writes the moves of all owners together, so an overloaded owner need not wait for others.
milliseconds minMoveInterval(size_t owners, bool isOverloaded, bool usesWriter = false);

} // namespace persimmonrail
