#include "persimmonrail/keyspace/range_lease_manager.h"
#include "persimmonrail/keyspace/range_plan.h"

#include <catch2/catch.hpp>

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

key_placement twoOwners()
{
    return assignUnowned(emptyPlacement("haulbook"), {{a, 9}, {b, 9}});
}

// Fences of all owners by key, for the check that each change raises them.
uint64_t fenceOf(const key_placement &placement, shard_key key)
{
    return placement.rangeOf(key).fence;
}

} // namespace

TEST_CASE("the first assignment follows the slots", "[keyspace]")
{
    const key_placement placement =
        assignUnowned(emptyPlacement("haulbook"), {{b, 9}, {a, 18}, {c, 9}});
    CHECK(isWhole(placement));
    CHECK(ownedKeys(placement, a) == 32768);
    CHECK(ownedKeys(placement, b) == 16384);
    CHECK(ownedKeys(placement, c) == 16384);
}

TEST_CASE("a placement keeps its values in the store", "[keyspace]")
{
    key_placement placement = moveRange(twoOwners(), {100, 200}, b, "token");
    placement = reassignLost(
        placement, [](const upstream_id &id) { return id == a; }, {{b, 9}, {c, 9}}, 10s);
    const auto parsed = parsePlacement(encodePlacement(placement));
    REQUIRE(parsed.ok());
    CHECK(*parsed == placement);
}

// Guards against records of other writers whose gaps or overlaps would give a key two owners.
TEST_CASE("a placement that does not cover the keys in order is refused", "[keyspace]")
{
    const auto parse = [](const std::string &ranges) {
        return parsePlacement(R"({"service":"s","highest_fence":2,"texts":["a/1","b/1","a"],)"
                              R"("ranges":)"
                              + ranges + "}");
    };
    CHECK(parse(R"("9,0,1,-1,0,-1;65535,1,2,-1,0,-1")").ok());
    const std::string ranges = GENERATE(
        // Not all keys.
        R"("")", R"("65534,0,1,-1,0,-1")", R"("9,0,1,-1,0,-1")",
        // Out of order, beyond the last key, or below the first.
        R"("9,0,1,-1,0,-1;8,1,2,-1,0,-1;65535,1,2,-1,0,-1")", R"("65536,0,1,-1,0,-1")",
        R"("9,0,1,-1,0,-1;9,1,2,-1,0,-1;65535,1,2,-1,0,-1")", R"("-1,0,1,-1,0,-1")",
        // A fence above the highest one, or below none.
        R"("65535,0,3,-1,0,-1")", R"("65535,0,-1,-1,0,-1")",
        // Texts that are none, or no upstream.
        R"("65535,3,1,-1,0,-1")", R"("65535,-2,1,-1,0,-1")", R"("65535,2,1,-1,0,-1")",
        R"("65535,0,1,7,0,-1")", R"("65535,0,1,-1,0,7")",
        // Other forms.
        R"("65535,0,1,-1,0")", R"("65535,0,1,-1,0,-1,0")", R"("65535,0,1,-1,-5,-1")",
        R"("x,0,1,-1,0,-1")", R"("65535,0,1,-1,0,-1;")", "[1]", "7", "null");
    CHECK_FALSE(parse(ranges).ok());
}

TEST_CASE("names and handovers of any form pass through the store", "[keyspace]")
{
    const upstream_id odd{"a;b,\"c\"/7", 5};
    const std::string handover = "x;y,z \"\\/1";
    const auto placement = moveRange(twoOwners(), {7, 9}, odd, handover);
    const auto parsed = parsePlacement(encodePlacement(placement));
    REQUIRE(parsed.ok());
    CHECK(*parsed == placement);
}

// Guards against changes that break the order of ranges or reuse a fence.
TEST_CASE("random changes keep placements whole and fences rising", "[keyspace]")
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
            const upstream_id &taker = ids[(random() % 3)];
            placement = reassignLost(
                placement, [&](const upstream_id &id) { return id == lost && id != taker; },
                {{taker, 9}}, milliseconds(random() % 2 * 1000));
        } else {
            placement = moveRange(placement, {first, last}, ids[random() % 3], "t");
        }
        REQUIRE(isWhole(placement));
        for (const owned_range &changed : placement.ranges) {
            const owned_range &earlier = before.rangeOf(changed.keys.first);
            if (changed.owner != earlier.owner) {
                REQUIRE(changed.fence > before.highestFence);
            }
        }
    }
}

// Guards against a daemon that renews grants which the store has given to another owner meanwhile.
TEST_CASE("grants end with the lease from the store", "[keyspace]")
{
    range_lease_timing timing;
    range_lease_manager manager(timing);
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    const auto due = manager.dueGrants(start);
    REQUIRE(due.size() == 1);
    CHECK(due[0].keys == key_interval{0, 32767});
    CHECK_FALSE(manager.mayServe(5, start));
    manager.onGranted(due[0], start);
    CHECK(manager.mayServe(5, start));
    CHECK_FALSE(manager.mayServe(40000, start));
    CHECK(manager.dueGrants(start + timing.renewInterval - 1ms).empty());
    CHECK(manager.dueGrants(start + timing.renewInterval).size() == 1);
    CHECK(manager.dueGrants(start + timing.confirmationLife).empty());
    CHECK_FALSE(manager.mayServe(5, start + timing.holdTime));
    manager.onConfirmed(start + 5s);
    CHECK(manager.dueGrants(start + timing.confirmationLife).size() == 1);
}

// Guards against two holders of one key: by any clock the last grant of a lost owner has ended
// when the new owner may take the keys.
TEST_CASE("a takeover waits for the longest hold of the earlier owner", "[keyspace]")
{
    const range_lease_timing timing;
    range_lease_manager earlier(timing);
    earlier.setUpstream(a);
    const key_placement before = twoOwners();
    earlier.onPlacement(before, start, start);
    // The record changes right after the last confirmation of the earlier owner.
    const boot_time changedAt = start;
    key_placement after = reassignLost(
        before, [](const upstream_id &id) { return id == a; }, {{b, 9}}, timing.takeOverAfter());
    range_lease_manager later(timing);
    later.setUpstream(b);
    later.onPlacement(after, changedAt, changedAt);
    CHECK(fenceOf(after, 5) > fenceOf(before, 5));

    boot_time lastEnd{};
    for (boot_time now = start; now < start + 30s; now += 50ms) {
        for (const range_grant &grant : earlier.dueGrants(now)) {
            earlier.onGranted(grant, now);
            lastEnd = now + timing.maxHold();
        }
        const bool held = now < lastEnd;
        const bool mayTake = later.isTakeoverDue(now);
        CAPTURE((now - start).count());
        REQUIRE_FALSE((held && mayTake));
        if (now < start + timing.takeOverAfter()) {
            for (const range_grant &grant : later.dueGrants(now)) {
                REQUIRE(grant.keys.first >= 32768);
            }
        }
    }
    CHECK(later.isTakeoverDue(start + timing.takeOverAfter()));
    after = activateTakeover(after, b);
    later.onPlacement(after, start + 20s, start + 20s);
    CHECK(later.dueGrants(start + 20s).size() == 2);
}

// Guards against keys that go back to the owner that was lost, and are dealt out again and again.
TEST_CASE("a lost owner gets none of its keys again", "[keyspace]")
{
    const auto isLost = [](const upstream_id &id) { return id == a; };
    const key_placement after = reassignLost(twoOwners(), isLost, {{a, 9}, {b, 9}, {c, 9}}, 0ms);
    CHECK(ownedKeys(after, a) == 0);
    CHECK(reassignLost(after, isLost, {{a, 9}, {b, 9}}, 0ms) == after);
    CHECK(reassignLost(twoOwners(), isLost, {{a, 9}}, 0ms) == twoOwners());
}

// Guards against a hold, extended before a stop, that outlasts the takeover.
TEST_CASE("an extended hold ends before a takeover", "[keyspace]")
{
    const range_lease_timing timing;
    range_lease_manager manager(timing);
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    for (const boot_time now : {start, start + 2s, start + 6s}) {
        const milliseconds hold = manager.maxSafeHold(now);
        CHECK(now + hold + hold * timing.driftPercent / 100 <= start + timing.takeOverAfter());
    }
    CHECK(manager.maxSafeHold(start + 11s) <= 0ms);
}

TEST_CASE("the earlier owner takes its keys back while the takeover waits", "[keyspace]")
{
    key_placement placement = reassignLost(
        twoOwners(), [](const upstream_id &id) { return id == a; }, {{b, 9}, {c, 9}}, 10s);
    CHECK(ownedKeys(placement, a) == 0);
    const key_placement back = reclaimRanges(placement, a);
    CHECK(ownedKeys(back, a) == 32768);
    CHECK(fenceOf(back, 0) > placement.highestFence);
    // A second loss in between keeps the first owner as the one that may still hold the keys.
    placement = reassignLost(
        placement, [](const upstream_id &id) { return id == b; }, {{c, 9}}, 10s);
    CHECK(ownedKeys(reclaimRanges(placement, a), a) == 32768);
    CHECK(reclaimRanges(activateTakeover(placement, c), a) == activateTakeover(placement, c));
}

// Guards against requests for keys that are being released, and against a gap in the others.
TEST_CASE("only the given interval stops being served and renewed", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    manager.onGranted(manager.dueGrants(start).front(), start);
    manager.setMoving({{100, 199}});
    CHECK(manager.mayServe(99, start));
    CHECK_FALSE(manager.mayServe(100, start));
    CHECK(manager.mayServe(200, start));
    std::vector<key_interval> renewed;
    for (const range_grant &grant : manager.dueGrants(start + 1s)) {
        renewed.push_back(grant.keys);
        manager.onGranted(grant, start + 1s);
    }
    CHECK(renewed == std::vector<key_interval>{{0, 99}, {200, 32767}});
    manager.onReleased({100, 199}, 1);
    manager.setMoving({});
    CHECK_FALSE(manager.mayServe(150, start + 1s));
    manager.onPlacement(moveRange(twoOwners(), {100, 199}, b, "t"), start + 1s, start + 1s);
    CHECK(manager.mayServe(99, start + 1s));
    CHECK(manager.mayServe(200, start + 1s));
    CHECK(manager.dueReleases().empty());
}

// Guards against a renewal that was enqueued before its keys were released and arrives after.
TEST_CASE("a grant that waited is sent only if it is still right", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    const range_grant grant = manager.dueGrants(start).front();
    CHECK(manager.maySend(grant, start));
    manager.setMoving({{100, 199}});
    CHECK_FALSE(manager.maySend(grant, start));
    manager.setMoving({});
    CHECK_FALSE(manager.maySend(grant, start + 7s));
    manager.onPlacement(moveRange(twoOwners(), {100, 199}, b, "t"), start, start);
    CHECK_FALSE(manager.maySend(grant, start));
    CHECK(manager.maySend(manager.dueGrants(start).front(), start));
}

// Guards against two owners: an upstream may carry out a grant that it did not answer after its
// keys were released and given to another one.
TEST_CASE("keys stay until an unanswered grant of them can't come into force", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    const range_grant grant = manager.dueGrants(start).at(0);
    CHECK(manager.canMove(grant.keys, start));
    manager.onGrantUnconfirmed({{100, 200}, grant.fence, ""}, 3000ms, start);
    const auto [keys, isFreeAtOnce] = GENERATE(table<key_interval, bool>({
        {{0, 99}, true},
        {{0, 100}, false},
        {{150, 150}, false},
        {{200, 300}, false},
        {{201, 300}, true},
    }));
    CHECK(manager.canMove(keys, start + 1s) == isFreeAtOnce);
    // Hold time, its drift, and the way to the upstream.
    CHECK(manager.canMove(keys, start + 3359ms) == isFreeAtOnce);
    CHECK(manager.canMove(keys, start + 3361ms));
    // A later grant that was answered says nothing of the earlier one.
    manager.onGranted({{100, 200}, grant.fence, ""}, start + 1s);
    CHECK(manager.canMove(keys, start + 1s) == isFreeAtOnce);
}

TEST_CASE("a daemon that starts again gives nothing away at once", "[keyspace]")
{
    range_lease_manager manager;
    manager.noteStart(start);
    CHECK_FALSE(manager.canMove({7, 7}, start + 3s));
    CHECK(manager.canMove({7, 7}, start + 4s));
}

TEST_CASE("grants that are recorded for another owner are released", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    manager.onGranted(manager.dueGrants(start).front(), start);
    manager.onPlacement(moveRange(twoOwners(), {0, 32767}, b, ""), start, start);
    CHECK_FALSE(manager.mayServe(5, start));
    REQUIRE(manager.dueReleases().size() == 1);
    CHECK(manager.dueReleases()[0].keys == key_interval{0, 32767});
}

TEST_CASE("another life of the upstream holds nothing", "[keyspace]")
{
    range_lease_manager manager;
    manager.setUpstream(a);
    manager.onPlacement(twoOwners(), start, start);
    manager.onGranted(manager.dueGrants(start).front(), start);
    manager.setUpstream(upstream_id{"a", 2});
    CHECK_FALSE(manager.mayServe(5, start));
    CHECK(manager.dueGrants(start).empty());
}

namespace {

using key_rate = std::function<double(shard_key)>;

double rateOf(const key_interval &keys, const key_rate &rate)
{
    double sum = 0;
    for (shard_key key = keys.first; key <= keys.last; ++key) {
        sum += rate(key);
    }
    return sum;
}

// Owners with equal slots and speeds, and the utilization that their keys bring them.
struct loaded_owners
{
    key_rate rate;
    // Requests per second that fill one owner.
    double capacity;
    std::map<upstream_id, std::vector<key_interval>> keys;
    size_t moved = 0;

    owner_load load(const upstream_id &id) const
    {
        double sum = 0;
        for (const key_interval &interval : keys.at(id)) {
            sum += rateOf(interval, rate);
        }
        return {id, 9, sum / capacity};
    }
    double highest() const
    {
        double most = 0;
        for (const auto &[id, intervals] : keys) {
            most = std::max(most, load(id).utilization);
        }
        return most;
    }
    // Each owner in turn gives what it chooses.
    void moveOnce()
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
                give(id, move);
            }
        }
    }
    void give(const upstream_id &from, const planned_move &move)
    {
        std::vector<key_interval> left;
        bool found = false;
        for (const key_interval &own : keys[from]) {
            if (!own.contains(move.keys.first) || !own.contains(move.keys.last)) {
                left.push_back(own);
                continue;
            }
            found = true;
            if (own.first < move.keys.first) {
                left.push_back({own.first, move.keys.first - 1});
            }
            if (move.keys.last < own.last) {
                left.push_back({move.keys.last + 1, own.last});
            }
        }
        REQUIRE(found);
        keys[from] = left;
        keys[move.target].push_back(move.keys);
        moved += move.keys.count();
    }
};

loaded_owners evenOwners(int count, key_rate rate, double capacity)
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

// Load pattern: a few neighbouring keys get much of the traffic of one owner.
TEST_CASE("a busy area is cut, and few keys move", "[keyspace]")
{
    const key_rate rate = [](shard_key key) { return key >= 1000 && key < 1200 ? 1.0 : 0.002; };
    const double total = rateOf({0, 16383}, rate);
    const owner_load self{a, 9, 1.2};
    const auto moves = chooseMoves({{0, 16383}}, rate, self, {{b, 9, 0.4}});
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].target == b);
    CHECK(moves[0].keys.count() < 200);
    const double share = rateOf(moves[0].keys, rate) / total;
    // Both come level but for the part of the room that is left for others.
    CHECK(1.2 * (1 - share) - (0.4 + 1.2 * share) == Approx(0).margin(0.12));
}

// Load pattern: neighbouring keys get several times what any single owner can serve.
TEST_CASE("an area too busy for one owner is spread over several at once", "[keyspace]")
{
    // 30 owners at a half of their capacity, then 45% of the traffic goes to 200 keys.
    const double all = 30 * 0.5 * 50;
    const key_rate rate = [all](shard_key key) {
        return key >= 3000 && key < 3200 ? all * 0.45 / 200 : all * 0.55 / (lastKey + 1 - 200);
    };
    loaded_owners owners = evenOwners(30, rate, 50);
    CHECK(owners.highest() > 6.5);
    owners.moveOnce();
    CHECK(owners.highest() < 2.5);
    owners.moveOnce();
    CHECK(owners.highest() < 1.2);
    owners.moveOnce();
    CHECK(owners.highest() < 0.95);
    // Only keys of the busy area and of small ranges beside it move.
    CHECK(owners.moved < 4000);
}

// Load pattern: keys are used by a power law, and neighbours are alike.
TEST_CASE("skewed keys come level in a few rounds", "[keyspace]")
{
    const key_rate rate = [](shard_key key) { return 40.0 / std::pow(1.0 + key / 8.0, 0.87); };
    loaded_owners owners = evenOwners(30, rate, 1);
    double sum = 0;
    for (const auto &[id, intervals] : owners.keys) {
        sum += owners.load(id).utilization;
    }
    owners.capacity = sum / 30 / 0.55;
    for (int round = 0; round < 5; ++round) {
        owners.moveOnce();
    }
    CHECK(owners.highest() < 0.9);
    const size_t moved = owners.moved;
    owners.moveOnce();
    owners.moveOnce();
    CHECK(owners.moved - moved < 2000);
}

// Load pattern: after a start of everything one upstream owns all keys, and all are used evenly.
TEST_CASE("an owner of all keys gives a part that one move may take", "[keyspace]")
{
    const auto even = [](shard_key) { return 0.01; };
    const auto moves = chooseMoves({{0, lastKey}}, even, {a, 9, 3.0}, {{b, 9, 0.0}});
    REQUIRE(moves.size() == 1);
    CHECK(moves[0].keys.count() <= (lastKey + 1) / 4);
    CHECK(moves[0].keys.count() >= (lastKey + 1) / 16);
}

TEST_CASE("a faster owner gets more of the load", "[keyspace]")
{
    const auto even = [](shard_key) { return 0.01; };
    const auto moves = chooseMoves({{0, 16383}}, even, {a, 9, 1.4, 100ms},
                                   {{b, 9, 0.2, 50ms}, {c, 9, 0.2, 200ms}});
    REQUIRE(moves.size() == 2);
    const auto &[fast, slow] =
        moves[0].target == b ? std::pair(moves[0], moves[1]) : std::pair(moves[1], moves[0]);
    CHECK(fast.keys.count() == Approx(4.0 * slow.keys.count()).epsilon(0.02));
}

// Load pattern: one key is asked for six times what an upstream serves, and the keys around it are
// busy. Its owner can't be relieved, but whoever asks for its other keys would be refused with it.
TEST_CASE("the keys beside one that nobody can carry go to other owners", "[keyspace]")
{
    constexpr shard_key hot = 1000;
    const auto rate = [](shard_key key) {
        const bool isNear = key + 10 >= hot && key <= hot + 10;
        return key == hot ? 400.0 : isNear ? 1.5 : 0.0133;
    };
    std::vector<key_interval> own{{0, 2183}};
    double rest = 0;
    for (shard_key key = own[0].first; key <= own[0].last; ++key) {
        rest += key == hot ? 0 : rate(key);
    }
    std::vector<owner_load> others;
    others.reserve(10);
    for (int i = 0; i < 10; ++i) {
        others.push_back({{"peer" + std::to_string(i), 1}, 6, 0.65, 91ms});
    }
    double moved = 0;
    for (int round = 0; round < 3; ++round) {
        const double utilization = (400 + rest - moved) * 0.091 / 6;
        for (const planned_move &move : chooseMoves(own, rate, {a, 6, utilization, 91ms}, others)) {
            CHECK_FALSE(move.keys.contains(hot));
            std::vector<key_interval> left;
            for (const key_interval &interval : own) {
                if (!interval.contains(move.keys.first)) {
                    left.push_back(interval);
                    continue;
                }
                if (interval.first < move.keys.first) {
                    left.push_back({interval.first, move.keys.first - 1});
                }
                if (move.keys.last < interval.last) {
                    left.push_back({move.keys.last + 1, interval.last});
                }
            }
            own = left;
            for (shard_key key = move.keys.first; key <= move.keys.last; ++key) {
                moved += rate(key);
            }
        }
        CAPTURE(round, moved, rest);
        CHECK(moved > (round == 0 ? 0.5 : 0.8) * rest);
    }
}

TEST_CASE("keys stay where moving them helps nobody", "[keyspace]")
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

TEST_CASE("a newcomer gets half of the keys of the largest owner", "[keyspace]")
{
    const std::vector<range_candidate> members{{a, 9}, {b, 9}, {c, 9}};
    const key_placement placement = twoOwners();
    const auto byA = chooseShareForNewcomer(placement, a, members);
    const auto byB = chooseShareForNewcomer(placement, b, members);
    CHECK(byA.has_value() != byB.has_value());
    CHECK((byA ? *byA : *byB).target == c);
    CHECK((byA ? *byA : *byB).keys.count() == 16384);
    CHECK_FALSE(chooseShareForNewcomer(placement, a, {{a, 9}, {b, 9}}));
}
