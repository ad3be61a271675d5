#include "persimmonrail/routes/route_table.h"

#include "persimmonrail/base/path_reading.h"

#include <algorithm>

namespace persimmonrail {
namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char c) {
        return static_cast<char>(c >= 'A' && c <= 'Z' ? c + ('a' - 'A') : c);
    });
    return lower;
}

} // namespace

route_table::route_table(uint64_t version, std::vector<route> routes,
                         std::vector<service_rule> services, milliseconds idleTimeout)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_idleTimeout(idleTimeout)
{
    for (size_t i = 0; i < m_routes.size(); ++i) {
        m_byHost[lowerCase(m_routes[i].host)].push_back(i);
    }
    for (auto &[host, positions] : m_byHost) {
        std::stable_sort(positions.begin(), positions.end(), [this](size_t a, size_t b) {
            return m_routes[a].pathPrefix.size() > m_routes[b].pathPrefix.size();
        });
    }
}

const route *route_table::find(std::string_view host, std::string_view path) const
{
    const auto entry = m_byHost.find(lowerCase(host.substr(0, host.find(':'))));
    if (entry == m_byHost.end()) {
        return nullptr;
    }
    const std::string_view withoutQuery = path.substr(0, path.find('?'));
    for (const size_t position : entry->second) {
        if (withoutQuery.starts_with(m_routes[position].pathPrefix)) {
            return &m_routes[position];
        }
    }
    return nullptr;
}

bool route_table::hasOneRoute(std::string_view host, std::string_view path) const
{
    const std::string_view withoutQuery = path.substr(0, path.find('?'));
    if (!hasSeveralReadings(withoutQuery)) {
        return true;
    }
    const auto decoded = decodePath(withoutQuery);
    return decoded.ok() && find(host, *decoded) == find(host, withoutQuery);
}

bool route_table::isRepeatable(std::string_view host, std::string_view path) const
{
    const route *const found = find(host, path);
    return found != nullptr && found->repeatable && hasOneRoute(host, path);
}

const service_rule *route_table::findService(std::string_view name) const
{
    const auto found = std::find_if(m_services.begin(), m_services.end(),
                                    [name](const service_rule &rule) { return rule.name == name; });
    return found == m_services.end() ? nullptr : &*found;
}

const traffic_share &chooseTrafficShare(const route &route, uint64_t randomValue)
{
    uint64_t totalWeight = 0;
    for (const traffic_share &share : route.trafficShares) {
        totalWeight += static_cast<uint64_t>(std::max(share.weight, 0));
    }
    if (totalWeight == 0) {
        return route.trafficShares.front();
    }
    uint64_t position = randomValue % totalWeight;
    for (const traffic_share &share : route.trafficShares) {
        const auto weight = static_cast<uint64_t>(std::max(share.weight, 0));
        if (position < weight) {
            return share;
        }
        position -= weight;
    }
    return route.trafficShares.back();
}

} // namespace persimmonrail
