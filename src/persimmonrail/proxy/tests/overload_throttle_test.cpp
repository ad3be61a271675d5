#include "persimmonrail/proxy/overload_throttle.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <vector>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);
const overload_throttle::kind urgent{{"owner", 1}, 0, 500ms};
const overload_throttle::kind later{{"owner", 1}, 1, 500ms};

// An upstream that ends a bounded number of requests each 10 ms and lets others wait in a short
// queue, and callers' daemons in front of it, each with a throttle of its own.
class hot_owner
{
public:
    struct counts
    {
        int sent = 0;
        int served = 0;
    };

    explicit hot_owner(int daemons, const overload_throttle_options &options = {})
    {
        for (int i = 0; i < daemons; ++i) {
            m_daemons.push_back(std::make_unique<overload_throttle>(options));
        }
    }

    // Lets `perStep` requests arrive at drawn daemons in each step of 10 ms, of which the upstream
    // ends `capacity`.
    counts offer(const overload_throttle::kind &kind, milliseconds time, int perStep, int capacity)
    {
        counts seen;
        for (const steady_time end = m_now + time; m_now < end; m_now += 10ms) {
            for (int i = 0; i < perStep; ++i) {
                seen.sent += arrive(kind) ? 1 : 0;
            }
            const int ended = std::min(capacity, m_waiting);
            m_waiting -= ended;
            seen.served += ended;
        }
        return seen;
    }

private:
    // Whether the request is sent to the owner.
    bool arrive(const overload_throttle::kind &kind)
    {
        overload_throttle &daemon = *m_daemons[m_random() % m_daemons.size()];
        if (daemon.keepBack(kind, std::uniform_real_distribution<double>()(m_random), m_now)) {
            return false;
        }
        if (m_waiting < queueLength) {
            ++m_waiting;
            daemon.noteAccepted(kind, m_waiting < roomBelow, m_now);
        } else {
            daemon.noteRefused(kind, 80ms, m_now);
        }
        return true;
    }

    static constexpr int queueLength = 20;
    // As long as fewer requests are there, a slot is free.
    static constexpr int roomBelow = 10;
    std::vector<std::unique_ptr<overload_throttle>> m_daemons;
    std::mt19937_64 m_random{5};
    steady_time m_now = start;
    int m_waiting = 0;
};

} // namespace

// Load pattern: sixty daemons send the requests for one hot key to the slow host of its owner,
// twelve times what the owner can serve. The processor of that host would be used up by refusals.
TEST_CASE("an owner beyond its capacity is sent a small multiple of what it accepts", "[relay]")
{
    hot_owner owner(60);
    // The first second teaches each daemon.
    owner.offer(urgent, 1s, 12, 1);
    const auto seen = owner.offer(urgent, 4s, 12, 1);
    // Capacity for 400 of 4,800 requests.
    CHECK(seen.served >= 390);
    CHECK(seen.sent <= 3 * seen.served);
}

TEST_CASE("an owner with room again is sent everything soon", "[relay]")
{
    hot_owner owner(60);
    owner.offer(urgent, 5s, 12, 1);
    owner.offer(urgent, 2s, 4, 8);
    const auto seen = owner.offer(urgent, 1s, 4, 8);
    CHECK(seen.sent >= 390);
}

TEST_CASE("each kind of request and each upstream counts for itself", "[relay]")
{
    overload_throttle throttle;
    for (int i = 0; i < 100; ++i) {
        throttle.noteRefused(later, 80ms, start);
    }
    CHECK(throttle.keepBack(later, 0.5, start) == 80ms);
    CHECK_FALSE(throttle.keepBack(urgent, 0, start).has_value());
    CHECK_FALSE(throttle.keepBack({{"other", 1}, 1, 500ms}, 0, start).has_value());
    // A new start of the same upstream is another one.
    CHECK_FALSE(throttle.keepBack({{"owner", 2}, 1, 500ms}, 0, start).has_value());
}

TEST_CASE("few refusals and old ones keep nothing back", "[relay]")
{
    overload_throttle throttle;
    throttle.noteRefused(urgent, 80ms, start);
    CHECK_FALSE(throttle.keepBack(urgent, 0, start).has_value());
    for (int i = 0; i < 50; ++i) {
        throttle.noteRefused(urgent, 80ms, start);
    }
    CHECK(throttle.keepBack(urgent, 0.9, start).has_value());
    CHECK_FALSE(throttle.keepBack(urgent, 0, start + 10s).has_value());
}
