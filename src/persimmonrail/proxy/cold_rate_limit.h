#pragma once

#include "persimmonrail/base/clock.h"

#include <deque>

namespace persimmonrail {

// What a cold upstream tolerates. It crashes above the bound
// `requestsPerSecond` x `overshoot` + `slack` requests in any one second.
struct cold_rate_options
{
    // Requests per second; 0 if there is no limit.
    double requestsPerSecond = 0;
    double overshoot = 1;
    // Kept for requests that are sent again, for health checks, and for requests that arrive later
    // than they start.
    int slack = 0;
};

// Decides when the next request may start at an upstream that is or may be cold, i.e. has started
// recently or has lost its caches. This daemon must be the only sender of requests to the upstream.
//
// While the upstream is cold, a sliding window of one second admits `requestsPerSecond` x
// `overshoot` starts, a quarter of them in a quarter of the second. The window also counts the
// starts from before the upstream became cold. The second rule is for requests that arrive later
// than they start, since a busy host delays threads: without it, the starts of two whole windows
// could arrive within one second; with it, each quarter of a second of lateness adds a quarter of a
// window, which the slack covers.
//
// A statement is what a heartbeat or the response to a health check says about the cold time. An
// upstream may become cold at any moment, and the daemon learns it only from the next statement, so
// an upstream is known to be warm only up to its latest statement. Once a health check has been
// responded to with a statement, the starts after the latest one stay below the bound within any
// second; before that is reached, needsCheck() tells the daemon to send a health check.
//
// Reads no clock and does no I/O. Not thread safe.
class cold_rate_limit
{
public:
    // Sets what the upstream tolerates. When a limit is set for the first time, earlier processes
    // of this daemon may have sent requests within the last second, so some starts are assumed.
    void setOptions(const cold_rate_options &options, steady_time now);
    bool isEnabled() const { return m_options.requestsPerSecond > 0 || m_isRateUnknown; }
    // Admits only `slack` starts in a second until setOptions() tells the rate, since the upstream
    // may turn out to be cold.
    void assumeUnknownRate(int slack, steady_time now);

    // Records that the upstream has stated at `statedAt` or later that it is cold for `remaining`
    // after its statement; 0 if it is warm. `receivedAt` is when the statement arrived. A statement
    // that it is warm is ignored if it is older than the newest sign of the contrary.
    void recordStatement(milliseconds remaining, steady_time statedAt, steady_time receivedAt);
    // Records a sign that the upstream has restarted. It counts as cold until its next statement.
    void recordRestartSign(steady_time now);
    // Records a connection to the upstream that ended without a response. Several in a short time
    // are a sign of a restart.
    void recordLostConnection(steady_time now);

    // Returns whether the upstream counts as cold. Always false without a limit.
    bool isCold(steady_time now) const { return isEnabled() && now < m_coldUntil; }
    // Returns how long the upstream stays cold; the maximum if that is unknown.
    milliseconds coldRemaining(steady_time now) const;
    // Returns the earliest time at which the next request may start; `now` if it may start now.
    steady_time nextStart(steady_time now) const;
    // Returns when the n-th request from now on may start (n >= 1) if all start as early as they
    // may. Assumes that the upstream becomes warm when it has stated so.
    steady_time startOfNth(int n, steady_time now) const;
    // Returns the number of starts per second that the limit permits while the upstream is cold.
    int permittedPerSecond() const;
    // Returns the number of starts in the last second.
    int recentStarts(steady_time now) const;

    void recordStart(steady_time now);
    // Forgets a start whose request did not reach the upstream, or was rejected by it in a way that
    // does not count.
    void withdrawStart(steady_time startedAt);
    // Records that a request is sent once more and returns true if the upstream tolerates it.
    bool tryResend(steady_time now);

    // Returns whether a health check is due, which tells whether the upstream is cold.
    bool needsCheck(steady_time now) const;
    // Records that a health check is sent.
    void recordCheck(steady_time now);
    // Records the response to a health check; `hasStatement` tells whether it states the cold time.
    void recordCheckResponse(bool hasStatement);

private:
    // Returns the number of starts after `since`.
    int startsAfter(steady_time since) const;
    // Returns when the next start is allowed after these starts while the upstream is cold.
    steady_time nextColdStart(const std::deque<steady_time> &starts, steady_time now) const;
    // Returns the number of starts in the last second that are later than the latest statement.
    int unstatedStarts(steady_time now) const;
    // Returns how many starts after the latest statement are allowed in any one second.
    int permittedUnstated() const;

    cold_rate_options m_options;
    bool m_isRateUnknown = false;
    bool m_hasAssumedStarts = false;
    // The upstream counts as cold before this time.
    steady_time m_coldUntil = steady_time::max();
    // The upstream was warm, or known to be cold, at this time; nothing is known about later times.
    steady_time m_statedAt{};
    steady_time m_lastLossAt{};
    // Starts of the last second, earliest first.
    std::deque<steady_time> m_starts;
    // Whether the response to a health check has stated the cold time.
    bool m_checksStateColdTime = false;
    steady_time m_nextCheckAt{};
};

} // namespace persimmonrail
