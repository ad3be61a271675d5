#include "persimmonrail/base/backoff.h"
#include "persimmonrail/routing/deadline.h"
#include "persimmonrail/routing/retry_budget.h"
#include "persimmonrail/routing/route_candidates.h"

#include <catch2/catch.hpp>

#include <random>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time{} + 1h;

} // namespace

// Guards against requests that are sent to members restarted since the record was written, sent to
// one member twice, or sent to members that never own the key.
TEST_CASE("candidates come in the order owner, hint, next owner, standbys")
{
    struct row
    {
        std::string name;
        std::string owner;
        std::string hint;
        std::string nextOwner;
        std::vector<std::string> standbys;
        std::vector<std::string> expected;
    };
    const auto row = GENERATE(values<struct row>({
        {"owner and standbys", "a", "", "", {"b", "c"}, {"a", "b", "c"}},
        {"hint before standbys", "a", "c", "", {"b", "c"}, {"a", "c", "b"}},
        {"hint not in the record", "a", "d", "", {"b"}, {"a", "d", "b"}},
        {"unknown hint", "a", "x", "", {"b"}, {"a", "b"}},
        {"hint is the owner", "a", "a", "", {"b"}, {"a", "b"}},
        {"planned move", "a", "", "d", {"b"}, {"a", "d", "b"}},
        {"unknown owner", "x", "", "", {"b", "c"}, {"b", "c"}},
        {"owner restarted", "restarted", "", "", {"b"}, {"b"}},
        {"standby restarted", "a", "", "", {"restarted", "c"}, {"a", "c"}},
        {"no known member", "x", "", "", {}, {}},
    }));
    CAPTURE(row.name);
    fleet_view view;
    for (const auto *name : {"a", "b", "c", "d"}) {
        view.members[name].id = {name, 1};
    }
    view.members["restarted"].id = {"restarted", 2};
    auto &record = view.records["s/0"].record;
    record.range = {0, 99};
    record.owner = {row.owner, 1};
    if (!row.nextOwner.empty()) {
        record.nextOwner = {row.nextOwner, 1};
    }
    for (const auto &standby : row.standbys) {
        record.standbys.push_back({standby, 1});
    }
    indexRecords(view);
    std::vector<std::string> names;
    for (const auto *member : routeCandidates(view, "s", 7, row.hint)) {
        names.push_back(member->id.name);
    }
    CHECK(names == row.expected);
    CHECK(routeCandidates(view, "s", 100, row.hint).empty());
}

// Guards against retries that amplify an overload.
TEST_CASE("retries stay within a tenth of first attempts plus the minimum")
{
    const int attemptsPerSecond = GENERATE(0, 10, 1000, 2388);
    const double allowedRetriesPerSecond = attemptsPerSecond * 0.1 + 1;
    retry_budget budget(start, {});
    int retries = 0;
    constexpr int seconds = 20;
    for (int second = 0; second < seconds; ++second) {
        for (int i = 0; i < std::max(10, attemptsPerSecond); ++i) {
            const auto now = start + second * 1s
                + std::chrono::microseconds(1000000 / std::max(10, attemptsPerSecond) * i);
            if (i < attemptsPerSecond) {
                budget.recordFirstAttempt(now);
            }
            retries += budget.tryRetry(now) ? 1 : 0;
        }
    }
    CHECK(retries <= seconds * allowedRetriesPerSecond + 1);
    CHECK(retries >= seconds * allowedRetriesPerSecond * 0.9 - 2);
}

// Guards against lost updates between threads and against an unbounded burst.
TEST_CASE("several threads can use one bounded budget")
{
    const auto [burst, expected] = GENERATE(table<double, int>({{50, 50}, {1e9, 4000}}));
    retry_budget budget(start, {0.1, 0.0, burst});
    std::vector<std::thread> threads;
    threads.reserve(4);
    for (int i = 0; i < 4; ++i) {
        threads.emplace_back([&] {
            for (int attempt = 0; attempt < 10000; ++attempt) {
                budget.recordFirstAttempt(start);
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    int retries = 0;
    while (budget.tryRetry(start)) {
        ++retries;
    }
    CHECK(retries >= expected - 1);
    CHECK(retries <= expected);
}

// Guards against delays that grow without bound, and against clients that retry simultaneously.
TEST_CASE("delays double up to the maximum, with jitter in the upper half")
{
    backoff delays(50ms, 1000ms, std::mt19937_64(3));
    for (const int upper : {50, 100, 200, 400, 800, 1000, 1000}) {
        const auto delay = delays.next();
        CHECK(delay >= milliseconds(upper / 2));
        CHECK(delay <= milliseconds(upper));
    }
    delays.reset();
    CHECK(delays.next() <= 50ms);
}

// Guards against a hop that extends the caller's deadline, and against overflow.
TEST_CASE("the deadline of a request follows from the smaller of timeout and header")
{
    const auto [header, expected] =
        GENERATE(table<std::string, int>({{"", 2000},
                                          {"500", 500},
                                          {"0", 0},
                                          {"2000", 2000},
                                          {"999999", 2000},
                                          {"18446744073709551615", 2000},
                                          {"-1", -1},
                                          {"18446744073709551616", -1},
                                          {"5s", -1}}));
    CAPTURE(header);
    const auto result = deadline::forRequest(header, 2000ms, start);
    REQUIRE(result.ok() == (expected >= 0));
    if (result.ok()) {
        CHECK(result->remaining(start) == milliseconds(expected));
        CHECK(result->isExpired(start) == (expected == 0));
        CHECK(result->headerValue(start) == std::to_string(expected));
        CHECK(result->remaining(start + 1h) == 0ms);
        CHECK(result->clamp(700ms, start) == milliseconds(std::min(700, expected)));
        CHECK(result->hasTimeFor(700ms, start) == (expected > 700));
    } else {
        CHECK(absl::IsInvalidArgument(result.status()));
    }
}

TEST_CASE("the deadline header value is rounded down")
{
    const deadline limit(start + 1500us);
    CHECK(limit.headerValue(start) == "1");
    CHECK(limit.headerValue(start + 600us) == "0");
}

// Guards against BUDGET: many hosts that lose connections all the time and send requests again,
// each within limits that together are more than all may retry.
TEST_CASE("the holders of a retry budget stay within their part of it")
{
    const auto [holders, slack, rate] = GENERATE(
        table<size_t, double, int>({{1, 60, 100}, {5, 160, 30}, {80, 430, 2}, {25, 160, 0}}));
    CAPTURE(holders, slack, rate);
    const shared_retry_budget budget{0.2, slack, 10'000ms};
    constexpr double part = 0.25;
    constexpr int seconds = 10;
    int retries = 0;
    for (size_t i = 0; i < holders; ++i) {
        retry_budget own(start - 1h, shareRetryBudget(budget, part, holders));
        for (int step = 0; step < 100 * seconds; ++step) {
            const steady_time now = start + step * 10ms;
            for (int first = step * rate / 100; first < (step + 1) * rate / 100; ++first) {
                own.recordFirstAttempt(now);
            }
            retries += own.tryRetry(now) ? 1 : 0;
        }
    }
    const double firstAttempts = static_cast<double>(holders) * rate * seconds;
    CHECK(retries <= part * (0.2 * firstAttempts + slack) + 1);
    CHECK(retries >= part * (0.2 * firstAttempts + slack) * 0.7 - static_cast<double>(holders));
}

TEST_CASE("new limits of a retry budget take effect at once")
{
    retry_budget budget(start, {0.1, 0.0, 50});
    for (int i = 0; i < 500; ++i) {
        budget.recordFirstAttempt(start);
    }
    budget.setOptions({0.1, 0.0, 2}, start);
    CHECK(budget.tryRetry(start));
    CHECK(budget.tryRetry(start));
    CHECK_FALSE(budget.tryRetry(start));
}
