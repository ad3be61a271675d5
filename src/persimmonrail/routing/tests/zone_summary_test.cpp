#include "persimmonrail/routing/arrival_rates.h"
#include "persimmonrail/routing/route_bytes.h"
#include "persimmonrail/routing/zone_summary.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);

} // namespace

// Guards against a summary whose ages refer to the clock of another daemon.
TEST_CASE("an encoded summary of zones is parsed unchanged", "[zone]")
{
    const std::vector<zone_load> zones{{"nord", 6, 54, 20, 3, 411.5, 300.25, start - 700ms},
                                       {"sued", 0, 0, 0, 0, 0, 12, start}};
    const auto parsed = parseZoneSummary(encodeZoneSummary(zones, start), start + 5s);
    REQUIRE(parsed.size() == 2);
    CHECK(parsed[0].zone == "nord");
    CHECK(parsed[0].upstreams == 6);
    CHECK(parsed[0].waiting == 3);
    CHECK(parsed[0].capacity == Approx(411.5));
    CHECK(parsed[0].demand == Approx(300.2).margin(0.06));
    CHECK(parsed[0].reportedAt == start + 4300ms);
    CHECK(parsed[1].capacity == 0);
}

// Guards against values of another daemon that no service has.
TEST_CASE("a malformed summary of zones is ignored", "[zone]")
{
    const std::string text =
        GENERATE("", "nord", "nord:1:2:3:4:5:6", "nord:1:2:3:4:5:6:7:8", "no rd:1:2:3:4:5:6:7",
                 "nord:-1:2:3:4:5:6:7", "nord:1:2:3:4:nan:6:7", "nord:1:2:3:4:inf:6:7",
                 "nord:1:2:3:4:5:-6:7", "nord:1:2:3:4:5:6:-7", ":1:2:3:4:5:6:7",
                 "nord:1:2:3:4:5:6:7,", "nord:99999999999:2:3:4:5:6:7");
    CHECK(parseZoneSummary(text, start).empty());
    CHECK(parseZoneSummary(std::string(2000, 'a'), start).empty());
}

// The header field must stay small however many zones a daemon knows.
TEST_CASE("a summary has at most 8 zones and 1,024 characters", "[zone]")
{
    std::vector<zone_load> zones;
    zones.reserve(21);
    for (int i = 0; i < 20; ++i) {
        zones.push_back(
            {"zone-" + std::to_string(i), 1000, 9000, 9000, 500, 12345.6, 12345.6, start - 6s});
    }
    zones.insert(zones.begin(), {"bad name,", 1, 1, 1, 1, 1, 1, start});
    const std::string text = encodeZoneSummary(zones, start);
    CHECK(text.size() <= 1024);
    CHECK(parseZoneSummary(text, start).size() == 8);
}

// Load: 100 requests a second for 5 s, then none.
TEST_CASE("the rate of arrivals follows the requests", "[zone]")
{
    arrival_rates arrivals;
    for (int i = 0; i < 500; ++i) {
        arrivals.record("nord", start + i * 10ms);
    }
    CHECK(arrivals.rates(start + 5s).at("nord") == Approx(100).epsilon(0.03));
    CHECK(arrivals.rates(start + 8s).at("nord") < 10);
    CHECK(arrivals.rates(start + 60s).empty());
    for (int i = 0; i < 100; ++i) {
        arrivals.record("zone-" + std::to_string(i), start + 5s);
    }
    CHECK(arrivals.rates(start + 5s).size() == 16);
}

TEST_CASE("the size of a route's responses is averaged", "[zone]")
{
    route_bytes bytes;
    CHECK(bytes.mean("download") == 0);
    for (int i = 0; i < 100; ++i) {
        bytes.record("download", 50000);
        bytes.record("lookup", 300);
    }
    CHECK(bytes.mean("download") == Approx(50000));
    CHECK(bytes.mean("lookup") == Approx(300));
}
