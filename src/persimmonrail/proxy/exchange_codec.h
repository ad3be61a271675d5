#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/http/guarded_fields.h"
#include "persimmonrail/keyspace/key_placement.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <functional>
#include <optional>
#include <string>

namespace persimmonrail {

// Values that a caller sends in the head of a request.
struct caller_fields
{
    // Empty if the request has no ID.
    std::string requestId;
    // How long the caller waits for the response; nullopt if the request does not state it.
    std::optional<milliseconds> timeout;
    std::optional<shard_key> key;
    // Whether a field is present but can't be parsed.
    bool isMalformed = false;
};

// Values that this daemon adds to the head of a request for an upstream.
struct upstream_fields
{
    // Name of the upstream that should run the request; any other upstream rejects the request.
    std::string upstream;
    milliseconds timeLeft{0};
    // Service on whose host the request originated.
    std::string callerService;
};

// How a response relates to the request for which it arrived.
enum class response_kind {
    // The upstream's response to this request.
    Genuine,
    // The upstream states that it did not run the request.
    NotRun,
    // The upstream did not run the request because the request names another upstream or the
    // upstream does not own the key.
    WrongUpstream,
    // Response to another request.
    Mismatched,
    // A success response that lacks the proof that the upstream produced it, or that has a form the
    // request did not ask for.
    Invalid,
};

// Translates between the proxy's view of an exchange and the platform's header fields. All
// functions must be thread safe.
struct exchange_codec
{
    // Parses the fields of a caller's request.
    std::function<caller_fields(const Poco::Net::HTTPRequest &request)> readCallerFields;
    // Sets the fields of a request for the upstream.
    std::function<void(Poco::Net::HTTPRequest &request, const upstream_fields &call)>
        setUpstreamFields;
    // Classifies the head of a response to the request with this ID.
    std::function<response_kind(const Poco::Net::HTTPResponse &head, const std::string &requestId)>
        classifyResponse;
    // Fields that classifyResponse, or the caller, reads in a response of the upstream.
    guarded_fields responseFields;
    // Returns how long the upstream stays cold as stated in a response to a health check, 0 if it
    // is warm; nullopt if the response does not state it. An empty function stands for a platform
    // whose upstreams never state it.
    std::function<std::optional<milliseconds>(const Poco::Net::HTTPResponse &head)>
        readColdRemaining = {};
    // Returns how long work takes at the upstream when it responds, as a factor on the usual time;
    // nullopt if the response does not state it or states it malformed. May be empty.
    std::function<std::optional<double>(const Poco::Net::HTTPResponse &head)> readWorkFactor = {};
};

} // namespace persimmonrail
