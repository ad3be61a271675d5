#include "persimmonrail/proxy/proxy_reason.h"
#include "persimmonrail/proxy/upstream_picker.h"

#include <catch2/catch.hpp>

#include <map>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

using result = upstream_picker::result;
const steady_time start = steady_time(1000s);

upstream_member member(const std::string &name, const std::string &zone = "nord")
{
    return {{name, 1}, "ledger", zone, "127.0.0.1:9000", 9, false, false};
}

random_source seeded()
{
    return [engine = std::mt19937_64(3)]() mutable { return engine(); };
}

} // namespace

TEST_CASE("an encoded queue report is parsed unchanged", "[relay]")
{
    const auto parsed = parseQueueReport(encodeQueueReport({3, 4, 9, 120ms}));
    REQUIRE(parsed.has_value());
    CHECK(parsed->running == 3);
    CHECK(parsed->waiting == 4);
    CHECK(parsed->limit == 9);
    CHECK(parsed->meanServiceTime == 120ms);
    for (const char *text : {"", "1,2,3", "1,2,0,4", "-1,2,3,4", "a,b,c,d", "1,2,3,4,5"}) {
        CHECK_FALSE(parseQueueReport(text).has_value());
    }
}

// The upstreams of one service differ in speed, and requests should go where they end first.
TEST_CASE("the faster and the less crowded upstream get more requests", "[relay]")
{
    const upstream_member slow = member("slow");
    const upstream_member fast = member("fast");
    const upstream_member crowded = member("crowded");
    upstream_picker picker("nord", seeded());
    const std::map<std::string, queue_report> reports = {
        {"slow", {3, 0, 9, 200ms}}, {"fast", {3, 0, 9, 100ms}}, {"crowded", {9, 12, 9, 100ms}}};
    std::map<std::string, int> chosen;
    for (int i = 0; i < 300; ++i) {
        const upstream_member *picked = picker.pick({&slow, &fast, &crowded}, {}, start);
        REQUIRE(picked != nullptr);
        ++chosen[picked->id.name];
        picker.finish(picked->id, result::Reached, reports.at(picked->id.name), start);
    }
    CHECK(chosen["fast"] > chosen["slow"]);
    CHECK(chosen["slow"] > chosen["crowded"]);
}

// Guards against repeated waits for a lost daemon.
TEST_CASE("a failed upstream is avoided for a growing time", "[relay]")
{
    const upstream_member lost = member("lost");
    const upstream_member sound = member("sound");
    upstream_picker picker("nord", seeded(), {250ms, 4000ms, 500ms, 1.15});
    picker.begin(lost.id);
    picker.finish(lost.id, result::Failed, std::nullopt, start);
    CHECK(picker.isPenalized(lost.id, start + 249ms));
    CHECK_FALSE(picker.isPenalized(lost.id, start + 250ms));
    for (int i = 0; i < 20; ++i) {
        const upstream_member *picked = picker.pick({&lost, &sound}, {}, start + 100ms);
        CHECK(picked->id == sound.id);
        picker.finish(picked->id, result::Reached, std::nullopt, start);
    }
    // A penalized upstream is chosen if no other is left.
    CHECK(picker.pick({&lost, &sound}, {sound.id}, start + 100ms)->id == lost.id);
    CHECK(picker.pick({&lost, &sound}, {sound.id, lost.id}, start) == nullptr);
    picker.finish(lost.id, result::Failed, std::nullopt, start + 1s);
    CHECK(picker.isPenalized(lost.id, start + 1499ms));
    picker.begin(lost.id);
    picker.finish(lost.id, result::Reached, std::nullopt, start + 2s);
    CHECK_FALSE(picker.isPenalized(lost.id, start + 2s));
}

// Guards against many requests that all wait for a lost daemon once its penalty has ended.
TEST_CASE("one request tests whether a failed upstream has recovered", "[relay]")
{
    const upstream_member lost = member("lost");
    const upstream_member sound = member("sound");
    upstream_picker picker("nord", seeded(), {250ms, 4000ms, 500ms, 1.15});
    picker.begin(lost.id);
    picker.finish(lost.id, result::Failed, std::nullopt, start);
    int tried = 0;
    for (int i = 0; i < 50; ++i) {
        tried += picker.pick({&lost, &sound}, {}, start + 300ms)->id == lost.id ? 1 : 0;
    }
    CHECK(tried == 1);
}

// The statuses 429 and 503 state that a request has not run and will not run.
TEST_CASE("the status 503 is used only for requests that did not run", "[relay]")
{
    const auto [reason, outcome, status] = GENERATE(table<proxy_reason, request_outcome, int>({
        {proxy_reason::NoRoute, request_outcome::NotRun, 404},
        {proxy_reason::Overload, request_outcome::NotRun, 503},
        {proxy_reason::TooManyConnections, request_outcome::NotRun, 503},
        {proxy_reason::DeadlineBeforeSend, request_outcome::NotRun, 503},
        {proxy_reason::NoResponse, request_outcome::Unknown, 502},
        {proxy_reason::DeadlineExceeded, request_outcome::Unknown, 504},
        {proxy_reason::UpstreamRefused, request_outcome::Unknown, 502},
    }));
    CHECK(statusFor(reason, outcome) == status);
    CHECK(parseProxyReason(toString(reason)) == reason);
}
