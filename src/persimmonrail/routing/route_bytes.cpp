#include "persimmonrail/routing/route_bytes.h"

namespace persimmonrail {
namespace {

// Weight of one response in the moving average.
constexpr double smoothingWeight = 0.1;
// Routes come and go with the desired state; beyond this number all means are dropped.
constexpr size_t maxRoutes = 4096;

} // namespace

void route_bytes::record(const std::string &route, double bytes)
{
    const std::lock_guard lock(m_mutex);
    if (m_means.size() >= maxRoutes && !m_means.contains(route)) {
        m_means.clear();
    }
    const auto entry = m_means.try_emplace(route, bytes).first;
    entry->second += (bytes - entry->second) * smoothingWeight;
}

double route_bytes::mean(const std::string &route) const
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_means.find(route);
    return entry == m_means.end() ? 0 : entry->second;
}

} // namespace persimmonrail
