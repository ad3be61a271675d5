#include "persimmonrail/routing/deadline.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {

absl::StatusOr<deadline> deadline::forRequest(std::string_view header, milliseconds timeout,
                                              steady_time now)
{
    auto remainingTime = timeout;
    if (!header.empty()) {
        uint64_t stated = 0;
        if (!absl::SimpleAtoi(toAbsl(header), &stated)) {
            return absl::InvalidArgumentError(
                absl::StrCat("deadline is not a number of milliseconds: ", toAbsl(header)));
        }
        // The comparison precedes the conversion to milliseconds, which overflows for huge values.
        if (stated < static_cast<uint64_t>(remainingTime.count())) {
            remainingTime = milliseconds(stated);
        }
    }
    return deadline(now + remainingTime);
}

milliseconds deadline::remaining(steady_time now) const
{
    return std::max(milliseconds(0), std::chrono::floor<milliseconds>(m_at - now));
}

milliseconds deadline::clamp(milliseconds duration, steady_time now) const
{
    return std::min(duration, remaining(now));
}

std::string deadline::headerValue(steady_time now) const
{
    return absl::StrCat(remaining(now).count());
}

} // namespace persimmonrail
