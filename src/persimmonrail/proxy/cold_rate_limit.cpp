#include "persimmonrail/proxy/cold_rate_limit.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

constexpr milliseconds window{1000};
// The starts of a window are spread over this many parts of it.
constexpr int windowParts = 4;
// An upstream that closes one connection may have found it idle. A crash ends several connections
// at once.
constexpr milliseconds lossInterval{250};
// A check costs the upstream little, but is not free.
constexpr milliseconds checkInterval{100};
// While the upstream is cold, its checks count among the few requests that it tolerates.
constexpr milliseconds coldCheckInterval{500};
// For upstreams whose responses to checks state no cold time, which probably won't state one later.
constexpr milliseconds checkIntervalWithoutStatement{5000};
// Share of the slack that requests may use that start before the upstream has stated that it became
// cold. The rest is for checks and late arrivals.
constexpr double unstatedSlackShare = 0.75;
// Share of the slack that requests may use that are sent again.
constexpr double resendSlackShare = 0.5;
// The daemon checks once one of this many equal parts of the permitted starts has been used since
// the last statement.
constexpr int checkParts = 4;

} // namespace

void cold_rate_limit::setOptions(const cold_rate_options &options, steady_time now)
{
    m_options = options;
    m_isRateUnknown = false;
    if (isEnabled() && !m_hasAssumedStarts) {
        m_hasAssumedStarts = true;
        const int assumed = std::max(0, permittedPerSecond() - options.slack);
        m_starts.insert(m_starts.end(), static_cast<size_t>(assumed), now);
    }
}

void cold_rate_limit::assumeUnknownRate(int slack, steady_time now)
{
    setOptions({0, 1, slack}, now);
    m_isRateUnknown = true;
}

void cold_rate_limit::recordStatement(milliseconds remaining, steady_time statedAt,
                                      steady_time receivedAt)
{
    if (remaining.count() > 0) {
        const steady_time end = receivedAt + remaining;
        m_coldUntil = statedAt >= m_statedAt ? end : std::max(m_coldUntil, end);
        m_statedAt = std::max(m_statedAt, statedAt);
    } else if (statedAt >= m_statedAt) {
        m_coldUntil = statedAt;
        m_statedAt = statedAt;
    }
}

void cold_rate_limit::recordRestartSign(steady_time now)
{
    m_coldUntil = steady_time::max();
    m_statedAt = std::max(m_statedAt, now);
}

void cold_rate_limit::recordLostConnection(steady_time now)
{
    const bool isRepeated = now - m_lastLossAt <= lossInterval;
    m_lastLossAt = now;
    if (isRepeated) {
        recordRestartSign(now);
    }
}

milliseconds cold_rate_limit::coldRemaining(steady_time now) const
{
    if (!isCold(now)) {
        return milliseconds(0);
    }
    return m_coldUntil == steady_time::max() ? milliseconds::max()
                                             : std::chrono::ceil<milliseconds>(m_coldUntil - now);
}

int cold_rate_limit::permittedPerSecond() const
{
    if (m_isRateUnknown) {
        return std::max(1, m_options.slack);
    }
    // An upstream that gets no request at all may never become warm.
    return std::max(1, static_cast<int>(m_options.requestsPerSecond * m_options.overshoot));
}

int cold_rate_limit::permittedUnstated() const
{
    return permittedPerSecond() + static_cast<int>(m_options.slack * unstatedSlackShare);
}

int cold_rate_limit::startsAfter(steady_time since) const
{
    const auto first = std::upper_bound(m_starts.begin(), m_starts.end(), since);
    return static_cast<int>(m_starts.end() - first);
}

int cold_rate_limit::recentStarts(steady_time now) const
{
    return startsAfter(now - window);
}

// The latest statement counts, also if it announced an end of the cold time that has passed since:
// the upstream may have become cold again before that end.
int cold_rate_limit::unstatedStarts(steady_time now) const
{
    return startsAfter(std::max(m_statedAt, now - window));
}

steady_time cold_rate_limit::nextColdStart(const std::deque<steady_time> &starts,
                                           steady_time now) const
{
    const auto perWindow = static_cast<size_t>(permittedPerSecond());
    const size_t perPart = (perWindow + windowParts - 1) / windowParts;
    steady_time next = now;
    if (starts.size() >= perWindow) {
        next = std::max(next, starts[starts.size() - perWindow] + window);
    }
    if (starts.size() >= perPart) {
        next = std::max(next, starts[starts.size() - perPart] + window / windowParts);
    }
    return next;
}

steady_time cold_rate_limit::nextStart(steady_time now) const
{
    if (isCold(now)) {
        return std::min(nextColdStart(m_starts, now), m_coldUntil);
    }
    if (!isEnabled() || !m_checksStateColdTime) {
        return now;
    }
    if (unstatedStarts(now) < permittedUnstated()) {
        return now;
    }
    return m_starts[m_starts.size() - static_cast<size_t>(permittedUnstated())] + window;
}

steady_time cold_rate_limit::startOfNth(int n, steady_time now) const
{
    if (!isCold(now)) {
        return now;
    }
    std::deque<steady_time> starts = m_starts;
    steady_time next = now;
    for (int i = 0; i < n; ++i) {
        next = nextColdStart(starts, next);
        if (next >= m_coldUntil) {
            return m_coldUntil;
        }
        starts.push_back(next);
    }
    return next;
}

void cold_rate_limit::recordStart(steady_time now)
{
    if (!isEnabled()) {
        return;
    }
    while (!m_starts.empty() && m_starts.front() <= now - window) {
        m_starts.pop_front();
    }
    m_starts.insert(std::upper_bound(m_starts.begin(), m_starts.end(), now), now);
}

void cold_rate_limit::withdrawStart(steady_time startedAt)
{
    const auto found = std::lower_bound(m_starts.begin(), m_starts.end(), startedAt);
    if (found != m_starts.end() && *found == startedAt) {
        m_starts.erase(found);
    }
}

bool cold_rate_limit::tryResend(steady_time now)
{
    const int permitted =
        permittedPerSecond() + static_cast<int>(m_options.slack * resendSlackShare);
    if (isCold(now) && recentStarts(now) >= permitted) {
        return false;
    }
    recordStart(now);
    return true;
}

bool cold_rate_limit::needsCheck(steady_time now) const
{
    if (!isEnabled() || m_isRateUnknown || now < m_nextCheckAt) {
        return false;
    }
    if (isCold(now)) {
        return m_coldUntil == steady_time::max();
    }
    return unstatedStarts(now) * checkParts >= permittedUnstated();
}

void cold_rate_limit::recordCheck(steady_time now)
{
    const milliseconds interval = !m_checksStateColdTime ? checkIntervalWithoutStatement
        : isCold(now)                                    ? coldCheckInterval
                                                         : checkInterval;
    m_nextCheckAt = now + interval;
}

void cold_rate_limit::recordCheckResponse(bool hasStatement)
{
    if (hasStatement && !m_checksStateColdTime) {
        m_checksStateColdTime = true;
        m_nextCheckAt = {};
    }
}

} // namespace persimmonrail
