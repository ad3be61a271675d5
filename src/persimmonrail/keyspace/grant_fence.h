#pragma once

#include <cstdint>

namespace persimmonrail {

// Fences as upstreams see them. A connection ends at one process, so a number of the connection is
// part of the fence: two incarnations of an upstream never see the same fence, whatever the
// placement records, and a grant on a newer connection supersedes those on older ones.

// Bits of the connection's number. A fence has at most 53 bits, the integers that are exact in
// JSON, of which the epoch of the store and the recorded fence use 45.
inline constexpr int connectionBits = 8;
// Number in the fence of releases that end the grants of all connections.
inline constexpr uint32_t releaseConnection = (1U << connectionBits) - 1;
// Highest number of a connection for grants.
inline constexpr uint32_t maxGrantConnection = releaseConnection - 1;

// Returns the fence for a grant or release under a recorded fence on a connection with this number.
constexpr uint64_t fenceOnConnection(uint64_t recordedFence, uint32_t connection)
{
    return recordedFence << connectionBits | connection;
}

// Returns the recorded fence from which `fence` was made.
constexpr uint64_t recordedFenceOf(uint64_t fence)
{
    return fence >> connectionBits;
}

} // namespace persimmonrail
