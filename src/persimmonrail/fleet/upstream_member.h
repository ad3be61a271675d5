#pragma once

#include "persimmonrail/base/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace persimmonrail {

// Identifies one incarnation of an upstream, i.e. one run of its process. A restart under the same
// name has a later start time.
struct upstream_id
{
    std::string name;
    // Milliseconds since the Unix epoch, by the upstream's clock.
    int64_t startedAt = 0;

    bool operator==(const upstream_id &) const = default;
    bool operator<(const upstream_id &other) const
    {
        return std::tie(name, startedAt) < std::tie(other.name, other.startedAt);
    }
    // Returns whether the id names no upstream.
    bool isEmpty() const { return name.empty(); }
};

// Returns "<name>/<start time>", or an empty string for an empty id.
std::string toString(const upstream_id &id);

// State that an upstream reports to the daemon beside it.
struct upstream_report
{
    upstream_id id;
    std::string service;
    // "ip:port" at which the upstream accepts requests; reachable from the same host only.
    std::string address;
    std::string availabilityZone;
    // Number of requests that the upstream runs at a time.
    int slots = 0;
    // Whether the upstream shuts down and accepts no new requests.
    bool isDraining = false;
    // Time for which the upstream will still be slow because it started recently.
    milliseconds warmUpRemaining{0};
    // Increases with each report of one incarnation.
    int64_t sequence = 0;
};

// Resources of a host that its daemon may use; 0 stands for unknown.
struct host_resources
{
    // Processor share, in processors of the usual speed.
    double processors = 0;
    // Bandwidth of the host's network link, in 10^6 bits per second.
    double linkMbps = 0;

    bool operator==(const host_resources &) const = default;
    bool operator<(const host_resources &other) const
    {
        return std::tie(processors, linkMbps) < std::tie(other.processors, other.linkMbps);
    }
};

// Entry for an upstream that the daemon beside it publishes to the fleet.
struct upstream_member
{
    upstream_id id;
    std::string service;
    std::string availabilityZone;
    // "ip:port" at which the daemon beside the upstream accepts requests from other daemons.
    std::string peerAddress;
    // Number of requests that the upstream runs at a time.
    int slots = 0;
    // Whether the upstream accepts no new requests, because it shuts down or because its daemon
    // stops.
    bool isDraining = false;
    // Whether the upstream has ended. A terminated upstream runs no requests and holds no keys.
    bool isTerminated = false;
    host_resources host = {};
    // Whether the upstream itself has announced its shutdown, after which it never becomes ready
    // again. A daemon that was started since knows it from here only.
    bool hasAnnouncedShutdown = false;

    bool operator==(const upstream_member &) const = default;
};

// Returns whether `a` is preferred to `b` for work on behalf of other members, such as relaying
// changes of the store. Hosts with more resources are preferred, since the smallest hosts have
// barely enough capacity for their own requests. Equal hosts are ordered by upstream id.
bool hasMoreCapacity(const upstream_member &a, const upstream_member &b);

// Returns the member as a JSON object.
std::string encodeMember(const upstream_member &member);
// Parses the JSON object that encodeMember() returns. Errors: InvalidArgument.
absl::StatusOr<upstream_member> parseMember(std::string_view json);

} // namespace persimmonrail
