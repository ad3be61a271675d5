#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonrail {

// A range of key hashes from `first` to `last`, both inclusive.
struct hash_range
{
    uint64_t first = 0;
    uint64_t last = 0;

    bool operator==(const hash_range &) const = default;
    bool contains(uint64_t hash) const { return first <= hash && hash <= last; }
    bool isSingleKey() const { return first == last; }
};

// Returns the 64-bit hash that determines the partition of a key: FNV-1a, followed by a finalizer
// that spreads short, similar keys over the whole hash space. The function must never change,
// because stored placement records contain hashes.
uint64_t keyHash(std::string_view key);

// Returns the weight of `member` for `subject` in rendezvous hashing, which selects the member with
// the highest weight. `subject` names the role for which a member is chosen, or another purpose of
// the choice.
uint64_t rendezvousWeight(std::string_view member, std::string_view subject);

// Returns the hash as 16 hexadecimal digits, as logs, headers and JSON texts contain it.
std::string hashToString(uint64_t hash);

} // namespace persimmonrail
