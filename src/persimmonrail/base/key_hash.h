#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonrail {

// A set of key hashes, both ends included.
struct hash_range
{
    uint64_t first = 0;
    uint64_t last = 0;

    bool operator==(const hash_range &) const = default;
    bool contains(uint64_t hash) const { return first <= hash && hash <= last; }
    bool isSingleKey() const { return first == last; }
};

// Hashes a key to the 64-bit space that partitions divide: FNV-1a followed by a finalizer that
// spreads short, similar keys over the whole space. Stored records depend on it, so the function
// must never change.
uint64_t keyHash(std::string_view key);

// Weight of `member` for `subject` in rendezvous hashing; the member with the highest one is
// chosen.
uint64_t rendezvousWeight(std::string_view member, std::string_view subject);

// Returns the hash as 16 hexadecimal digits, the form used in logs and headers.
std::string hashToString(uint64_t hash);

} // namespace persimmonrail
