#include "persimmonrail/ownership/write_rate_limiter.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against changes that can wait using up the calls that a failover needs, and against a
// reserve above the burst that blocks them for good.
TEST_CASE("Deferrable calls leave the reserve", "[pacing]")
{
    struct row
    {
        double burst;
        double reserve;
        int deferrable;
        int urgent;
    };
    const auto row = GENERATE(values<struct row>({{8, 4, 4, 4}, {8, 0, 8, 0}, {1, 4, 1, 0}}));
    write_rate_limiter limiter({.perSecond = 1, .burst = row.burst, .reserve = row.reserve}, 1);
    const steady_time now{milliseconds(1000)};
    int deferrable = 0;
    for (; limiter.isReadyForDeferrable(now); ++deferrable) {
        limiter.take(now);
    }
    int urgent = 0;
    for (; limiter.isReady(now); ++urgent) {
        limiter.take(now);
    }
    CHECK(deferrable == row.deferrable);
    CHECK(urgent == row.urgent);
}
