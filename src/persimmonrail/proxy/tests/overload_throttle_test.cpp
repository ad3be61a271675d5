#include "persimmonrail/proxy/overload_throttle.h"

#include <catch2/catch.hpp>

#include <memory>
#include <random>
#include <vector>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);
const overload_throttle::request_class urgent{{"owner", 1}, 0, 500ms};
const overload_throttle::request_class lessUrgent{{"owner", 1}, 1, 500ms};

// An upstream that completes a bounded number of requests every 10 ms and has a short queue, and
// the callers' daemons in front of it, each with its own throttle.
class simulated_upstream
{
public:
    struct counts
    {
        int sent = 0;
        int served = 0;
    };

    explicit simulated_upstream(int daemonCount, const overload_throttle_options &options = {})
    {
        for (int i = 0; i < daemonCount; ++i) {
            m_daemons.push_back(std::make_unique<overload_throttle>(options));
        }
    }

    // Sends `perStep` requests through random daemons in each step of 10 ms, of which the upstream
    // completes `capacity`.
    counts simulate(const overload_throttle::request_class &requestClass, milliseconds time,
                    int perStep, int capacity)
    {
        counts result;
        for (const steady_time end = m_now + time; m_now < end; m_now += 10ms) {
            for (int i = 0; i < perStep; ++i) {
                result.sent += sendRequest(requestClass) ? 1 : 0;
            }
            const int ended = std::min(capacity, m_waiting);
            m_waiting -= ended;
            result.served += ended;
        }
        return result;
    }

private:
    // Returns whether a daemon sends the request to the upstream.
    bool sendRequest(const overload_throttle::request_class &requestClass)
    {
        overload_throttle &daemon = *m_daemons[m_random() % m_daemons.size()];
        if (daemon.rejectLocally(requestClass, std::uniform_real_distribution<double>()(m_random),
                                 m_now)) {
            return false;
        }
        if (m_waiting < queueLength) {
            ++m_waiting;
            daemon.recordAccepted(requestClass, m_waiting < freeSlotLimit, m_now);
        } else {
            daemon.recordRejected(requestClass, 80ms, m_now);
        }
        return true;
    }

    static constexpr int queueLength = 20;
    // A slot is free while fewer requests than this are running or waiting.
    static constexpr int freeSlotLimit = 10;
    std::vector<std::unique_ptr<overload_throttle>> m_daemons;
    std::mt19937_64 m_random{5};
    steady_time m_now = start;
    int m_waiting = 0;
};

} // namespace

// Sixty daemons send the requests for one hot key to the slow host of its owner, twelve times what
// the owner can serve. Rejections would use up the CPU time of that host.
TEST_CASE("an overloaded owner is sent a small multiple of the requests it accepts", "[relay]")
{
    simulated_upstream upstream(60);
    // Each daemon learns the load during the first second.
    upstream.simulate(urgent, 1s, 12, 1);
    const auto result = upstream.simulate(urgent, 4s, 12, 1);
    // The upstream has capacity for 400 of 4,800 requests.
    CHECK(result.served >= 390);
    CHECK(result.sent <= 3 * result.served);
}

TEST_CASE("an owner with capacity again is soon sent all requests", "[relay]")
{
    simulated_upstream upstream(60);
    upstream.simulate(urgent, 5s, 12, 1);
    upstream.simulate(urgent, 2s, 4, 8);
    const auto result = upstream.simulate(urgent, 1s, 4, 8);
    CHECK(result.sent >= 390);
}

TEST_CASE("request classes and upstreams are counted separately", "[relay]")
{
    overload_throttle throttle;
    for (int i = 0; i < 100; ++i) {
        throttle.recordRejected(lessUrgent, 80ms, start);
    }
    CHECK(throttle.rejectLocally(lessUrgent, 0.5, start) == 80ms);
    CHECK_FALSE(throttle.rejectLocally(urgent, 0, start).has_value());
    CHECK_FALSE(throttle.rejectLocally({{"other", 1}, 1, 500ms}, 0, start).has_value());
    // A new incarnation of the same upstream is counted separately.
    CHECK_FALSE(throttle.rejectLocally({{"owner", 2}, 1, 500ms}, 0, start).has_value());
}

TEST_CASE("few or old rejections cause no local rejection", "[relay]")
{
    overload_throttle throttle;
    throttle.recordRejected(urgent, 80ms, start);
    CHECK_FALSE(throttle.rejectLocally(urgent, 0, start).has_value());
    for (int i = 0; i < 50; ++i) {
        throttle.recordRejected(urgent, 80ms, start);
    }
    CHECK(throttle.rejectLocally(urgent, 0.9, start).has_value());
    CHECK_FALSE(throttle.rejectLocally(urgent, 0, start + 10s).has_value());
}
