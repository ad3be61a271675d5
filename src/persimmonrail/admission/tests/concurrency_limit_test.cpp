#include "persimmonrail/admission/admission_queue.h"

#include <catch2/catch.hpp>

#include <functional>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time() + 1h;

// An upstream with exponentially distributed latencies. The mean latency is 5 ms times
// `serviceTimeFactor`, and grows in proportion while the limit exceeds `capacity`.
struct fake_upstream
{
    int capacity = 10;
    double serviceTimeFactor = 1;
    std::mt19937_64 random{7};
    steady_time now = start;

    // Records `count` responses, one each millisecond.
    void respond(concurrency_limit &limit, int count)
    {
        std::exponential_distribution<double> service(200);
        for (int i = 0; i < count; ++i) {
            const double queueing = std::max(1.0, static_cast<double>(limit.current()) / capacity);
            const auto latency = std::chrono::duration_cast<std::chrono::nanoseconds>(
                std::chrono::duration<double>(service(random) * serviceTimeFactor * queueing));
            now += 1ms;
            limit.recordResponse(0, latency, now);
        }
    }
};

} // namespace

// Guards against a limit that does not decrease with the capacity of the upstream, or does not
// recover.
TEST_CASE("the limit follows the capacity of the upstream", "[admission]")
{
    struct
    {
        const char *description;
        std::function<void(fake_upstream &)> change;
        int minLimit;
        int maxLimit;
    } const rows[] = {
        {"steady", [](fake_upstream &) {}, 10, 10},
        {"half the capacity", [](fake_upstream &upstream) { upstream.capacity = 5; }, 5, 8},
        {"a fifth of the capacity", [](fake_upstream &upstream) { upstream.capacity = 2; }, 1, 4},
        // Here a lower limit does not shorten the latencies and would only waste slots.
        {"longer service times", [](fake_upstream &upstream) { upstream.serviceTimeFactor = 3; },
         10, 10},
    };
    for (const auto &row : rows) {
        INFO(row.description);
        concurrency_limit limit(10);
        fake_upstream upstream;
        upstream.respond(limit, 2000);
        REQUIRE(limit.current() == 10);
        row.change(upstream);
        upstream.respond(limit, 1000);
        CHECK(limit.current() >= row.minLimit);
        CHECK(limit.current() <= row.maxLimit);
        upstream.capacity = 10;
        upstream.respond(limit, 2000);
        CHECK(limit.current() == 10);
    }
}

// Guards against a limit that stays the same although the upstream sheds requests, and against
// failing increases of the limit that do not become rarer.
TEST_CASE("overloads decrease the limit, and failing increases become rare", "[admission]")
{
    concurrency_limit limit(10);
    fake_upstream upstream;
    upstream.respond(limit, 1000);
    int overloads = 0;
    for (int i = 0; i < 20000; ++i) {
        upstream.respond(limit, 1);
        if (limit.current() > 5) {
            limit.recordOverload(upstream.now);
            ++overloads;
        }
    }
    CHECK(limit.current() <= 6);
    CHECK(limit.current() >= 4);
    // The count includes overloads that the limit ignores within 50 ms after a recorded one, while
    // the limit falls from 10.
    CHECK(overloads < 300);
    upstream.respond(limit, 12000);
    CHECK(limit.current() == 10);
    limit.setSlots(4);
    CHECK(limit.current() == 4);
    limit.setSlots(8);
    CHECK(limit.current() == 8);
}

// Guards against an upstream that gets its full load directly after a restart.
TEST_CASE("the limit rises gradually after a restart of the upstream", "[admission]")
{
    concurrency_limit limit(10);
    fake_upstream upstream;
    upstream.respond(limit, 2000);
    limit.restart(upstream.now);
    CHECK(limit.current() <= 3);
    upstream.serviceTimeFactor = 10;
    upstream.respond(limit, 1000);
    CHECK(limit.current() <= 3);
    upstream.serviceTimeFactor = 1;
    upstream.respond(limit, 300);
    CHECK(limit.current() > 3);
    CHECK(limit.current() < 10);
    upstream.respond(limit, 2000);
    CHECK(limit.current() == 10);
}

// Guards against callers with deadlines that no upstream can meet, which would decrease the limit
// for all callers, and against decreases for ends of requests that do not indicate overload.
TEST_CASE("only ends of requests that indicate overload decrease the limit", "[admission]")
{
    struct
    {
        request_outcome outcome;
        const char *reason;
        milliseconds latency;
        bool decreasesLimit;
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
        CHECK((queue.concurrencyLimit() < 10) == row.decreasesLimit);
    }
}

// Guards against a limit that decreases by chance, because some of many windows are slow.
TEST_CASE("a single slow window does not decrease the limit", "[admission]")
{
    concurrency_limit limit(10);
    fake_upstream upstream;
    upstream.respond(limit, 2000);
    upstream.serviceTimeFactor = 2;
    upstream.respond(limit, 100);
    upstream.serviceTimeFactor = 1;
    for (int i = 0; i < 500; ++i) {
        CHECK(limit.current() == 10);
        upstream.respond(limit, 1);
    }
}
