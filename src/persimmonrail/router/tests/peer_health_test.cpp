#include "persimmonrail/router/key_rates.h"
#include "persimmonrail/router/peer_monitor.h"
#include "persimmonrail/router/router_settings.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);

upstream_member member(const std::string &name)
{
    return {{name, 1}, "haulbook", "nord", "127.0.0.1:9000", 9, false, false};
}

struct fleet
{
    std::vector<upstream_member> members{member("b"), member("c"), member("d")};
    upstream_member self = member("a");
    peer_health health;

    std::vector<const upstream_member *> peers() const
    {
        std::vector<const upstream_member *> list;
        for (const upstream_member &peer : members) {
            list.push_back(&peer);
        }
        return list;
    }
    void respond(const std::string &name, steady_time now)
    {
        health.onResponse({name, 1}, {{3, 0, 9, 10ms}, {name, 1}, true}, now);
    }
};

} // namespace

TEST_CASE("the lowest reachable upstream acts for lost owners", "[router]")
{
    fleet site;
    site.health.setPeers(site.peers(), start);
    for (const char *name : {"b", "c", "d"}) {
        site.respond(name, start);
    }
    CHECK(site.health.view(&site.self, start).isCoordinator);
    CHECK(site.health.view(&site.self, start).live.size() == 4);
    const upstream_member last = member("z");
    CHECK_FALSE(site.health.view(&last, start).isCoordinator);
    CHECK_FALSE(site.health.view(nullptr, start).isCoordinator);
}

// Guards against a daemon that is cut off and takes the keys of all others.
TEST_CASE("a daemon that reaches few peers does not take them for lost", "[router]")
{
    fleet site;
    site.health.setPeers(site.peers(), start);
    for (const char *name : {"b", "c", "d"}) {
        site.respond(name, start);
    }
    site.health.onSilence({"b", 1}, start + 2s);
    CHECK(site.health.view(&site.self, start + 2s).unreachable
          == std::vector<upstream_id>{{"b", 1}});
    site.health.onSilence({"c", 1}, start + 2s);
    CHECK(site.health.view(&site.self, start + 2s).unreachable.empty());
    CHECK(site.health.view(&site.self, start + 9s).unreachable.size() == 2);
    site.respond("b", start + 9s);
    CHECK(site.health.view(&site.self, start + 9s).unreachable
          == std::vector<upstream_id>{{"c", 1}});
}

TEST_CASE("members that leave are given no keys", "[router]")
{
    fleet site;
    site.members[0].isDraining = true;
    site.self.isDraining = true;
    site.health.setPeers(site.peers(), start);
    for (const char *name : {"b", "c", "d"}) {
        site.respond(name, start);
    }
    CHECK(site.health.view(&site.self, start).live.size() == 2);
}

// Guards against keys for an upstream that drains, or another one behind the same port, while its
// daemon can't tell the store.
TEST_CASE("a peer's own word decides whether it is given keys", "[router]")
{
    fleet site;
    site.health.setPeers(site.peers(), start);
    site.respond("b", start);
    site.health.onResponse({"c", 1}, {{0, 0, 9, 10ms}, {"c", 1}, false}, start);
    site.health.onResponse({"d", 1}, {{0, 0, 9, 10ms}, {"e", 2}, true}, start);
    const auto view = site.health.view(&site.self, start);
    REQUIRE(view.loads.size() == 1);
    CHECK(view.loads[0].id.name == "b");
    CHECK(view.live.size() == 2);
    CHECK(view.unreachable.empty());
}

// Guards against keys that all go to the first upstream after a start of everything.
TEST_CASE("members that were just written count as live", "[router]")
{
    fleet site;
    site.health.setPeers(site.peers(), start);
    CHECK(site.health.view(&site.self, start).live.size() == 4);
    CHECK(site.health.view(&site.self, start).loads.empty());
    site.health.onSilence({"b", 1}, start);
    CHECK(site.health.view(&site.self, start).live.size() == 3);
}

TEST_CASE("a peer's status is read as written", "[router]")
{
    const auto status = parsePeerStatus(encodePeerStatus({{3, 4, 9, 10ms}, {"i-1", 17}, true}));
    REQUIRE(status.has_value());
    CHECK(status->upstream == upstream_id{"i-1", 17});
    CHECK(status->acceptsRequests);
    CHECK(status->queue.waiting == 4);
    for (const char *text : {"", "1,2,3,4", "1,2,3,4;a;b;1", "x;a;1;1", "1,2,3,4;a;1;1;1"}) {
        CHECK_FALSE(parsePeerStatus(text).has_value());
    }
}

namespace {

std::vector<std::string> namesOf(const std::vector<const upstream_member *> &members)
{
    std::vector<std::string> names;
    names.reserve(members.size());
    for (const upstream_member *known : members) {
        names.push_back(known->id.name);
    }
    return names;
}

using names = std::vector<std::string>;

} // namespace

// Load pattern: the first member by name has the weakest host, and would ask 30 others.
TEST_CASE("the member with the strongest host asks for the others", "[router]")
{
    upstream_member strong = member("m");
    strong.host = {0.5, 200};
    upstream_member weak = member("b");
    weak.host = {0.1, 15};
    const upstream_member last = member("z");
    peer_health health;
    health.setPeers({&weak, &strong}, start);
    CHECK(namesOf(health.targets(&last)) == names{"m"});
    health.setPeers({&weak, &last}, start);
    CHECK(namesOf(health.targets(&strong)) == names{"b", "z"});
}

// Load pattern: many members of one service. Calls between them grow with their number, not with
// its square, since one asks for all.
TEST_CASE("one member asks all others, and they ask only it", "[router]")
{
    fleet site;
    site.health.setPeers(site.peers(), start);
    CHECK(namesOf(site.health.targets(&site.self)) == names{"b", "c", "d"});
    const upstream_member last = member("z");
    CHECK(namesOf(site.health.targets(&last)) == names{"b"});
    const upstream_member third = member("cc");
    CHECK(namesOf(site.health.targets(&third)) == names{"b"});
    CHECK(namesOf(site.health.targets(nullptr)) == names{"b"});
    // The next one answers while it is not certain that the first is lost.
    site.health.onSilence({"b", 1}, start);
    CHECK(namesOf(site.health.targets(&last)) == names{"b", "c"});
    site.health.onSilence({"c", 1}, start);
    CHECK(namesOf(site.health.targets(&third)) == names{"b", "c", "d"});
    site.respond("b", start);
    CHECK(namesOf(site.health.targets(&third)) == names{"b"});
}

TEST_CASE("what the first member knows serves the others", "[router]")
{
    fleet first;
    first.health.setPeers(first.peers(), start);
    first.respond("b", start + 1s);
    first.health.onResponse({"c", 1}, {{8, 10, 9, 25ms}, {"c", 1}, true}, start + 2s);
    first.health.onSilence({"d", 1}, start + 2s);
    const peer_status own{{1, 0, 9, 10ms}, {"a", 1}, true};
    const auto told = parseStatuses(encodeStatuses(own, first.health.known(start + 2s)));
    REQUIRE(told.size() == 4);
    CHECK(told[0].status.upstream == upstream_id{"a", 1});
    CHECK(told[1].age == 1s);

    fleet other;
    other.members = {member("a"), member("c"), member("d"), member("e")};
    other.self = member("b");
    other.health.setPeers(other.peers(), start);
    for (const reported_status &reported : told) {
        other.health.onReported(reported, start + 2s);
    }
    const auto view = other.health.view(&other.self, start + 2s);
    REQUIRE(view.loads.size() == 2);
    CHECK(view.loads[1].id.name == "c");
    CHECK(view.loads[1].utilization == Approx(2.0));
    CHECK(view.loads[1].meanServiceTime == 25ms);
    // The silent one is left out; the one that was not asked yet is believed.
    CHECK(view.live.size() == 4);
    CHECK(other.health.isUnreachable({"d", 1}, start + 2s));
    // Older news does not replace newer, and ends no silence that was noticed since.
    other.health.onResponse({"c", 1}, {{0, 0, 9, 25ms}, {"c", 1}, false}, start + 2s + 100ms);
    other.health.onReported(told[2], start + 2s);
    CHECK(other.health.view(&other.self, start + 2s).loads.size() == 1);
}

TEST_CASE("malformed statuses of a peer are left out", "[router]")
{
    const std::string good = "1,2,3,4;i;1;1;5;0";
    CHECK(parseStatuses(good + "\n" + good).size() == 2);
    const std::string bad = GENERATE("", ";", ";;", "1,2,3,4;i;1;1", "1,2,3,4;i;1;1;x;0",
                                     "1,2,3,4;i;1;1;-5;0", "1,2,3;i;1;1;5;0", "\n");
    CHECK(parseStatuses(bad).empty());
    CHECK(parseStatuses(bad + "\n" + good).size() == 1);
}

// Load pattern: a key becomes hot. Its rate is known in half a second, whatever the time between
// two looks at it.
TEST_CASE("rates follow the requests of about half a second", "[router]")
{
    const milliseconds step = GENERATE(50ms, 100ms, 1000ms);
    key_rates rates;
    steady_time now = start;
    rates.advance(now);
    const auto pass = [&](milliseconds time, int perSecond) {
        for (const steady_time end = now + time; now < end;) {
            now += step;
            for (int i = 0; i < perSecond * step / 1000ms; ++i) {
                rates.count(7);
            }
            rates.advance(now);
        }
    };
    pass(1000ms, 60);
    CHECK(rates.rate(7) == Approx(60 * 0.865).epsilon(0.01));
    pass(5s, 60);
    CHECK(rates.rate(7) == Approx(60).epsilon(0.01));
    pass(1000ms, 0);
    CHECK(rates.rate(7) == Approx(60 * 0.135).epsilon(0.01));
    pass(20s, 0);
    CHECK(rates.rate(7) == 0);
    CHECK(rates.rate(8) == 0);
}

TEST_CASE("settings are checked as a whole", "[router]")
{
    const std::string valid = "host-name = h\navailability-zone = z\nservice = s\n"
                              "caller-address = 127.0.0.1:1\npeer-address = 127.0.0.1:2\n"
                              "ready-address = 127.0.0.1:3\nreport-address = 127.0.0.1:4\n"
                              "store-address = 127.0.0.1:5\nupstream-address = 127.0.0.1:6\n"
                              "# comment\n\nreport-interval = 0.87s\nretry-slack = 60.0\n";
    const auto settings = parseRouterSettings(valid);
    REQUIRE(settings.ok());
    CHECK(settings->reportInterval == 870ms);
    CHECK(settings->retrySlack == 60);
    const auto [line, word] = GENERATE(table<std::string, std::string>({
        {"service = t\n", "given twice"},
        {"colour = red\n", "unknown setting"},
        {"max-hold = 10\n", "max-hold: invalid"},
        {"retry-ratio = 2\n", "retry-ratio: invalid"},
        {"metrics-address = host:1\n", "metrics-address: invalid"},
        {"log-level = loud\n", "log-level: invalid"},
        {"link-mbps = -1\n", "link-mbps: invalid"},
        {"processor-share = much\n", "processor-share: invalid"},
        {"processor-speed = -1\n", "processor-speed: invalid"},
    }));
    const auto refused = parseRouterSettings(valid + line);
    CHECK(std::string(refused.status().message()).find(word) != std::string::npos);
    CHECK(std::string(parseRouterSettings("").status().message()).find("service: missing")
          != std::string::npos);
}
