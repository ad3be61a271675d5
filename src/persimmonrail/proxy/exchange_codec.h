#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/keyspace/key_placement.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>

#include <functional>
#include <optional>
#include <string>

namespace persimmonrail {

// What a caller states in the head of a request.
struct caller_fields
{
    // Empty if the caller names none.
    std::string requestId;
    // How long the caller waits; nothing if it does not say.
    std::optional<milliseconds> timeout;
    std::optional<shard_key> key;
    // A field is present and can't be read.
    bool isMalformed = false;
};

// What an upstream is told about a request.
struct upstream_fields
{
    // The upstream that is to run it; any other refuses.
    std::string upstream;
    milliseconds timeLeft{0};
    // Service on whose host the request began.
    std::string callerService;
};

enum class response_kind {
    // The upstream's own answer to this request.
    Genuine,
    // It states that it did not run the request.
    NotRun,
    // It does not run the request, since it is not the one named, or does not hold the key.
    WrongTarget,
    // Belongs to another request.
    Foreign,
    // A success without the proof that the upstream made it, or in a form that nobody asked for.
    Unsound,
};

// Translation between the product's view of an exchange and the platform's header fields. Hooks
// are thread safe.
struct exchange_codec
{
    std::function<caller_fields(const Poco::Net::HTTPRequest &request)> readCall;
    std::function<void(Poco::Net::HTTPRequest &request, const upstream_fields &call)>
        addressUpstream;
    std::function<response_kind(const Poco::Net::HTTPResponse &head, const std::string &requestId)>
        classifyResponse;
};

} // namespace persimmonrail
