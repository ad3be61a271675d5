#include "persimmonrail/routing/attempt_age.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Routes come and go with the desired state; beyond this number all records are dropped.
constexpr size_t maxRoutes = 4096;

} // namespace

attempt_age::attempt_age(attempt_age_options options)
    : m_options(options)
{ }

attempt_age::route_record &attempt_age::recordOf(const std::string &route, steady_time now)
{
    if (m_routes.size() >= maxRoutes && !m_routes.contains(route)) {
        m_routes.clear();
    }
    route_record &record = m_routes[route];
    const auto elapsed = now - record.windowStart;
    if (elapsed >= m_options.window) {
        record.previous = elapsed < 2 * m_options.window ? record.current : window_record{};
        record.current = {};
        record.windowStart = now;
    }
    return record;
}

milliseconds attempt_age::estimate(const std::string &route, milliseconds statedTimeout,
                                   steady_time now)
{
    const std::lock_guard lock(m_mutex);
    route_record &record = recordOf(route, now);
    const milliseconds longest =
        std::max(record.current.longestTimeout, record.previous.longestTimeout);
    record.current.longestTimeout = std::max(record.current.longestTimeout, statedTimeout);
    const milliseconds age = longest - statedTimeout;
    const bool mayBeRetry = record.current.hasFailure || record.previous.hasFailure;
    return mayBeRetry && age >= m_options.minAge ? age : milliseconds(0);
}

void attempt_age::recordFailure(const std::string &route, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    recordOf(route, now).current.hasFailure = true;
}

} // namespace persimmonrail
