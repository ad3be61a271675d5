#include "persimmonrail/ownership/serving_table.h"
#include "persimmonrail/ownership/write_rate_limiter.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace persimmonrail;

namespace {

constexpr steady_time start{std::chrono::hours(1)};

steady_time after(int ms)
{
    return start + milliseconds(ms);
}

} // namespace

// Guards against a dispatch after the lease has ended, for example when the process was paused
// (rule H2 of docs/design.md).
TEST_CASE("a lease is found only while more than the dispatch margin of it remains", "[ownership]")
{
    serving_table table;
    table.publish("ledger/0", {100, 200}, 3, after(1000), start);
    struct
    {
        const char *service;
        uint64_t hash;
        int at;
        bool found;
    } const cases[] = {
        {"ledger", 100, 0, true},     {"ledger", 200, 979, true}, {"ledger", 150, 980, false},
        {"ledger", 150, 5000, false}, {"ledger", 99, 0, false},   {"ledger", 201, 0, false},
        {"led", 150, 0, false},       {"ledgers", 150, 0, false},
    };
    for (const auto &test : cases) {
        CAPTURE(test.service, test.hash, test.at);
        const auto found = table.find(test.service, test.hash, after(test.at));
        CHECK(found.has_value() == test.found);
        CHECK((!found || (found->partition == "ledger/0" && found->term == 3)));
    }
    table.publish("ledger/0-single", {150, 150}, 9, after(500), start);
    CHECK(table.find("ledger", 150, after(0))->term == 9);
    // A key with a partition of its own must not be served under the lease of the enclosing range.
    CHECK(!table.find("ledger", 150, after(600)));
    table.stop("ledger/0");
    CHECK(!table.find("ledger", 151, after(0)));
    table.publish("ledger/0", {100, 200}, 3, after(1000), start);
    CHECK(table.find("ledger", 151, after(0)));
}

// Guards against a start of the tenure that lies too early. An idempotency key that an earlier
// owner may have seen would then be accepted.
TEST_CASE("a tenure starts when its term is first served", "[ownership]")
{
    serving_table table;
    CHECK(!table.servingSince("ledger/0", 3));
    table.publish("ledger/0", {0, 9}, 3, after(1000), after(0));
    table.publish("ledger/0", {0, 9}, 3, after(1200), after(200));
    CHECK(table.servingSince("ledger/0", 3) == after(0));
    CHECK(!table.servingSince("ledger/0", 2));
    table.publish("ledger/0", {0, 9}, 5, after(5000), after(4000));
    CHECK(table.servingSince("ledger/0", 5) == after(4000));
    CHECK(!table.servingSince("ledger/0", 3));
}

// Guards against a drain that does not wait for a request admitted concurrently with stop().
TEST_CASE("every admitted request is counted once stop() has returned", "[ownership]")
{
    serving_table table;
    for (int round = 0; round < 200; ++round) {
        table.publish("ledger/0", {0, 9}, 1, after(1000), start);
        std::optional<serving_table::ticket> ticket;
        std::thread traffic([&] { ticket = table.begin("ledger", 5, after(0)); });
        table.stop("ledger/0");
        const auto counted = table.inFlight("ledger/0");
        traffic.join();
        REQUIRE(counted == (ticket.has_value() ? 1 : 0));
    }
    table.publish("ledger/0", {0, 9}, 1, after(1000), start);
    auto first = table.begin("ledger", 5, after(0));
    auto second = std::move(first);
    CHECK(table.inFlight("ledger/0") == 1);
    second.reset();
    CHECK(table.inFlight("ledger/0") == 0);
}

// Guards against a burst of writes when the platform becomes available again.
TEST_CASE("the write rate is limited, and rejected writes cause a backoff", "[ownership]")
{
    write_rate_limiter limiter({}, 1);
    int burst = 0;
    while (limiter.canCall(start) && burst < 100) {
        limiter.takeToken(start);
        ++burst;
    }
    CHECK(burst == 8);
    CHECK(!limiter.canCall(after(900)));
    CHECK(limiter.canCall(after(1000)));
    milliseconds maxWait{0};
    auto now = after(60000);
    for (int i = 0; i < 12; ++i) {
        limiter.onRejected(now);
        auto wait = milliseconds(0);
        while (limiter.isBackingOff(now + wait)) {
            wait += milliseconds(1);
        }
        CHECK(wait >= milliseconds(125));
        CHECK(wait <= milliseconds(10001));
        maxWait = std::max(maxWait, wait);
        now += wait;
    }
    CHECK(maxWait > milliseconds(5000));
    limiter.onResponse();
    limiter.onRejected(now);
    CHECK(!limiter.isBackingOff(now + milliseconds(251)));
}
