#include "persimmonrail/routing/caller_returns.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);

caller_returns::request sentAt(milliseconds at, milliseconds statedTimeout,
                               std::optional<uint64_t> key = 7, const std::string &route = "r")
{
    return {route, key, statedTimeout, start + at};
}

} // namespace

// Guards against retries that pass for first attempts, and against first attempts that pass for
// retries of callers that were rejected at about the same time.
TEST_CASE("a caller that returns is recognized by its deadline", "[returns]")
{
    struct arrival
    {
        caller_returns::request request;
        bool isReturn;
    };
    const arrival next = GENERATE(values<arrival>({
        // At once, later, and with a longer or shorter way to the daemon.
        {sentAt(6ms, 2994ms), true},
        {sentAt(500ms, 2500ms), true},
        {sentAt(515ms, 2500ms), true},
        {sentAt(485ms, 2500ms), true},
        {sentAt(530ms, 2500ms), false},
        // Another caller that waits for the full time.
        {sentAt(6ms, 3000ms), false},
        {sentAt(500ms, 2500ms, 8), false},
        {sentAt(500ms, 2500ms, std::nullopt), false},
        {sentAt(500ms, 2500ms, 7, "other"), false},
    }));
    caller_returns returns;
    const auto failed = sentAt(0ms, 3000ms);
    CHECK_FALSE(returns.takeEarlier(failed).has_value());
    returns.recordFailure(failed, {start, start + 400ms}, start + 2ms);
    CAPTURE(next.request.arrivedAt - start, next.request.statedTimeout.count());
    const auto earlier = returns.takeEarlier(next.request);
    REQUIRE(earlier.has_value() == next.isReturn);
    if (earlier) {
        CHECK(earlier->firstArrivedAt == start);
        CHECK(returns.isDue(*earlier, next.request.arrivedAt)
              == (next.request.arrivedAt >= start + 395ms));
        CHECK_FALSE(returns.takeEarlier(next.request).has_value());
    }
}

// Callers wait for at most a third of the time that they have left.
TEST_CASE("a caller that waits as long as it may is not early", "[returns]")
{
    caller_returns returns;
    returns.recordFailure(sentAt(0ms, 900ms), {start, start + 1000ms}, start);
    const auto earlier = returns.takeEarlier(sentAt(300ms, 600ms));
    REQUIRE(earlier.has_value());
    CHECK(returns.isDue(*earlier, start + 300ms));
    CHECK_FALSE(returns.isDue(*earlier, start + 290ms));
}

// Guards against memory that grows with the failures.
TEST_CASE("failed requests are forgotten at their deadline and beyond a number", "[returns]")
{
    caller_returns returns({20ms, 5ms, 1.0 / 3, 2});
    returns.recordFailure(sentAt(0ms, 100ms, 1), {start, start}, start);
    returns.recordFailure(sentAt(0ms, 200ms, 2), {start, start}, start);
    returns.recordFailure(sentAt(0ms, 300ms, 3), {start, start}, start);
    CHECK_FALSE(returns.takeEarlier(sentAt(50ms, 50ms, 1)).has_value());
    returns.recordFailure(sentAt(0ms, 400ms, 4), {start, start}, start + 210ms);
    CHECK_FALSE(returns.takeEarlier(sentAt(210ms, 0ms, 2)).has_value());
    CHECK(returns.takeEarlier(sentAt(210ms, 90ms, 3)).has_value());
    CHECK(returns.takeEarlier(sentAt(210ms, 190ms, 4)).has_value());
}
