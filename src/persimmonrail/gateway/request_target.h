#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/document/service_document.h"

#include <Poco/Net/HTTPRequest.h>

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace persimmonrail {

// Components of a request URI "/<service>/<path>?<query>".
struct request_target
{
    std::string service;
    // "/<path>" without percent-decoding; "/" if the URI has no path after the service.
    std::string path;
    // Without the "?"; empty if the URI has no query.
    std::string query;
};

// Splits a request URI into its components. Errors: InvalidArgument if the URI does not have the
// form above or has dot segments, which the upstream could resolve to a key other than the one that
// the request was routed by.
absl::StatusOr<request_target> parseTarget(const std::string &uri);

// Returns the key of a request. A key in the path or query is percent-decoded. Errors: NotFound if
// the request has no key, InvalidArgument if the key is empty, has an invalid percent-encoding or
// occurs more than once.
absl::StatusOr<std::string> extractKey(const key_rule &rule, const request_target &target,
                                       const Poco::Net::HTTPRequest &request);

// Returns whether the text is a UUID of version 7 in the text format of RFC 9562.
bool isUuidV7(std::string_view text);

// Returns a random request id of 32 hexadecimal digits. Thread safe.
std::string generateRequestId();

} // namespace persimmonrail
