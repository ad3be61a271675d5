#include "persimmonrail/routing/deadline.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {

absl::StatusOr<deadline> deadline::ofRequest(std::string_view header, milliseconds timeout,
                                             steady_time now)
{
    auto allowed = timeout;
    if (!header.empty()) {
        uint64_t stated = 0;
        if (!absl::SimpleAtoi(toAbsl(header), &stated)) {
            return absl::InvalidArgumentError(
                absl::StrCat("not a number of milliseconds: ", toAbsl(header)));
        }
        // Compared before the conversion, which would overflow for huge values.
        if (stated < static_cast<uint64_t>(allowed.count())) {
            allowed = milliseconds(stated);
        }
    }
    return deadline(now + allowed);
}

milliseconds deadline::remaining(steady_time now) const
{
    return std::max(milliseconds(0), std::chrono::floor<milliseconds>(m_at - now));
}

milliseconds deadline::clamp(milliseconds wanted, steady_time now) const
{
    return std::min(wanted, remaining(now));
}

std::string deadline::headerValue(steady_time now) const
{
    return absl::StrCat(remaining(now).count());
}

} // namespace persimmonrail
