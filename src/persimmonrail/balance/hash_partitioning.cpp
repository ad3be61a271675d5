#include "persimmonrail/balance/hash_partitioning.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

#include <limits>

namespace persimmonrail {

std::vector<hash_range> divideHashSpace(size_t count)
{
    std::vector<hash_range> ranges;
    ranges.reserve(count);
    constexpr uint64_t lastHash = std::numeric_limits<uint64_t>::max();
    if (count == 0) {
        return ranges;
    }
    const uint64_t width = lastHash / count;
    // The first `remainder` ranges are one hash larger than the others.
    const uint64_t remainder = lastHash % count + 1;
    uint64_t first = 0;
    for (size_t i = 0; i < count; ++i) {
        const uint64_t last = i + 1 == count ? lastHash : first + width - (i < remainder ? 0 : 1);
        ranges.push_back({first, last});
        first = last + 1;
    }
    return ranges;
}

std::string partitionName(std::string_view service, const hash_range &range)
{
    return absl::StrCat(toAbsl(service), "/", hashToString(range.first));
}

} // namespace persimmonrail
