#pragma once

#include <cstdint>
#include <functional>

namespace persimmonrail {

// Returns uniformly distributed 64-bit numbers. Tests pass a generator with a fixed seed. A
// random_source need not be thread safe: an object that several threads use must call its source
// only while it holds its own mutex.
using random_source = std::function<uint64_t()>;

// Returns a random number from 0 to `bound` - 1. `bound` must not be 0.
inline uint64_t randomBelow(const random_source &random, uint64_t bound)
{
    return random() % bound;
}

// Returns a random number in [0, 1).
inline double randomFraction(const random_source &random)
{
    // A double represents 53-bit integers exactly.
    return static_cast<double>(random() >> 11) * 0x1p-53;
}

} // namespace persimmonrail
