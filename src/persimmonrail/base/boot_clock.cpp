#include "persimmonrail/base/boot_clock.h"

#include <ctime>

namespace persimmonrail {

boot_time bootNow()
{
    timespec time{};
    ::clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

} // namespace persimmonrail
