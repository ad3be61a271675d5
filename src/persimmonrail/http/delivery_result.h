#pragma once

#include "persimmonrail/base/request_outcome.h"
#include "persimmonrail/http/http_client.h"

#include <string>
#include <string_view>

namespace persimmonrail {

// What became of a request that was passed on to an upstream or to another daemon.
struct delivery_result
{
    request_outcome outcome = request_outcome::NotRun;
    // One of a fixed set of words, such as "upstream-refused-connection", "truncated-answer" or
    // "shed".
    std::string reason;
    // Whether the sink received the head of the response, so that no other response can be sent to
    // the caller.
    bool responseStarted = false;
    bool callerDisconnected = false;
    // HTTP status of the response; 0 if there is none.
    int status = 0;
    // Retry-After of a declined response, limited to one hour; zero if the field is absent or is
    // not a number of seconds.
    milliseconds retryAfter{0};
};

// Converts the result of an exchange. `refusedReason` is the reason for a request of which no byte
// was sent before its deadline. For a declined response, the caller determines the outcome and the
// reason.
delivery_result toDeliveryResult(const exchange_result &exchange, std::string_view refusedReason);

} // namespace persimmonrail
