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

// Rules for the requests of one host and path prefix.
struct route
{
    std::string name;
    std::string host;
    // Starts and ends with a slash.
    std::string pathPrefix;
    // Whether a request may be executed more than once.
    bool repeatable = false;
    // Longest time for which a caller waits for a response.
    milliseconds timeout{0};
    // Latency objective: time within which a response has its full value.
    milliseconds objective{0};
    // Priority class of the requests; 0 is the most urgent.
    int rank = 0;
    // Maximum number of instances to which one request may be sent.
    int maxAttempts = 1;
    // Services that get the requests; at least one.
    std::vector<traffic_share> trafficShares;
};

// Rules for the instances of one service.
struct service_rule
{
    std::string name;
    // Whether requests carry a key and each instance owns its key ranges exclusively.
    bool isKeyed = false;
    // Number of connections that one instance accepts.
    int maxConnections = 0;
    std::string healthPath;
    // How long an instance stays cold after its start.
    milliseconds coldStart{0};
    // Requests per second that a cold instance tolerates; 0 if there is no such limit.
    double coldRequestsPerSecond = 0;
};

// Desired state of routing as set by the operators. Immutable after construction.
class route_table
{
public:
    // Sorts the routes so that the longest prefix of a host comes first.
    route_table(uint64_t version, std::vector<route> routes, std::vector<service_rule> services,
                milliseconds idleTimeout);

    uint64_t version() const { return m_version; }
    // Returns the longest time for which a caller's connection may stay idle.
    milliseconds idleTimeout() const { return m_idleTimeout; }
    // Returns the route of the host whose path prefix is the longest match; null if none matches.
    // The case of `host` and a port in it are ignored, and so is a query in `path`.
    const route *find(std::string_view host, std::string_view path) const;
    // Returns whether find() returns the same route for each reading of the path (path_reading.h).
    // A request that an upstream would read as one of another route must not be sent.
    bool hasOneRoute(std::string_view host, std::string_view path) const;
    // Returns whether each reading of the path selects the same route and its requests may be
    // executed more than once.
    bool isRepeatable(std::string_view host, std::string_view path) const;
    // Returns null if the service is unknown.
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

// Returns a traffic share of the route with a probability proportional to its weight. Shares
// without weight are not chosen unless no share has a weight; then the first share is returned.
// `randomValue` must be uniformly distributed over 64 bits.
const traffic_share &chooseTrafficShare(const route &route, uint64_t randomValue);

} // namespace persimmonrail
