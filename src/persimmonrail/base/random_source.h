#pragma once

#include <cstdint>
#include <functional>

namespace persimmonrail {

// Returns uniformly distributed 64-bit numbers. A hook, so that tests can fix the seed. Where a
// class that traffic threads share takes one, it calls it under its own mutex.
using random_source = std::function<uint64_t()>;

// Returns a number from 0 to `bound` - 1; `bound` must not be 0.
inline uint64_t randomBelow(const random_source &random, uint64_t bound)
{
    return random() % bound;
}

// Returns a number in [0, 1).
inline double randomFraction(const random_source &random)
{
    // A double holds 53 bits exactly.
    return static_cast<double>(random() >> 11) * 0x1p-53;
}

} // namespace persimmonrail
