#pragma once

#include "persimmonrail/fleet/upstream_member.h"
#include "persimmonrail/keyspace/key_interval.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Interval of keys with its recorded owner.
struct owned_range
{
    key_interval keys;
    // Empty if the keys have no owner.
    upstream_id owner;
    // Fencing token. Each change of an owner uses a higher token than all earlier changes of the
    // service.
    uint64_t fence = 0;
    // State transfer token that the previous owner returned when it released the keys; empty if it
    // returned none.
    std::string handover;
    // Not 0 while a previous owner may still hold the keys. The new owner's daemon waits for this
    // time after it first reads the record, clears the field with a conditional write and only then
    // grants the keys.
    milliseconds takeoverDelay{0};
    // Owner before a pending takeover. It may reclaim the keys until the takeover is activated.
    // Empty if the owner before is unknown, since the store was restored from an older copy.
    upstream_id previousOwner;

    bool operator==(const owned_range &) const = default;
    // Returns whether the range was taken over from the record of an older epoch, which a restore
    // of the store may have made incomplete: another upstream may hold the keys. The owner may
    // grant what it holds already, and all else after takeoverDelay.
    bool isCarriedOver() const { return takeoverDelay.count() > 0 && previousOwner == owner; }
};

// Recorded owners of all keys of one service. The store keeps a placement as one object, which is
// changed only by conditional writes.
//
// Invariant: the ranges are in order and cover the keys from 0 to lastKey without gaps or overlaps;
// no fence exceeds highestFence.
struct key_placement
{
    std::string service;
    // Highest fence assigned so far.
    uint64_t highestFence = 0;
    std::vector<owned_range> ranges;

    bool operator==(const key_placement &) const = default;
    // Returns the range that contains the key.
    const owned_range &rangeOf(shard_key key) const;
    // Splits ranges so that one of them is exactly `keys`, and returns that range. Fields other
    // than the keys come from the first range that overlaps `keys`; the caller sets them.
    owned_range &isolateRange(key_interval keys);
    // Merges adjacent ranges that differ in nothing but their keys.
    void mergeAdjacentRanges();
};

// Returns a fence above all that were given out in the epochs of the store before `epoch`, also by
// writes that a restore lost, and below all that are given out in `epoch` or a later one. The base
// epoch begins at 0.
uint64_t firstFence(uint64_t epoch);
// Returns a placement in which no key has an owner.
key_placement emptyPlacement(std::string service);
// Returns whether the invariant of key_placement holds.
bool isValid(const key_placement &placement);

// Encodes a placement as JSON. The ranges are one string of numbers, since every daemon reads every
// change and a list of JSON objects takes many times as long to parse.
std::string encodePlacement(const key_placement &placement);
// Decodes the JSON of encodePlacement().
//
// Errors: InvalidArgument if the JSON is malformed or violates the invariant of key_placement.
absl::StatusOr<key_placement> parsePlacement(std::string_view json);

} // namespace persimmonrail
