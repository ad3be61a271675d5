#include "test_placements.h"

#include "persimmonrail/keyspace/placement_batch.h"
#include "persimmonrail/objects/object_version.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

owner_change changeOf(const key_placement &placement, const upstream_id &owner, key_interval keys,
                      const upstream_id &target)
{
    return {owner, baseEpoch, {{keys, fenceOf(placement, keys.first), target, "h"}}};
}

} // namespace

// Guards against a change that moves keys which the owner has granted again, or which another
// upstream holds: the writer may apply a change late, or after the owner has written it itself.
TEST_CASE("a change has an effect only on keys that are recorded under the released fence",
          "[keyspace]")
{
    const key_placement before = twoOwners();
    const owner_change change = changeOf(before, a, {100, 199}, c);
    const key_placement moved = applyChange(before, change);
    REQUIRE(moved.rangeOf(100).owner == c);
    REQUIRE(moved.rangeOf(100).handover == "h");
    struct row
    {
        std::string name;
        key_placement current;
    };
    const std::vector<row> rows = {
        {"applied before", moved},
        {"the owner renewed its fences", renewFences(before, a, before.highestFence)},
        {"withdrawn by the owner", withdrawChange(before, change)},
        {"moved on by the target", moveRange(moved, {100, 199}, b, "")},
        {"returned to the owner", moveRange(moved, {100, 199}, a, "")},
        {"some of the keys moved", moveRange(before, {150, 150}, b, "")},
        {"taken over",
         reassignLost(
             before, [](const auto &id) { return id == a; }, {{b, 1}}, 10s)},
        {"taken over and reclaimed",
         reclaimRanges(reassignLost(
                           before, [](const auto &id) { return id == a; }, {{b, 1}}, 10s),
                       a)},
        {"carried into a new epoch", carryIntoEpoch(before, 2, 10s)},
    };
    for (const row &row : rows) {
        CAPTURE(row.name);
        CHECK(isSettled(row.current, change));
        CHECK(applyChange(row.current, change) == row.current);
        CHECK(withdrawChange(row.current, change) == row.current);
    }
    CHECK_FALSE(isSettled(before, change));
}

// Guards against changes of several owners that undo each other, or that share a fence (G2).
TEST_CASE("changes of several owners are applied together, each with its own fence", "[keyspace]")
{
    const key_placement before = twoOwners();
    const owner_change first = changeOf(before, a, {100, 199}, c);
    const owner_change second = changeOf(before, b, {40000, 40999}, c);
    // An owner that does not own the keys any more, as after a takeover.
    owner_change stranger = changeOf(before, a, {150, 249}, b);
    stranger.owner = c;
    const auto after = applyChanges(before, baseEpoch, {first, stranger, second, first});
    REQUIRE(after);
    CHECK(isValid(*after));
    CHECK(after->rangeOf(150).owner == c);
    CHECK(after->rangeOf(40500).owner == c);
    CHECK(after->rangeOf(220).owner == a);
    CHECK(fenceOf(*after, 100) != fenceOf(*after, 40000));
    CHECK(after->highestFence == before.highestFence + 2);
    CHECK_FALSE(applyChanges(*after, baseEpoch, {second, first, stranger}));
    CHECK_FALSE(applyChanges(before, 2, {first, second}));
}

// Guards against an owner that grants withdrawn keys under the fence of their release.
TEST_CASE("withdrawn keys stay with their owner under a new fence", "[keyspace]")
{
    const key_placement before = twoOwners();
    owner_change change = changeOf(before, a, {100, 199}, c);
    change.moves.push_back({{300, 399}, fenceOf(before, 300), b, ""});
    const key_placement kept = withdrawChange(before, change);
    CHECK(isValid(kept));
    for (const shard_key key : {100, 199, 300, 399}) {
        CHECK(kept.rangeOf(key).owner == a);
        CHECK(fenceOf(kept, key) > before.highestFence);
    }
    CHECK(fenceOf(kept, 250) == fenceOf(before, 250));
}

// Guards against a message that a daemon of another release, or a broken peer, makes harmful.
TEST_CASE("messages about changes are decoded strictly, but for unknown members", "[keyspace]")
{
    const change_request request{
        "haulbook", changeOf(twoOwners(), a, {0, lastKey / 2}, c), {7, 123456ms}};
    const std::string text = encodeChangeRequest(request);
    const auto parsed = parseChangeRequest(text);
    REQUIRE(parsed.ok());
    CHECK(parsed->service == request.service);
    CHECK(parsed->change == request.change);
    CHECK(parsed->ticket == request.ticket);
    CHECK(parseChangeRequest(R"({"later":[1],)" + text.substr(1)).ok());
    CHECK(*parseTicket(encodeTicket({9, 5ms})) == writer_ticket{9, 5ms});
    const auto replaced = [&](const std::string &part, const std::string &by) {
        std::string changed = text;
        changed.replace(changed.find(part), part.size(), by);
        return changed;
    };
    change_request large = request;
    large.change.moves.resize(maxChangeMoves + 1, large.change.moves[0]);
    for (const std::string &malformed :
         {std::string("?"), std::string("{}"), replaced("\"last\":32767", "\"last\":65536"),
          replaced("\"first\":0", "\"first\":32768"), replaced("\"name\":\"a\"", "\"name\":\"\""),
          replaced("\"ticket\"", "\"tickets\""), encodeChangeRequest({"s", {a, 1, {}}, {}}),
          encodeChangeRequest(large), std::string(maxChangeBytes + 1, ' ')}) {
        CAPTURE(malformed.substr(0, 300));
        CHECK(absl::IsInvalidArgument(parseChangeRequest(malformed).status()));
    }
    for (const change_outcome outcome :
         {change_outcome::Recorded, change_outcome::NotApplied, change_outcome::Unknown}) {
        const auto response = parseChangeResponse(encodeChangeResponse({outcome, 12}));
        REQUIRE(response.ok());
        CHECK(response->outcome == outcome);
        CHECK(response->version == 12);
    }
    CHECK_FALSE(parseChangeResponse(R"({"outcome":"later"})").ok());
}

// Guards against a daemon that grants keys which the process before it has passed to a writer: a
// read of the record counts only once no record can be computed with that change any more.
TEST_CASE("a daemon that starts waits until changes of the process before have expired",
          "[keyspace]")
{
    range_lease_timing timing;
    timing.sentMoveLifetime = 330ms;
    range_lease_manager leases(timing);
    leases.setUpstream(a);
    leases.recordDaemonStart(start);
    key_placement placement = twoOwners();
    CHECK_FALSE(leases.isFirstReadDue(start + 329ms));
    leases.onPlacement(placement, start + 329ms, start + 340ms);
    CHECK_FALSE(leases.areFencesKnown());
    placement = moveRange(placement, {40000, 40000}, c, "");
    leases.onPlacement(placement, start + 329ms, start + 340ms);
    CHECK(leases.dueGrants(start + 340ms).empty());
    CHECK(leases.isFirstReadDue(start + 330ms));
    leases.onPlacement(placement, start + 330ms, start + 340ms);
    CHECK(leases.areFencesKnown());
    CHECK(leases.dueGrants(start + 340ms).empty());
    leases.onPlacement(moveRange(placement, {40001, 40001}, c, ""), start + 400ms, start + 400ms);
    CHECK_FALSE(leases.dueGrants(start + 400ms).empty());
}
