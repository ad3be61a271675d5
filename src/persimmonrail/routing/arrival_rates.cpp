#include "persimmonrail/routing/arrival_rates.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// Bounds the memory, since the names of the zones come from other daemons.
constexpr size_t maxZones = 16;
// Requests per second below which a zone is left out, since a decaying rate never reaches 0.
constexpr double minRate = 0.05;

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

arrival_rates::arrival_rates(milliseconds decayTime)
    : m_decayTime(decayTime)
{ }

double arrival_rates::decayed(const entry &zone, steady_time now) const
{
    const double elapsed = std::max(0.0, seconds(now - zone.updatedAt));
    return zone.rate * std::exp(-elapsed / seconds(m_decayTime));
}

void arrival_rates::record(std::string_view zone, steady_time now)
{
    auto found = m_zones.find(zone);
    if (found == m_zones.end()) {
        if (m_zones.size() >= maxZones) {
            return;
        }
        found = m_zones.emplace(std::string(zone), entry{0, now}).first;
    }
    entry &known = found->second;
    known.rate = decayed(known, now) + 1 / seconds(m_decayTime);
    known.updatedAt = std::max(known.updatedAt, now);
}

std::map<std::string, double> arrival_rates::rates(steady_time now) const
{
    std::map<std::string, double> rates;
    for (const auto &[zone, known] : m_zones) {
        const double rate = decayed(known, now);
        if (rate >= minRate) {
            rates[zone] = rate;
        }
    }
    return rates;
}

} // namespace persimmonrail
