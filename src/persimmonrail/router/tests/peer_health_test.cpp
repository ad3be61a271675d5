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

TEST_CASE("the reachable upstream with the lowest id is the coordinator", "[router]")
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

// Guards against a daemon that is itself cut off and takes over the keys of all others.
TEST_CASE("a daemon that reaches few peers does not consider the others lost at once", "[router]")
{
    fleet site;
    site.health.setPeers(site.peers(), start);
    for (const char *name : {"b", "c", "d"}) {
        site.respond(name, start);
    }
    site.health.onNoResponse({"b", 1}, start + 2s);
    CHECK(site.health.view(&site.self, start + 2s).unreachable
          == std::vector<upstream_id>{{"b", 1}});
    site.health.onNoResponse({"c", 1}, start + 2s);
    CHECK(site.health.view(&site.self, start + 2s).unreachable.empty());
    CHECK(site.health.view(&site.self, start + 9s).unreachable.size() == 2);
    site.respond("b", start + 9s);
    CHECK(site.health.view(&site.self, start + 9s).unreachable
          == std::vector<upstream_id>{{"c", 1}});
}

TEST_CASE("draining members receive no keys", "[router]")
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

// Guards against assigning keys to an upstream that drains, or that was replaced behind the same
// port, while its daemon can't write this to the store.
TEST_CASE("a peer's own status decides whether it receives keys", "[router]")
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

// Guards against assigning all keys to the first upstream when all upstreams start together.
TEST_CASE("members that were not polled yet count as live", "[router]")
{
    fleet site;
    site.health.setPeers(site.peers(), start);
    CHECK(site.health.view(&site.self, start).live.size() == 4);
    CHECK(site.health.view(&site.self, start).loads.empty());
    site.health.onNoResponse({"b", 1}, start);
    CHECK(site.health.view(&site.self, start).live.size() == 3);
}

TEST_CASE("a peer status round-trips through its text form", "[router]")
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

// Load pattern: the first member by name has the weakest host, and would poll 30 others.
TEST_CASE("the member with the strongest host polls for the others", "[router]")
{
    upstream_member strong = member("m");
    strong.host = {0.5, 200};
    upstream_member weak = member("b");
    weak.host = {0.1, 15};
    const upstream_member last = member("z");
    peer_health health;
    health.setPeers({&weak, &strong}, start);
    CHECK(namesOf(health.pollTargets(&last)) == names{"m"});
    health.setPeers({&weak, &last}, start);
    CHECK(namesOf(health.pollTargets(&strong)) == names{"b", "z"});
}

// Load pattern: one service with many members. Calls between the members grow with their number,
// not with its square, since one member polls for all.
TEST_CASE("one member polls all others, and the others poll only this member", "[router]")
{
    fleet site;
    site.health.setPeers(site.peers(), start);
    CHECK(namesOf(site.health.pollTargets(&site.self)) == names{"b", "c", "d"});
    const upstream_member last = member("z");
    CHECK(namesOf(site.health.pollTargets(&last)) == names{"b"});
    const upstream_member third = member("cc");
    CHECK(namesOf(site.health.pollTargets(&third)) == names{"b"});
    CHECK(namesOf(site.health.pollTargets(nullptr)) == names{"b"});
    // The next member is polled too while it is uncertain whether the first one is lost.
    site.health.onNoResponse({"b", 1}, start);
    CHECK(namesOf(site.health.pollTargets(&last)) == names{"b", "c"});
    site.health.onNoResponse({"c", 1}, start);
    CHECK(namesOf(site.health.pollTargets(&third)) == names{"b", "c", "d"});
    site.respond("b", start);
    CHECK(namesOf(site.health.pollTargets(&third)) == names{"b"});
}

TEST_CASE("members apply the statuses that the first member forwards", "[router]")
{
    fleet first;
    first.health.setPeers(first.peers(), start);
    first.respond("b", start + 1s);
    first.health.onResponse({"c", 1}, {{8, 10, 9, 25ms}, {"c", 1}, true}, start + 2s);
    first.health.onNoResponse({"d", 1}, start + 2s);
    const peer_status own{{1, 0, 9, 10ms}, {"a", 1}, true};
    const auto forwarded =
        parseStatuses(encodeStatuses(own, first.health.peerStatuses(start + 2s)));
    REQUIRE(forwarded.size() == 4);
    CHECK(forwarded[0].status.upstream == upstream_id{"a", 1});
    CHECK(forwarded[1].age == 1s);

    fleet other;
    other.members = {member("a"), member("c"), member("d"), member("e")};
    other.self = member("b");
    other.health.setPeers(other.peers(), start);
    for (const forwarded_status &reported : forwarded) {
        other.health.onForwardedStatus(reported, start + 2s);
    }
    const auto view = other.health.view(&other.self, start + 2s);
    REQUIRE(view.loads.size() == 2);
    CHECK(view.loads[1].id.name == "c");
    CHECK(view.loads[1].utilization == Approx(2.0));
    CHECK(view.loads[1].meanServiceTime == 25ms);
    // The unresponsive peer is not live; the peer that was not polled yet counts as live.
    CHECK(view.live.size() == 4);
    CHECK(other.health.isUnreachable({"d", 1}, start + 2s));
    // An older status does not replace a newer one, nor does it end an unresponsiveness noticed
    // since.
    other.health.onResponse({"c", 1}, {{0, 0, 9, 25ms}, {"c", 1}, false}, start + 2s + 100ms);
    other.health.onForwardedStatus(forwarded[2], start + 2s);
    CHECK(other.health.view(&other.self, start + 2s).loads.size() == 1);
}

TEST_CASE("malformed statuses of a peer are skipped", "[router]")
{
    const std::string good = "1,2,3,4;i;1;1;5;0";
    CHECK(parseStatuses(good + "\n" + good).size() == 2);
    const std::string bad = GENERATE("", ";", ";;", "1,2,3,4;i;1;1", "1,2,3,4;i;1;1;x;0",
                                     "1,2,3,4;i;1;1;-5;0", "1,2,3;i;1;1;5;0", "\n");
    CHECK(parseStatuses(bad).empty());
    CHECK(parseStatuses(bad + "\n" + good).size() == 1);
}

// Load pattern: a key becomes hot. Its rate is known within half a second, at any interval between
// two updates.
TEST_CASE("rates decay with a time constant of half a second", "[router]")
{
    const milliseconds step = GENERATE(50ms, 100ms, 1000ms);
    key_rates rates;
    steady_time now = start;
    rates.update(now);
    const auto advance = [&](milliseconds time, int perSecond) {
        for (const steady_time end = now + time; now < end;) {
            now += step;
            for (int i = 0; i < perSecond * step / 1000ms; ++i) {
                rates.count(7);
            }
            rates.update(now);
        }
    };
    advance(1000ms, 60);
    CHECK(rates.rate(7) == Approx(60 * 0.865).epsilon(0.01));
    advance(5s, 60);
    CHECK(rates.rate(7) == Approx(60).epsilon(0.01));
    advance(1000ms, 0);
    CHECK(rates.rate(7) == Approx(60 * 0.135).epsilon(0.01));
    advance(20s, 0);
    CHECK(rates.rate(7) == 0);
    CHECK(rates.rate(8) == 0);
}

TEST_CASE("all settings are validated", "[router]")
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
    CHECK_FALSE(settings->limitsBodies);
    CHECK(parseRouterSettings(valid + "body-budget = on\n")->limitsBodies);
    const auto [line, expectedText] = GENERATE(table<std::string, std::string>({
        {"service = t\n", "given twice"},
        {"colour = red\n", "unknown setting"},
        {"max-hold = 10\n", "max-hold: invalid"},
        {"retry-ratio = 2\n", "retry-ratio: invalid"},
        {"metrics-address = host:1\n", "metrics-address: invalid"},
        {"log-level = loud\n", "log-level: invalid"},
        {"link-mbps = -1\n", "link-mbps: invalid"},
        {"body-budget = 1\n", "body-budget: invalid"},
        {"processor-share = much\n", "processor-share: invalid"},
        {"processor-speed = -1\n", "processor-speed: invalid"},
    }));
    const auto rejected = parseRouterSettings(valid + line);
    CHECK(std::string(rejected.status().message()).find(expectedText) != std::string::npos);
    CHECK(std::string(parseRouterSettings("").status().message()).find("service: missing")
          != std::string::npos);
}
