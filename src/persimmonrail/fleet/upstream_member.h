#pragma once

#include "persimmonrail/base/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <tuple>

namespace persimmonrail {

// One life of an upstream. A restart under the same name has a later start time.
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
    bool isEmpty() const { return name.empty(); }
};

std::string toString(const upstream_id &id);

// What an upstream says of itself to the daemon beside it.
struct upstream_report
{
    upstream_id id;
    std::string service;
    // "ip:port" for requests; reachable from the same host only.
    std::string address;
    std::string availabilityZone;
    int slots = 0;
    bool isDraining = false;
    // How much longer it stays slow after its start.
    milliseconds warmUpRemaining{0};
    // Increases with each report of one life.
    int64_t sequence = 0;
};

// What a host has for its daemon; 0 stands for unknown.
struct host_resources
{
    // In processors of the usual speed.
    double processors = 0;
    // Of its link, 10^6 bits a second.
    double linkMbps = 0;

    bool operator==(const host_resources &) const = default;
    bool operator<(const host_resources &other) const
    {
        return std::tie(processors, linkMbps) < std::tie(other.processors, other.linkMbps);
    }
};

// What the daemon beside an upstream publishes for the fleet.
struct upstream_member
{
    upstream_id id;
    std::string service;
    std::string availabilityZone;
    // Peer port of the daemon beside it, "ip:port".
    std::string peerAddress;
    int slots = 0;
    // Takes no new work, since the upstream leaves or its daemon stops.
    bool isDraining = false;
    // The upstream is gone; nothing of it runs any more and it holds no key.
    bool isTerminated = false;
    host_resources host = {};

    bool operator==(const upstream_member &) const = default;
};

// Order in which members do work for others, such as passing on what changes: the strongest hosts
// come first, since the weakest have hardly enough for their own requests.
bool hasMoreCapacity(const upstream_member &a, const upstream_member &b);

std::string encodeMember(const upstream_member &member);
// Errors: InvalidArgument.
absl::StatusOr<upstream_member> parseMember(std::string_view json);

} // namespace persimmonrail
