#include "persimmonrail/ownership/write_rate_limiter.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against deferrable calls that use up the tokens reserved for a failover, and against a
// reserve larger than the bucket that blocks deferrable calls forever.
TEST_CASE("deferrable calls do not use the reserve", "[pacing]")
{
    struct row
    {
        double burst;
        double reserve;
        int deferrable;
        int urgent;
    };
    const auto row = GENERATE(values<struct row>({{8, 4, 4, 4}, {8, 0, 8, 0}, {1, 4, 1, 0}}));
    write_rate_limiter limiter(
        {.callsPerSecond = 1, .maxBurst = row.burst, .urgentReserve = row.reserve}, 1);
    const steady_time now{milliseconds(1000)};
    int deferrable = 0;
    for (; limiter.canCallDeferrable(now); ++deferrable) {
        limiter.takeToken(now);
    }
    int urgent = 0;
    for (; limiter.canCall(now); ++urgent) {
        limiter.takeToken(now);
    }
    CHECK(deferrable == row.deferrable);
    CHECK(urgent == row.urgent);
}
