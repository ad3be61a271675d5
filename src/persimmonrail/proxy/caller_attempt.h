#pragma once

#include <string_view>

namespace persimmonrail {

// What the caller's daemon knows of the attempts of a request's caller.
enum class caller_attempt {
    // The daemon can't recognize the caller's retries.
    Unknown,
    First,
    // A retry that comes before its announced time.
    EarlyRetry,
    // A retry that comes at or after its announced time, or for which no time was announced.
    DueRetry
};

inline bool isCallerRetry(caller_attempt attempt)
{
    return attempt == caller_attempt::EarlyRetry || attempt == caller_attempt::DueRetry;
}

// Returns the text that stands for the value between daemons; empty for Unknown.
std::string_view toString(caller_attempt attempt);
// Returns Unknown for any other text.
caller_attempt parseCallerAttempt(std::string_view text);

} // namespace persimmonrail
