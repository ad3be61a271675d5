#pragma once

#include <chrono>

namespace persimmonrail {

// Monotonic time. Code that decides by time takes the time as an argument instead of reading a
// clock, so that tests can set the time.
using steady_time = std::chrono::steady_clock::time_point;

// Wall-clock time. Only decisions on the age of idempotency keys and of quarantine records depend
// on the wall clock. The clocks of hosts may differ by seconds.
using wall_time = std::chrono::system_clock::time_point;

using std::chrono::milliseconds;

} // namespace persimmonrail
