#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Where the key of a request is taken from.
enum class key_source { PathSegment, QueryParameter, Header };

struct key_rule
{
    key_source source = key_source::PathSegment;
    // Index of the path segment after the service name, counted from 0. Only for PathSegment.
    int segment = 0;
    // Name of the query parameter or header. Only for the other sources.
    std::string name;
};

// A class of work. Ranks are listed from the most urgent to the least urgent.
struct rank_rule
{
    std::string name;
    // Latency that the service aims for.
    milliseconds target{0};
    // Relative worth of one answered request; used to compare policies.
    double worth = 1;
    // Share of the upstream's capacity that this rank keeps under overload, 0 to 1.
    double floor = 0;
};

// Maps requests to a rank. The first operation whose method and path prefix match applies.
struct operation_rule
{
    std::string name;
    // "*" matches every method.
    std::string method;
    std::string pathPrefix;
    std::string rank;
    milliseconds timeout{0};
    // Whether the request may run more than once.
    bool repeatable = false;
};

// A service team's configuration document after validation.
struct service_document
{
    std::string service;
    // Present if the service's servers own keys exclusively.
    std::optional<key_rule> key;
    // Number of hash ranges that the key space is divided into; fixed for the life of the service.
    int partitions = 0;
    // Whether upstreams refuse requests that carry an outdated grant.
    bool checksGrants = false;
    std::vector<rank_rule> ranks;
    std::vector<operation_rule> operations;
    // Instances that the operator declares gone for good, as "name/incarnation".
    std::vector<std::string> retired;

    // A service is partitioned if it divides its keys or has operations that may not be repeated.
    bool isPartitioned() const { return partitions > 0; }
    const operation_rule *findOperation(std::string_view method, std::string_view path) const;
    // Position of a rank in `ranks`, or the last position if the name is not listed.
    size_t rankIndex(std::string_view name) const;
};

} // namespace persimmonrail
