#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>

namespace persimmonrail {

// Limits log lines to a number per second, so that an overload is not made worse by its own log.
// Not thread safe.
class log_rate_limiter
{
public:
    // 0 sets no limit.
    explicit log_rate_limiter(uint64_t linesPerSecond)
        : m_linesPerSecond(linesPerSecond)
    { }

    // Whether a line may be written now. If lines of earlier seconds were dropped, `dropped` is set
    // to their number once, for a line that tells so.
    bool take(steady_time now, uint64_t &dropped);
    uint64_t droppedInAll() const { return m_droppedInAll; }

private:
    const uint64_t m_linesPerSecond;
    steady_time m_secondStart{};
    uint64_t m_written = 0;
    uint64_t m_dropped = 0;
    uint64_t m_droppedInAll = 0;
};

} // namespace persimmonrail
