#pragma once

#include <string_view>

namespace persimmonrail {

// Whether a request ran, as the response tells the caller.
enum class request_outcome {
    // An upstream responded to the request, and the response is complete.
    Run,
    // No upstream has run the request, and none will run the request later.
    NotRun,
    // The request was dispatched to an upstream, but no complete response arrived.
    Unknown,
};

// Returns "run", "not-run" or "unknown", the values of the header Persimmonrail-Outcome.
std::string_view toString(request_outcome outcome);

} // namespace persimmonrail
