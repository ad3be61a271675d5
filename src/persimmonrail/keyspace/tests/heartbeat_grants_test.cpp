#include "test_placements.h"

#include "persimmonrail/keyspace/heartbeat_grants.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

using release_state = heartbeat_grants::release_state;

constexpr milliseconds beatInterval{870};
constexpr key_interval lowerHalf{0, 32767};

// An upstream that takes its grants with the responses to its heartbeats, and its daemon.
struct heartbeat_site
{
    range_lease_timing timing;
    range_lease_manager leases{timing};
    heartbeat_grants grants{leases, timing};
    boot_time now = start;
    std::vector<range_grant> held;
    std::vector<released_keys> released;

    explicit heartbeat_site(const key_placement &placement = twoOwners())
    {
        leases.setUpstream(a);
        leases.onPlacement(placement, start, start);
    }
    // Sends a heartbeat and applies the response.
    std::optional<holdings> beat(milliseconds pause = beatInterval)
    {
        now += pause;
        auto response =
            grants.onHeartbeat({held, std::exchange(released, {}), 0}, timing.holdTime, now);
        if (response) {
            held = response->grants;
            for (range_grant &grant : held) {
                grant.handover.clear();
            }
        }
        return response;
    }
};

bool holdsKey(const std::vector<range_grant> &grants, shard_key key)
{
    return std::any_of(grants.begin(), grants.end(),
                       [key](const range_grant &grant) { return grant.keys.contains(key); });
}

} // namespace

TEST_CASE("keys are granted with the first response and renewed with each later one",
          "[heartbeats]")
{
    heartbeat_site site;
    const auto first = site.beat();
    REQUIRE(first);
    REQUIRE(first->grants.size() == 1);
    CHECK(first->grants[0].keys == lowerHalf);
    CHECK(first->grants[0].fence == fenceOf(twoOwners(), 5));
    CHECK(first->holdTime == site.timing.holdTime);
    CHECK(site.leases.canServe(5, site.now));
    CHECK_FALSE(site.leases.canServe(40000, site.now));
    site.beat();
    CHECK(site.leases.canServe(5, site.now + site.timing.holdTime - 100ms));
    CHECK_FALSE(site.leases.canServe(5, site.now + site.timing.holdTime));
}

// Guards against a response that takes keys away, or renews them, by a daemon that doesn't know who
// owns them.
TEST_CASE("a daemon without placement or lease leaves the grants as they are", "[heartbeats]")
{
    SECTION("no placement is known")
    {
        range_lease_manager leases;
        heartbeat_grants grants(leases);
        leases.setUpstream(a);
        CHECK_FALSE(grants.onHeartbeat({{{lowerHalf, 3, ""}}, {}, 0}, 3s, 1s));
        // Guards against a crash of a restarted daemon at its first request for a key.
        CHECK_FALSE(leases.canServe(5, 1s));
    }
    SECTION("the lease has expired")
    {
        heartbeat_site site;
        REQUIRE(site.beat());
        CHECK_FALSE(site.beat(site.timing.leaseDuration));
        CHECK_FALSE(site.grants.onHeartbeat({site.held, {}, 0}, 3s, site.now + beatInterval));
    }
}

// Guards against two owners of one key: the last grant that a lost owner's responses carried must
// have ended, with the clock error, before the new owner may activate its takeover.
TEST_CASE("no grant by heartbeat outlasts the delay of a takeover", "[heartbeats]")
{
    heartbeat_site site;
    std::optional<boot_time> lastEnd;
    while (site.now < start + 20s) {
        if (const auto response = site.beat(100ms)) {
            lastEnd = site.now + site.timing.longestHold(response->holdTime);
        }
    }
    REQUIRE(lastEnd);
    CHECK(*lastEnd <= start + site.timing.takeoverDelay());
}

TEST_CASE("keys are served until the response that leaves them out, and released by the next "
          "heartbeat",
          "[heartbeats]")
{
    heartbeat_site site;
    site.beat();
    site.grants.beginRelease({{100, 200}});
    CHECK(site.leases.canServe(150, site.now));
    CHECK(site.grants.releaseState(site.now) == release_state::Pending);
    const auto response = site.beat();
    REQUIRE(response);
    CHECK_FALSE(holdsKey(response->grants, 150));
    CHECK(holdsKey(response->grants, 99));
    CHECK(holdsKey(response->grants, 201));
    CHECK_FALSE(site.leases.canServe(150, site.now));
    CHECK(site.grants.releaseState(site.now) == release_state::Pending);

    SECTION("no request is running on the keys")
    {
        site.released = {{{100, 200}, "token"}};
        site.beat(100ms);
        CHECK(site.grants.releaseState(site.now) == release_state::Released);
        REQUIRE(site.grants.handovers().size() == 1);
        CHECK(site.grants.handovers()[0].handover == "token");
    }
    SECTION("a running request keeps the keys")
    {
        const range_grant kept{{100, 200}, fenceOf(twoOwners(), 5), ""};
        site.held.push_back(kept);
        site.beat(100ms);
        CHECK(site.grants.releaseState(site.now) == release_state::Pending);
        site.beat(100ms);
        CHECK(site.grants.releaseState(site.now) == release_state::Released);
    }
    SECTION("running requests keep the keys for too long")
    {
        for (int i = 0; i < 40; ++i) {
            site.held.push_back({{100, 200}, fenceOf(twoOwners(), 5), ""});
            site.beat(100ms);
        }
        CHECK(site.grants.releaseState(site.now) == release_state::TimedOut);
        site.leases.setMoving({});
        site.grants.endRelease();
        CHECK(holdsKey(site.beat()->grants, 150));
    }
}

// Guards against keys that stay unserved since the upstream sends no heartbeat that could show
// their release, and against a move while a grant may still be in force.
TEST_CASE("without heartbeats the keys are released once all grants have ended", "[heartbeats]")
{
    heartbeat_site site;
    site.beat();
    site.grants.beginRelease({lowerHalf});
    const boot_time end = site.now + site.timing.maxHold();
    CHECK(site.grants.releaseState(end - 1ms) == release_state::Pending);
    CHECK(site.grants.releaseState(end) == release_state::Released);
}

// Guards against a daemon that restarts, knows of no grants and moves keys that its previous
// process has granted for the longest time.
TEST_CASE("a restarted daemon takes over what the upstream reports", "[heartbeats]")
{
    heartbeat_site site;
    site.leases.recordDaemonStart(start);
    site.held = {{lowerHalf, fenceOf(twoOwners(), 5), ""}};
    CHECK_FALSE(site.leases.canMove({1, 2}, site.now));
    SECTION("what the record confirms is served at once")
    {
        REQUIRE(site.beat());
        CHECK(site.leases.canServe(5, site.now));
        CHECK(site.leases.canMove({1, 2}, site.now));
    }
    SECTION("what the upstream holds without record ends with its longest grant")
    {
        site.leases.onPlacement(moveRange(twoOwners(), lowerHalf, b, ""), start, start);
        site.beat();
        CHECK_FALSE(site.leases.canServe(5, site.now));
        CHECK_FALSE(holdsKey(site.held, 5));
    }
    SECTION("silence after the first heartbeat")
    {
        site.leases.onPlacement(twoOwners(), start - 7s, start);
        site.grants.onHeartbeat({site.held, {}, 0}, site.timing.holdTime, start);
        site.grants.beginRelease({lowerHalf});
        const milliseconds longest = site.timing.longestHold(site.timing.longestGrant);
        CHECK(site.grants.releaseState(start + longest - 1ms) == release_state::Pending);
        CHECK(site.grants.releaseState(start + longest) == release_state::Released);
    }
}

// Guards against keys that are routed to an upstream that rejects every request on them.
TEST_CASE("a grant that the upstream refuses is not served before it is reported", "[heartbeats]")
{
    heartbeat_site site;
    site.beat();
    CHECK(site.leases.canServe(5, site.now));
    const auto accepted = std::exchange(site.held, {});
    site.beat();
    CHECK_FALSE(site.leases.canServe(5, site.now));
    site.held.clear();
    site.beat();
    CHECK_FALSE(site.leases.canServe(5, site.now));
    site.held = accepted;
    site.beat();
    CHECK(site.leases.canServe(5, site.now));
}

// Guards against a response that releases keys while their holder reclaims them from a pending
// takeover, or that renews them meanwhile.
TEST_CASE("grants are neither renewed nor ended while keys are reclaimed", "[heartbeats]")
{
    heartbeat_site site;
    site.beat();
    const auto isLost = [](const upstream_id &id) { return id == a; };
    site.leases.onPlacement(reassignLost(twoOwners(), isLost, {{b, 9}}, 10s), site.now, site.now);
    CHECK_FALSE(site.beat());
    CHECK_FALSE(site.leases.reclaimableKeys(site.now).empty());
    const auto later = site.beat(1000ms);
    REQUIRE(later);
    CHECK(later->grants.empty());
}

TEST_CASE("grants of an earlier incarnation of the upstream are forgotten", "[heartbeats]")
{
    heartbeat_site site;
    site.beat();
    site.grants.onUpstreamReplaced();
    site.leases.setUpstream(upstream_id{"a", 2});
    site.held.clear();
    CHECK_FALSE(site.leases.canServe(5, site.now));
    const auto response = site.beat();
    REQUIRE(response);
    CHECK(response->grants.empty());
}
