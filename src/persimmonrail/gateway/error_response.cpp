#include "persimmonrail/gateway/error_response.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/gateway/request_target.h"

#include <Poco/JSON/Object.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <sstream>

namespace persimmonrail {
namespace {

// Returns the HTTP status of an error response with this result.
int httpStatusOf(const attempt_result &result)
{
    if (result.status != 0) {
        return result.status;
    }
    if (result.reason == "malformed-request-body") {
        return 400;
    }
    if (result.outcome == request_outcome::NotRun) {
        return 503;
    }
    return result.reason == "deadline-exceeded" ? 504 : 502;
}

} // namespace

void sendErrorResponse(server_exchange &exchange, std::string requestId,
                       const attempt_result &result)
{
    if (requestId.empty()) {
        requestId = generateRequestId();
    }
    const std::string outcome(toString(result.outcome));
    Poco::JSON::Object body;
    body.set("outcome", outcome);
    body.set("reason", result.reason);
    body.set("request_id", requestId);
    std::ostringstream text;
    body.stringify(text);
    const int status = httpStatusOf(result);
    Poco::Net::HTTPResponse head(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    head.setContentType("application/json");
    head.set(outcomeHeader, outcome);
    head.set(reasonHeader, result.reason);
    head.set(requestIdHeader, requestId);
    if (!result.holder.empty()) {
        head.set(holderHeader, result.holder);
    }
    if (status == 503 || status == 429) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(result.retryAfter).count();
        head.set("Retry-After", absl::StrCat(std::max<int64_t>(seconds, 1)));
    }
    exchange.respond(head, text.str());
}

} // namespace persimmonrail
