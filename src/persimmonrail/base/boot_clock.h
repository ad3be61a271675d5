#pragma once

#include <chrono>

namespace persimmonrail {

// Time since the host started. Includes the time for which the process or the host was suspended,
// which the steady clock leaves out, so leases are counted in it.
using boot_time = std::chrono::nanoseconds;

// Returns the present time since the host started. Thread safe.
boot_time bootNow();

} // namespace persimmonrail
