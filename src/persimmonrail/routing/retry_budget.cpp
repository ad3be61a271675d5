#include "persimmonrail/routing/retry_budget.h"

#include <algorithm>

namespace persimmonrail {

retry_budget::retry_budget(steady_time now, retry_budget_options options)
    : m_options(options)
    , m_available(options.minPerSecond)
    , m_refilledAt(now)
{ }

void retry_budget::recordFirstAttempt(steady_time now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    m_available = std::min(m_options.burst, m_available + m_options.ratio);
}

bool retry_budget::tryRetry(steady_time now)
{
    // Sums of the ratio fall short of whole numbers by rounding errors.
    constexpr double wholeRetry = 1.0 - 1e-9;
    const std::lock_guard lock(m_mutex);
    refill(now);
    if (m_available < wholeRetry) {
        return false;
    }
    m_available = std::max(0.0, m_available - 1.0);
    return true;
}

void retry_budget::refill(steady_time now)
{
    // Threads read the clock before they take the mutex, so times may arrive out of order.
    if (now <= m_refilledAt) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_available = std::min(m_options.burst, m_available + elapsed.count() * m_options.minPerSecond);
    m_refilledAt = now;
}

} // namespace persimmonrail
