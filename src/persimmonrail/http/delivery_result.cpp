#include "persimmonrail/http/delivery_result.h"

#include "persimmonrail/http/guarded_fields.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace persimmonrail {
namespace {

milliseconds parseRetryAfter(const Poco::Net::HTTPResponse &head)
{
    int seconds = 0;
    const bool isRepeated = !checkGuardedFields(head, {{"Retry-After"}, {}, "", false}).ok();
    return !isRepeated && absl::SimpleAtoi(head.get("Retry-After", "0"), &seconds)
        ? milliseconds(std::clamp(seconds, 0, 3600) * 1000)
        : milliseconds(0);
}

} // namespace

delivery_result toDeliveryResult(const exchange_result &exchange, std::string_view refusedReason)
{
    delivery_result result;
    result.responseStarted = exchange.responseStarted;
    result.callerDisconnected = exchange.receiverDisconnected;
    result.reason = toString(exchange.state);
    result.outcome = exchange.hasSentBytes ? request_outcome::Unknown : request_outcome::NotRun;
    switch (exchange.state) {
    case exchange_state::Complete:
        result.outcome = request_outcome::Run;
        result.status = exchange.head.getStatus();
        result.reason = "answered";
        break;
    case exchange_state::Declined:
        result.status = exchange.head.getStatus();
        result.retryAfter = parseRetryAfter(exchange.head);
        break;
    case exchange_state::NotSent:
        result.outcome = request_outcome::NotRun;
        result.reason = exchange.deadlinePassed ? "deadline-exceeded" : refusedReason;
        break;
    case exchange_state::CallerDisconnected:
        result.callerDisconnected = true;
        break;
    default:
        break;
    }
    return result;
}

} // namespace persimmonrail
