#include "persimmonrail/proxy/zone_usage.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

// Guards against shares that count zones without requests, or starts of long ago.
TEST_CASE("zones with arrivals have equal shares of the starts of a second", "[zones]")
{
    const steady_time start = steady_time(1000s);
    zone_usage usage;
    usage.recordArrival("nord", start);
    usage.recordStart("nord", start);
    CHECK_FALSE(usage.present(start).isExceededBy("nord"));
    usage.recordArrival("sued", start + 500ms);
    CHECK(usage.present(start + 500ms).isExceededBy("nord"));
    CHECK_FALSE(usage.present(start + 500ms).isExceededBy("sued"));
    CHECK_FALSE(usage.present(start + 500ms).isExceededBy(""));
    zone_usage::shares shares = usage.present(start + 500ms);
    shares.add("sued");
    CHECK_FALSE(shares.isExceededBy("nord"));
    // The arrival and the start of the first zone are more than a second old.
    usage.recordStart("sued", start + 1100ms);
    CHECK_FALSE(usage.present(start + 1100ms).isExceededBy("nord"));
    CHECK_FALSE(usage.present(start + 1100ms).isExceededBy("sued"));
    for (int i = 0; i < 10000; ++i) {
        usage.recordStart("nord", start + 1100ms);
    }
    CHECK_FALSE(usage.present(start + 1200ms).isExceededBy("sued"));
}
