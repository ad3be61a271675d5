#include "test_placements.h"

#include "persimmonrail/keyspace/grant_fence.h"
#include "persimmonrail/keyspace/placement_proposal.h"
#include "persimmonrail/objects/object_version.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Returns the fences of the owner's ranges.
std::vector<uint64_t> fencesOf(const key_placement &placement, const upstream_id &owner)
{
    std::vector<uint64_t> fences;
    for (const owned_range &range : placement.ranges) {
        if (range.owner == owner) {
            fences.push_back(range.fence);
        }
    }
    return fences;
}

} // namespace

TEST_CASE("the first assignment is proportional to the slots", "[keyspace]")
{
    const key_placement placement =
        assignUnowned(emptyPlacement("haulbook"), {{b, 9}, {a, 18}, {c, 9}});
    CHECK(isValid(placement));
    CHECK(ownedKeys(placement, a) == 32768);
    CHECK(ownedKeys(placement, b) == 16384);
    CHECK(ownedKeys(placement, c) == 16384);
}

TEST_CASE("an encoded placement decodes to the same values", "[keyspace]")
{
    key_placement placement = moveRange(twoOwners(), {100, 200}, b, "token");
    placement = reassignLost(
        placement, [](const upstream_id &id) { return id == a; }, {{b, 9}, {c, 9}}, 10s);
    const auto parsed = parsePlacement(encodePlacement(placement));
    REQUIRE(parsed.ok());
    CHECK(*parsed == placement);
}

// Guards against a record of another writer whose gaps or overlaps leave a key without an owner or
// give the key two owners.
TEST_CASE("a malformed or incomplete placement is rejected", "[keyspace]")
{
    const auto parse = [](const std::string &ranges) {
        return parsePlacement(R"({"service":"s","highest_fence":2,"texts":["a/1","b/1","a"],)"
                              R"("ranges":)"
                              + ranges + "}");
    };
    CHECK(parse(R"("9,0,1,-1,0,-1;65535,1,2,-1,0,-1")").ok());
    const std::string ranges = GENERATE(
        // Ranges that do not cover all keys.
        R"("")", R"("65534,0,1,-1,0,-1")", R"("9,0,1,-1,0,-1")",
        // Ranges that are out of order, above the last key or below the first key.
        R"("9,0,1,-1,0,-1;8,1,2,-1,0,-1;65535,1,2,-1,0,-1")", R"("65536,0,1,-1,0,-1")",
        R"("9,0,1,-1,0,-1;9,1,2,-1,0,-1;65535,1,2,-1,0,-1")", R"("-1,0,1,-1,0,-1")",
        // A fence above the highest fence, and a negative fence.
        R"("65535,0,3,-1,0,-1")", R"("65535,0,-1,-1,0,-1")",
        // References to missing texts, and a text that is not an upstream ID.
        R"("65535,3,1,-1,0,-1")", R"("65535,-2,1,-1,0,-1")", R"("65535,2,1,-1,0,-1")",
        R"("65535,0,1,7,0,-1")", R"("65535,0,1,-1,0,7")",
        // Wrong numbers of fields, a negative delay, a field that is not a number, and JSON of
        // another type.
        R"("65535,0,1,-1,0")", R"("65535,0,1,-1,0,-1,0")", R"("65535,0,1,-1,-5,-1")",
        R"("x,0,1,-1,0,-1")", R"("65535,0,1,-1,0,-1;")", "[1]", "7", "null");
    CHECK_FALSE(parse(ranges).ok());
}

TEST_CASE("names and handover tokens may contain separators and quotes", "[keyspace]")
{
    const upstream_id withSeparators{"a;b,\"c\"/7", 5};
    const std::string handover = "x;y,z \"\\/1";
    const auto placement = moveRange(twoOwners(), {7, 9}, withSeparators, handover);
    const auto parsed = parsePlacement(encodePlacement(placement));
    REQUIRE(parsed.ok());
    CHECK(*parsed == placement);
}

// Guards against changes that break the order of the ranges or reuse a fence.
TEST_CASE("random changes keep placements valid and assign new owners higher fences", "[keyspace]")
{
    std::mt19937 random(GENERATE(range(1U, 20U)));
    key_placement placement = twoOwners();
    const std::vector<upstream_id> ids{a, b, c};
    for (int step = 0; step < 60; ++step) {
        const auto first = static_cast<shard_key>(random() % (lastKey + 1));
        const owned_range range = placement.rangeOf(first);
        const shard_key last = first + random() % (range.keys.last - first + 1);
        const key_placement before = placement;
        if (random() % 5 == 0) {
            const upstream_id &lost = ids[random() % 3];
            const upstream_id &newOwner = ids[(random() % 3)];
            placement = reassignLost(
                placement, [&](const upstream_id &id) { return id == lost && id != newOwner; },
                {{newOwner, 9}}, milliseconds(random() % 2 * 1000));
        } else {
            placement = moveRange(placement, {first, last}, ids[random() % 3], "t");
        }
        REQUIRE(isValid(placement));
        for (const owned_range &changed : placement.ranges) {
            const owned_range &earlier = before.rangeOf(changed.keys.first);
            if (changed.owner != earlier.owner) {
                REQUIRE(changed.fence > before.highestFence);
            }
        }
    }
}

// Guards against a daemon that has lost the store and renews grants for keys that the store now
// records for another owner.
TEST_CASE("grants are not renewed after the lease has expired", "[keyspace]")
{
    range_lease_timing timing;
    range_lease_manager manager(timing);
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    const auto due = manager.dueGrants(start);
    REQUIRE(due.size() == 1);
    CHECK(due[0].keys == key_interval{0, 32767});
    CHECK_FALSE(manager.canServe(5, start));
    manager.onGranted(due[0], start);
    CHECK(manager.canServe(5, start));
    CHECK_FALSE(manager.canServe(40000, start));
    CHECK(manager.dueGrants(start + timing.renewalInterval - 1ms).empty());
    CHECK(manager.dueGrants(start + timing.renewalInterval).size() == 1);
    CHECK(manager.dueGrants(start + timing.leaseDuration).empty());
    CHECK_FALSE(manager.canServe(5, start + timing.holdTime));
    manager.onConfirmed(start + 5s);
    CHECK(manager.dueGrants(start + timing.leaseDuration).size() == 1);
}

// Guards against two owners of one key: the last grant of a lost owner must have ended, with the
// clock error included, before the new owner may activate its takeover.
TEST_CASE("a takeover waits until the last grant of the previous owner has ended", "[keyspace]")
{
    const range_lease_timing timing;
    range_lease_manager previousOwner(timing);
    previousOwner.setUpstream(a);
    const key_placement before = twoOwners();
    previousOwner.onPlacement(before, start, start);
    // The record changes right after the store has confirmed the previous owner for the last time.
    const boot_time changedAt = start;
    key_placement after = reassignLost(
        before, [](const upstream_id &id) { return id == a; }, {{b, 9}}, timing.takeoverDelay());
    range_lease_manager newOwner(timing);
    newOwner.setUpstream(b);
    newOwner.onPlacement(after, changedAt, changedAt);
    CHECK(fenceOf(after, 5) > fenceOf(before, 5));

    boot_time lastEnd{};
    for (boot_time now = start; now < start + 30s; now += 50ms) {
        for (const range_grant &grant : previousOwner.dueGrants(now)) {
            previousOwner.onGranted(grant, now);
            lastEnd = now + timing.maxHold();
        }
        const bool isHeld = now < lastEnd;
        const bool mayTakeOver = !newOwner.dueTakeovers(now).empty();
        CAPTURE((now - start).count());
        REQUIRE_FALSE((isHeld && mayTakeOver));
        if (now < start + timing.takeoverDelay()) {
            for (const range_grant &grant : newOwner.dueGrants(now)) {
                REQUIRE(grant.keys.first >= 32768);
            }
        }
    }
    const auto due = newOwner.dueTakeovers(start + timing.takeoverDelay());
    CHECK(due == std::vector<uint64_t>{fenceOf(after, 5)});
    after = activateTakeovers(after, b, due);
    newOwner.onPlacement(after, start + 20s, start + 20s);
    CHECK(newOwner.dueGrants(start + 20s).size() == 2);
}

// Guards against two owners of one key: the new owner waited until its first takeover was due and
// then granted the keys of all its pending takeovers, also those whose previous owner had been lost
// later and could still hold them.
TEST_CASE("each of several pending takeovers waits for its own previous owner", "[keyspace]")
{
    const range_lease_timing timing;
    const key_placement before =
        assignUnowned(emptyPlacement("haulbook"), {{a, 9}, {b, 9}, {c, 9}});
    const auto lose = [&](const key_placement &placement, const upstream_id &lost) {
        return reassignLost(
            placement, [&](const upstream_id &id) { return id == lost; }, {{b, 9}},
            timing.takeoverDelay());
    };
    constexpr shard_key keyOfA = 5;
    constexpr shard_key keyOfC = lastKey;
    const boot_time firstLoss = start;
    const boot_time secondLoss = start + 5s;
    range_lease_manager newOwner(timing);
    newOwner.setUpstream(b);
    key_placement placement = lose(before, a);
    newOwner.onPlacement(placement, firstLoss, firstLoss);
    placement = lose(placement, c);
    newOwner.onPlacement(placement, secondLoss, secondLoss);

    const auto isGrantDue = [&](shard_key key, boot_time now) {
        const auto due = newOwner.dueGrants(now);
        return std::any_of(due.begin(), due.end(),
                           [key](const range_grant &grant) { return grant.keys.contains(key); });
    };
    for (boot_time now = secondLoss; now < secondLoss + 12s; now += 50ms) {
        newOwner.onConfirmed(now);
        placement = activateTakeovers(placement, b, newOwner.dueTakeovers(now));
        newOwner.onPlacement(placement, now, now);
        CAPTURE((now - start).count());
        REQUIRE(isGrantDue(keyOfA, now) == (now >= firstLoss + timing.takeoverDelay()));
        REQUIRE(isGrantDue(keyOfC, now) == (now >= secondLoss + timing.takeoverDelay()));
    }
}

// Guards against keys that are assigned to the lost owner again and then reassigned without end.
TEST_CASE("a lost owner gets none of its keys back", "[keyspace]")
{
    const auto isLost = [](const upstream_id &id) { return id == a; };
    const key_placement after = reassignLost(twoOwners(), isLost, {{a, 9}, {b, 9}, {c, 9}}, 0ms);
    CHECK(ownedKeys(after, a) == 0);
    CHECK(reassignLost(after, isLost, {{a, 9}, {b, 9}}, 0ms) == after);
    CHECK(reassignLost(twoOwners(), isLost, {{a, 9}}, 0ms) == twoOwners());
}

// Guards against a grant that is extended before the daemon stops and is still in force when
// another upstream takes the keys over.
TEST_CASE("an extended grant ends before a takeover", "[keyspace]")
{
    const range_lease_timing timing;
    range_lease_manager manager(timing);
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    for (const boot_time now : {start, start + 2s, start + 6s}) {
        const milliseconds hold = manager.maxSafeHold(now);
        CHECK(now + hold + hold * timing.maxDriftPercent / 100 <= start + timing.takeoverDelay());
    }
    CHECK(manager.maxSafeHold(start + 11s) <= 0ms);
}

TEST_CASE("the previous owner can reclaim its keys while the takeover is pending", "[keyspace]")
{
    key_placement placement = reassignLost(
        twoOwners(), [](const upstream_id &id) { return id == a; }, {{b, 9}, {c, 9}}, 10s);
    CHECK(ownedKeys(placement, a) == 0);
    const key_placement reclaimed = reclaimRanges(placement, a);
    CHECK(ownedKeys(reclaimed, a) == 32768);
    CHECK(fenceOf(reclaimed, 0) > placement.highestFence);
    // If the new owner is lost as well, the first owner still counts as the one that may hold keys.
    placement = reassignLost(
        placement, [](const upstream_id &id) { return id == b; }, {{c, 9}}, 10s);
    CHECK(ownedKeys(reclaimRanges(placement, a), a) == 32768);
    const key_placement activated = activateTakeovers(placement, c, fencesOf(placement, c));
    CHECK(activated != placement);
    CHECK(reclaimRanges(activated, a) == activated);
}

// Guards against serving keys that are being released, and against an interruption for the other
// keys.
TEST_CASE("only the moving interval is neither served nor renewed", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    manager.onGranted(manager.dueGrants(start).front(), start);
    manager.setMoving({{100, 199}});
    CHECK(manager.canServe(99, start));
    CHECK_FALSE(manager.canServe(100, start));
    CHECK(manager.canServe(200, start));
    std::vector<key_interval> renewed;
    for (const range_grant &grant : manager.dueGrants(start + 1s)) {
        renewed.push_back(grant.keys);
        manager.onGranted(grant, start + 1s);
    }
    CHECK(renewed == std::vector<key_interval>{{0, 99}, {200, 32767}});
    manager.onReleased({100, 199}, 1);
    manager.setMoving({});
    CHECK_FALSE(manager.canServe(150, start + 1s));
    manager.onPlacement(moveRange(twoOwners(), {100, 199}, b, "t"), start + 1s, start + 1s);
    CHECK(manager.canServe(99, start + 1s));
    CHECK(manager.canServe(200, start + 1s));
    CHECK(manager.dueReleases(start).empty());
}

// Guards against a renewal that is enqueued before its keys are released and sent afterwards.
TEST_CASE("a delayed grant is sent only if its keys are still owned and not moving", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    const range_grant grant = manager.dueGrants(start).front();
    CHECK(manager.canSend(grant, start));
    manager.setMoving({{100, 199}});
    CHECK_FALSE(manager.canSend(grant, start));
    manager.setMoving({});
    CHECK_FALSE(manager.canSend(grant, start + 7s));
    manager.onPlacement(moveRange(twoOwners(), {100, 199}, b, "t"), start, start);
    CHECK_FALSE(manager.canSend(grant, start));
    CHECK(manager.canSend(manager.dueGrants(start).front(), start));
}

// Guards against two owners of one key: an upstream may apply a grant without a response after the
// keys were released and moved to another upstream.
TEST_CASE("keys can move only after an unanswered grant of them can no longer take effect",
          "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    const range_grant grant = manager.dueGrants(start).at(0);
    CHECK(manager.canMove(grant.keys, start));
    manager.onGrantUnconfirmed({{100, 200}, grant.fence, ""}, 3000ms, start);
    const auto [keys, canMoveAtOnce] = GENERATE(table<key_interval, bool>({
        {{0, 99}, true},
        {{0, 100}, false},
        {{150, 150}, false},
        {{200, 300}, false},
        {{201, 300}, true},
    }));
    CHECK(manager.canMove(keys, start + 1s) == canMoveAtOnce);
    // Hold time of 3000 ms, clock drift of 60 ms and transit of 300 ms.
    CHECK(manager.canMove(keys, start + 3359ms) == canMoveAtOnce);
    CHECK(manager.canMove(keys, start + 3361ms));
    // The earlier grant may still take effect after the upstream has responded to a later grant.
    manager.onGranted({{100, 200}, grant.fence, ""}, start + 1s);
    CHECK(manager.canMove(keys, start + 1s) == canMoveAtOnce);
}

// Guards against two owners of one key: the process before may have extended its grants up to the
// longest hold when it stopped, and the upstream may apply such a grant after a release.
TEST_CASE("a restarted daemon moves no keys until earlier grants have ended", "[keyspace]")
{
    range_lease_timing timing;
    range_lease_manager manager(timing);
    manager.recordDaemonStart(start);
    const milliseconds longest = timing.longestHold(timing.longestGrant);
    CHECK_FALSE(manager.canMove({7, 7}, start + longest));
    CHECK(manager.canMove({7, 7}, start + longest + 1s));
}

// Guards against OWNER: the process before may have released keys that are recorded for the
// upstream and sent the write of their move, which takes effect later.
TEST_CASE("a restarted daemon grants keys only under fences from after its start", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.recordDaemonStart(start);
    SECTION("before it knows the fences that were recorded")
    {
        manager.onPlacement(twoOwners(), start - 1s, start);
        CHECK(manager.permittedGrants(start).empty());
        CHECK_FALSE(manager.needsNewFences());
    }
    SECTION("before it has written new ones")
    {
        manager.onPlacement(twoOwners(), start, start);
        CHECK(manager.permittedGrants(start).empty());
        CHECK(manager.needsNewFences());
    }
    SECTION("after it has written new ones")
    {
        manager.onPlacement(twoOwners(), start, start);
        manager.onPlacement(renewFences(twoOwners(), a, twoOwners().highestFence), start, start);
        CHECK_FALSE(manager.permittedGrants(start).empty());
        CHECK_FALSE(manager.needsNewFences());
    }
}

// Guards against SHORT: daemons that start together each waited for a write of their own, although
// the first write of any of them makes late writes of all earlier processes impossible.
TEST_CASE("a restarted daemon grants its keys after another daemon's change of the record",
          "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.recordDaemonStart(start);
    manager.onPlacement(twoOwners(), start, start);
    REQUIRE(manager.needsNewFences());
    const key_placement changed = renewFences(twoOwners(), b, twoOwners().highestFence);
    manager.onPlacement(changed, start, start);
    CHECK_FALSE(manager.needsNewFences());
    std::vector<range_grant> permitted = manager.permittedGrants(start);
    REQUIRE(permitted.size() == 1);
    permitted[0].connection = 1;
    // Above all fences that the earlier process knew, and below those of all later owners.
    CHECK(permitted[0].fence > twoOwners().highestFence);
    CHECK(permitted[0].fence <= changed.highestFence);
    manager.onGranted(permitted[0], start);
    CHECK(manager.canServe(5, start));
    CHECK(manager.canMove({0, 9}, start + 1s));
    CHECK(manager.dueReleases(start).empty());
    SECTION("and keeps that fence through later changes by others")
    {
        manager.onPlacement(moveRange(changed, {65000, 65535}, c, ""), start, start);
        REQUIRE(manager.permittedGrants(start).size() == 1);
        CHECK(manager.permittedGrants(start)[0].fence == permitted[0].fence);
        CHECK(manager.canServe(5, start));
    }
    SECTION("and releases the keys of a later owner")
    {
        manager.onPlacement(moveRange(changed, {0, 9}, c, ""), start, start);
        CHECK_FALSE(manager.canServe(5, start));
        CHECK(manager.canServe(10, start));
    }
    SECTION("and needs a further change if the fence is used up")
    {
        manager.requireNewFences();
        CHECK(manager.needsNewFences());
        CHECK(manager.permittedGrants(start).empty());
        manager.onPlacement(moveRange(changed, {65000, 65535}, c, ""), start, start);
        REQUIRE(manager.permittedGrants(start).size() == 1);
        CHECK(manager.permittedGrants(start)[0].fence > permitted[0].fence);
    }
}

// Guards against a write for each of many daemons that start together.
TEST_CASE("fences are renewed only in a record that has not changed", "[keyspace]")
{
    const uint64_t superseded = twoOwners().highestFence;
    const key_placement changed = renewFences(twoOwners(), b, superseded);
    CHECK_FALSE(changed == twoOwners());
    CHECK(renewFences(changed, a, superseded) == changed);
    CHECK_FALSE(renewFences(changed, a, changed.highestFence) == changed);
}

// Guards against SHORT: after a restart of many hosts, the keys of all went to the first few that
// were back.
TEST_CASE("the keys of an ended upstream go to its successor", "[keyspace]")
{
    const upstream_id successor{"a2", 2};
    const auto successorOf = [&](const upstream_id &id) {
        return id == a ? std::optional(successor) : std::nullopt;
    };
    key_placement placement = moveRange(twoOwners(), {100, 199}, b, "t");
    const key_placement passed = passToSuccessors(placement, successorOf);
    CHECK(isValid(passed));
    CHECK(ownedKeys(passed, successor) == ownedKeys(placement, a));
    CHECK(ownedKeys(passed, b) == ownedKeys(placement, b));
    CHECK(fenceOf(passed, 0) > placement.highestFence);
    CHECK(fenceOf(passed, 150) == fenceOf(placement, 150));
    SECTION("but not while another may hold them")
    {
        for (owned_range &range : placement.ranges) {
            range.takeoverDelay = 10s;
            range.previousOwner = c;
        }
        CHECK(passToSuccessors(placement, successorOf) == placement);
    }
}

// Guards against SHORT: the coordinator recorded the end of an upstream before a peer had reported
// its successor, and gave the keys to the few that had been reported.
TEST_CASE("the keys of an ended upstream go to a successor that no peer has reported yet",
          "[keyspace]")
{
    const upstream_id successor{"b2", 2};
    const key_placement placement = twoOwners();
    proposal_input input;
    input.service = placement.service;
    input.epoch = baseEpoch;
    input.record = &placement;
    input.recordEpoch = baseEpoch;
    input.upstream = a;
    input.isCoordinator = true;
    input.live = {{a, 9}};
    input.isTerminated = [](const upstream_id &id) { return id == b; };
    input.successorOf = [&](const upstream_id &id) {
        return id == b ? std::optional(successor) : std::nullopt;
    };
    const bool isReachable = GENERATE(true, false);
    if (!isReachable) {
        input.unreachable = {successor};
    }
    const auto proposal = proposeChange(input, range_lease_manager(), start);
    REQUIRE(proposal);
    const key_placement next = *proposal->change(placement);
    CHECK(next.rangeOf(lastKey).owner == (isReachable ? successor : a));
}

// Guards against OWNER: grants for an upstream that has ended take effect at the next process at
// its address, after they were released.
TEST_CASE("the last grants of an ended upstream supersede all earlier ones", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    const std::vector<range_grant> last = manager.lastGrantsOf(a);
    REQUIRE(last.size() == 1);
    CHECK(last[0].connection > maxGrantConnection);
    CHECK(manager.canSupersede(last[0], start));
    SECTION("not once others may have taken the keys over")
    {
        CHECK_FALSE(manager.canSupersede(last[0], start + range_lease_timing().leaseDuration));
    }
    SECTION("not while the keys are being moved")
    {
        manager.setMoving({{0, 9}});
        CHECK_FALSE(manager.canSupersede(last[0], start));
        REQUIRE(manager.lastGrantsOf(a).size() == 1);
        CHECK(manager.lastGrantsOf(a)[0].keys.first == 10);
    }
    SECTION("not once they are recorded for another owner")
    {
        manager.onPlacement(moveRange(twoOwners(), last[0].keys, b, ""), start, start);
        CHECK_FALSE(manager.canSupersede(last[0], start));
        CHECK(manager.lastGrantsOf(a).empty());
    }
}

// Guards against keys that stay at a leaving upstream because its daemon has just restarted.
TEST_CASE("a restarted daemon moves keys that the upstream holds with a fence of its own",
          "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.recordDaemonStart(start);
    const key_interval keys{7, 9};
    const auto grantAll = [&](const key_placement &placement) {
        manager.onPlacement(placement, start, start);
        for (const range_grant &grant : manager.permittedGrants(start)) {
            manager.onGranted(grant, start);
        }
    };
    SECTION("the fences are older than this process")
    {
        grantAll(twoOwners());
        CHECK_FALSE(manager.canMove(keys, start + 5s));
        grantAll(renewFences(twoOwners(), a, twoOwners().highestFence));
        CHECK(manager.canMove(keys, start + 1s));
    }
    SECTION("there was no placement before this process")
    {
        manager.onEarlierFences(0);
        grantAll(twoOwners());
        CHECK(manager.canMove(keys, start + 1s));
    }
    SECTION("the placement may be older than this process")
    {
        manager.onPlacement(twoOwners(), start - 1s, start);
        grantAll(renewFences(twoOwners(), a, twoOwners().highestFence));
        CHECK_FALSE(manager.canMove(keys, start + 1s));
    }
}

TEST_CASE("grants of keys that are recorded for another owner are released", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    manager.onGranted(manager.dueGrants(start).front(), start);
    manager.onPlacement(moveRange(twoOwners(), {0, 32767}, b, ""), start, start);
    CHECK_FALSE(manager.canServe(5, start));
    REQUIRE(manager.dueReleases(start).size() == 1);
    CHECK(manager.dueReleases(start)[0].keys == key_interval{0, 32767});
}

TEST_CASE("a new incarnation of the upstream holds no keys", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    manager.onGranted(manager.dueGrants(start).front(), start);
    manager.setUpstream(upstream_id{"a", 2});
    CHECK_FALSE(manager.canServe(5, start));
    CHECK(manager.dueGrants(start).empty());
}
