#include "persimmonrail/daemon/quarantine_gossip.h"
#include "single_daemon.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against a resent request that crashes the upstream again and again, from the caller's
// connection to the announcement of the restarted upstream.
TEST_CASE("a daemon refuses a request that crashed its upstream twice", "[daemon]")
{
    single_daemon fleet;
    const std::vector<std::pair<std::string, std::string>> marked{{"X-Crash", "1"}};
    const auto send = [&](const std::string &body, const std::string &bootId) {
        return fleet.call("PUT", "/photos/records/k", body, bootId, marked).body;
    };
    CHECK(send("bad", "first").find("unknown") != std::string::npos);
    CHECK(send("bad", "second").find("unknown") != std::string::npos);
    const size_t runs = fleet.upstream->history().size();
    // The second crash is known with the next announcement, which precedes the request.
    CHECK(send("bad", "third").find("quarantined") != std::string::npos);
    CHECK(fleet.upstream->history().size() == runs);
    CHECK(fleet.call("PUT", "/photos/records/k", "good", "third").status == 200);
    CHECK(fleet.upstream->history().size() == runs + 1);
}

// Guards against entries that don't reach other daemons, and against an answer that carries more
// than the limit or ages that overflow.
TEST_CASE("quarantine entries travel in pull answers", "[daemon]")
{
    const steady_time now{std::chrono::hours(1)};
    crash_quarantine source;
    for (uint64_t fingerprint = 1; fingerprint <= 100; ++fingerprint) {
        source.merge({{fingerprint, 24, milliseconds(1000)}}, now);
    }
    wire::PullReply reply;
    addQuarantine(source, now, reply);
    REQUIRE(reply.quarantine_size() == maxGossipedEntries);
    crash_quarantine target;
    target.merge(quarantineFromWire(reply), now);
    CHECK(target.size() == maxGossipedEntries);
    CHECK(target.entries(100, now) == source.entries(maxGossipedEntries, now));
    CHECK(target.remainingRejectionTime(reply.quarantine(0).fingerprint(), now)
          == milliseconds(599'000));

    wire::PullReply hostile;
    hostile.add_quarantine()->set_age_ms(UINT64_MAX);
    for (int i = 0; i < 1000; ++i) {
        hostile.add_quarantine()->set_strikes(UINT32_MAX);
    }
    CHECK(quarantineFromWire(hostile).size() == maxGossipedEntries);
    target.merge(quarantineFromWire(hostile), now);
    CHECK(target.size() == maxGossipedEntries + 1);
}
