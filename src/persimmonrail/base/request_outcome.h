#pragma once

#include <string_view>

namespace persimmonrail {

// What is known about a request when the caller gets its answer.
enum class request_outcome {
    // An upstream answered the request and the answer is whole.
    Run,
    // No upstream ran the request, and none will.
    NotRun,
    // The request was handed to an upstream, and no whole answer came back.
    Unknown,
};

// Returns "run", "not-run" or "unknown", the values of the header Persimmonrail-Outcome.
std::string_view toString(request_outcome outcome);

} // namespace persimmonrail
