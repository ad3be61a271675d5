#include "persimmonrail/telemetry/log_rate_limiter.h"

namespace persimmonrail {

bool log_rate_limiter::take(steady_time now, uint64_t &dropped)
{
    dropped = 0;
    if (m_linesPerSecond == 0) {
        return true;
    }
    if (now - m_secondStart >= std::chrono::seconds(1)) {
        m_secondStart = now;
        m_written = 0;
        dropped = m_dropped;
        m_dropped = 0;
    }
    if (m_written >= m_linesPerSecond) {
        ++m_dropped;
        ++m_droppedInAll;
        return false;
    }
    ++m_written;
    return true;
}

} // namespace persimmonrail
