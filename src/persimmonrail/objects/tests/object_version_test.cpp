#include "persimmonrail/objects/object_version.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against versions that fall, or are equal for two writes, when a restored store gives its
// revisions out again.
TEST_CASE("versions rise across restores of the store", "[objects]")
{
    constexpr uint64_t lastRevision = (uint64_t{1} << revisionBits) - 1;
    CHECK(makeVersion(0, 7) == 7);
    CHECK(makeVersion(2, 1) > makeVersion(baseEpoch, lastRevision));
    CHECK(makeVersion(3, 7) > makeVersion(2, 7));
    CHECK(makeVersion(maxEpoch, lastRevision) < uint64_t{1} << 53);
    const auto [epoch, revision] = GENERATE_REF(table<uint64_t, uint64_t>({
        {0, 0},
        {1, 7},
        {2, lastRevision},
        {maxEpoch, lastRevision},
    }));
    CHECK(epochOf(makeVersion(epoch, revision)) == epoch);
    CHECK(revisionOf(makeVersion(epoch, revision)) == revision);
}
