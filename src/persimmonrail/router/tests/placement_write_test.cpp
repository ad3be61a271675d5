#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/router/placement_write.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

const upstream_id a{"a", 1};
const upstream_id b{"b", 1};

stored_object storedRecord(const key_placement &placement, uint64_t version)
{
    return {placementKey("s"), version, false, encodePlacement(placement)};
}

} // namespace

// Guards against an owner that serves released keys again while its write, whose response was
// lost, may still record them for another owner.
TEST_CASE("a write without a response is unconfirmed until the record has changed", "[router]")
{
    const key_placement before = assignUnowned(emptyPlacement("s"), {{a, 9}});
    const key_placement after = moveRange(before, {10, 20}, b, "h");
    const key_placement other = moveRange(before, {30, 40}, b, "h");
    const placement_write write{after, 5, "give"};
    const uint64_t restored = makeVersion(baseEpoch + 1, 5);
    const absl::Status noResponse = absl::UnknownError("no response");
    const absl::Status conflict = absl::AbortedError("409");
    const absl::Status unavailable = absl::UnavailableError("503");
    const absl::StatusOr<stored_object> readFailed = absl::UnavailableError("503");
    struct row
    {
        absl::Status status;
        absl::StatusOr<stored_object> readBack;
        write_result expected;
    };
    const std::vector<row> rows = {
        {absl::OkStatus(), readFailed, write_result::Written},
        {noResponse, storedRecord(after, 6), write_result::Written},
        {noResponse, storedRecord(before, 5), write_result::Unconfirmed},
        {noResponse, readFailed, write_result::Unconfirmed},
        {noResponse, storedRecord(other, 6), write_result::Superseded},
        {conflict, storedRecord(other, 6), write_result::Superseded},
        {conflict, storedRecord(after, 6), write_result::Written},
        {unavailable, storedRecord(before, 5), write_result::NotApplied},
        {unavailable, readFailed, write_result::NotApplied},
        {unavailable, storedRecord(other, 6), write_result::Superseded},
        // What the restored store holds says nothing about the writes that it lost.
        {noResponse, storedRecord(before, restored), write_result::EpochEnded},
        {noResponse, storedRecord(after, restored), write_result::EpochEnded},
        {conflict, storedRecord(other, restored), write_result::EpochEnded},
        {conflict, readFailed, write_result::NotApplied},
        {absl::OkStatus(), storedRecord(after, restored), write_result::EpochEnded},
    };
    for (const row &row : rows) {
        CAPTURE(row.status.ToString(), row.readBack.status().ToString());
        CHECK(toString(classifyWrite(row.status, write, row.readBack)) == toString(row.expected));
    }
}
