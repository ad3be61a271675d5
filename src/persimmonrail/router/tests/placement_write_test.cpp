#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/router/placement_write.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

const upstream_id a{"a", 1};
const upstream_id b{"b", 1};

stored_object held(const key_placement &placement, uint64_t version)
{
    return {placementKey("s"), version, false, encodePlacement(placement)};
}

} // namespace

// Guards against an owner that takes released keys back while its write, whose answer was lost, may
// still give them to another one.
TEST_CASE("a write without an answer stays open until the record has changed", "[router]")
{
    const key_placement before = assignUnowned(emptyPlacement("s"), {{a, 9}});
    const key_placement after = moveRange(before, {10, 20}, b, "h");
    const key_placement other = moveRange(before, {30, 40}, b, "h");
    const placement_write write{after, 5, "give"};
    const absl::Status lost = absl::UnknownError("no answer");
    const absl::Status conflict = absl::AbortedError("409");
    const absl::Status down = absl::UnavailableError("503");
    const absl::StatusOr<stored_object> unread = absl::UnavailableError("503");
    struct row
    {
        absl::Status status;
        absl::StatusOr<stored_object> readBack;
        write_result expected;
    };
    const std::vector<row> rows = {
        {absl::OkStatus(), unread, write_result::Written},
        {lost, held(after, 6), write_result::Written},
        {lost, held(before, 5), write_result::Open},
        {lost, unread, write_result::Open},
        {lost, held(other, 6), write_result::Lost},
        {conflict, held(other, 6), write_result::Lost},
        {conflict, held(after, 6), write_result::Written},
        {down, held(before, 5), write_result::Undone},
        {down, unread, write_result::Undone},
        {down, held(other, 6), write_result::Lost},
    };
    for (const row &row : rows) {
        CAPTURE(row.status.ToString(), row.readBack.status().ToString());
        CHECK(toString(judgeWrite(row.status, write, row.readBack)) == toString(row.expected));
    }
}
