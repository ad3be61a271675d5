#include "persimmonrail/routing/link_delay.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonrail {
namespace {

using std::chrono::microseconds;

// Zone names come from the members of the fleet.
constexpr size_t maxZones = 16;
constexpr size_t maxMeasurements = 64;
// An excess below this is not logged.
constexpr microseconds minLogged{3000};
constexpr milliseconds minLogInterval{1000};

// Returns the quantile of the values; the lower one if it lies between two values.
template <typename Value> Value lowerQuantile(std::vector<Value> values, double quantile)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<size_t>(quantile * static_cast<double>(values.size() - 1))];
}

// Measurements of one upstream.
struct upstream_link
{
    std::vector<microseconds> delays;
    size_t losses = 0;
};

} // namespace

link_delay::link_delay(std::string ownZone, link_delay_options options)
    : m_ownZone(std::move(ownZone))
    , m_options(options)
{ }

void link_delay::recordResponse(const std::string &zone, const std::string &upstream,
                                microseconds delay, steady_time now)
{
    record(zone, {upstream, std::max(delay, microseconds(0)), now});
}

void link_delay::recordLoss(const std::string &zone, const std::string &upstream, steady_time now)
{
    record(zone, {upstream, std::nullopt, now});
}

void link_delay::record(const std::string &zone, measurement measured)
{
    const std::lock_guard lock(m_mutex);
    if (!m_zones.contains(zone) && m_zones.size() >= maxZones) {
        return;
    }
    std::deque<measurement> &measurements = m_zones[zone].measurements;
    measurements.push_back(std::move(measured));
    if (measurements.size() > maxMeasurements) {
        measurements.pop_front();
    }
}

std::optional<link_delay::zone_estimate> link_delay::estimate(zone_link &link,
                                                              steady_time now) const
{
    // Threads record in about the order of time.
    while (!link.measurements.empty() && now - link.measurements.front().at > m_options.window) {
        link.measurements.pop_front();
    }
    if (link.measurements.size() < m_options.minMeasurements) {
        return std::nullopt;
    }
    std::map<std::string_view, upstream_link> upstreams;
    for (const measurement &measured : link.measurements) {
        upstream_link &upstream = upstreams[measured.upstream];
        if (measured.delay) {
            upstream.delays.push_back(*measured.delay);
        } else {
            ++upstream.losses;
        }
    }
    zone_estimate result;
    result.measurements = link.measurements.size();
    std::vector<microseconds> delays;
    std::vector<double> lossShares;
    for (const auto &[name, upstream] : upstreams) {
        const double all = static_cast<double>(upstream.delays.size() + upstream.losses);
        lossShares.push_back(static_cast<double>(upstream.losses) / all);
        if (!upstream.delays.empty()) {
            delays.push_back(lowerQuantile(upstream.delays, 0.25));
        }
    }
    result.lossShare = lowerQuantile(lossShares, 0.5);
    if (!delays.empty()) {
        result.delay = lowerQuantile(delays, 0.5);
    }
    return result;
}

microseconds link_delay::measuredExcess(const zone_estimate &estimate,
                                        const std::optional<microseconds> &baseline) const
{
    const microseconds maxExcess = m_options.maxExcess;
    if (!estimate.delay || estimate.lossShare >= 1) {
        return maxExcess;
    }
    const double retries = estimate.lossShare / (1 - estimate.lossShare);
    const microseconds losses(
        std::llround(retries * static_cast<double>(microseconds(m_options.lossCost).count())));
    const microseconds delay = *estimate.delay - baseline.value_or(*estimate.delay);
    return std::min(maxExcess, losses + std::max(microseconds(0), delay - m_options.usualExcess));
}

std::map<std::string, microseconds> link_delay::excess(steady_time now)
{
    const std::lock_guard lock(m_mutex);
    std::map<std::string, std::optional<zone_estimate>> estimates;
    std::optional<microseconds> lowest;
    for (auto &[zone, link] : m_zones) {
        estimates[zone] = estimate(link, now);
        if (estimates[zone] && estimates[zone]->delay) {
            lowest = std::min(lowest.value_or(*estimates[zone]->delay), *estimates[zone]->delay);
        }
    }
    const auto own = estimates.find(m_ownZone);
    const bool hasOwn = own != estimates.end() && own->second && own->second->delay;
    const std::optional<microseconds> baseline = hasOwn ? own->second->delay : lowest;
    std::map<std::string, microseconds> result;
    for (auto &[zone, link] : m_zones) {
        if (zone == m_ownZone) {
            continue;
        }
        const std::optional<zone_estimate> &measured = estimates[zone];
        if (measured) {
            link.known = measuredExcess(*measured, baseline);
            link.knownAt = now;
        }
        const double halvings = std::chrono::duration<double>(now - link.knownAt)
            / std::chrono::duration<double>(m_options.halfLife);
        const microseconds excess(
            std::llround(static_cast<double>(link.known.count()) * std::exp2(-halvings)));
        if (excess.count() > 0) {
            result[zone] = excess;
        }
        noteChange(zone, link, excess, measured, now);
    }
    // A zone that is not named any more would keep its place.
    std::erase_if(m_zones, [&](const auto &entry) {
        return entry.second.measurements.empty() && !result.contains(entry.first);
    });
    return result;
}

void link_delay::noteChange(const std::string &zone, zone_link &link, microseconds excess,
                            const std::optional<zone_estimate> &estimate, steady_time now)
{
    const microseconds shown = excess < minLogged ? microseconds(0) : excess;
    const bool isAlike =
        shown == link.logged || (shown < 2 * link.logged && 2 * shown > link.logged);
    if (isAlike || now - link.loggedAt < minLogInterval || m_changes.size() >= maxZones) {
        return;
    }
    m_changes.push_back({zone, link.logged, shown, estimate ? estimate->lossShare : 0,
                         estimate ? estimate->measurements : 0});
    link.logged = shown;
    link.loggedAt = now;
}

std::optional<link_change> link_delay::takeChange()
{
    const std::lock_guard lock(m_mutex);
    if (m_changes.empty()) {
        return std::nullopt;
    }
    const link_change change = m_changes.front();
    m_changes.pop_front();
    return change;
}

} // namespace persimmonrail
