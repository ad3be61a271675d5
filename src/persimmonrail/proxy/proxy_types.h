#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/request_outcome.h"
#include "persimmonrail/fleet/upstream_member.h"
#include "persimmonrail/keyspace/key_placement.h"
#include "persimmonrail/keyspace/key_state.h"
#include "persimmonrail/proxy/caller_attempt.h"
#include "persimmonrail/proxy/keyed_loss.h"
#include "persimmonrail/proxy/link_pacer.h"
#include "persimmonrail/proxy/proxy_reason.h"
#include "persimmonrail/proxy/upstream_picker.h"
#include "persimmonrail/routing/zone_share.h"

#include <Poco/Net/HTTPRequest.h>

#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// A request as it is forwarded to the daemon beside the upstream.
struct proxied_request
{
    // Method, URI and fields for the upstream, without fields of one connection.
    Poco::Net::HTTPRequest message{Poco::Net::HTTPMessage::HTTP_1_1};
    std::string requestId;
    std::string service;
    // Name of the matching route.
    std::string route;
    // The upstream that should run the request.
    upstream_id upstream;
    // Service on whose host the request originated.
    std::string callerService;
    // Set if the service is divided by key.
    std::optional<shard_key> key;
    // Priority class; 0 is the most urgent.
    int rank = 0;
    // Whether the request may run more than once.
    bool repeatable = false;
    // Whether an earlier attempt at the request has reached an upstream.
    bool isRetry = false;
    // Whether the caller has sent the request before.
    caller_attempt callerAttempt = caller_attempt::Unknown;
    // The caller waits for the response until this time.
    steady_time deadline;
    // Latency objective, and the time at which it ends.
    milliseconds objective{0};
    steady_time objectiveEnd;
    // Expected time of the response on the link of the upstream's host.
    link_pacer::estimate linkEstimate;
    // Availability zone of the caller in a first attempt; empty if it does not count.
    std::string originZone;
    // Availability zone of the caller's daemon, for the order of waiting requests; empty if unknown
    // or if no order depends on it.
    std::string callerZone;
    // Whether the response should tell about the zones of the service.
    bool wantsZones = false;
};

// Result of one attempt at a request.
struct proxy_result
{
    request_outcome outcome = request_outcome::NotRun;
    proxy_reason reason = proxy_reason::None;
    // HTTP status of the upstream's response; 0 if there was none.
    int status = 0;
    // Time after which a rejected request may be retried; 0 if unknown.
    milliseconds retryAfter{0};
    // Whether bytes of a response were sent to the requester, so that no other response can follow.
    bool responseStarted = false;
    // Whether the requester disconnected before the response was complete.
    bool callerDisconnected = false;
    // Whether the request may have reached the upstream, even if the upstream rejected it.
    bool hasReachedUpstream = false;
    // Checks of probes that had no response yet.
    int unansweredProbes = 0;
    // Fingerprint of a request whose connection to the local upstream was lost; nullopt if it was
    // not lost, or unknown.
    std::optional<uint64_t> lostFingerprint;
    // Queue of the upstream after the attempt; nullopt if unknown.
    std::optional<queue_report> queue;
    // State of the request's key at the daemon beside the upstream; nullopt if unknown.
    std::optional<key_state> keyState;
    // Times of a request that the upstream ran; nullopt if unknown.
    std::optional<time_spent> timeSpent;
    // States of the service's zones; empty if unknown.
    std::vector<zone_load> zones;
};

// Moments of a request at the daemon beside the upstream.
struct dispatch_times
{
    steady_time arrivedAt{};
    // When the request got its slot; the arrival until then.
    steady_time startedAt{};
};

// Returns how the time of a request was spent whose response began at `respondedAt`.
inline time_spent spentUntil(const dispatch_times &times, steady_time respondedAt)
{
    using std::chrono::duration_cast;
    using std::chrono::microseconds;
    return {duration_cast<microseconds>(times.startedAt - times.arrivedAt),
            duration_cast<microseconds>(respondedAt - times.startedAt),
            duration_cast<microseconds>(respondedAt - times.arrivedAt)};
}

// Returns the result of a request that did not run for this reason.
inline proxy_result notRunResult(proxy_reason reason, milliseconds retryAfter = milliseconds(0))
{
    proxy_result result;
    result.reason = reason;
    result.retryAfter = retryAfter;
    return result;
}

// Returns the fingerprint of a request that lost its connection to the local upstream, as a part of
// a log line, since the request may have crashed the upstream; empty if there is none.
std::string lostFingerprintText(const proxy_result &result);

} // namespace persimmonrail
