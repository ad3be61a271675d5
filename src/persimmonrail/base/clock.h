#pragma once

#include <chrono>

namespace persimmonrail {

// Monotonic time, used by every decision. Decisions take it as an argument and never read a clock,
// so tests can drive them.
using steady_time = std::chrono::steady_clock::time_point;

// Wall-clock time. Only the age of idempotency keys depends on it.
using wall_time = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;

} // namespace persimmonrail
