#include "simulated_fleet.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <iostream>
#include <random>
#include <set>

using namespace persimmonrail;
using change_kind = record_change::change_kind;

namespace {

size_t countOf(const std::vector<record_change> &changes, change_kind kind)
{
    return static_cast<size_t>(
        std::count_if(changes.begin(), changes.end(),
                      [kind](const record_change &change) { return change.kind == kind; }));
}

} // namespace

// Guards against hashes that belong to no partition or to two.
TEST_CASE("equal ranges cover the hash space without overlap")
{
    const size_t count = GENERATE(1, 2, 3, 7, 16, 4000);
    const auto ranges = equalRanges(count);
    REQUIRE(ranges.size() == count);
    CHECK(ranges.front().first == 0);
    CHECK(ranges.back().last == UINT64_MAX);
    const uint64_t width = UINT64_MAX / count;
    for (size_t i = 0; i < count; ++i) {
        REQUIRE((i == 0 || ranges[i].first == ranges[i - 1].last + 1));
        const uint64_t size = ranges[i].last - ranges[i].first;
        REQUIRE(size <= width);
        REQUIRE(size >= width - 1);
    }
}

// Guards against imbalance beyond one partition and against more moves than the share of the
// instance that joins or leaves.
TEST_CASE("placement is balanced and changes no more than the share")
{
    const auto [instances, partitions] = GENERATE(
        table<int, int>({{1, 4}, {3, 12}, {4, 16}, {4, 30}, {7, 28}, {40, 160}, {50, 333}}));
    const auto hooks = simulated_fleet::hooks();
    const placement_options options;
    simulated_fleet fleet(instances, partitions);
    CHECK(fleet.settle(hooks, options) == 0);
    CHECK(fleet.view().records.size() == static_cast<size_t>(partitions));
    const int initial = fleet.spread();

    fleet.join("new");
    const int joinMoves = fleet.settle(hooks, options);
    const int joined = fleet.spread();
    const int joinShare = (partitions + instances) / (instances + 1);

    const int leaving = fleet.counts()["i0"];
    auto draining = hooks;
    draining.condition = [](const member_record &member) {
        return member.id.name == "i0" ? member_condition::Draining : member_condition::Available;
    };
    const int leaveMoves = fleet.settle(draining, options);
    CHECK(fleet.counts()["i0"] == 0);
    fleet.leave("i0");
    const int left = fleet.spread();
    CHECK(fleet.settle(hooks, options) == 0);

    std::cout << instances << " instances, " << partitions << " partitions: spread " << initial
              << ", after join " << joined << " (" << joinMoves << " moves, share " << joinShare
              << "), after leave " << left << " (" << leaveMoves << " moves, share " << leaving
              << ")\n";
    CHECK(initial <= 1);
    CHECK(joined <= 1);
    CHECK(left <= 1);
    CHECK(joinMoves <= joinShare);
    CHECK(leaveMoves == leaving);
}

// Guards against moves of partitions whose owner can't hand them over, and against imbalance that
// remains after standbys have claimed them all.
TEST_CASE("partitions of a lost owner are left to the standbys")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(5, 20);
    fleet.settle(hooks, {});
    fleet.leave("i2");
    fleet.join("i2");
    for (const auto &change : planPlacement(fleet.view(), "s", hooks, {})) {
        CHECK(fleet.view().findMember(change.record.owner) != nullptr);
    }
    fleet.leave("i2");
    fleet.settle(hooks, {});
    fleet.claimByStandbys();
    CHECK(fleet.spread() > 1);
    CHECK(fleet.settle(hooks, {}) <= 4);
    CHECK(fleet.spread() <= 1);
}

// Guards against a flood of moves, which would make many partitions unserved at once.
TEST_CASE("moves under way are limited")
{
    const auto [limit, underWay, expected] =
        GENERATE(table<size_t, size_t, size_t>({{2, 0, 2}, {2, 1, 1}, {2, 2, 0}, {5, 1, 4}}));
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(3, 60);
    fleet.settle(hooks, {});
    fleet.join("new");
    placement_options options;
    options.movesUnderWay = underWay;
    for (const auto &change : planPlacement(fleet.view(), "s", hooks, options)) {
        fleet.write(change);
    }
    options.movesUnderWay = limit;
    const auto changes = planPlacement(fleet.view(), "s", hooks, options);
    CHECK(countOf(changes, change_kind::Move) == expected);
}

// Guards against a move whose target has gone, which would leave the partition without owner.
TEST_CASE("a move to a lost target is cancelled")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(3, 12);
    fleet.settle(hooks, {});
    fleet.join("new");
    for (const auto &change : planPlacement(fleet.view(), "s", hooks, {})) {
        fleet.write(change);
    }
    fleet.leave("new");
    const auto changes = planPlacement(fleet.view(), "s", hooks, {});
    CHECK(countOf(changes, change_kind::CancelMove) == 2);
    CHECK(countOf(changes, change_kind::Move) == 0);
    for (const auto &change : changes) {
        CHECK(change.record.nextOwner.isNull());
        CHECK(change.expectedVersion == fleet.view().records[change.record.partition].version);
    }
}

// Guards against lost owners whose moves can't complete holding up all other moves.
TEST_CASE("a move of a lost owner doesn't count as under way")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(3, 30);
    fleet.settle(hooks, {});
    fleet.join("new");
    std::set<std::string> owners;
    for (const auto &change : planPlacement(fleet.view(), "s", hooks, {})) {
        fleet.write(change);
        if (change.kind == change_kind::Move) {
            owners.insert(change.record.owner.name);
        }
    }
    REQUIRE(owners.size() < 3);
    for (const auto &owner : owners) {
        fleet.leave(owner);
    }
    const auto changes = planPlacement(fleet.view(), "s", hooks, {});
    CHECK(countOf(changes, change_kind::Move) == 2);
    for (const auto &change : changes) {
        CHECK((change.kind != change_kind::Move || owners.count(change.record.owner.name) == 0));
    }
}

// Guards against partitions without successor after the loss of standbys.
TEST_CASE("lost standbys are replaced")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(6, 24);
    fleet.settle(hooks, {});
    fleet.leave("i0");
    placement_options options;
    options.repairs = 3;
    CHECK(countOf(planPlacement(fleet.view(), "s", hooks, options), change_kind::RepairStandbys)
          == 3);
    fleet.claimByStandbys();
    fleet.settle(hooks, options);
    for (const auto &[partition, versioned] : fleet.view().records) {
        CHECK(versioned.record.standbys.size() == 3);
        for (const auto &standby : versioned.record.standbys) {
            CHECK(fleet.view().findMember(standby) != nullptr);
            CHECK(standby != versioned.record.owner);
        }
    }
}

TEST_CASE("nothing is created without witnesses, members or partitions")
{
    const auto [name, instances, partitions, witnesses] =
        GENERATE(table<std::string, int, int, int>(
            {{"no witnesses", 3, 12, 2}, {"no members", 0, 12, 3}, {"not partitioned", 3, 0, 3}}));
    CAPTURE(name);
    auto hooks = simulated_fleet::hooks();
    hooks.chooseWitnesses = [witnesses = witnesses](auto &&...) {
        return std::vector<instance_id>(static_cast<size_t>(witnesses), {"w", 1});
    };
    simulated_fleet fleet(instances, partitions);
    CHECK(planPlacement(fleet.view(), "s", hooks, {}).empty());
}

// Guards against a second owner for hashes that a record of another division already covers.
TEST_CASE("ranges that overlap a record are not created")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(3, 12);
    fleet.settle(hooks, {});
    service_document document;
    document.service = "s";
    document.partitions = 16;
    fleet.view().documents["s"] = std::make_shared<const service_document>(document);
    CHECK(planPlacement(fleet.view(), "s", hooks, {}).empty());
}

// Guards against placement that oscillates with the noise of the observed rates, and against load
// moves that break the bound on numbers.
TEST_CASE("load is evened out and placement comes to rest")
{
    const auto [instances, partitions, seed] =
        GENERATE(table<int, int, int>({{4, 16, 1}, {10, 40, 2}, {20, 80, 3}, {20, 160, 4}}));
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(instances, partitions);
    fleet.settle(hooks, {});
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    std::exponential_distribution<double> rate(0.01);
    std::map<std::string, double> rates;
    for (const auto &[partition, record] : fleet.view().records) {
        rates[partition] = rate(random);
    }
    // Load of the busiest instance relative to the mean.
    const auto imbalance = [&, instances = instances] {
        std::map<std::string, double> loads;
        double total = 0;
        for (const auto &[partition, versioned] : fleet.view().records) {
            loads[versioned.record.owner.name] += rates[partition];
            total += rates[partition];
        }
        double most = 0;
        for (const auto &[name, load] : loads) {
            most = std::max(most, load);
        }
        return most / (total / instances);
    };
    const double before = imbalance();
    std::normal_distribution<double> noise(1.0, 0.05);
    int early = 0;
    int late = 0;
    constexpr int rounds = 400;
    for (int round = 0; round < rounds; ++round) {
        placement_options options;
        for (const auto &[partition, value] : rates) {
            options.weights[partition] = value * noise(random);
        }
        const int moves = fleet.settle(hooks, options, 1);
        (round < rounds / 2 ? early : late) += moves;
        REQUIRE(fleet.spread() <= 1);
    }
    std::cout << instances << " instances, " << partitions << " partitions: busiest at "
              << std::round(before * 100) << "% of the mean, then " << std::round(imbalance() * 100)
              << "%; " << early << " moves in the first " << rounds / 2 << " rounds, " << late
              << " in the next\n";
    // Only hot keys can be split off a partition, so an instance keeps at least the load of one.
    double heaviest = 0;
    double total = 0;
    for (const auto &[partition, value] : rates) {
        heaviest = std::max(heaviest, value);
        total += value;
    }
    CHECK(imbalance() < before);
    CHECK(imbalance() <= std::max(1.2, heaviest / (total / instances)) + 0.1);
    CHECK(early <= 4 * instances);
    CHECK(late <= 4);
}
