#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace persimmonrail {

// Key of a request, from 0 to lastKey.
using shard_key = uint32_t;
inline constexpr shard_key lastKey = 65535;

// Interval of keys; `first` and `last` both belong to it.
struct key_interval
{
    shard_key first = 0;
    shard_key last = lastKey;

    bool operator==(const key_interval &) const = default;
    uint32_t count() const { return last - first + 1; }
    bool contains(shard_key key) const { return first <= key && key <= last; }
    bool contains(key_interval other) const { return first <= other.first && other.last <= last; }
    bool overlaps(key_interval other) const { return first <= other.last && other.first <= last; }
};

// Returns the keys that are in both intervals; nothing if there are none.
std::optional<key_interval> intersect(key_interval a, key_interval b);
// Returns the parts of `keys` that are in none of the `removed` intervals, in order.
std::vector<key_interval> subtract(key_interval keys, const std::vector<key_interval> &removed);

} // namespace persimmonrail
