#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>

namespace persimmonrail {

// Limits the number of log lines per second, so that logging does not make an overload worse.
// Not thread safe.
class log_rate_limiter
{
public:
    // 0 means no limit.
    explicit log_rate_limiter(uint64_t maxLinesPerSecond)
        : m_maxLinesPerSecond(maxLinesPerSecond)
    { }

    // Returns whether a line may be written at the time `now`, and counts the line as written or
    // dropped. Sets `dropped` to the number of lines that were dropped in earlier seconds and have
    // not been reported yet, so that the caller can log this number; sets
    // `dropped` to 0 if there are none.
    bool allowLine(steady_time now, uint64_t &dropped);
    // Returns the number of lines that were dropped since construction.
    uint64_t totalDropped() const { return m_totalDropped; }

private:
    const uint64_t m_maxLinesPerSecond;
    steady_time m_secondStart{};
    // Lines written since m_secondStart.
    uint64_t m_linesInSecond = 0;
    // Dropped lines that allowLine() has not reported yet.
    uint64_t m_unreportedDropped = 0;
    uint64_t m_totalDropped = 0;
};

} // namespace persimmonrail
