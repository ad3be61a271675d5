#include "persimmonrail/routing/retry_budget.h"

#include <algorithm>

namespace persimmonrail {

retry_budget_options shareRetryBudget(const shared_retry_budget &budget, double part,
                                      size_t holders)
{
    const double seconds = std::chrono::duration<double>(budget.window).count();
    const double halfOfShare =
        budget.slack * part / static_cast<double>(std::max<size_t>(holders, 1)) / 2;
    retry_budget_options options;
    options.ratio = budget.ratio * part;
    options.minRetriesPerSecond = seconds > 0 ? halfOfShare / seconds : 0;
    options.maxBurst = std::max(1.0, halfOfShare);
    return options;
}

retry_budget::retry_budget(steady_time now, retry_budget_options options)
    : m_options(options)
    , m_availableRetries(options.minRetriesPerSecond)
    , m_refilledAt(now)
{ }

void retry_budget::setOptions(const retry_budget_options &options, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    m_options = options;
    m_availableRetries = std::min(m_availableRetries, options.maxBurst);
}

void retry_budget::recordFirstAttempt(steady_time now)
{
    const std::lock_guard lock(m_mutex);
    refill(now);
    m_availableRetries = std::min(m_options.maxBurst, m_availableRetries + m_options.ratio);
}

bool retry_budget::tryRetry(steady_time now)
{
    // Repeated additions of the ratio may fall just short of 1 because of rounding errors.
    constexpr double oneRetry = 1.0 - 1e-9;
    const std::lock_guard lock(m_mutex);
    refill(now);
    if (m_availableRetries < oneRetry) {
        return false;
    }
    m_availableRetries = std::max(0.0, m_availableRetries - 1.0);
    return true;
}

void retry_budget::refill(steady_time now)
{
    // Threads read the clock before they lock the mutex, so `now` may be earlier than in the last
    // call.
    if (now <= m_refilledAt) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_refilledAt;
    m_availableRetries = std::min(
        m_options.maxBurst, m_availableRetries + elapsed.count() * m_options.minRetriesPerSecond);
    m_refilledAt = now;
}

} // namespace persimmonrail
