#include "persimmonrail/keyspace/key_interval.h"

#include <algorithm>

namespace persimmonrail {

std::optional<key_interval> intersect(key_interval a, key_interval b)
{
    if (!a.overlaps(b)) {
        return std::nullopt;
    }
    return key_interval{std::max(a.first, b.first), std::min(a.last, b.last)};
}

std::vector<key_interval> subtract(key_interval keys, const std::vector<key_interval> &removed)
{
    std::vector<key_interval> remaining{keys};
    for (const key_interval &other : removed) {
        std::vector<key_interval> uncovered;
        for (const key_interval &part : remaining) {
            if (!part.overlaps(other)) {
                uncovered.push_back(part);
                continue;
            }
            if (part.first < other.first) {
                uncovered.push_back({part.first, other.first - 1});
            }
            if (other.last < part.last) {
                uncovered.push_back({other.last + 1, part.last});
            }
        }
        remaining = std::move(uncovered);
    }
    return remaining;
}

} // namespace persimmonrail
