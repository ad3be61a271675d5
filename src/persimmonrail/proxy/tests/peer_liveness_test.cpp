#include "persimmonrail/proxy/peer_liveness.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);
const std::string peer = "10.0.0.1:7000";

// Records that the probe sent at `probedAt` has no response, at each check until `until`.
void waitForProbe(peer_liveness &liveness, steady_time probedAt, steady_time until)
{
    for (steady_time now = probedAt + 100ms; now <= until; now += 100ms) {
        liveness.recordNoResponse(peer, probedAt, now);
    }
}

} // namespace

// Guards against slowness that is taken for a failure.
TEST_CASE("a peer is unresponsive only after probes have waited long without any response",
          "[relay]")
{
    peer_liveness liveness;
    CHECK_FALSE(liveness.isUnresponsive(peer, start));
    CHECK(liveness.tryBegin(peer, start));
    waitForProbe(liveness, start, start + 2900ms);
    CHECK_FALSE(liveness.isUnresponsive(peer, start + 2900ms));
    CHECK(liveness.tryBegin(peer, start + 2900ms));
    SECTION("without a response")
    {
        waitForProbe(liveness, start, start + 3s);
        CHECK(liveness.isUnresponsive(peer, start + 3s));
        CHECK_FALSE(liveness.isUnresponsive("10.0.0.2:7000", start + 3s));
    }
    SECTION("a response on any connection restarts the wait")
    {
        liveness.recordResponse(peer, start + 2900ms);
        waitForProbe(liveness, start, start + 5800ms);
        CHECK_FALSE(liveness.isUnresponsive(peer, start + 5800ms));
        waitForProbe(liveness, start, start + 5900ms);
        CHECK(liveness.isUnresponsive(peer, start + 5900ms));
    }
    SECTION("a peer that responds is never unresponsive")
    {
        for (milliseconds at = 3s; at < 20s; at += 2s) {
            liveness.recordResponse(peer, start + at);
            waitForProbe(liveness, start + at, start + at + 2s);
            CHECK_FALSE(liveness.isUnresponsive(peer, start + at + 2s));
        }
    }
    SECTION("a time in which no probe waits proves nothing")
    {
        liveness.recordNoResponse(peer, start + 9s, start + 9100ms);
        CHECK_FALSE(liveness.isUnresponsive(peer, start + 9100ms));
    }
}

// Guards against a suspended daemon at which each request waits, and against a daemon that gets no
// requests after it has recovered.
TEST_CASE("one request at a time tests a unresponsive peer", "[relay]")
{
    peer_liveness liveness;
    waitForProbe(liveness, start, start + 3s);
    const steady_time now = start + 3s;
    CHECK_FALSE(liveness.tryBegin(peer, now));
    CHECK_FALSE(liveness.tryBegin(peer, now + 999ms));
    CHECK(liveness.tryBegin(peer, now + 1s));
    CHECK_FALSE(liveness.tryBegin(peer, now + 1s));
    SECTION("a response ends that")
    {
        liveness.recordResponse(peer, now + 1100ms);
        CHECK(liveness.tryBegin(peer, now + 1100ms));
        CHECK(liveness.tryBegin(peer, now + 1100ms));
    }
    SECTION("an unanswered test continues that")
    {
        liveness.recordNoResponse(peer, now + 1700ms, now + 1800ms);
        CHECK(liveness.isUnresponsive(peer, now + 1800ms));
        CHECK_FALSE(liveness.tryBegin(peer, now + 1900ms));
    }
    SECTION("unanswered probes are forgotten when nothing has tested the peer")
    {
        CHECK(liveness.tryBegin(peer, now + 5s));
        CHECK(liveness.tryBegin(peer, now + 5s));
    }
}

TEST_CASE("a peer that responds late is avoided where there is a choice", "[relay]")
{
    peer_liveness liveness;
    waitForProbe(liveness, start, start + 400ms);
    CHECK_FALSE(liveness.shouldAvoid(peer, start + 400ms));
    waitForProbe(liveness, start, start + 1s);
    CHECK(liveness.shouldAvoid(peer, start + 1s));
    // The peer is due for a test, which one request makes.
    CHECK_FALSE(liveness.shouldAvoid(peer, start + 2s));
    CHECK(liveness.tryBegin(peer, start + 2s));
    CHECK(liveness.shouldAvoid(peer, start + 2s));
    liveness.recordResponse(peer, start + 2s);
    CHECK_FALSE(liveness.shouldAvoid(peer, start + 2s));
}
