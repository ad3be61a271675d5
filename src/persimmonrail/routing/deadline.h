#pragma once

#include "persimmonrail/base/clock.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace persimmonrail {

// Time after which the response to a request is of no use to the caller. Immutable value.
class deadline
{
public:
    explicit deadline(steady_time at)
        : m_at(at)
    { }

    // Returns the deadline of a request received at `now`. The request may take the operation's
    // timeout or, if less, the remaining time that the caller states in `header`, the value of
    // Persimmonrail-Deadline-Ms (empty if absent).
    //
    // Errors: InvalidArgument if the value is not a number of milliseconds.
    static absl::StatusOr<deadline> forRequest(std::string_view header, milliseconds timeout,
                                               steady_time now);

    steady_time at() const { return m_at; }
    // Returns the time left at `now`, rounded down; 0 once the deadline has passed.
    milliseconds remaining(steady_time now) const;
    bool isExpired(steady_time now) const { return now >= m_at; }
    // Returns whether a step of this duration that starts at `now` ends before the deadline.
    bool hasTimeFor(milliseconds step, steady_time now) const { return now + step < m_at; }
    // Returns `duration`, limited to the remaining time.
    milliseconds clamp(milliseconds duration, steady_time now) const;
    // Returns the value of Persimmonrail-Deadline-Ms for the next hop, rounded down.
    std::string headerValue(steady_time now) const;

private:
    steady_time m_at;
};

} // namespace persimmonrail
