// Tests of the choice of the keys that an owner moves to other owners.
#include "test_placements.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <set>

using namespace persimmonrail;
using namespace std::chrono_literals;

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

// Load pattern: some owners are overloaded at once, and one peer has just joined. Owners learn the
// loads late, so all of them decide by the same ones.
TEST_CASE("overloaded owners do not all move keys to the least loaded peer", "[keyspace]")
{
    constexpr int ownerCount = 80;
    const auto isHot = [](int owner) { return owner % 8 == 0; };
    const key_rate rate = [&isHot](shard_key key) {
        const auto owner = static_cast<int>(key * ownerCount / (lastKey + 1));
        return owner == 1 ? 0.0 : isHot(owner) ? 1.5 : 0.6;
    };
    loaded_owners owners = makeEqualOwners(ownerCount, rate, 819);
    std::vector<owner_load> loads;
    for (const auto &[id, intervals] : owners.keys) {
        loads.push_back(owners.load(id));
    }
    const loaded_owners before = owners;
    for (const owner_load &self : loads) {
        std::vector<owner_load> others = loads;
        std::erase_if(others, [&self](const owner_load &other) { return other.id == self.id; });
        for (const planned_move &move : chooseMoves(before.keys.at(self.id), rate, self, others)) {
            owners.applyMove(self.id, move);
        }
    }
    CHECK(before.maxUtilization() > 1.4);
    CHECK(owners.maxUtilization() < 1.25);
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

// Guards against a zone of 15 upstreams that comes back and gets its keys one upstream after the
// other: each round one owner gave keys to one newcomer.
TEST_CASE("many upstreams without keys get keys at the same time", "[keyspace]")
{
    std::vector<range_candidate> owners;
    std::vector<range_candidate> members;
    for (int i = 0; i < 59; ++i) {
        const range_candidate member{{"m" + std::to_string(100 + i), 1}, 9};
        members.push_back(member);
        if (i >= 15) {
            owners.push_back(member);
        }
    }
    const key_placement placement = assignUnowned(emptyPlacement("s"), owners);
    key_placement next = placement;
    std::set<upstream_id> newOwners;
    for (const range_candidate &owner : owners) {
        // Owners list themselves first.
        std::vector<range_candidate> seen{owner};
        std::copy_if(members.begin(), members.end(), std::back_inserter(seen),
                     [&](const auto &member) { return member.id != owner.id; });
        if (const auto move = chooseMoveToEmptyOwner(placement, owner.id, seen)) {
            CHECK(newOwners.insert(move->target).second);
            next = moveRange(next, move->keys, move->target, "");
        }
    }
    CHECK(newOwners.size() == 15);
    for (const range_candidate &member : members) {
        CHECK(ownedKeys(next, member.id) > 0);
    }
}
