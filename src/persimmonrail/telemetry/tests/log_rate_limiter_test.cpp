#include "persimmonrail/telemetry/log_rate_limiter.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

TEST_CASE("lines beyond the limit per second are dropped and counted", "[telemetry]")
{
    const steady_time start = steady_time(100s);
    log_rate_limiter limiter(3);
    uint64_t dropped = 0;
    int written = 0;
    for (int i = 0; i < 10; ++i) {
        written += limiter.allowLine(start, dropped) ? 1 : 0;
        CHECK(dropped == 0);
    }
    CHECK(written == 3);
    CHECK(limiter.allowLine(start + 1s, dropped));
    CHECK(dropped == 7);
    CHECK(limiter.allowLine(start + 1s, dropped));
    CHECK(dropped == 0);
    CHECK(limiter.totalDropped() == 7);
    log_rate_limiter unlimited(0);
    for (int i = 0; i < 1000; ++i) {
        CHECK(unlimited.allowLine(start, dropped));
    }
}
