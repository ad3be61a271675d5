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

void attempt_age::advance(route_record &record, steady_time now) const
{
    const auto elapsed = now - record.windowStart;
    if (elapsed >= m_options.window) {
        record.previous = elapsed < 2 * m_options.window ? record.current : window_record{};
        record.current = {};
        record.windowStart = now;
    }
}

milliseconds attempt_age::ageOf(const route_record &record, milliseconds statedTimeout) const
{
    const milliseconds age =
        std::max(record.current.longestTimeout, record.previous.longestTimeout) - statedTimeout;
    const bool mayBeRetry = record.current.hasFailure || record.previous.hasFailure;
    return mayBeRetry && age >= m_options.minAge ? age : milliseconds(0);
}

attempt_age::route_record &attempt_age::recordOf(const std::string &route, steady_time now)
{
    if (m_routes.size() >= maxRoutes && !m_routes.contains(route)) {
        m_routes.clear();
    }
    route_record &record = m_routes[route];
    advance(record, now);
    return record;
}

milliseconds attempt_age::estimate(const std::string &route, milliseconds statedTimeout,
                                   steady_time now)
{
    const std::lock_guard lock(m_mutex);
    route_record &record = recordOf(route, now);
    const milliseconds age = ageOf(record, statedTimeout);
    record.current.longestTimeout = std::max(record.current.longestTimeout, statedTimeout);
    return age;
}

milliseconds attempt_age::peekEstimate(const std::string &route, milliseconds statedTimeout,
                                       steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return milliseconds(0);
    }
    route_record record = found->second;
    advance(record, now);
    return ageOf(record, statedTimeout);
}

void attempt_age::recordFailure(const std::string &route, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    recordOf(route, now).current.hasFailure = true;
}

} // namespace persimmonrail
