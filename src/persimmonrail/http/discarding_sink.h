#pragma once

#include "persimmonrail/http/http_client.h"

namespace persimmonrail {

// Accepts any response and discards it, for requests of which only the head of the response or its
// completion is of interest.
class discarding_sink : public response_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &, const body_framing &, std::string_view,
               bool) override
    {
        return true;
    }
    bool write(std::string_view) override { return true; }
    bool finish() override { return true; }
};

} // namespace persimmonrail
