// Tests of placements and leases when the store's epoch changes.
#include "test_placements.h"

#include "persimmonrail/keyspace/placement_proposal.h"
#include "persimmonrail/objects/object_version.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t newEpoch = 2;

// A daemon of the given upstream that holds the upstream's keys of twoOwners() since `start`.
range_lease_manager holderOf(const upstream_id &upstream)
{
    range_lease_manager manager;
    manager.setUpstream(upstream);
    manager.onEpoch(baseEpoch, start);
    manager.onPlacement(twoOwners(), start, start);
    for (const range_grant &grant : manager.dueGrants(start)) {
        manager.onGranted(grant, start);
    }
    return manager;
}

key_placement carriedOver(const key_placement &inherited)
{
    return carryIntoEpoch(inherited, newEpoch, range_lease_timing().takeoverDelay());
}

} // namespace

TEST_CASE("fences of a new epoch are above all of the epochs before", "[keyspace]")
{
    CHECK(firstFence(0) == 0);
    CHECK(firstFence(baseEpoch) == 0);
    CHECK(firstFence(newEpoch) > 1'000'000'000);
    CHECK(firstFence(newEpoch + 1) > firstFence(newEpoch) + 1'000'000'000);
    // The bits of the highest fence do not exceed those that a JSON number holds exactly.
    CHECK(firstFence(maxEpoch + 1) < uint64_t{1} << 53);
}

// Guards against a fence that is given out twice, and against a previous owner of a lost takeover
// that reclaims keys which another upstream holds.
TEST_CASE("the first placement of an epoch carries over all ranges", "[keyspace]")
{
    const milliseconds delay = range_lease_timing().takeoverDelay();
    const key_placement pending = reassignLost(
        twoOwners(), [](const upstream_id &id) { return id == a; }, {{c, 9}}, delay);
    const key_placement inherited = GENERATE_COPY(twoOwners(), pending, emptyPlacement("haulbook"));
    const key_placement carried = carriedOver(inherited);
    REQUIRE(isValid(carried));
    REQUIRE(carried.ranges.size() == inherited.ranges.size());
    for (size_t i = 0; i < carried.ranges.size(); ++i) {
        CHECK(carried.ranges[i].owner == inherited.ranges[i].owner);
        CHECK(carried.ranges[i].fence > firstFence(newEpoch));
        CHECK(carried.ranges[i].isCarriedOver());
        CHECK(carried.ranges[i].takeoverDelay == delay);
    }
    CHECK(reclaimRanges(carried, a) == carried);
    const auto parsed = parsePlacement(encodePlacement(carried));
    REQUIRE(parsed.ok());
    CHECK(*parsed == carried);
    for (const owned_range &range : clearCarriedOver(carried).ranges) {
        CHECK(range.takeoverDelay == 0ms);
    }
}

// Guards against two holders of a key: the restored copy may be older than the first assignment,
// or than the assignment to an owner that is lost now.
TEST_CASE("carried-over keys that get another owner keep their wait", "[keyspace]")
{
    const milliseconds delay = range_lease_timing().takeoverDelay();
    const key_placement assigned =
        assignUnowned(carriedOver(emptyPlacement("haulbook")), {{a, 9}, {b, 9}});
    for (const owned_range &range : assigned.ranges) {
        CHECK(range.isCarriedOver());
        CHECK(range.takeoverDelay == delay);
    }
    const key_placement reassigned = reassignLost(
        assigned, [](const upstream_id &id) { return id == a; }, {{c, 9}}, 0ms);
    const owned_range &range = reassigned.rangeOf(5);
    CHECK(range.owner == c);
    CHECK(range.takeoverDelay == delay);
    // Its owner before is not known to have held it, and the wait begins anew.
    CHECK(reclaimRanges(reassigned, a) == reassigned);
    CHECK_FALSE(range.isCarriedOver());
    CHECK(clearCarriedOver(reassigned).rangeOf(5).takeoverDelay == delay);
}

// Guards against an interruption for all keys after a restore, and against a grant of keys that
// another upstream may hold.
TEST_CASE("an owner goes on with what it holds when the epoch changes", "[keyspace]")
{
    range_lease_manager manager = holderOf(a);
    const boot_time seenAt = start + 1s;
    manager.onEpoch(newEpoch, seenAt);
    CHECK(manager.canServe(5, seenAt));
    // The restored copy also gives the upstream keys that it does not hold.
    const key_placement placement = carriedOver(moveRange(twoOwners(), {40000, 50000}, a, ""));
    const uint64_t oldFence = fenceOf(twoOwners(), 5);
    manager.onPlacement(placement, seenAt, seenAt);
    CHECK(manager.canServe(5, seenAt));
    CHECK_FALSE(manager.canServe(45000, seenAt));
    CHECK(manager.dueReleases(seenAt).empty());
    CHECK_FALSE(manager.canMove({0, 10}, seenAt));
    const auto due = manager.dueGrants(seenAt);
    REQUIRE(due.size() == 1);
    CHECK(due[0].keys == key_interval{0, 32767});
    CHECK(due[0].fence == fenceOf(placement, 5));
    CHECK(manager.canSend(due[0], seenAt));
    CHECK_FALSE(manager.canSend({due[0].keys, oldFence, ""}, seenAt));
    CHECK_FALSE(manager.canSend({{40000, 50000}, fenceOf(placement, 45000), ""}, seenAt));
    manager.onGranted(due[0], seenAt);
    CHECK(manager.canServe(5, seenAt));
    CHECK(manager.canMove({0, 10}, seenAt));
    CHECK(manager.dueGrants(seenAt).empty());
    SECTION("a grant that has ended is not made again")
    {
        const boot_time endedAt = seenAt + range_lease_timing().holdTime;
        CHECK(manager.dueGrants(endedAt - 1ms).size() == 1);
        CHECK(manager.dueGrants(endedAt).empty());
        CHECK_FALSE(manager.canSend(due[0], endedAt));
    }
    SECTION("all is granted once older grants have ended")
    {
        const boot_time settledAt = seenAt + range_lease_timing().takeoverDelay();
        CHECK_FALSE(manager.isCarryOverEnded(settledAt - 1ms));
        CHECK(manager.isCarryOverEnded(settledAt));
        CHECK(manager.dueTakeovers(settledAt).empty());
        manager.onPlacement(clearCarriedOver(placement), settledAt, settledAt);
        CHECK(manager.dueGrants(settledAt).size() == 2);
        CHECK_FALSE(manager.isCarryOverEnded(settledAt));
    }
}

TEST_CASE("a daemon that started after a restore grants no carried-over keys", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onEpoch(newEpoch, start);
    const key_placement placement = carriedOver(twoOwners());
    manager.onPlacement(placement, start, start);
    CHECK(manager.dueGrants(start).empty());
    CHECK_FALSE(manager.canSend({{0, 32767}, fenceOf(placement, 5), ""}, start));
}

// Guards against two holders, and keys without a holder, after a restore to a copy from before a
// move: the earlier owner is recorded again, and the present one still holds the keys.
TEST_CASE("the holder reclaims keys whose move to it was lost", "[keyspace]")
{
    range_lease_manager manager = holderOf(b);
    const boot_time seenAt = start + 1s;
    manager.onEpoch(newEpoch, seenAt);
    const key_placement copy = moveRange(twoOwners(), {40000, 50000}, a, "");
    const key_placement placement = carriedOver(copy);
    manager.onPlacement(placement, seenAt, seenAt);
    CHECK(manager.reclaimableKeys(seenAt) == std::vector<key_interval>{{40000, 50000}});
    CHECK_FALSE(manager.canServe(45000, seenAt));
    CHECK(manager.dueReleases(seenAt).empty());
    const key_placement reclaimed = reclaimHeld(placement, b, manager.reclaimableKeys(seenAt));
    REQUIRE(isValid(reclaimed));
    const owned_range &range = reclaimed.rangeOf(45000);
    CHECK(range.keys == key_interval{40000, 50000});
    CHECK(range.owner == b);
    CHECK(range.takeoverDelay == 0ms);
    CHECK(range.fence > placement.highestFence);
    manager.onPlacement(reclaimed, seenAt, seenAt);
    CHECK(manager.reclaimableKeys(seenAt).empty());
    for (const range_grant &grant : manager.dueGrants(seenAt)) {
        manager.onGranted(grant, seenAt);
    }
    CHECK(manager.canServe(45000, seenAt));
    CHECK(manager.canServe(60000, seenAt));
}

// Guards against a holder whose grants have ended and that takes the keys from the next owner.
TEST_CASE("only grants in force can be reclaimed", "[keyspace]")
{
    range_lease_manager manager = holderOf(b);
    const boot_time endedAt = start + range_lease_timing().holdTime;
    manager.onEpoch(newEpoch, endedAt);
    manager.onPlacement(carriedOver(moveRange(twoOwners(), {40000, 50000}, a, "")), endedAt,
                        endedAt);
    CHECK(manager.reclaimableKeys(endedAt).empty());
    CHECK(manager.reclaimableKeys(endedAt - 1ms).size() == 1);
}

// Guards against two holders: the old record gave the released keys to another upstream, but the
// daemon can't see that any more and would go on under its lease.
TEST_CASE("released keys are not granted again under the placement of an ended epoch", "[keyspace]")
{
    range_lease_manager manager = holderOf(a);
    manager.setMoving({{100, 199}});
    manager.onReleased({100, 199}, fenceOf(twoOwners(), 100));
    manager.onEpoch(newEpoch, start + 1s);
    manager.abandon({{100, 199}});
    manager.setMoving({});
    std::vector<key_interval> renewed;
    for (const range_grant &grant : manager.dueGrants(start + 1s)) {
        renewed.push_back(grant.keys);
    }
    CHECK(renewed == std::vector<key_interval>{{0, 99}, {200, 32767}});
    CHECK_FALSE(manager.canSend({{100, 199}, fenceOf(twoOwners(), 100), ""}, start + 1s));
    // They wait under the placement of the new epoch.
    manager.onPlacement(carriedOver(twoOwners()), start + 1s, start + 1s);
    CHECK_FALSE(manager.canServe(150, start + 1s));
    for (const range_grant &grant : manager.dueGrants(start + 1s)) {
        CHECK_FALSE(grant.keys.contains(150));
    }
}

// Guards against two holders: keys that were released under a record that a restore replaced may
// have another holder.
TEST_CASE("a move writes only keys that were released under the recorded fence", "[keyspace]")
{
    const key_placement before = twoOwners();
    const uint64_t fence = fenceOf(before, 5);
    CHECK(ownedKeys(moveReleasedRange(before, {0, 99}, a, fence, b, "h"), b) == 32768 + 100);
    CHECK(moveReleasedRange(before, {0, 99}, b, fence, c, "h") == before);
    CHECK(moveReleasedRange(before, {0, 40000}, a, fence, b, "h") == before);
    const key_placement carried = carriedOver(before);
    CHECK(moveReleasedRange(carried, {0, 99}, a, fence, b, "h") == carried);
    const key_placement moved = moveReleasedRange(carried, {0, 99}, a, fenceOf(carried, 5), b, "h");
    CHECK(moved.rangeOf(5).owner == b);
    CHECK(moved.rangeOf(5).takeoverDelay == 0ms);
}

namespace {

proposal_input inputOf(const upstream_id &self, const key_placement *record, uint64_t recordEpoch)
{
    proposal_input input;
    input.service = "haulbook";
    input.epoch = newEpoch;
    input.record = record;
    input.recordEpoch = recordEpoch;
    input.upstream = self;
    input.areMembersStable = true;
    input.live = {{a, 9}, {b, 9}};
    input.isTerminated = [](const upstream_id &) { return false; };
    input.takeoverDelay = range_lease_timing().takeoverDelay();
    return input;
}

} // namespace

// Guards against a first record of an epoch that lacks what this daemon knew before the restore.
TEST_CASE("the first record of an epoch comes from the newest known one", "[keyspace]")
{
    const key_placement older = emptyPlacement("haulbook");
    const key_placement newer = moveRange(twoOwners(), {0, 99}, b, "");
    range_lease_manager manager = holderOf(a);
    manager.onEpoch(newEpoch, start);
    struct row
    {
        const key_placement *record;
        key_placement expected;
    };
    const std::vector<row> rows = {{nullptr, twoOwners()}, {&older, twoOwners()}, {&newer, newer}};
    const auto [record, expected] = rows[GENERATE(0U, 1U, 2U)];
    proposal_input input = inputOf(a, record, baseEpoch);
    CHECK(isInherited(input));
    CHECK_FALSE(proposeChange(input, manager, start));
    input.isCoordinator = true;
    const auto byCoordinator = proposeChange(input, manager, start);
    REQUIRE(byCoordinator);
    CHECK(byCoordinator->change(emptyPlacement("haulbook")) == carriedOver(expected));
    // Another daemon was faster.
    CHECK_FALSE(byCoordinator->change(carriedOver(newer)));
    input.isCoordinator = false;
    CHECK(proposeChange(input, manager, start + 1s));
    input.upstream.reset();
    CHECK_FALSE(proposeChange(input, manager, start + 1s));
}

TEST_CASE("the marks of carried-over ranges are cleared once older grants have ended", "[keyspace]")
{
    range_lease_manager manager = holderOf(a);
    manager.onEpoch(newEpoch, start);
    const key_placement record = carriedOver(twoOwners());
    manager.onPlacement(record, start, start);
    proposal_input input = inputOf(a, &record, newEpoch);
    CHECK_FALSE(isInherited(input));
    input.isCoordinator = true;
    CHECK_FALSE(proposeChange(input, manager, start + input.takeoverDelay - 1ms));
    const auto change = proposeChange(input, manager, start + input.takeoverDelay);
    REQUIRE(change);
    CHECK(change->change(record) == clearCarriedOver(record));
}
