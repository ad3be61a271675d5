#pragma once

#include "persimmonrail/fleet/upstream_member.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Keys are numbers from 0 to lastKey.
using shard_key = uint32_t;
inline constexpr shard_key lastKey = 65535;

struct key_interval
{
    shard_key first = 0;
    shard_key last = lastKey;

    bool operator==(const key_interval &) const = default;
    uint32_t count() const { return last - first + 1; }
    bool contains(shard_key key) const { return first <= key && key <= last; }
};

// One interval and its recorded owner.
struct owned_range
{
    key_interval keys;
    // Empty while nobody owns the keys.
    upstream_id owner;
    // Increases with each change of the owner, over all ranges of the service.
    uint64_t fence = 0;
    // Given by the previous owner at its release; empty if it gave none.
    std::string handover;
    // Set while a previous owner may still hold the keys. The owner waits this long after it has
    // seen the record, clears the field by a conditional write, and only then takes the keys.
    milliseconds takeOverAfter{0};
    // The owner before a takeover that is not cleared yet; it may take the keys back until then.
    upstream_id previousOwner;

    bool operator==(const owned_range &) const = default;
};

// The recorded owners of all keys of one service; one object of the store, changed only by
// conditional writes.
//
// Invariant: the ranges are in order, without gaps or overlaps, from 0 to lastKey.
struct key_placement
{
    std::string service;
    // Highest fence given out so far.
    uint64_t highestFence = 0;
    std::vector<owned_range> ranges;

    bool operator==(const key_placement &) const = default;
    // The range that holds the key.
    const owned_range &rangeOf(shard_key key) const;
    // Splits ranges so that one of them is exactly `keys`, and returns it.
    owned_range &carve(key_interval keys);
    // Joins neighbours of the same owner, fence and handover.
    void join();
};

// A placement in which nobody owns a key.
key_placement emptyPlacement(std::string service);
// Whether the invariant holds.
bool isWhole(const key_placement &placement);

// JSON in which the ranges are one text of numbers: every daemon reads every change, and a list of
// JSON objects takes many times as long to read.
std::string encodePlacement(const key_placement &placement);
// Errors: InvalidArgument, also if the invariant does not hold.
absl::StatusOr<key_placement> parsePlacement(std::string_view json);

} // namespace persimmonrail
