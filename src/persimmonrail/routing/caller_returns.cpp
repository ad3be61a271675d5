#include "persimmonrail/routing/caller_returns.h"

#include <algorithm>

namespace persimmonrail {

caller_returns::caller_returns(caller_returns_options options)
    : m_options(options)
{ }

std::optional<caller_returns::earlier_attempt> caller_returns::takeEarlier(const request &returned)
{
    const steady_time deadline = returned.arrivedAt + returned.statedTimeout;
    const std::lock_guard lock(m_mutex);
    auto best = m_failed.end();
    auto bestDifference = steady_time::duration::max();
    const auto end = m_failed.upper_bound(deadline + m_options.maxDeadlineDifference);
    for (auto entry = m_failed.lower_bound(deadline - m_options.maxDeadlineDifference);
         entry != end; ++entry) {
        const failed_request &failed = entry->second;
        const auto difference = std::chrono::abs(entry->first - deadline);
        if (failed.route == returned.route && failed.key == returned.key
            && returned.statedTimeout < failed.statedTimeout && difference < bestDifference) {
            best = entry;
            bestDifference = difference;
        }
    }
    if (best == m_failed.end()) {
        return std::nullopt;
    }
    const earlier_attempt attempt = best->second.attempt;
    m_failed.erase(best);
    return attempt;
}

bool caller_returns::isDue(const earlier_attempt &earlier, steady_time now) const
{
    return now >= earlier.announcedAt - m_options.maxEarliness;
}

void caller_returns::recordFailure(const request &failed, const earlier_attempt &attempt,
                                   steady_time now)
{
    const std::lock_guard lock(m_mutex);
    dropOld(now);
    const steady_time deadline = failed.arrivedAt + failed.statedTimeout;
    failed_request &recorded =
        m_failed
            .emplace(deadline,
                     failed_request{failed.route, failed.key, failed.statedTimeout, attempt})
            ->second;
    const auto longestWait = std::chrono::duration_cast<steady_time::duration>(
        (deadline - now) * m_options.maxWaitShare);
    recorded.attempt.announcedAt = std::min(attempt.announcedAt, now + longestWait);
}

void caller_returns::dropOld(steady_time now)
{
    m_failed.erase(m_failed.begin(), m_failed.lower_bound(now));
    while (m_failed.size() >= m_options.maxRequests) {
        m_failed.erase(m_failed.begin());
    }
}

} // namespace persimmonrail
