#include "persimmonrail/proxy/cold_rate_limit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <optional>
#include <random>
#include <vector>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time(1000s);
// 9.8 x 1.5 + 8 = 22.7 requests in any second.
const cold_rate_options giftCards{9.8, 1.5, 8};
// Time between two reports of an upstream.
constexpr milliseconds reportInterval{870};

cold_rate_limit makeLimit(const cold_rate_options &options, steady_time enabledAt = start - 10s)
{
    cold_rate_limit limit;
    limit.setOptions(options, enabledAt);
    return limit;
}

// Returns the largest number of times in any half-open interval of one second.
int maxPerSecond(std::vector<steady_time> times)
{
    std::sort(times.begin(), times.end());
    size_t first = 0;
    size_t largest = 0;
    for (size_t last = 0; last < times.size(); ++last) {
        while (times[last] - times[first] >= 1s) {
            ++first;
        }
        largest = std::max(largest, last - first + 1);
    }
    return static_cast<int>(largest);
}

// Starts requests as early as the limit allows, of a load that offers `perSecond` requests at
// random times.
std::vector<steady_time> startAll(cold_rate_limit &limit, double perSecond, milliseconds length,
                                  std::mt19937 &random)
{
    std::exponential_distribution<double> gap(perSecond / 1000);
    std::vector<steady_time> starts;
    int waiting = 0;
    double nextArrival = gap(random);
    for (milliseconds at{0}; at < length; ++at) {
        for (; nextArrival <= static_cast<double>(at.count()); nextArrival += gap(random)) {
            ++waiting;
        }
        const steady_time now = start + at;
        for (; waiting > 0 && limit.nextStart(now) <= now; --waiting) {
            limit.recordStart(now);
            starts.push_back(now);
        }
    }
    return starts;
}

} // namespace

// Guards against a crash of a cold upstream by more requests than it tolerates: random loads of 0.5
// to 20 times the tolerated rate, with arrivals later than the starts by a random time. The slack
// covers at least a quarter of a second of lateness if it is a quarter of the rate.
TEST_CASE("a cold upstream gets no more than it tolerates in any second", "[relay][cold]")
{
    const auto [options, load, lateness] = GENERATE(table<cold_rate_options, double, milliseconds>({
        {giftCards, 5, 500ms},
        {giftCards, 20, 500ms},
        {giftCards, 200, 500ms},
        {{30, 1.5, 12}, 500, 250ms},
        {{2.5, 2, 3}, 50, 250ms},
        {{0.5, 1, 2}, 10, 250ms},
    }));
    const unsigned seed = GENERATE(range(1U, 21U));
    CAPTURE(options.requestsPerSecond, load, seed);
    std::mt19937 random(seed);
    cold_rate_limit limit = makeLimit(options);
    const std::vector<steady_time> starts = startAll(limit, load, 20s, random);
    CHECK(maxPerSecond(starts)
          <= std::max(1, static_cast<int>(options.requestsPerSecond * options.overshoot)));
    std::vector<steady_time> arrivals = starts;
    for (steady_time &arrival : arrivals) {
        arrival += milliseconds(static_cast<int64_t>(random()) % lateness.count());
    }
    CHECK(maxPerSecond(arrivals) <= options.requestsPerSecond * options.overshoot + options.slack);
    // The limit is used, so that the upstream serves what it can.
    const double wanted =
        std::min(load, static_cast<double>(limit.permittedPerSecond())) * 20 * 0.75;
    CHECK(static_cast<double>(starts.size()) >= wanted);
}

// Guards against a crash of a running upstream: a busy one becomes cold at a random moment, which
// its daemon learns by the next report, or by a check whose response arrives within 20 ms.
TEST_CASE("a change to cold that is noticed late exceeds no bound", "[relay][cold]")
{
    const double load = GENERATE(10.0, 25.0, 47.0, 150.0);
    const unsigned seed = GENERATE(range(1U, 21U));
    CAPTURE(load, seed);
    std::mt19937 random(seed);
    std::exponential_distribution<double> gap(load / 1000);
    cold_rate_limit limit = makeLimit(giftCards);
    limit.recordCheck(start);
    limit.recordCheckResponse(true);
    const milliseconds coldFrom(4000 + random() % 2000);
    const milliseconds coldTo = coldFrom + 3s;
    const auto remainingAt = [&](milliseconds at) {
        return at >= coldFrom && at < coldTo ? coldTo - at : 0ms;
    };
    std::vector<steady_time> startsWhenCold;
    int startsWhenWarm = 0;
    int waiting = 0;
    double nextArrival = 0;
    std::optional<milliseconds> checkedAt;
    for (milliseconds at{0}; at < 9s; ++at) {
        const steady_time now = start + at;
        if (at % reportInterval == 0ms) {
            limit.recordStatement(remainingAt(at), now, now);
        }
        if (checkedAt && at == *checkedAt + 20ms) {
            limit.recordStatement(remainingAt(*checkedAt), start + *checkedAt, now);
            checkedAt.reset();
        }
        if (at % 100ms == 0ms && !checkedAt && limit.needsCheck(now)) {
            limit.recordCheck(now);
            checkedAt = at;
        }
        for (; nextArrival <= static_cast<double>(at.count()); nextArrival += gap(random)) {
            waiting = std::min(waiting + 1, 40);
        }
        for (; waiting > 0 && limit.nextStart(now) <= now; --waiting) {
            limit.recordStart(now);
            if (remainingAt(at) > 0ms) {
                startsWhenCold.push_back(now);
            } else if (at < coldFrom) {
                ++startsWhenWarm;
            }
        }
    }
    CHECK(maxPerSecond(startsWhenCold) <= 22);
    // A warm upstream gets all that is offered, at least up to 60 requests a second.
    const double offered = std::min(load, 60.0) * std::chrono::duration<double>(coldFrom).count();
    CHECK(startsWhenWarm >= offered * 0.7);
}

// Guards against a limit that stays: an upstream that is warm again gets all requests at once.
TEST_CASE("the limit ends with the cold time", "[relay][cold]")
{
    cold_rate_limit limit = makeLimit(giftCards);
    CHECK(limit.isCold(start));
    CHECK(limit.coldRemaining(start) == milliseconds::max());
    SECTION("by a report")
    {
        limit.recordStatement(0ms, start, start);
        CHECK_FALSE(limit.isCold(start));
    }
    SECTION("by the time that the last report has stated, if the next ones are lost")
    {
        limit.recordStatement(1500ms, start, start);
        CHECK(limit.coldRemaining(start + 500ms) == 1000ms);
        CHECK(limit.isCold(start + 1499ms));
        for (int i = 0; i < 100; ++i) {
            limit.recordStart(start + 1499ms);
        }
        CHECK(limit.nextStart(start + 1499ms) == start + 1500ms);
        CHECK_FALSE(limit.isCold(start + 1500ms));
    }
    const steady_time end = start + 1500ms;
    for (int i = 0; i < 100; ++i) {
        CHECK(limit.nextStart(end) == end);
        limit.recordStart(end);
    }
}

// Guards against a restart of the upstream, or of the daemon, that is not noticed.
TEST_CASE("signs of a restart make an upstream cold until a later statement", "[relay][cold]")
{
    cold_rate_limit limit = makeLimit(giftCards);
    limit.recordStatement(0ms, start, start);
    limit.recordLostConnection(start + 100ms);
    // An upstream closes single connections that it found idle.
    limit.recordLostConnection(start + 700ms);
    CHECK_FALSE(limit.isCold(start + 700ms));
    limit.recordLostConnection(start + 720ms);
    CHECK(limit.isCold(start + 720ms));
    // This statement was sent before the loss.
    limit.recordStatement(0ms, start + 710ms, start + 730ms);
    CHECK(limit.isCold(start + 730ms));
    limit.recordStatement(0ms, start + 800ms, start + 800ms);
    CHECK_FALSE(limit.isCold(start + 800ms));
}

// Guards against two processes of the daemon, one after the other, that send more than the upstream
// tolerates in the second around the restart.
TEST_CASE("a restarted daemon counts on the starts of the earlier process", "[relay][cold]")
{
    // A slack of 4 does not cover what two limits admit side by side.
    const double rate = GENERATE(9.8, 30.0);
    const cold_rate_options options{rate, 1.5, 4};
    cold_rate_limit earlier = makeLimit(options);
    // Just after the last quarter of a window.
    const milliseconds end = 3100ms;
    std::mt19937 random(1);
    std::vector<steady_time> starts = startAll(earlier, 200, end, random);
    const milliseconds restart = GENERATE(1ms, 50ms, 400ms, 999ms);
    cold_rate_limit later;
    later.assumeUnknownRate(options.slack, start + end + restart);
    for (milliseconds at = end + restart; at < 6s; ++at) {
        const steady_time now = start + at;
        if (at == end + restart + 50ms) {
            later.setOptions(options, now);
        }
        while (later.nextStart(now) <= now) {
            later.recordStart(now);
            starts.push_back(now);
        }
    }
    CHECK(maxPerSecond(starts) <= options.requestsPerSecond * options.overshoot + options.slack);
}

// Guards against requests that are sent again over the limit.
TEST_CASE("requests that are sent again count", "[relay][cold]")
{
    cold_rate_limit limit = makeLimit(giftCards);
    int sent = 0;
    while (limit.tryResend(start)) {
        REQUIRE(++sent < 100);
    }
    CHECK(sent == 18);
    CHECK(limit.nextStart(start) == start + 1s);
    limit.withdrawStart(start);
    CHECK(limit.recentStarts(start) == 17);
    limit.recordStatement(0ms, start, start);
    CHECK(limit.tryResend(start));
}

// Guards against a change for services without a cold limit.
TEST_CASE("without a tolerated rate nothing is delayed", "[relay][cold]")
{
    cold_rate_limit limit = makeLimit({0, 1.5, 8});
    limit.recordStatement(3s, start, start);
    limit.recordRestartSign(start);
    CHECK_FALSE(limit.isEnabled());
    CHECK_FALSE(limit.isCold(start));
    CHECK_FALSE(limit.needsCheck(start));
    for (int i = 0; i < 1000; ++i) {
        CHECK(limit.nextStart(start) == start);
        CHECK(limit.startOfNth(100, start) == start);
        CHECK(limit.tryResend(start));
    }
}
