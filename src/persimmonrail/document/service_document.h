#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Part of a request that holds the key.
enum class key_source { PathSegment, QueryParameter, Header };

// Defines how the key of a request is determined.
struct key_rule
{
    key_source source = key_source::PathSegment;
    // Index of the path segment after the service name, counted from 0. Only for PathSegment.
    int segment = 0;
    // Name of the query parameter or header. Only for the other sources.
    std::string name;
};

// A priority class of requests. A document lists its ranks from the most urgent to the least
// urgent.
struct rank_rule
{
    std::string name;
    // Latency objective of the rank's requests.
    milliseconds target{0};
    // Relative value of one request that gets a response, used to compare admission policies.
    double worth = 1;
    // Guaranteed minimum share of the upstream's capacity under overload, from 0 to 1.
    double floor = 0;
};

// Assigns a rank and a timeout to the requests with a given method and path prefix. If several
// operations match a request, the first one applies.
struct operation_rule
{
    std::string name;
    // HTTP method, or "*" for every method.
    std::string method;
    // Matches whole path segments: "/credit" matches "/credit/7", not "/credits".
    std::string pathPrefix;
    // Name of a rank of the same document.
    std::string rank;
    milliseconds timeout{0};
    // Whether the request may be executed more than once.
    bool repeatable = false;
};

// The validated configuration document of a service.
struct service_document
{
    std::string service;
    // Set if and only if the servers of the service own keys exclusively.
    std::optional<key_rule> key;
    // Number of hash ranges that the key space is divided into, or 0 if the service is not
    // partitioned. The number cannot change once a document has been accepted.
    int partitions = 0;
    // Whether the upstreams reject requests that carry an outdated grant.
    bool checksGrants = false;
    std::vector<rank_rule> ranks;
    std::vector<operation_rule> operations;
    // Instances that the operator has declared permanently terminated, as "name/incarnation".
    std::vector<std::string> retired;

    // Returns whether the key space is divided into partitions. Services with a key rule or with an
    // operation that is not repeatable need partitions.
    bool isPartitioned() const { return partitions > 0; }
    // Returns the first operation that matches the method and the path, or null if none matches.
    // The match ignores the query and the fragment of `path`. The result points into `operations`.
    const operation_rule *findOperation(std::string_view method, std::string_view path) const;
    // Returns the index of the rank in `ranks`, or the last index if no rank has this name. Returns
    // 0 if `ranks` is empty.
    size_t rankIndex(std::string_view name) const;
};

} // namespace persimmonrail
