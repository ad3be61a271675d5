#pragma once

#include <cstdint>
#include <vector>

namespace persimmonrail {

// Returns the seeds of the generators of messages: those that the environment variable
// PERSIMMONRAIL_MESSAGE_SEEDS gives as "first last", or two fixed ones.
std::vector<uint64_t> messageSeeds();

} // namespace persimmonrail
