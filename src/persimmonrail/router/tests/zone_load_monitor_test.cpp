#include "persimmonrail/router/zone_load_monitor.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);

upstream_member member(const std::string &name, const std::string &zone)
{
    return {{name, 1}, "catalogue", zone, "127.0.0.1:9000", 9, false, false};
}

const upstream_member n1 = member("n1", "nord");
const upstream_member n2 = member("n2", "nord");
const upstream_member s1 = member("s1", "sued");
const std::vector<const upstream_member *> members{&n1, &n2, &s1};

peer_status statusOf(const upstream_member &member)
{
    return {{4, 1, 9, 90ms}, member.id, true};
}

zone_load stateOf(const zone_load_monitor &monitor, const std::string &zone)
{
    for (const zone_load &state : monitor.states()) {
        if (state.zone == zone) {
            return state;
        }
    }
    return {};
}

void recordArrivals(zone_load_monitor &monitor, const std::string &zone, int perSecond)
{
    for (int i = 0; i < 5 * perSecond; ++i) {
        monitor.recordArrival(zone, start - 5s + i * 1000ms / perSecond);
    }
}

} // namespace

// Each upstream sees a part of each zone's demand; a zone's demand is their sum.
TEST_CASE("the monitor adds the queues and arrivals of all upstreams", "[zone]")
{
    zone_load_monitor first;
    zone_load_monitor second;
    zone_load_monitor third;
    recordArrivals(first, "nord", 40);
    recordArrivals(second, "nord", 20);
    recordArrivals(second, "sued", 10);
    // The second daemon polls the first, and the third learns of both from the second.
    second.readArrivals(first.encodeArrivals(n1.id, start), start);
    third.readArrivals("4,1,9,90000;n2;1;1;0;0" + second.encodeArrivals(n2.id, start + 500ms),
                       start + 500ms);
    third.update(members, statusOf(s1),
                 {{statusOf(n1), 700ms, false}, {statusOf(n2), 200ms, false}}, start + 500ms);
    const zone_load nord = stateOf(third, "nord");
    CHECK(nord.upstreams == 2);
    CHECK(nord.slots == 18);
    CHECK(nord.running == 8);
    CHECK(nord.waiting == 2);
    CHECK(nord.capacity == Approx(200));
    CHECK(nord.reportedAt == start - 200ms);
    CHECK(nord.demand > 40);
    CHECK(nord.demand < 62);
    CHECK(stateOf(third, "sued").demand > 5);
}

// A cold upstream reports a limit and a service time whose quotient is its permitted rate.
TEST_CASE("a cold upstream counts with its permitted rate", "[zone]")
{
    zone_load_monitor monitor;
    monitor.update({&n1}, {{0, 0, 1, 100ms}, n1.id, true}, {}, start);
    CHECK(stateOf(monitor, "nord").capacity == Approx(10));
}

// Guards against all traffic leaving a zone because one daemon does not know it yet or is cut off.
TEST_CASE("what is unknown is not taken for lost", "[zone]")
{
    zone_load_monitor monitor;
    monitor.update(members, statusOf(s1), {{statusOf(n1), 100ms, false}}, start);
    CHECK(stateOf(monitor, "nord").zone.empty());
    CHECK(stateOf(monitor, "sued").upstreams == 1);
    // A single poll without response tells nothing yet.
    monitor.update(members, statusOf(s1),
                   {{statusOf(n1), 700ms, true}, {statusOf(n2), 100ms, false}}, start);
    CHECK(stateOf(monitor, "nord").upstreams == 2);
    monitor.update(members, statusOf(s1), {{statusOf(n1), 3s, true}, {statusOf(n2), 3s, true}},
                   start);
    CHECK(monitor.states().empty());
}

// Fault: the only upstream of a zone is lost. A report of a daemon that reaches it would be newer.
TEST_CASE("a lost zone has no capacity", "[zone]")
{
    zone_load_monitor monitor;
    monitor.update(members, statusOf(n1), {{statusOf(n2), 100ms, false}, {statusOf(s1), 3s, true}},
                   start);
    const zone_load sued = stateOf(monitor, "sued");
    CHECK(sued.zone == "sued");
    CHECK(sued.capacity == 0);
    CHECK(sued.reportedAt == start - 2s);
}

// Daemons of earlier releases skip lines that they can't parse.
TEST_CASE("lines of arrivals are no statuses, and malformed ones are ignored", "[zone]")
{
    zone_load_monitor monitor;
    recordArrivals(monitor, "nord", 40);
    const std::string text =
        encodeStatuses(statusOf(n1), {}) + monitor.encodeArrivals(n1.id, start);
    CHECK(parseStatuses(text).size() == 1);
    const std::string line =
        GENERATE("arrivals;", "arrivals;n1;1;nord=nan;0", "arrivals;n1;1;nord=-1;0",
                 "arrivals;n1;1;nord=1;9999", "arrivals;n1;1;no rd=1;0", "arrivals;n1;x;nord=1;0");
    zone_load_monitor other;
    other.readArrivals("\n" + line, start);
    CHECK(other.encodeArrivals({}, start).empty());
}
