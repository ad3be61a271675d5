#include "persimmonrail/admission/admission_queue.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time() + 1h;

// An upstream whose answers take 5 ms on average (exponential), times `slowness`, and longer if
// more requests run than it has room for.
struct fake_upstream
{
    int room = 10;
    double slowness = 1;
    std::mt19937_64 random{7};
    steady_time now = start;

    void respond(concurrency_limit &limit, int count)
    {
        std::exponential_distribution<double> service(200);
        for (int i = 0; i < count; ++i) {
            const double queueing = std::max(1.0, static_cast<double>(limit.current()) / room);
            const auto latency = std::chrono::duration_cast<std::chrono::nanoseconds>(
                std::chrono::duration<double>(service(random) * slowness * queueing));
            now += 1ms;
            limit.recordResponse(0, latency, now);
        }
    }
};

} // namespace

// Guards against a limit that does not follow the upstream down, or does not come back.
TEST_CASE("the limit follows the room of the upstream", "[admission]")
{
    struct
    {
        const char *description;
        std::function<void(fake_upstream &)> change;
        int lowest;
        int highest;
    } const rows[] = {
        {"steady", [](fake_upstream &) {}, 10, 10},
        {"half the room", [](fake_upstream &upstream) { upstream.room = 5; }, 5, 8},
        {"a fifth of the room", [](fake_upstream &upstream) { upstream.room = 2; }, 1, 4},
        // A lower limit would only waste slots.
        {"slower work", [](fake_upstream &upstream) { upstream.slowness = 3; }, 10, 10},
    };
    for (const auto &row : rows) {
        INFO(row.description);
        concurrency_limit limit(10);
        fake_upstream upstream;
        upstream.respond(limit, 2000);
        REQUIRE(limit.current() == 10);
        row.change(upstream);
        upstream.respond(limit, 1000);
        CHECK(limit.current() >= row.lowest);
        CHECK(limit.current() <= row.highest);
        upstream.room = 10;
        upstream.respond(limit, 2000);
        CHECK(limit.current() == 10);
    }
}

// Guards against an upstream that sheds and is offered as much as before, and against attempts to
// raise the limit that never become rarer.
TEST_CASE("refusals lower the limit, and failing raises become rare", "[admission]")
{
    concurrency_limit limit(10);
    fake_upstream upstream;
    upstream.respond(limit, 1000);
    int refusals = 0;
    for (int i = 0; i < 20000; ++i) {
        upstream.respond(limit, 1);
        if (limit.current() > 5) {
            limit.noteOverload(upstream.now);
            ++refusals;
        }
    }
    CHECK(limit.current() <= 6);
    CHECK(limit.current() >= 4);
    // The echo of 50 ms may count several times while the limit comes down from 10.
    CHECK(refusals < 300);
    upstream.respond(limit, 12000);
    CHECK(limit.current() == 10);
    limit.setSlots(4);
    CHECK(limit.current() == 4);
    limit.setSlots(8);
    CHECK(limit.current() == 8);
}

// Guards against full load on an upstream that has just started.
TEST_CASE("a restarted upstream is loaded step by step", "[admission]")
{
    concurrency_limit limit(10);
    fake_upstream upstream;
    upstream.respond(limit, 2000);
    limit.restart(upstream.now);
    CHECK(limit.current() <= 3);
    upstream.slowness = 10;
    upstream.respond(limit, 1000);
    CHECK(limit.current() <= 3);
    upstream.slowness = 1;
    upstream.respond(limit, 300);
    CHECK(limit.current() > 3);
    CHECK(limit.current() < 10);
    upstream.respond(limit, 2000);
    CHECK(limit.current() == 10);
}

// Guards against callers who lower the limit for all with deadlines that nobody could meet, and
// against ends that say nothing about the upstream.
TEST_CASE("only ends that speak of overload lower the limit", "[admission]")
{
    struct
    {
        request_outcome outcome;
        const char *reason;
        milliseconds latency;
        bool lowers;
    } const rows[] = {
        {request_outcome::NotRun, "shed", 1ms, true},
        {request_outcome::NotRun, "draining", 1ms, false},
        {request_outcome::NotRun, "stale-grant", 1ms, false},
        {request_outcome::Unknown, "silent-connection", 1ms, true},
        {request_outcome::Unknown, "no-answer", 1ms, true},
        {request_outcome::Unknown, "deadline-exceeded", 1000ms, true},
        {request_outcome::Unknown, "deadline-exceeded", 6ms, false},
        {request_outcome::Unknown, "caller-disconnected", 1000ms, false},
        {request_outcome::Run, "answered", 1ms, false},
    };
    for (const auto &row : rows) {
        INFO(row.reason << " after " << row.latency.count() << " ms");
        admission_queue queue({}, {0}, 10, start);
        const auto id = std::get<uint64_t>(queue.submit(0, "", start + 10s, start));
        queue.poll(start);
        queue.finish(id, row.outcome, row.reason, row.latency, start);
        CHECK((queue.limit() < 10) == row.lowers);
    }
}

// Guards against a limit that falls by chance: of many windows, some are slow.
TEST_CASE("a single slow window does not lower the limit", "[admission]")
{
    concurrency_limit limit(10);
    fake_upstream upstream;
    upstream.respond(limit, 2000);
    upstream.slowness = 2;
    upstream.respond(limit, 100);
    upstream.slowness = 1;
    for (int i = 0; i < 500; ++i) {
        CHECK(limit.current() == 10);
        upstream.respond(limit, 1);
    }
}
