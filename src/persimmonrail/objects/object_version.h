#pragma once

#include <cstdint>

namespace persimmonrail {

// Versions of objects and revisions of lists that rise across restores of the store. The store's
// own revisions rise with every write, but go back when the store is restored from an older copy,
// and are given out again. The store's epoch, which rises by one with each restore, is therefore
// the high part of a version, and the store's revision the low part.

// Epoch of a store that was never restored. A store that does not report an epoch has epoch 0,
// which means the same.
inline constexpr uint64_t baseEpoch = 1;
inline constexpr int revisionBits = 40;
// Versions stay below 2^53, because JSON numbers are exact only up to there.
inline constexpr uint64_t maxEpoch = (uint64_t{1} << (53 - revisionBits)) - 1;

// `epoch` must not exceed maxEpoch, and `revision` must have at most revisionBits bits.
constexpr uint64_t makeVersion(uint64_t epoch, uint64_t revision)
{
    return epoch << revisionBits | revision;
}
constexpr uint64_t epochOf(uint64_t version)
{
    return version >> revisionBits;
}
constexpr uint64_t revisionOf(uint64_t version)
{
    return version & ((uint64_t{1} << revisionBits) - 1);
}

} // namespace persimmonrail
