#include "persimmonrail/keyspace/placement_proposal.h"
#include "persimmonrail/keyspace/range_lease_manager.h"
#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/objects/object_version.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <random>
#include <set>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const upstream_id a{"a", 1};
const upstream_id b{"b", 1};
const upstream_id c{"c", 1};
const boot_time start = 1000s;

// Returns a placement in which `a` owns the lower and `b` the upper half of the keys.
key_placement twoOwners()
{
    return assignUnowned(emptyPlacement("haulbook"), {{a, 9}, {b, 9}});
}

// Returns the fence of the key's owner.
uint64_t fenceOf(const key_placement &placement, shard_key key)
{
    return placement.rangeOf(key).fence;
}

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

TEST_CASE("a restarted daemon moves no keys until earlier grants have ended", "[keyspace]")
{
    range_lease_manager manager;
    manager.recordDaemonStart(start);
    CHECK_FALSE(manager.canMove({7, 7}, start + 3s));
    CHECK(manager.canMove({7, 7}, start + 4s));
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

namespace {

using key_rate = std::function<double(shard_key)>;

// Returns the requests per second of all keys of the interval.
double sumRates(const key_interval &keys, const key_rate &rate)
{
    double sum = 0;
    for (shard_key key = keys.first; key <= keys.last; ++key) {
        sum += rate(key);
    }
    return sum;
}

// Owners with equal slots and speeds. The utilization of an owner follows from its keys.
struct loaded_owners
{
    key_rate rate;
    // Requests per second at which an owner has utilization 1.
    double capacity;
    std::map<upstream_id, std::vector<key_interval>> keys;
    // Number of keys in all moves so far.
    size_t movedKeys = 0;

    owner_load load(const upstream_id &id) const
    {
        double sum = 0;
        for (const key_interval &interval : keys.at(id)) {
            sum += sumRates(interval, rate);
        }
        return {id, 9, sum / capacity};
    }
    double maxUtilization() const
    {
        double maximum = 0;
        for (const auto &[id, intervals] : keys) {
            maximum = std::max(maximum, load(id).utilization);
        }
        return maximum;
    }
    // Lets each owner in turn move the keys that it chooses.
    void runMoveRound()
    {
        for (const auto &entry : std::map(keys)) {
            const upstream_id id = entry.first;
            std::vector<owner_load> others;
            for (const auto &[other, intervals] : keys) {
                if (other != id) {
                    others.push_back(load(other));
                }
            }
            std::set<upstream_id> targets;
            for (const planned_move &move : chooseMoves(keys[id], rate, load(id), others)) {
                CHECK(targets.insert(move.target).second);
                applyMove(id, move);
            }
        }
    }
    void applyMove(const upstream_id &from, const planned_move &move)
    {
        std::vector<key_interval> remaining;
        bool found = false;
        for (const key_interval &own : keys[from]) {
            if (!own.contains(move.keys.first) || !own.contains(move.keys.last)) {
                remaining.push_back(own);
                continue;
            }
            found = true;
            if (own.first < move.keys.first) {
                remaining.push_back({own.first, move.keys.first - 1});
            }
            if (move.keys.last < own.last) {
                remaining.push_back({move.keys.last + 1, own.last});
            }
        }
        REQUIRE(found);
        keys[from] = remaining;
        keys[move.target].push_back(move.keys);
        movedKeys += move.keys.count();
    }
};

// Returns `count` owners with equally many keys.
loaded_owners makeEqualOwners(int count, key_rate rate, double capacity)
{
    loaded_owners owners{std::move(rate), capacity, {}, 0};
    const int part = (lastKey + 1) / count;
    for (int i = 0; i < count; ++i) {
        const auto first = static_cast<shard_key>(i * part);
        const shard_key last = i + 1 == count ? lastKey : first + part - 1;
        owners.keys[{"o" + std::to_string(100 + i), 1}] = {{first, last}};
    }
    return owners;
}

} // namespace

// Load pattern: a few adjacent keys get much of the traffic of one owner.
TEST_CASE("a hot interval is split, and few keys move", "[keyspace]")
{
    const key_rate rate = [](shard_key key) { return key >= 1000 && key < 1200 ? 1.0 : 0.002; };
    const double total = sumRates({0, 16383}, rate);
    const owner_load self{a, 9, 1.2};
    const auto moves = chooseMoves({{0, 16383}}, rate, self, {{b, 9, 0.4}});
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].target == b);
    CHECK(moves[0].keys.count() < 200);
    const double share = sumRates(moves[0].keys, rate) / total;
    // The utilizations become equal except for the spare capacity that is left to other owners.
    CHECK(1.2 * (1 - share) - (0.4 + 1.2 * share) == Approx(0).margin(0.12));
}

// Load pattern: adjacent keys get several times the traffic that a single owner can serve.
TEST_CASE("an interval too hot for one owner is spread over several owners at once", "[keyspace]")
{
    // 30 owners run at half of their capacity; then 45% of the traffic goes to 200 keys.
    const double all = 30 * 0.5 * 50;
    const key_rate rate = [all](shard_key key) {
        return key >= 3000 && key < 3200 ? all * 0.45 / 200 : all * 0.55 / (lastKey + 1 - 200);
    };
    loaded_owners owners = makeEqualOwners(30, rate, 50);
    CHECK(owners.maxUtilization() > 6.5);
    owners.runMoveRound();
    CHECK(owners.maxUtilization() < 2.5);
    owners.runMoveRound();
    CHECK(owners.maxUtilization() < 1.2);
    owners.runMoveRound();
    CHECK(owners.maxUtilization() < 0.95);
    // Only keys of the hot interval and of small ranges beside it move.
    CHECK(owners.movedKeys < 4000);
}

// Load pattern: traffic by key follows a power law, and adjacent keys have similar traffic.
TEST_CASE("skewed load is balanced in a few rounds", "[keyspace]")
{
    const key_rate rate = [](shard_key key) { return 40.0 / std::pow(1.0 + key / 8.0, 0.87); };
    loaded_owners owners = makeEqualOwners(30, rate, 1);
    double sum = 0;
    for (const auto &[id, intervals] : owners.keys) {
        sum += owners.load(id).utilization;
    }
    owners.capacity = sum / 30 / 0.55;
    for (int round = 0; round < 5; ++round) {
        owners.runMoveRound();
    }
    CHECK(owners.maxUtilization() < 0.9);
    const size_t movedBefore = owners.movedKeys;
    owners.runMoveRound();
    owners.runMoveRound();
    CHECK(owners.movedKeys - movedBefore < 2000);
}

// Load pattern: after a cold start one upstream owns all keys, and their traffic is uniform.
TEST_CASE("an owner of all keys moves no more than the limit of one move", "[keyspace]")
{
    const auto even = [](shard_key) { return 0.01; };
    const auto moves = chooseMoves({{0, lastKey}}, even, {a, 9, 3.0}, {{b, 9, 0.0}});
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].keys.count() <= (lastKey + 1) / 4);
    CHECK(moves[0].keys.count() >= (lastKey + 1) / 16);
}

TEST_CASE("a faster owner gets a larger share of the load", "[keyspace]")
{
    const auto even = [](shard_key) { return 0.01; };
    const auto moves = chooseMoves({{0, 16383}}, even, {a, 9, 1.4, 100ms},
                                   {{b, 9, 0.2, 50ms}, {c, 9, 0.2, 200ms}});
    REQUIRE(moves.size() == 2);
    const auto &[fast, slow] =
        moves[0].target == b ? std::pair(moves[0], moves[1]) : std::pair(moves[1], moves[0]);
    CHECK(fast.keys.count() == Approx(4.0 * slow.keys.count()).epsilon(0.02));
}

// Load pattern: one key gets six times the traffic that an upstream can serve, and the keys around
// it are hot as well. The owner stays overloaded, but requests for its other keys would be rejected
// too if these keys stayed.
TEST_CASE("the keys beside a key too hot for any owner move to other owners", "[keyspace]")
{
    constexpr shard_key hot = 1000;
    const auto rate = [](shard_key key) {
        const bool isNear = key + 10 >= hot && key <= hot + 10;
        return key == hot ? 400.0 : isNear ? 1.5 : 0.0133;
    };
    std::vector<key_interval> own{{0, 2183}};
    double otherRate = 0;
    for (shard_key key = own[0].first; key <= own[0].last; ++key) {
        otherRate += key == hot ? 0 : rate(key);
    }
    std::vector<owner_load> others;
    others.reserve(10);
    for (int i = 0; i < 10; ++i) {
        others.push_back({{"peer" + std::to_string(i), 1}, 6, 0.65, 91ms});
    }
    double movedRate = 0;
    for (int round = 0; round < 3; ++round) {
        const double utilization = (400 + otherRate - movedRate) * 0.091 / 6;
        for (const planned_move &move : chooseMoves(own, rate, {a, 6, utilization, 91ms}, others)) {
            CHECK_FALSE(move.keys.contains(hot));
            std::vector<key_interval> remaining;
            for (const key_interval &interval : own) {
                if (!interval.contains(move.keys.first)) {
                    remaining.push_back(interval);
                    continue;
                }
                if (interval.first < move.keys.first) {
                    remaining.push_back({interval.first, move.keys.first - 1});
                }
                if (move.keys.last < interval.last) {
                    remaining.push_back({move.keys.last + 1, interval.last});
                }
            }
            own = remaining;
            for (shard_key key = move.keys.first; key <= move.keys.last; ++key) {
                movedRate += rate(key);
            }
        }
        CAPTURE(round, movedRate, otherRate);
        CHECK(movedRate > (round == 0 ? 0.5 : 0.8) * otherRate);
    }
}

TEST_CASE("keys stay where a move would relieve no upstream", "[keyspace]")
{
    const auto even = [](shard_key) { return 0.01; };
    const auto single = [](shard_key key) { return key == 77 ? 50.0 : 0.0001; };
    CHECK(chooseMoves({{0, 999}}, even, {a, 9, 0.5}, {{b, 9, 0.0}}).empty());
    CHECK(chooseMoves({{0, 999}}, even, {a, 9, 0.9}, {{b, 9, 0.8}}).empty());
    CHECK(chooseMoves({{0, 999}}, single, {a, 9, 1.5}, {{b, 9, 0.2}}).empty());
    CHECK(chooseMoves({{0, 999}}, even, {a, 9, 1.5}, {}).empty());
    CHECK(
        chooseMoves({{0, 999}}, [](shard_key) { return 0.0; }, {a, 9, 1.5}, {{b, 9, 0.2}}).empty());
}

TEST_CASE("an upstream without keys gets half of the keys of the largest owner", "[keyspace]")
{
    const std::vector<range_candidate> members{{a, 9}, {b, 9}, {c, 9}};
    const key_placement placement = twoOwners();
    const auto byA = chooseMoveToEmptyOwner(placement, a, members);
    const auto byB = chooseMoveToEmptyOwner(placement, b, members);
    CHECK(byA.has_value() != byB.has_value());
    CHECK((byA ? *byA : *byB).target == c);
    CHECK((byA ? *byA : *byB).keys.count() == 16384);
    CHECK_FALSE(chooseMoveToEmptyOwner(placement, a, {{a, 9}, {b, 9}}));
}

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
