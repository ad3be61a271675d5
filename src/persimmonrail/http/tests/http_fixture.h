#pragma once

#include "persimmonrail/http/http_client.h"

#include <string>

// What the tests of the HTTP client and of the HTTP server share.
namespace persimmonrail {

// Never expires in a passing test, even on a slow machine. Only tests of timeouts use shorter ones.
inline constexpr milliseconds testTimeout{60'000};

// Returns the time that is `delay` from now.
steady_time timeAfter(milliseconds delay);

// Keeps the body of a response.
class recording_sink : public response_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &, const body_framing &, std::string_view first,
               bool isComplete) override
    {
        body = first;
        finished = isComplete;
        return true;
    }
    bool write(std::string_view piece) override
    {
        body += piece;
        return true;
    }
    bool finish() override
    {
        finished = true;
        return true;
    }

    std::string body;
    bool finished = false;
};

// Returns a request for "/x" with the deadline testTimeout.
client_request requestTo(const std::string &address);

} // namespace persimmonrail
