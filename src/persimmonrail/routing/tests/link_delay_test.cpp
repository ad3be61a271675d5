#include "persimmonrail/routing/link_delay.h"
#include "persimmonrail/routing/zone_share.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;
using std::chrono::microseconds;

namespace {

const steady_time start = steady_time(1000s);

// Records 20 responses of each of four upstreams within 2 s.
void recordZone(link_delay &links, const std::string &zone, microseconds delay,
                steady_time from = start, int slowUpstreams = 0)
{
    for (int i = 0; i < 20; ++i) {
        for (int upstream = 0; upstream < 4; ++upstream) {
            links.recordResponse(zone, zone + std::to_string(upstream),
                                 upstream < slowUpstreams ? 400ms : delay + i % 5 * 300us,
                                 from + i * 100ms);
        }
    }
}

microseconds excessOf(link_delay &links, const std::string &zone, steady_time now)
{
    const auto excess = links.excess(now);
    const auto found = excess.find(zone);
    return found == excess.end() ? microseconds(0) : found->second;
}

} // namespace

// Load: 160 responses within 2 s. The usual crossing must not count twice, and a slow link must.
TEST_CASE("a slow link costs its excess over the own zone", "[zone]")
{
    const auto [delay, least, most] = GENERATE(table<microseconds, microseconds, microseconds>(
        {{1500us, 0us, 0us}, {20ms, 16ms, 19ms}, {5s, 1s, 1s}}));
    const bool hasOwn = GENERATE(true, false);
    link_delay links("nord");
    recordZone(links, hasOwn ? "nord" : "west", 500us);
    recordZone(links, "sued", delay);
    const microseconds excess = excessOf(links, "sued", start + 2s);
    CHECK(excess >= least);
    CHECK(excess <= most);
    CHECK(excessOf(links, "nord", start + 2s) == 0us);
}

// Fault: one or two of four hosts of the zone are slow. The zone must not become expensive.
TEST_CASE("a slow upstream does not make its zone expensive", "[zone]")
{
    const int slow = GENERATE(1, 2);
    link_delay links("nord");
    recordZone(links, "nord", 500us);
    recordZone(links, "sued", 1500us, start, slow);
    CHECK(excessOf(links, "sued", start + 2s) == 0us);
    for (int i = 0; i < 20; ++i) {
        links.recordLoss("sued", "sued0", start + 2s);
    }
    CHECK(excessOf(links, "sued", start + 2s) == 0us);
}

// Fault: attempts without response, on a lossy and on a cut link.
TEST_CASE("a lossy or cut link is expensive", "[zone]")
{
    const auto [lost, least, most] = GENERATE(table<int, milliseconds, milliseconds>(
        {{0, 0ms, 0ms}, {3, 90ms, 120ms}, {10, 1000ms, 1000ms}}));
    link_delay links("nord");
    recordZone(links, "nord", 500us);
    for (int i = 0; i < 20; ++i) {
        const std::string upstream = "sued" + std::to_string(i % 2);
        if (i / 2 % 10 < lost) {
            links.recordLoss("sued", upstream, start + 1s);
        } else {
            links.recordResponse("sued", upstream, 1500us, start + 1s);
        }
    }
    CHECK(excessOf(links, "sued", start + 2s) >= least);
    CHECK(excessOf(links, "sued", start + 2s) <= most);
}

// A zone that is avoided is not measured. Its excess must fade, so that it is tried again, and end
// at once if new measurements show that the link has recovered.
TEST_CASE("the excess of a link that is not measured fades", "[zone]")
{
    link_delay links("nord");
    recordZone(links, "nord", 500us);
    recordZone(links, "sued", 80ms);
    const microseconds measured = excessOf(links, "sued", start + 2s);
    CHECK(measured > 70ms);
    CHECK(excessOf(links, "sued", start + 6500ms) > measured - 10ms);
    CHECK(excessOf(links, "sued", start + 9500ms) < measured / 4);
    CHECK(excessOf(links, "sued", start + 40s) == 0us);
    CHECK(links.excess(start + 40s).empty());
}

// Guards against decisions by a few measurements, and against zone names without a bound.
TEST_CASE("few measurements say nothing and zones are bounded", "[zone]")
{
    link_delay links("nord");
    recordZone(links, "nord", 500us);
    for (int i = 0; i < 5; ++i) {
        links.recordResponse("sued", "sued0", 300ms, start);
    }
    CHECK(excessOf(links, "sued", start) == 0us);
    for (int i = 0; i < 100; ++i) {
        recordZone(links, "zone" + std::to_string(i), 300ms);
    }
    CHECK(links.excess(start + 2s).size() <= 15);
}

// One line when a link becomes slow and one when it recovers, not one for each measurement.
TEST_CASE("a change of a link is reported once", "[zone]")
{
    link_delay links("nord");
    for (int second = 0; second < 20; second += 2) {
        const steady_time from = start + std::chrono::seconds(second);
        recordZone(links, "nord", 500us, from);
        recordZone(links, "sued", second < 10 ? 30ms : 1500us, from);
        links.excess(from + 2s);
    }
    const auto slow = links.takeChange();
    REQUIRE(slow.has_value());
    CHECK(slow->zone == "sued");
    CHECK(slow->to > 25ms);
    const auto recovered = links.takeChange();
    REQUIRE(recovered.has_value());
    CHECK(recovered->to == 0us);
    CHECK_FALSE(links.takeChange().has_value());
}

// Load: a zone at 1.5 times its capacity. A slow link takes less than an equal one, and a cut link
// nothing; what other zones send is not affected.
TEST_CASE("a zone behind an expensive link gets less", "[zone]")
{
    const auto [excess, least, most] = GENERATE(
        table<microseconds, double, double>({{0us, 0.2, 0.3}, {8ms, 0.02, 0.1}, {1s, 0.0, 0.0}}));
    zone_share_options options;
    options.crossingCost = 5ms;
    std::vector<zone_load> zones{{"nord", 6, 54, 0, 0, 600, 840, start},
                                 {"sued", 6, 54, 0, 0, 600, 210, start},
                                 {"west", 6, 54, 0, 0, 600, 210, start}};
    const double usual = planZoneSplit(zones, "west", options, start).leaving();
    zones[1].linkExcess = excess;
    zone_split split = planZoneSplit(zones, "nord", options, start);
    CAPTURE(excess.count(), split.shares["sued"], split.shares["west"]);
    CHECK(split.shares["sued"] >= least);
    CHECK(split.shares["sued"] <= most);
    CHECK(split.shares["west"] >= 0.2);
    CHECK(split.room.contains("sued") == (excess < 100ms));
    CHECK(planZoneSplit(zones, "west", options, start).leaving() == usual);
}

// Load: 60 s of a zone at 1.4 times its capacity with a slow link to one of two others. An avoided
// link is measured again from time to time, by few requests, and used again once it has recovered.
TEST_CASE("a slow link is tried again with few requests", "[zone]")
{
    const bool recovers = GENERATE(false, true);
    zone_share_options options;
    options.crossingCost = 5ms;
    zone_share share("nord", options);
    link_delay links("nord");
    double sent = 0;
    double toSlow = 0;
    double untaken = 0;
    for (int step = 0; step < 300; ++step) {
        const steady_time now = start + step * 200ms;
        const auto excess = links.excess(now);
        std::vector<zone_load> zones{{"nord", 6, 54, 0, 0, 600, 840, now},
                                     {"sued", 6, 54, 0, 0, 600, 210, now},
                                     {"west", 6, 54, 0, 0, 600, 210, now}};
        zones[1].linkExcess = excess.contains("sued") ? excess.at("sued") : microseconds(0);
        share.update(zones, now);
        const auto split = share.split().shares;
        const double part = split.contains("sued") ? split.at("sued") : 0;
        // One of 20 daemons.
        sent += 840 * 0.2 / 20;
        toSlow += part * 840 * 0.2 / 20;
        const microseconds delay = recovers && step >= 150 ? 1500us : 60ms;
        for (untaken += part * 840 * 0.2 / 20; untaken >= 1; --untaken) {
            links.recordResponse("sued", "sued" + std::to_string(step % 4), delay, now);
        }
        links.recordResponse("nord", "nord0", 500us, now);
    }
    CAPTURE(recovers, toSlow / sent);
    if (recovers) {
        CHECK(share.split().shares.at("sued") > 0.1);
    } else {
        CHECK(toSlow / sent < 0.05);
    }
}
