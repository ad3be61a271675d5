#include "persimmonrail/proxy/link_pacer.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);
// 15 Mbit/s.
constexpr double slowLink = 15e6 / 8;

} // namespace

// Load pattern: archives of 90 KB leave a host with a link of 15 Mbit/s, several at once.
TEST_CASE("bytes are spread over the time that the link takes", "[relay]")
{
    link_pacer pacer(slowLink);
    steady_time last = start;
    size_t sent = 0;
    for (int response = 0; response < 4; ++response) {
        pacer.begin("photo", 90'000);
        for (int piece = 0; piece < 6; ++piece) {
            const steady_time at = pacer.reserve(15'000, start);
            // Never more in front of the link than one piece.
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

TEST_CASE("the wait for the link is known before a request runs", "[relay]")
{
    link_pacer pacer(slowLink);
    CHECK(pacer.expect("photo", start).own == 0ns);
    pacer.begin("photo", 90'000);
    CHECK(pacer.expect("photo", start).backlog == 48ms);
    CHECK(pacer.expect("photo", start).own == 48ms);
    // Routes with small answers do not wait in this queue.
    CHECK(pacer.expect("index", start).backlog == 0ns);
    pacer.reserve(45'000, start);
    CHECK(pacer.expect("photo", start).backlog == 48ms);
    CHECK(pacer.expect("photo", start + 24ms).backlog == 24ms);
    pacer.abandon(45'000);
    CHECK(pacer.expect("photo", start + 24ms).backlog == 0ns);
}

TEST_CASE("a link of unknown or high speed holds nothing back", "[relay]")
{
    link_pacer unknown;
    unknown.begin("photo", 900'000);
    CHECK(unknown.reserve(900'000, start) == start);
    CHECK(unknown.reserve(900'000, start) == start);
    CHECK(unknown.expect("photo", start).backlog == 0ns);
    link_pacer fast(1e9 / 8);
    fast.begin("photo", 90'000);
    fast.reserve(90'000, start);
    CHECK(fast.reserve(1, start) - start < 1ms);
}
