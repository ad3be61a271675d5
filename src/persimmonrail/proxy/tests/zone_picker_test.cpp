#include "persimmonrail/proxy/upstream_picker.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

using result = upstream_picker::result;
const steady_time start = steady_time(1000s);

upstream_member member(const std::string &name, const std::string &zone)
{
    return {{name, 1}, "catalogue", zone, "127.0.0.1:9000", 9, false, false};
}

random_source seeded()
{
    return [engine = std::mt19937_64(3)]() mutable { return engine(); };
}

upstream_picker_options costly()
{
    upstream_picker_options options;
    options.zoneShare.crossingCost = 5ms;
    return options;
}

// States of two zones with 100 requests a second of capacity each, from the demands.
std::vector<zone_load> states(double nord, double sued, steady_time reportedAt)
{
    return {{"nord", 2, 18, 0, 0, 100, nord, reportedAt},
            {"sued", 2, 18, 0, 0, 100, sued, reportedAt}};
}

// Members of two zones, and how often each zone was chosen.
struct zone_site
{
    const upstream_member n1 = member("n1", "nord");
    const upstream_member n2 = member("n2", "nord");
    const upstream_member s1 = member("s1", "sued");
    const upstream_member s2 = member("s2", "sued");
    const std::vector<const upstream_member *> all{&n1, &n2, &s1, &s2};

    static double shareOfOther(upstream_picker &picker,
                               const std::vector<const upstream_member *> &members, steady_time now)
    {
        int other = 0;
        constexpr int requests = 2000;
        for (int i = 0; i < requests; ++i) {
            const upstream_member *picked = picker.pick(members, {}, now);
            other += picked->availabilityZone == "nord" ? 0 : 1;
            picker.finish(picked->id, result::Reached, queue_report{3, 0, 9, 90ms}, now);
        }
        return other / static_cast<double>(requests);
    }
};

} // namespace

// Deployments without a crossing cost must be served as before, whatever reports arrive.
TEST_CASE("without a crossing cost the zones' reports change nothing", "[zone]")
{
    const zone_site site;
    upstream_picker before("nord", seeded(), {250ms, 4000ms, 500ms, 1.15});
    upstream_picker after("nord", seeded());
    for (int i = 0; i < 500; ++i) {
        const steady_time now = start + i * 10ms;
        after.learnZones(states(300, 10, now), now);
        CHECK_FALSE(after.wantsZones(now));
        const upstream_member *expected = before.pick(site.all, {}, now, 0);
        REQUIRE(after.pick(site.all, {}, now, 60000) == expected);
        const queue_report report{i % 9, 0, 9, std::chrono::milliseconds(50 + i % 7)};
        before.finish(expected->id, result::Reached, report, now);
        after.finish(expected->id, result::Reached, report, now);
    }
    CHECK_FALSE(after.takeShareChange().has_value());
}

// Load: a zone at half and at 1.5 times its capacity beside one at a fifth.
TEST_CASE("requests leave the zone by the share", "[zone]")
{
    const zone_site site;
    const auto [demand, least, most] =
        GENERATE(table<double, double, double>({{50, 0.0, 0.0}, {150, 0.35, 0.5}}));
    upstream_picker picker("nord", seeded(), costly());
    CHECK(picker.wantsZones(start));
    picker.learnZones(states(demand, 20, start), start);
    CHECK_FALSE(picker.wantsZones(start + 100ms));
    const double share = zone_site::shareOfOther(picker, site.all, start);
    CHECK(share >= least);
    CHECK(share <= most);
}

// Fault: the zone's upstreams fail, then the directory shows none; the reports still show capacity.
TEST_CASE("a zone without healthy members is left at once", "[zone]")
{
    const zone_site site;
    upstream_picker picker("nord", seeded(), costly());
    picker.learnZones(states(50, 20, start), start);
    CHECK(zone_site::shareOfOther(picker, site.all, start) == 0);
    CHECK(picker.pick(site.all, {site.n1.id, site.n2.id}, start)->availabilityZone == "sued");
    for (const upstream_member *failed : {&site.n1, &site.n2}) {
        picker.begin(failed->id);
        picker.finish(failed->id, result::Failed, std::nullopt, start);
    }
    CHECK(zone_site::shareOfOther(picker, site.all, start + 100ms) == 1);
    CHECK(zone_site::shareOfOther(picker, {&site.s1, &site.s2}, start + 2s) == 1);
    CHECK(picker.shareReason() == share_reason::NoUpstream);
}

// Fault: no daemon tells about the zones, as with daemons of earlier releases, or none does any
// longer. Requests are then served as without a crossing cost.
TEST_CASE("without reports the fixed factor decides", "[zone]")
{
    const zone_site site;
    upstream_picker fixed("nord", seeded());
    const double expected = zone_site::shareOfOther(fixed, site.all, start + 10s);
    upstream_picker picker("nord", seeded(), costly());
    CHECK(zone_site::shareOfOther(picker, site.all, start) == Approx(expected).margin(0.05));
    picker.learnZones(states(50, 20, start + 1s), start + 1s);
    CHECK(zone_site::shareOfOther(picker, site.all, start + 1s) == 0);
    CHECK(zone_site::shareOfOther(picker, site.all, start + 10s) == Approx(expected).margin(0.05));
    CHECK(picker.shareReason() == share_reason::NoReports);
}

// Reports reach a daemon through different peers, some of them late.
TEST_CASE("an older report of a zone does not replace a newer one", "[zone]")
{
    const zone_site site;
    upstream_picker picker("nord", seeded(), costly());
    picker.learnZones(states(50, 20, start), start);
    picker.learnZones(states(400, 20, start - 2s), start);
    CHECK(zone_site::shareOfOther(picker, site.all, start) == 0);
}

// Fault: a zone loses its upstreams, and they return cold. The reports from before the loss show a
// warm zone; requests must not return before a report does.
TEST_CASE("a zone that returns is used by new reports only", "[zone]")
{
    const zone_site site;
    const auto outage = GENERATE(1s, 4s, 20s);
    upstream_picker picker("nord", seeded(), costly());
    picker.learnZones(states(50, 20, start), start);
    CHECK(zone_site::shareOfOther(picker, site.all, start) == 0);
    steady_time now = start;
    for (; now < start + outage; now += 500ms) {
        picker.learnZones({{"sued", 2, 18, 0, 0, 100, 20, now}}, now);
        CHECK(picker.pick({&site.s1, &site.s2}, {}, now) != nullptr);
    }
    CHECK(zone_site::shareOfOther(picker, site.all, now + 300ms) == 1);
    now += 1s;
    picker.learnZones({{"nord", 2, 18, 0, 0, 10, 50, now}, {"sued", 2, 18, 0, 0, 100, 20, now}},
                      now);
    const double share = zone_site::shareOfOther(picker, site.all, now);
    CHECK(share > 0.7);
    CHECK(share < 0.95);
}

// Fault: half of the zone's upstreams can't be reached. The reports show it 1.5 s later; until
// then the other half must not get all requests.
TEST_CASE("failed attempts reduce the zone's capacity", "[zone]")
{
    const zone_site site;
    upstream_picker picker("nord", seeded(), costly());
    picker.learnZones(states(60, 20, start), start);
    CHECK(zone_site::shareOfOther(picker, site.all, start) == 0);
    picker.begin(site.n1.id);
    picker.finish(site.n1.id, result::Failed, std::nullopt, start + 900ms);
    double share = 0;
    for (steady_time now = start + 900ms; now <= start + 1100ms; now += 200ms) {
        share = zone_site::shareOfOther(picker, site.all, now);
    }
    CHECK(share > 0.2);
}

// Load: an upstream of the zone is full and rejects a request before the reports show it. The next
// attempt goes to the zone that has room, but stays if the upstream was not full.
TEST_CASE("a request rejected as overload is tried in another zone", "[zone]")
{
    const zone_site site;
    const auto [running, expected] = GENERATE(table<int, std::string>({{9, "sued"}, {3, "nord"}}));
    upstream_picker picker("nord", seeded(), costly());
    picker.learnZones(states(50, 20, start), start);
    CHECK(zone_site::shareOfOther(picker, site.all, start) == 0);
    picker.begin(site.n1.id);
    picker.finish(site.n1.id, result::Reached, queue_report{running, 4, 9, 90ms}, start);
    CHECK(picker.pick(site.all, {site.n1.id}, start)->availabilityZone == expected);
}

// Fault: the zone's upstreams become cold. Their responses state that before the reports of the
// zones do. Upstreams in a slow span must not be taken for cold ones.
TEST_CASE("a zone whose upstreams become cold is left at once", "[zone]")
{
    const zone_site site;
    const auto [queue, least, most] = GENERATE(table<queue_report, double, double>(
        {{{1, 0, 1, 700ms}, 0.85, 0.99}, {{9, 0, 9, 540ms}, 0.0, 0.0}}));
    upstream_picker picker("nord", seeded(), costly());
    picker.learnZones(states(50, 20, start), start);
    CHECK(zone_site::shareOfOther(picker, site.all, start) == 0);
    for (const upstream_member *slow : {&site.n1, &site.n2}) {
        picker.begin(slow->id);
        picker.finish(slow->id, result::Reached, queue, start + 100ms);
    }
    int other = 0;
    for (int i = 0; i < 1000; ++i) {
        const upstream_member *picked = picker.pick(site.all, {}, start + 200ms);
        other += picked->availabilityZone == "nord" ? 0 : 1;
        picker.finish(picked->id, result::Neutral, std::nullopt, start + 200ms);
    }
    CHECK(other / 1000.0 >= least);
    CHECK(other / 1000.0 <= most);
}

// Load: the own zone never has upstreams, and its demand begins after 2 s. It must go where the
// others have capacity to spare, not by their size.
TEST_CASE("a zone without upstreams fills the others evenly", "[zone]")
{
    const upstream_member s1 = member("s1", "sued");
    const upstream_member w1 = member("w1", "west");
    upstream_picker picker("nord", seeded(), costly());
    int west = 0;
    for (int i = 0; i < 2000; ++i) {
        const steady_time now = start + i * 10ms;
        const double demand = i < 200 ? 0 : 50;
        picker.learnZones({{"nord", 0, 0, 0, 0, 0, demand, now - 1s},
                           {"sued", 1, 18, 0, 0, 100, 85, now - 1s},
                           {"west", 1, 18, 0, 0, 100, 20, now - 1s}},
                          now);
        const upstream_member *picked = picker.pick({&s1, &w1}, {}, now);
        picker.finish(picked->id, result::Neutral, std::nullopt, now);
        west += i >= 300 && picked == &w1 ? 1 : 0;
    }
    CHECK(west > 1600);
}
