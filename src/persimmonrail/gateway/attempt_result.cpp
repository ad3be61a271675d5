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

} // namespace persimmonrail
