#include "persimmonrail/base/key_hash.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

constexpr uint64_t fnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr uint64_t fnvPrime = 0x100000001b3ULL;

uint64_t fnv1a(std::string_view bytes, uint64_t state)
{
    for (const char c : bytes) {
        state ^= static_cast<unsigned char>(c);
        state *= fnvPrime;
    }
    return state;
}

// The 64-bit finalizer of MurmurHash3.
uint64_t finalize(uint64_t value)
{
    value ^= value >> 33;
    value *= 0xff51afd7ed558ccdULL;
    value ^= value >> 33;
    value *= 0xc4ceb9fe1a85ec53ULL;
    value ^= value >> 33;
    return value;
}

} // namespace

uint64_t keyHash(std::string_view key)
{
    return finalize(fnv1a(key, fnvOffsetBasis));
}

uint64_t rendezvousWeight(std::string_view member, std::string_view subject)
{
    uint64_t state = fnv1a(member, fnvOffsetBasis);
    // The separator is a byte that no name contains, so that ("ab", "c") and ("a", "bc") are hashed
    // differently.
    state = fnv1a(std::string_view("\0", 1), state);
    return finalize(fnv1a(subject, state));
}

std::string hashToString(uint64_t hash)
{
    return absl::StrCat(absl::Hex(hash, absl::kZeroPad16));
}

} // namespace persimmonrail
