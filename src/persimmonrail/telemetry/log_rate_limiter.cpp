#include "persimmonrail/telemetry/log_rate_limiter.h"

namespace persimmonrail {

bool log_rate_limiter::allowLine(steady_time now, uint64_t &dropped)
{
    dropped = 0;
    if (m_maxLinesPerSecond == 0) {
        return true;
    }
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_linesInSecond = 0;
        dropped = m_unreportedDropped;
        m_unreportedDropped = 0;
    }
    if (m_linesInSecond >= m_maxLinesPerSecond) {
        ++m_unreportedDropped;
        ++m_totalDropped;
        return false;
    }
    ++m_linesInSecond;
    return true;
}

} // namespace persimmonrail
