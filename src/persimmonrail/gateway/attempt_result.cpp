#include "persimmonrail/gateway/attempt_result.h"

#include "persimmonrail/gateway/forwarder.h"

namespace persimmonrail {

attempt_result notRunResult(std::string reason, int status)
{
    attempt_result result;
    result.reason = std::move(reason);
    result.status = status;
    result.canRetry = isRetryable(result.reason);
    return result;
}

attempt_result toAttemptResult(const delivery_result &delivered, bool canRetry)
{
    attempt_result result;
    result.outcome = delivered.outcome;
    result.reason = delivered.reason;
    result.retryAfter = delivered.retryAfter;
    result.canRetry = canRetry;
    result.responseStarted = delivered.responseStarted;
    result.callerDisconnected = delivered.callerDisconnected;
    return result;
}

} // namespace persimmonrail
