#pragma once

#include "persimmonrail/base/clock.h"

#include <map>
#include <mutex>
#include <string>

namespace persimmonrail {

struct attempt_age_options
{
    // Length of a window. Timeouts and failures are forgotten after one to two windows, or up to
    // three on a route with few requests, since a window ends only with the next request.
    milliseconds window{5000};
    // Smaller differences between timeouts come from rounding and from the way to the daemon.
    milliseconds minAge{50};
};

// Estimates how long ago a caller first sent a request. A caller that retries within its deadline
// states the time that is left, so a timeout below the longest one of the route suggests a retry.
// The estimate is 0 unless callers of the route were refused or failed recently: without a failure
// there is no retry, and callers may simply wait for different times. Thread safe.
class attempt_age
{
public:
    explicit attempt_age(attempt_age_options options = {});

    // Records the timeout that a request of the route states, and returns the estimated time since
    // its caller sent it first.
    milliseconds estimate(const std::string &route, milliseconds statedTimeout, steady_time now);
    // Returns what estimate() would return, and records nothing.
    milliseconds peekEstimate(const std::string &route, milliseconds statedTimeout,
                              steady_time now) const;
    // Records that a request of the route was refused or failed, so that its caller may retry.
    void recordFailure(const std::string &route, steady_time now);

private:
    struct window_record
    {
        milliseconds longestTimeout{0};
        bool hasFailure = false;
    };
    struct route_record
    {
        steady_time windowStart{};
        window_record current;
        window_record previous;
    };
    // Moves the windows of the record on to `now`.
    void advance(route_record &record, steady_time now) const;
    milliseconds ageOf(const route_record &record, milliseconds statedTimeout) const;
    // Returns the record of the route, with the windows moved on to `now`. Must be called with the
    // mutex held.
    route_record &recordOf(const std::string &route, steady_time now);

    const attempt_age_options m_options;
    mutable std::mutex m_mutex;
    std::map<std::string, route_record> m_routes;
};

} // namespace persimmonrail
