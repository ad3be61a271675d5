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

// Guards against hashes that belong to no partition or to two partitions.
TEST_CASE("ranges of equal size cover the hash space without overlap")
{
    const size_t count = GENERATE(1, 2, 3, 7, 16, 4000);
    const auto ranges = divideHashSpace(count);
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

// Guards against partition counts that differ by more than one, and against more moves than the
// share of the instance that joins or leaves.
TEST_CASE("placement stays balanced and moves no more than the share of one instance")
{
    const auto [instances, partitions] = GENERATE(
        table<int, int>({{1, 4}, {3, 12}, {4, 16}, {4, 30}, {7, 28}, {40, 160}, {50, 333}}));
    const auto hooks = simulated_fleet::hooks();
    const placement_options options;
    simulated_fleet fleet(instances, partitions);
    CHECK(fleet.planUntilStable(hooks, options) == 0);
    CHECK(fleet.view().records.size() == static_cast<size_t>(partitions));
    const int initialSpread = fleet.partitionSpread();

    fleet.addMember("new");
    const int joinMoves = fleet.planUntilStable(hooks, options);
    const int spreadAfterJoin = fleet.partitionSpread();
    const int joinShare = (partitions + instances) / (instances + 1);

    const int leaveShare = fleet.counts()["i0"];
    auto drainingHooks = hooks;
    drainingHooks.condition = [](const member_record &member) {
        return member.id.name == "i0" ? member_condition::Draining : member_condition::Available;
    };
    const int leaveMoves = fleet.planUntilStable(drainingHooks, options);
    CHECK(fleet.counts()["i0"] == 0);
    fleet.removeMember("i0");
    const int spreadAfterLeave = fleet.partitionSpread();
    CHECK(fleet.planUntilStable(hooks, options) == 0);

    std::cout << instances << " instances, " << partitions << " partitions: spread "
              << initialSpread << ", after join " << spreadAfterJoin << " (" << joinMoves
              << " moves, share " << joinShare << "), after leave " << spreadAfterLeave << " ("
              << leaveMoves << " moves, share " << leaveShare << ")\n";
    CHECK(initialSpread <= 1);
    CHECK(spreadAfterJoin <= 1);
    CHECK(spreadAfterLeave <= 1);
    CHECK(joinMoves <= joinShare);
    CHECK(leaveMoves == leaveShare);
}

// Guards against planned moves of partitions whose owner is lost, since such moves cannot complete,
// and against an imbalance that remains after the standbys have claimed these partitions.
TEST_CASE("partitions of a lost owner are not moved but claimed by standbys")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(5, 20);
    fleet.planUntilStable(hooks, {});
    fleet.removeMember("i2");
    fleet.addMember("i2");
    for (const auto &change : planPlacement(fleet.view(), "s", hooks, {})) {
        CHECK(fleet.view().findMember(change.record.owner) != nullptr);
    }
    fleet.removeMember("i2");
    fleet.planUntilStable(hooks, {});
    fleet.claimByStandbys();
    CHECK(fleet.partitionSpread() > 1);
    CHECK(fleet.planUntilStable(hooks, {}) <= 4);
    CHECK(fleet.partitionSpread() <= 1);
}

// Guards against too many concurrent moves, which would make many partitions unavailable at once.
TEST_CASE("the number of concurrent moves is limited")
{
    const auto [limit, inProgress, expected] =
        GENERATE(table<size_t, size_t, size_t>({{2, 0, 2}, {2, 1, 1}, {2, 2, 0}, {5, 1, 4}}));
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(3, 60);
    fleet.planUntilStable(hooks, {});
    fleet.addMember("new");
    placement_options options;
    options.maxConcurrentMoves = inProgress;
    for (const auto &change : planPlacement(fleet.view(), "s", hooks, options)) {
        fleet.write(change);
    }
    options.maxConcurrentMoves = limit;
    const auto changes = planPlacement(fleet.view(), "s", hooks, options);
    CHECK(countOf(changes, change_kind::Move) == expected);
}

// Guards against moves to an instance that has left, which would leave partitions without owner.
TEST_CASE("a move to an instance that has left is cancelled")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(3, 12);
    fleet.planUntilStable(hooks, {});
    fleet.addMember("new");
    for (const auto &change : planPlacement(fleet.view(), "s", hooks, {})) {
        fleet.write(change);
    }
    fleet.removeMember("new");
    const auto changes = planPlacement(fleet.view(), "s", hooks, {});
    CHECK(countOf(changes, change_kind::CancelMove) == 2);
    CHECK(countOf(changes, change_kind::Move) == 0);
    for (const auto &change : changes) {
        CHECK(change.record.nextOwner.isNull());
        CHECK(change.expectedVersion == fleet.view().records[change.record.partition].version);
    }
}

// Guards against moves of lost owners that block all other moves: such moves cannot complete.
TEST_CASE("a move of a lost owner does not count as a concurrent move")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(3, 30);
    fleet.planUntilStable(hooks, {});
    fleet.addMember("new");
    std::set<std::string> owners;
    for (const auto &change : planPlacement(fleet.view(), "s", hooks, {})) {
        fleet.write(change);
        if (change.kind == change_kind::Move) {
            owners.insert(change.record.owner.name);
        }
    }
    REQUIRE(owners.size() < 3);
    for (const auto &owner : owners) {
        fleet.removeMember(owner);
    }
    const auto changes = planPlacement(fleet.view(), "s", hooks, {});
    CHECK(countOf(changes, change_kind::Move) == 2);
    for (const auto &change : changes) {
        CHECK((change.kind != change_kind::Move || owners.count(change.record.owner.name) == 0));
    }
}

// Guards against partitions that run out of standbys because lost standbys are not replaced.
TEST_CASE("lost standbys are replaced")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(6, 24);
    fleet.planUntilStable(hooks, {});
    fleet.removeMember("i0");
    placement_options options;
    options.maxStandbyRepairs = 3;
    CHECK(countOf(planPlacement(fleet.view(), "s", hooks, options), change_kind::RepairStandbys)
          == 3);
    fleet.claimByStandbys();
    fleet.planUntilStable(hooks, options);
    for (const auto &[partition, versioned] : fleet.view().records) {
        CHECK(versioned.record.standbys.size() == 3);
        for (const auto &standby : versioned.record.standbys) {
            CHECK(fleet.view().findMember(standby) != nullptr);
            CHECK(standby != versioned.record.owner);
        }
    }
}

// Guards against incomplete records, and against records of services that cannot be placed.
TEST_CASE("no record is created without witnesses, members or partitions")
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

// Guards against a second owner for hashes that already belong to a record, after the number of
// partitions was changed.
TEST_CASE("no record is created for a range that overlaps a record")
{
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(3, 12);
    fleet.planUntilStable(hooks, {});
    service_document document;
    document.service = "s";
    document.partitions = 16;
    fleet.view().documents["s"] = std::make_shared<const service_document>(document);
    CHECK(planPlacement(fleet.view(), "s", hooks, {}).empty());
}

// Guards against a placement that oscillates because the observed request rates are noisy, and
// against load-driven moves that make the partition counts differ by more than one.
TEST_CASE("load is balanced and the placement becomes stable")
{
    const auto [instances, partitions, seed] =
        GENERATE(table<int, int, int>({{4, 16, 1}, {10, 40, 2}, {20, 80, 3}, {20, 160, 4}}));
    const auto hooks = simulated_fleet::hooks();
    simulated_fleet fleet(instances, partitions);
    fleet.planUntilStable(hooks, {});
    std::mt19937_64 random(static_cast<uint64_t>(seed));
    std::exponential_distribution<double> rate(0.01);
    std::map<std::string, double> rates;
    for (const auto &[partition, record] : fleet.view().records) {
        rates[partition] = rate(random);
    }
    // Returns the load of the busiest instance relative to the mean load.
    const auto imbalance = [&, instances = instances] {
        std::map<std::string, double> loads;
        double total = 0;
        for (const auto &[partition, versioned] : fleet.view().records) {
            loads[versioned.record.owner.name] += rates[partition];
            total += rates[partition];
        }
        double highest = 0;
        for (const auto &[name, load] : loads) {
            highest = std::max(highest, load);
        }
        return highest / (total / instances);
    };
    const double before = imbalance();
    std::normal_distribution<double> noise(1.0, 0.05);
    int movesInFirstHalf = 0;
    int movesInSecondHalf = 0;
    constexpr int rounds = 400;
    for (int round = 0; round < rounds; ++round) {
        placement_options options;
        for (const auto &[partition, value] : rates) {
            options.requestRates[partition] = value * noise(random);
        }
        const int moves = fleet.planUntilStable(hooks, options, 1);
        (round < rounds / 2 ? movesInFirstHalf : movesInSecondHalf) += moves;
        REQUIRE(fleet.partitionSpread() <= 1);
    }
    std::cout << instances << " instances, " << partitions << " partitions: busiest at "
              << std::round(before * 100) << "% of the mean, then " << std::round(imbalance() * 100)
              << "%; " << movesInFirstHalf << " moves in the first " << rounds / 2 << " rounds, "
              << movesInSecondHalf << " in the next\n";
    // A partition cannot be divided except for its hot keys, so the busiest instance has at least
    // the load of the highestRate partition.
    double highestRate = 0;
    double total = 0;
    for (const auto &[partition, value] : rates) {
        highestRate = std::max(highestRate, value);
        total += value;
    }
    CHECK(imbalance() < before);
    CHECK(imbalance() <= std::max(1.2, highestRate / (total / instances)) + 0.1);
    CHECK(movesInFirstHalf <= 4 * instances);
    CHECK(movesInSecondHalf <= 4);
}
