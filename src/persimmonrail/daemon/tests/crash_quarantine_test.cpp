#include "daemon_fixture.h"
#include "persimmonrail/daemon/quarantine_gossip.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against a request that crashes the upstream each time the caller resends it. Covers the
// whole path, from the caller's connection to the announcement of the restarted upstream.
TEST_CASE("a daemon rejects a request that crashed its upstream twice", "[daemon]")
{
    daemon_fixture fixture;
    const std::vector<std::pair<std::string, std::string>> crashHeader{{"X-Crash", "1"}};
    const auto send = [&](const std::string &body, const std::string &bootId) {
        return fixture.sendRequest("PUT", "/photos/records/k", body, bootId, crashHeader).body;
    };
    CHECK(send("bad", "first").find("unknown") != std::string::npos);
    CHECK(send("bad", "second").find("unknown") != std::string::npos);
    const size_t requestsRun = fixture.upstream->history().size();
    // The daemon learns of the second crash from the next announcement, which precedes the request.
    CHECK(send("bad", "third").find("quarantined") != std::string::npos);
    CHECK(fixture.upstream->history().size() == requestsRun);
    CHECK(fixture.sendRequest("PUT", "/photos/records/k", "good", "third").status == 200);
    CHECK(fixture.upstream->history().size() == requestsRun + 1);
}

// Guards against entries that don't reach other daemons, and against a reply with more entries than
// the limit or with ages that overflow.
TEST_CASE("pull replies carry quarantine entries", "[daemon]")
{
    const steady_time now{std::chrono::hours(1)};
    crash_quarantine source;
    for (uint64_t fingerprint = 1; fingerprint <= 100; ++fingerprint) {
        source.merge(
            {{fingerprint, 7, 12, milliseconds(1000)}, {fingerprint, 8, 12, milliseconds(1000)}},
            now);
    }
    wire::PullReply reply;
    addQuarantineEntries(source, now, reply);
    REQUIRE(reply.quarantine_size() == maxQuarantineEntriesPerReply);
    crash_quarantine target;
    target.merge(quarantineFromWire(reply), now);
    // Two crashes for each fingerprint.
    CHECK(target.size() == maxQuarantineEntriesPerReply / 2);
    CHECK(target.entries(100, now) == source.entries(maxQuarantineEntriesPerReply, now));
    CHECK(target.remainingRejectionTime(reply.quarantine(0).fingerprint(), now)
          == milliseconds(599'000));

    wire::PullReply oversizedReply;
    oversizedReply.add_quarantine()->set_age_ms(UINT64_MAX);
    for (int i = 0; i < 1000; ++i) {
        oversizedReply.add_quarantine()->set_strikes(UINT32_MAX);
    }
    CHECK(quarantineFromWire(oversizedReply).size() == maxQuarantineEntriesPerReply);
    target.merge(quarantineFromWire(oversizedReply), now);
    CHECK(target.size() == maxQuarantineEntriesPerReply / 2 + 1);
}
