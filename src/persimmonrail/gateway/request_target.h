#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/document/service_document.h"

#include <Poco/Net/HTTPRequest.h>

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace persimmonrail {

// The parts of a request URI "/<service>/<path>?<query>".
struct request_target
{
    std::string service;
    // "/<path>", as received.
    std::string path;
    std::string query;
};

// Errors: InvalidArgument if the URI has no such form, or has dot segments, which an upstream could
// resolve to another key than the one that was routed.
absl::StatusOr<request_target> parseTarget(const std::string &uri);

// Takes the key from a request, percent-decoded. Errors: NotFound if the request has none,
// InvalidArgument if it is empty, badly encoded or given more than once.
absl::StatusOr<std::string> extractKey(const key_rule &rule, const request_target &target,
                                       const Poco::Net::HTTPRequest &request);

// Whether the text is a UUID of version 7 in its usual form (RFC 9562).
bool isUuidV7(std::string_view text);

// Draws a request id of 32 hexadecimal digits.
std::string generateRequestId();

} // namespace persimmonrail
