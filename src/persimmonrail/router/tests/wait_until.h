#pragma once

#include "persimmonrail/base/clock.h"

#include <functional>
#include <thread>

namespace persimmonrail {

// Polls `condition` until it holds, for at most 20 s. Returns whether it holds at the end.
inline bool waitUntil(const std::function<bool()> &condition)
{
    const steady_time deadline = std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
        std::this_thread::sleep_for(milliseconds(2));
    }
    return condition();
}

} // namespace persimmonrail
