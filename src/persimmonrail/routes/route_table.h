#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Share of a route's requests that one service gets.
struct traffic_share
{
    std::string service;
    int weight = 1;
};

// Requests of one host and path prefix, and how they are treated.
struct route
{
    std::string name;
    std::string host;
    // Begins and ends with a slash.
    std::string pathPrefix;
    // Whether a request may run more than once.
    bool repeatable = false;
    // Longest time that a caller is kept waiting.
    milliseconds timeout{0};
    // Time within which an answer has its full worth.
    milliseconds objective{0};
    // 0 is the most urgent.
    int rank = 0;
    // Most instances that one request may be sent to.
    int maxAttempts = 1;
    // At least one.
    std::vector<traffic_share> trafficShares;
};

struct service_rule
{
    std::string name;
    // Whether requests carry a key and instances own key ranges exclusively.
    bool isKeyed = false;
    // Connections that one instance accepts.
    int maxConnections = 0;
    std::string healthPath;
};

// The operators' desired state of routing, immutable once built.
class route_table
{
public:
    // Sorts the routes so that the longest prefix of a host comes first.
    route_table(uint64_t version, std::vector<route> routes, std::vector<service_rule> services,
                milliseconds idleTimeout);

    uint64_t version() const { return m_version; }
    // Longest time that a caller's connection may stay idle.
    milliseconds idleTimeout() const { return m_idleTimeout; }
    // Returns the route with the longest prefix that begins the path; null if there is none.
    // `host` may carry a port, which is ignored; `path` may carry a query.
    const route *find(std::string_view host, std::string_view path) const;
    // Null if the service is unknown.
    const service_rule *findService(std::string_view name) const;
    const std::vector<route> &routes() const { return m_routes; }
    const std::vector<service_rule> &services() const { return m_services; }

private:
    uint64_t m_version;
    std::vector<route> m_routes;
    std::vector<service_rule> m_services;
    milliseconds m_idleTimeout;
    // Positions in m_routes by host, longest prefix first.
    std::map<std::string, std::vector<size_t>, std::less<>> m_byHost;
};

// Chooses a part by weight; `draw` is uniform over 64 bits. Parts without weight are not chosen.
const traffic_share &chooseTrafficShare(const route &route, uint64_t draw);

} // namespace persimmonrail
