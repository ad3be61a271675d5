#pragma once

#include "persimmonrail/proxy/overload_throttle.h"
#include "persimmonrail/proxy/upstream_dispatcher.h"
#include "persimmonrail/proxy/upstream_picker.h"
#include "persimmonrail/routes/route_table.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// A request whose way is to be explained.
struct explained_request
{
    std::string method = "GET";
    std::string host;
    // With the query, percent-encoded as on the wire.
    std::string path;
    std::optional<shard_key> key;
    // Length of the body.
    size_t bytes = 0;
    // How long the caller waits; nullopt if the request does not state it.
    std::optional<milliseconds> timeout;
};

// A rejection of the first attempt at the request.
struct explained_rejection
{
    proxy_reason reason = proxy_reason::None;
    // Whether it is decided beside the upstream, rather than for the caller. An explanation
    // predicts rejections by the local upstream's daemon only.
    bool isBesideUpstream = false;
    // Probability of the rejection.
    double chance = 1;
    // What the caller gets unless a further attempt succeeds; 0 if no Retry-After is stated.
    int status = 0;
    milliseconds retryAfter{0};
    // Whether the daemon attempts the request again before it responds.
    bool isTriedAgain = false;
};

// An upstream of the service.
struct explained_member
{
    upstream_member member;
    expected_time time;
    int failures = 0;
    std::chrono::nanoseconds penaltyLeft{0};
    // Probability with which it gets the first attempt.
    double chance = 0;
    bool isLocal = false;
    bool isZoneEvacuated = false;
    // Whether its daemon has not responded lately, so that other upstreams are preferred.
    bool isAvoided = false;
};

// What is recorded of the owner of the key.
struct explained_owner
{
    owned_range range;
    uint64_t placementVersion = 0;
    uint64_t placementEpoch = 0;
    // Whether the record names an upstream that serves the key now.
    bool isServing = false;
};

// What happens to the request at one of the services between which its route divides requests.
struct explained_service
{
    std::string service;
    // Share of the route's requests that this service gets.
    double share = 1;
    bool isKeyed = false;
    std::optional<explained_owner> owner;
    // For keyed services the owner only.
    std::vector<explained_member> members;
    // How many members were left out because there are too many.
    size_t membersLeftOut = 0;
    bool usesZoneShare = false;
    zone_split split;
    std::chrono::nanoseconds zonesAge{0};
    overload_throttle::expectation throttle;
    // Set if the local upstream may get the request.
    std::optional<dispatch_assessment> local;
    // At most one for each reason.
    std::vector<explained_rejection> rejections;

    // Returns the probability that the first attempt is rejected.
    double rejectionChance() const;
};

// What would happen to a request now, as far as the daemon asked knows.
struct request_explanation
{
    // Reason for which the request is rejected before a service is chosen; None if it is not.
    explained_rejection rejected;
    // Zone of the daemon asked.
    std::string zone;
    // The upstream beside the daemon asked, whether or not it may get the request.
    local_upstream_state local;
    local_load localLoad;
    // The desired state in force, and the route in it; null if there is none.
    std::shared_ptr<const route_table> table;
    const route *found = nullptr;
    // How long ago the caller is thought to have sent the request first.
    milliseconds retryAge{0};
    uint64_t directoryRevision = 0;
    uint64_t directoryEpoch = 0;
    std::vector<explained_service> services;

    // Returns whether every service needs a key that the request lacks.
    bool lacksKey() const;
};

} // namespace persimmonrail
