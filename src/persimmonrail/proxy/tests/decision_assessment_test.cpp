// The functions that explain decisions, compared with the decisions over generated states.
#include "persimmonrail/proxy/overload_throttle.h"
#include "persimmonrail/proxy/peer_liveness.h"
#include "persimmonrail/proxy/slot_queue.h"
#include "persimmonrail/proxy/upstream_picker.h"
#include "persimmonrail/routing/attempt_age.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <map>
#include <memory>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);

// Small random numbers for generated states.
class generator
{
public:
    explicit generator(uint64_t seed)
        : m_engine(seed)
    { }
    int below(int bound) { return static_cast<int>(m_engine() % static_cast<uint64_t>(bound)); }
    double fraction() { return below(1'000'000) / 1e6; }

private:
    std::mt19937_64 m_engine;
};

// A picker with a history that depends only on the seed, and the members that are offered to it.
struct picker_state
{
    explicit picker_state(uint64_t seed)
        : draws(std::make_shared<std::mt19937_64>(seed))
        , random(seed)
    {
        upstream_picker_options options;
        options.zoneShare.crossingCost = milliseconds(random.below(2) * 5);
        options.zoneShare.crossingCostPerKb = random.below(2);
        picker = std::make_unique<upstream_picker>(
            "z0", [engine = draws] { return (*engine)(); }, options);
        const int count = random.below(7);
        for (int i = 0; i < count; ++i) {
            owned.push_back({{"i-" + std::to_string(i), 1},
                             "s",
                             "z" + std::to_string(random.below(3)),
                             "127.0.0.1:1",
                             1 + random.below(9)});
            owned.back().host.linkMbps = random.below(3) * 10;
        }
        for (const upstream_member &entry : owned) {
            members.push_back(&entry);
        }
        for (int step = random.below(40); step > 0; --step) {
            advance();
        }
    }

    void advance()
    {
        now += milliseconds(random.below(120));
        if (random.below(4) == 0) {
            std::vector<zone_load> zones;
            zones.reserve(3);
            for (int i = 0; i < 3; ++i) {
                zones.push_back({"z" + std::to_string(i), 2, 18, 3, 0, 100.0 * random.below(3),
                                 20.0 * random.below(10), now - milliseconds(random.below(5000))});
            }
            picker->learnZones(zones, now);
        }
        const upstream_member *picked = picker->pick(members, {}, now, random.below(50'000));
        if (picked != nullptr && random.below(5) != 0) {
            std::optional<queue_report> report;
            if (random.below(3) != 0) {
                report = queue_report{random.below(9), random.below(9), 1 + random.below(9),
                                      milliseconds(random.below(100))};
            }
            picker->finish(picked->id, static_cast<upstream_picker::result>(random.below(3)),
                           report, now);
        }
    }

    std::shared_ptr<std::mt19937_64> draws;
    generator random;
    std::vector<upstream_member> owned;
    std::vector<const upstream_member *> members;
    std::unique_ptr<upstream_picker> picker;
    steady_time now = start;
};

// The transfer of a body from the host of i-0.
body_transfer transferOf(double bytes)
{
    return {bytes, 1.25e6, {"i-0", 1}};
}

std::map<std::string, double> chancesOf(const picker_state &state, double bytes)
{
    std::map<std::string, double> chances;
    for (const member_assessment &entry :
         state.picker->assess(state.members, state.members, state.now, bytes, transferOf(bytes))
             .members) {
        chances[entry.member->id.name] = entry.chance;
    }
    return chances;
}

} // namespace

// Guards against an explanation that names other upstreams than those that get the requests.
TEST_CASE("the assessed chances are the frequencies of the picks", "[explain]")
{
    constexpr int samples = 500;
    for (uint64_t seed = 1; seed <= 80; ++seed) {
        CAPTURE(seed);
        const double bytes = seed % 3 == 0 ? 0 : 20'000;
        const picker_state assessed(seed);
        const std::map<std::string, double> chances = chancesOf(assessed, bytes);
        std::map<std::string, int> picks;
        for (int sample = 0; sample < samples; ++sample) {
            // A pick changes the state, so each is made in a state of its own.
            const picker_state state(seed);
            state.draws->seed(seed * 1000 + static_cast<uint64_t>(sample));
            const upstream_member *picked =
                state.picker->pick(state.members, {}, state.now, bytes, transferOf(bytes));
            REQUIRE((picked == nullptr) == state.members.empty());
            if (picked != nullptr) {
                ++picks[picked->id.name];
            }
        }
        double sum = 0;
        for (const auto &[name, chance] : chances) {
            CAPTURE(name, chance, picks[name]);
            sum += chance;
            CHECK((chance > 0 || picks[name] == 0));
            const double deviation = std::sqrt(samples * chance * std::max(1 - chance, 0.0));
            CHECK(std::abs(picks[name] - samples * chance) <= 5 * deviation + 1e-6);
        }
        CHECK(sum == Approx(assessed.members.empty() ? 0 : 1));
        CHECK(chancesOf(assessed, bytes) == chances);
    }
}

// Guards against an explanation of a wait or a rejection that the queue does not follow.
TEST_CASE("the queue decides as it expected, also while the upstream is cold", "[explain]")
{
    int rejections = 0;
    for (uint64_t seed = 1; seed <= 40; ++seed) {
        generator random(seed);
        slot_queue_options options;
        options.schedulesReturns = seed % 2 == 0;
        options.precedingZone = seed % 3 == 0 ? "z0" : "";
        slot_queue queue(options);
        queue.setSlots(1 + random.below(4));
        steady_time now = start;
        if (random.below(2) == 0) {
            queue.coldLimit().setOptions({9.8, 1.5, 8}, now);
        }
        std::vector<uint64_t> running;
        for (int step = 0; step < 200; ++step) {
            now += milliseconds(random.below(40));
            const milliseconds objective(100 + 200 * random.below(4));
            const slot_request request{"r" + std::to_string(random.below(3)),
                                       random.below(3),
                                       objective,
                                       now + objective - milliseconds(random.below(300)),
                                       now + milliseconds(random.below(2000)),
                                       random.below(4) == 0,
                                       static_cast<caller_attempt>(random.below(4)),
                                       "z" + std::to_string(random.below(2))};
            const slot_queue::expectation expected = queue.expect(request, now);
            const slot_queue::expectation again = queue.expect(request, now);
            CHECK(expected.wait() == again.wait());
            slot_queue::rejection rejected;
            const bool isAccepted = queue.submit(request, now, rejected).has_value();
            REQUIRE(isAccepted == !expected.rejected.has_value());
            if (!isAccepted) {
                ++rejections;
                REQUIRE(rejected.retryAfter == expected.rejected->retryAfter);
            }
            for (const uint64_t id : queue.startRequests(now)) {
                running.push_back(id);
            }
            if (!running.empty() && random.below(3) != 0) {
                queue.finish(running.front(), true, now);
                running.erase(running.begin());
            }
            if (random.below(20) == 0) {
                queue.recordWorkFactor(1 + 2 * random.fraction(), now);
                queue.coldLimit().recordStatement(milliseconds(random.below(2) * 1000), now, now);
            }
        }
    }
    CHECK(rejections > 500);
}

// The smaller decisions: the throttle, silent daemons, and the age of a caller's retry.
TEST_CASE("expectations of the caller's daemon agree with its decisions", "[explain]")
{
    int rejections = 0;
    int silent = 0;
    int aged = 0;
    generator random(5);
    overload_throttle throttle;
    peer_liveness liveness;
    attempt_age ages;
    steady_time now = start;
    for (int step = 0; step < 20'000; ++step) {
        now += milliseconds(random.below(30));
        const overload_throttle::request_class requestClass{
            {"i-" + std::to_string(random.below(2)), 1}, random.below(2), 500ms};
        const auto expected = throttle.expect(requestClass, now);
        const double fraction = random.fraction();
        const auto rejected = throttle.rejectLocally(requestClass, fraction, now);
        REQUIRE(rejected.has_value() == (fraction < expected.rejectionChance));
        if (rejected) {
            ++rejections;
            REQUIRE(*rejected == expected.retryAfter);
        } else if (random.below(3) == 0) {
            throttle.recordAccepted(requestClass, random.below(50) == 0, now);
        } else {
            throttle.recordRejected(requestClass, milliseconds(random.below(500)), now);
        }

        const std::string address = "a" + std::to_string(random.below(3));
        const bool mayBegin = liveness.mayBegin(address, now);
        REQUIRE(liveness.mayBegin(address, now) == mayBegin);
        REQUIRE(liveness.tryBegin(address, now) == mayBegin);
        silent += mayBegin ? 0 : 1;
        if (random.below(300) == 0) {
            liveness.recordResponse(address, now);
        } else if (random.below(4) == 0) {
            liveness.recordNoResponse(address, now - 500ms, now);
        }

        const std::string route = "r" + std::to_string(random.below(3));
        const milliseconds timeout(1000 + 100 * random.below(10));
        const milliseconds age = ages.peekEstimate(route, timeout, now);
        REQUIRE(ages.estimate(route, timeout, now) == age);
        aged += age.count() > 0 ? 1 : 0;
        if (random.below(500) == 0) {
            ages.recordFailure(route, now);
        }
    }
    CHECK(rejections > 100);
    CHECK(silent > 100);
    CHECK(aged > 100);
}
