#pragma once

#include "persimmonrail/http/delivery_result.h"

#include <string>

namespace persimmonrail {

// Result of one attempt to run a request, or of the whole request.
struct attempt_result
{
    request_outcome outcome = request_outcome::NotRun;
    std::string reason;
    // HTTP status of an error response that persimmonrail creates. If it is 0, the outcome and the
    // reason determine the status.
    int status = 0;
    milliseconds retryAfter{0};
    // Whether the request may run on another instance, or on the same one after a short wait.
    bool canRetry = false;
    // Whether the head of a response was sent, so that no error response can follow.
    bool responseStarted = false;
    bool callerDisconnected = false;
    // Name of the lease holder that a "not-owner" response states; empty if unknown.
    std::string holder;
};

// Returns the result of an attempt that did not run the request. The reason determines whether the
// request may be retried.
attempt_result notRunResult(std::string reason, int status = 0);
// Returns the result of an attempt that passed the request on. Leaves the status of an error
// response to the outcome and the reason.
attempt_result toAttemptResult(const delivery_result &delivered, bool canRetry);

} // namespace persimmonrail
