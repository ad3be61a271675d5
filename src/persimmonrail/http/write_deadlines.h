#pragma once

#include "persimmonrail/base/clock.h"

namespace persimmonrail {

// Until when bytes of a response may be written.
struct write_deadlines
{
    // End of the wait for the responses to earlier requests of the connection.
    steady_time turn;
    // End of the writes. The idle timeout of the connection bounds each of them as well.
    steady_time end = steady_time::max();
};

} // namespace persimmonrail
