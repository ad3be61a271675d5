#pragma once

#include "persimmonrail/http/http_stream.h"

#include <string>

namespace persimmonrail {

// The final response to bytes that a client sent as they are.
struct raw_response
{
    // HTTP status; 0 if no complete response arrived.
    int status = 0;
    Poco::Net::HTTPResponse head;
    std::string body;
};

// Sends `bytes` on a new connection and returns the first final response that arrives before
// `timeout`.
raw_response exchangeRaw(const std::string &address, const std::string &bytes,
                         milliseconds timeout);

} // namespace persimmonrail
