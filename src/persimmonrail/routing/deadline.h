#pragma once

#include "persimmonrail/base/clock.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace persimmonrail {

// The moment after which a request's answer is of no use to its caller. Immutable value.
class deadline
{
public:
    explicit deadline(steady_time at)
        : m_at(at)
    { }

    // Deadline of a request received at `now`: the operation's timeout, or the remaining time that
    // the caller states (the value of Persimmonrail-Deadline-Ms, empty if absent) if that is less.
    // Errors: InvalidArgument if the value is not a number of milliseconds.
    static absl::StatusOr<deadline> ofRequest(std::string_view header, milliseconds timeout,
                                              steady_time now);

    steady_time at() const { return m_at; }
    // Never negative.
    milliseconds remaining(steady_time now) const;
    bool isExpired(steady_time now) const { return now >= m_at; }
    // Whether a step that takes this long ends before the deadline.
    bool allows(milliseconds step, steady_time now) const { return now + step < m_at; }
    // The lesser of `wanted` and the remaining time.
    milliseconds clamp(milliseconds wanted, steady_time now) const;
    // Value of Persimmonrail-Deadline-Ms for the next hop, rounded down.
    std::string headerValue(steady_time now) const;

private:
    steady_time m_at;
};

} // namespace persimmonrail
