#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/gateway/request_target.h"

#include <cstdint>
#include <optional>
#include <string>

namespace persimmonrail {

// A request and what routing has found out about it.
struct resolved_request
{
    std::string id;
    // The request as it is passed on, without the Persimmonrail-* fields that it arrived with.
    Poco::Net::HTTPRequest message;
    request_target target;
    std::string rank;
    // Index of the rank in the service document; 0 is the most urgent.
    size_t rankIndex = 0;
    std::string subsidiary;
    bool repeatable = false;
    std::string idempotencyKey;
    // Absent if any instance of the service may run the request.
    std::optional<uint64_t> keyHash;
    steady_time deadline;
};

} // namespace persimmonrail
