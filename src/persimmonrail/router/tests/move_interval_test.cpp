#include "persimmonrail/router/load_age.h"
#include "persimmonrail/router/move_interval.h"
#include "persimmonrail/router/overload_moves.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

// Guards against a service with many owners whose moves begin faster than slow hosts can write the
// record: owners lost up to 16 writes in a row, and their released keys were unserved meanwhile.
TEST_CASE("the owners of one service together begin at most five moves a second", "[router]")
{
    for (size_t owners = 1; owners <= 100; ++owners) {
        for (const bool isOverloaded : {false, true}) {
            CAPTURE(owners, isOverloaded);
            const milliseconds interval = minMoveInterval(owners, isOverloaded);
            CHECK(interval >= 200ms * owners);
            CHECK(interval >= (isOverloaded ? 1000ms : 4000ms));
        }
    }
    CHECK(minMoveInterval(4, true) == 1000ms);
    CHECK(minMoveInterval(4, false) == 4000ms);
    CHECK(minMoveInterval(30, true) == 6000ms);
}

// Load: a hot range of 4 to 5 s at 60 owners, of which each could move keys once in 12 s.
TEST_CASE("with a writer only an overloaded owner moves keys sooner", "[router]")
{
    CHECK(minMoveInterval(60, true, true) == 500ms);
    CHECK(minMoveInterval(60, false, true) == minMoveInterval(60, false));
    CHECK(minMoveInterval(60, true) == 12s);
    std::vector<owner_load> others(40, owner_load{{"p", 1}, 9, 0.5});
    const owner_load slightly{{"a", 1}, 9, 1.1};
    const owner_load heavily{{"a", 1}, 9, 9.0};
    CHECK(targetsForOverload(slightly, others, {}) == 8);
    CHECK(targetsForOverload({{"a", 1}, 9, 4.9}, others, {}) == 10);
    CHECK(targetsForOverload(heavily, others, {}) == 12);
    CHECK(targetsForOverload(heavily, {}, {}) == 8);
}

// Guards against moves that cost more calls to the store than the requests that they save, and
// against moves from an owner that stays overloaded by a single key.
TEST_CASE("an owner moves keys only if enough requests are served elsewhere", "[router]")
{
    struct row
    {
        std::string name;
        double rate;
        // Requests per second of key 500 in addition.
        double hotKeyRate;
        bool isWorthwhile;
    };
    constexpr double capacity = 40;
    constexpr shard_key keys = 1000;
    const std::vector<row> rows = {
        {"below its capacity", 38, 0, false}, {"slightly above its capacity", 42, 0, false},
        {"above its capacity", 60, 0, true},  {"far above its capacity", 300, 0, true},
        {"one key has most", 20, 100, false}, {"one key has a third", 60, 30, true},
    };
    const std::vector<owner_load> others(40, owner_load{{"p", 1}, 9, 0.3});
    for (const row &row : rows) {
        CAPTURE(row.name);
        const auto rate = [&](shard_key key) {
            return row.rate / keys + (key == 500 ? row.hotKeyRate : 0);
        };
        const owner_load self{{"a", 1}, 9, (row.rate + row.hotKeyRate) / capacity};
        const auto moves = chooseWorthwhileMoves({{0, keys - 1}}, rate, self, others);
        CHECK(moves.empty() != row.isWorthwhile);
    }
}

// Guards against moves each time that an upstream is slow for 400 ms, and against moves from an
// upstream that has just become cold that wait for seconds.
TEST_CASE("a short slow span changes the mean service time little", "[router]")
{
    mean_slot_time time;
    for (int tick = 0; tick < 100; ++tick) {
        time.update(tick % 20 >= 16 ? 300ms : 100ms, 9);
        CHECK(time.serviceTime() < 185ms);
    }
    time.update(900ms, 3);
    CHECK(time.serviceTime() == 900ms);
}

// Load: many owners lose a conditional write at the same time, and all tried again at once.
TEST_CASE("owners try again at different times after a conflict", "[router]")
{
    for (const uint64_t random : {uint64_t{0}, uint64_t{945}, ~uint64_t{0}}) {
        const milliseconds delay = delayAfterConflict(63, random);
        CHECK(delay >= 200ms);
        CHECK(delay <= 1145ms);
    }
    CHECK(delayAfterConflict(63, 945) == 1145ms);
    CHECK(delayAfterConflict(0, 77) == 200ms);
}

// Guards against moves by loads from before the traffic, which all owners made in its first two
// seconds, and against a peer that gets keys again before its load shows the ones before.
TEST_CASE("loads count only if they show the traffic and the last move", "[router]")
{
    const steady_time start{100s};
    traffic_onset onset;
    CHECK_FALSE(onset.loadsValidSince());
    onset.update(true, start);
    CHECK(*onset.loadsValidSince() == start + 2s);
    onset.update(false, start + 2s);
    onset.update(true, start + 2900ms);
    CHECK(*onset.loadsValidSince() == start + 2s);
    onset.update(false, start + 6s);
    CHECK_FALSE(onset.loadsValidSince());

    const upstream_id b{"b", 1};
    const upstream_id c{"c", 1};
    move_history history;
    history.recordMove(b, start + 5s);
    const std::vector<owner_load> loads = {
        {b, 9, 0.1, {}, start + 4s}, {c, 9, 0.1, {}, start + 4s}, {c, 9, 0.1, {}, start}};
    const auto usable = history.usableLoads(loads, start + 1s);
    REQUIRE(usable.size() == 1);
    CHECK(usable[0].id == c);
    CHECK(history.usableLoads({{b, 9, 0.1, {}, start + 5s}}, start).size() == 1);
}
