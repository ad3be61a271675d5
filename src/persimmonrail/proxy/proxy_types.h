#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/request_outcome.h"
#include "persimmonrail/fleet/upstream_member.h"
#include "persimmonrail/keyspace/key_placement.h"
#include "persimmonrail/proxy/link_pacer.h"
#include "persimmonrail/proxy/proxy_reason.h"
#include "persimmonrail/proxy/upstream_picker.h"

#include <Poco/Net/HTTPRequest.h>

#include <optional>
#include <string>

namespace persimmonrail {

// What the daemon beside the upstream needs to know of a request.
struct proxied_request
{
    // Method, target and fields for the upstream, without fields of one connection.
    Poco::Net::HTTPRequest message{Poco::Net::HTTPMessage::HTTP_1_1};
    std::string requestId;
    std::string service;
    // Name of the route that selected it.
    std::string route;
    // The upstream that is to run it.
    upstream_id upstream;
    // Service on whose host the request began.
    std::string callerService;
    std::optional<shard_key> key;
    int rank = 0;
    bool repeatable = false;
    // After this moment nobody waits for the answer.
    steady_time deadline;
    // Time within which an answer has its full worth, and the moment at which that time ends.
    milliseconds objective{0};
    steady_time objectiveEnd;
    // What the answer is expected to take on the link of the upstream's host.
    link_pacer::estimate responseLink;
};

// What one attempt at a request came to.
struct proxy_result
{
    request_outcome outcome = request_outcome::NotRun;
    proxy_reason reason = proxy_reason::None;
    // Status of the upstream's answer, if there was one.
    int status = 0;
    // Time after which a refused request is worth another try; 0 if unknown.
    milliseconds retryAfter{0};
    // Bytes of an answer went to the requester, so no other answer can follow.
    bool responseStarted = false;
    bool callerDisconnected = false;
    // The request reached the upstream, whether that ran it or refused it.
    bool hasArrived = false;
    std::optional<queue_report> queue;
};

inline proxy_result notRun(proxy_reason reason, milliseconds retryAfter = milliseconds(0))
{
    proxy_result result;
    result.reason = reason;
    result.retryAfter = retryAfter;
    return result;
}

} // namespace persimmonrail
