#include "persimmonrail/proxy/link_pacer.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);
// 15 Mbit/s.
constexpr double slowLink = 15e6 / 8;

} // namespace

// Several archives of 90 KB at once leave a host with a link of 15 Mbit/s.
TEST_CASE("bytes are paced at the rate of the link", "[relay]")
{
    link_pacer pacer(slowLink);
    steady_time last = start;
    size_t sent = 0;
    for (int response = 0; response < 4; ++response) {
        pacer.beginResponse("photo", 90'000);
        for (int piece = 0; piece < 6; ++piece) {
            const steady_time at = pacer.reserve(15'000, start);
            // At most one piece queues in front of the link.
            CHECK(std::chrono::duration<double>(at - start).count() * slowLink
                  >= static_cast<double>(sent) - 1);
            CHECK(at >= last);
            last = at;
            sent += 15'000;
        }
    }
    CHECK(last - start == 23 * 8ms);
    // After a pause the link is free at once.
    CHECK(pacer.reserve(15'000, start + 10s) == start + 10s);
}

TEST_CASE("the delay at the link is estimated before a request runs", "[relay]")
{
    link_pacer pacer(slowLink);
    CHECK(pacer.estimateFor("photo", start).sendTime == 0ns);
    pacer.beginResponse("photo", 90'000);
    CHECK(pacer.estimateFor("photo", start).queueDelay == 48ms);
    CHECK(pacer.estimateFor("photo", start).sendTime == 48ms);
    // Routes with small responses do not wait for the pacer.
    CHECK(pacer.estimateFor("index", start).queueDelay == 0ns);
    pacer.reserve(45'000, start);
    CHECK(pacer.estimateFor("photo", start).queueDelay == 48ms);
    CHECK(pacer.estimateFor("photo", start + 24ms).queueDelay == 24ms);
    pacer.cancelBytes(45'000);
    CHECK(pacer.estimateFor("photo", start + 24ms).queueDelay == 0ns);
}

TEST_CASE("a link of unknown or high rate causes no delay", "[relay]")
{
    link_pacer unknown;
    unknown.beginResponse("photo", 900'000);
    CHECK(unknown.reserve(900'000, start) == start);
    CHECK(unknown.reserve(900'000, start) == start);
    CHECK(unknown.estimateFor("photo", start).queueDelay == 0ns);
    link_pacer fast(1e9 / 8);
    fast.beginResponse("photo", 90'000);
    fast.reserve(90'000, start);
    CHECK(fast.reserve(1, start) - start < 1ms);
}
