#include "persimmonrail/proxy/zone_usage.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace persimmonrail {
namespace {

constexpr milliseconds window{1000};
// Events of each kind that are kept; more than a daemon forwards within the window.
constexpr size_t maxEvents = 4096;

} // namespace

bool zone_usage::shares::isExceededBy(const std::string &zone) const
{
    const auto found = m_starts.find(zone);
    return found != m_starts.end() && found->second * m_zones > m_allStarts;
}

void zone_usage::shares::add(const std::string &zone)
{
    ++m_starts[zone];
    ++m_allStarts;
}

zone_usage::shares zone_usage::present(steady_time now) const
{
    shares result;
    for (const auto &[at, zone] : m_starts) {
        if (at > now - window) {
            result.add(zone);
        }
    }
    std::set<std::string_view> zones;
    for (const auto &[at, zone] : m_arrivals) {
        if (at > now - window) {
            zones.insert(zone);
        }
    }
    result.m_zones = std::max(1, static_cast<int>(zones.size()));
    return result;
}

void zone_usage::record(events &recorded, const std::string &zone, steady_time now)
{
    while (!recorded.empty()
           && (recorded.front().first <= now - window || recorded.size() >= maxEvents)) {
        recorded.pop_front();
    }
    recorded.emplace_back(now, zone);
}

} // namespace persimmonrail
