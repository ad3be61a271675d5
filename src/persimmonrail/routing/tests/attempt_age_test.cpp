#include "persimmonrail/routing/attempt_age.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time{} + 1h;

} // namespace

// Guards against retries that are served as if their latency objective began with them.
TEST_CASE("a retry states the time that its caller has left", "[routing]")
{
    attempt_age ages;
    CHECK(ages.estimate("r", 3000ms, start) == 0ms);
    ages.recordFailure("r", start + 100ms);
    struct row
    {
        milliseconds stated;
        milliseconds age;
    };
    const auto row = GENERATE(values<struct row>({
        {3000ms, 0ms},
        {2990ms, 0ms},
        {2950ms, 50ms},
        {2100ms, 900ms},
        {0ms, 3000ms},
        {3500ms, 0ms},
    }));
    CAPTURE(row.stated.count());
    CHECK(ages.estimate("r", row.stated, start + 1s) == row.age);
}

// Callers that wait for different times must not lose their place while nothing fails.
TEST_CASE("a short timeout is no retry unless requests of the route have failed", "[routing]")
{
    attempt_age ages;
    CHECK(ages.estimate("r", 3000ms, start) == 0ms);
    ages.recordFailure("other", start);
    CHECK(ages.estimate("r", 1000ms, start + 1s) == 0ms);
    ages.recordFailure("r", start + 1s);
    CHECK(ages.estimate("r", 1000ms, start + 2s) == 2000ms);
    // Without further failures the estimate ends within two windows.
    CHECK(ages.estimate("r", 3000ms, start + 7s) == 0ms);
    CHECK(ages.estimate("r", 1000ms, start + 13s) == 0ms);
}

// A route whose callers wait for less from now on must not look like one with retries only.
TEST_CASE("the longest timeout of a route is forgotten", "[routing]")
{
    attempt_age ages;
    CHECK(ages.estimate("r", 9000ms, start) == 0ms);
    CHECK(ages.estimate("r", 3000ms, start + 11s) == 0ms);
    ages.recordFailure("r", start + 12s);
    CHECK(ages.estimate("r", 3000ms, start + 13s) == 0ms);
    CHECK(ages.estimate("r", 2000ms, start + 14s) == 1000ms);
}
