#include "persimmonrail/ownership/write_rate_limiter.h"

#include <algorithm>

namespace persimmonrail {

write_rate_limiter::write_rate_limiter(limits limits, uint64_t seed)
    : m_limits(limits)
    , m_random(seed)
    , m_tokens(limits.maxBurst)
{ }

bool write_rate_limiter::canCall(steady_time now)
{
    refill(now);
    return m_tokens >= 1 && now >= m_blockedUntil;
}

bool write_rate_limiter::canCallDeferrable(steady_time now)
{
    return canCall(now) && m_tokens >= std::min(m_limits.urgentReserve + 1, m_limits.maxBurst);
}

void write_rate_limiter::takeToken(steady_time now)
{
    refill(now);
    m_tokens -= 1;
}

void write_rate_limiter::onRejected(steady_time now)
{
    m_backoff = std::clamp(m_backoff * 2, m_limits.initialBackoff, m_limits.maxBackoff);
    // Half of the backoff is random, so that instances do not all retry at the same time after an
    // outage.
    const auto half = m_backoff.count() / 2;
    std::uniform_int_distribution<milliseconds::rep> jitter(0, half);
    m_blockedUntil = now + milliseconds(half + jitter(m_random));
}

void write_rate_limiter::onResponse()
{
    m_backoff = milliseconds(0);
}

void write_rate_limiter::refill(steady_time now)
{
    if (now <= m_refilledAt) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_tokens = std::min(m_limits.maxBurst, m_tokens + elapsed.count() * m_limits.callsPerSecond);
    m_refilledAt = now;
}

} // namespace persimmonrail
