#include "persimmonrail/requests/crash_quarantine.h"

#include <catch2/catch.hpp>

#include <string>

using namespace persimmonrail;
using run_end = crash_quarantine::run_end;
using std::chrono::seconds;

namespace {

const steady_time start{seconds(100'000)};

// Runs the fingerprints at the same time; the upstream crashes and is noticed `delay` later.
void crash(crash_quarantine &quarantine, const std::vector<uint64_t> &running, steady_time now,
           milliseconds delay = milliseconds(1000))
{
    std::vector<crash_quarantine::run_id> runs(running.size());
    for (auto &run : runs) {
        run = quarantine.begin();
    }
    for (size_t i = 0; i < running.size(); ++i) {
        quarantine.end(runs[i], running[i], run_end::ConnectionLost, now);
    }
    quarantine.noteCrash(now + delay);
}

} // namespace

// Guards against blaming requests for crashes they had little part in, and against letting one
// through that crashes the upstream each time.
TEST_CASE("strikes are shared by the few requests that were running", "[requests]")
{
    struct
    {
        std::vector<uint64_t> running;
        int crashesUntilRefused;
    } const table[] = {
        {{1}, 2}, {{1, 1}, 2}, {{1, 2}, 4}, {{1, 2, 3}, 6}, {{1, 2, 3, 4}, 8}, {{1, 2, 3, 4, 5}, 0},
    };
    for (const auto &row : table) {
        CAPTURE(row.running);
        crash_quarantine quarantine;
        int refusedAfter = 0;
        for (int i = 1; i <= 10 && refusedAfter == 0; ++i) {
            const steady_time now = start + seconds(10 * i);
            crash(quarantine, row.running, now);
            refusedAfter = quarantine.refusedFor(1, now + seconds(1)) ? i : 0;
        }
        CHECK(refusedAfter == row.crashesUntilRefused);
        CHECK(quarantine.refusesAny(start + seconds(100)) == (row.crashesUntilRefused > 0));
        CHECK_FALSE(quarantine.refusedFor(77, start + seconds(100)));
    }
}

// Guards against a strike for a lost connection without a crash, or for a crash without one.
TEST_CASE("only a lost connection together with a crash is a strike", "[requests]")
{
    crash_quarantine quarantine;
    SECTION("regular ends")
    {
        for (int i = 0; i < 3; ++i) {
            quarantine.end(quarantine.begin(), 1, run_end::Regular, start);
            quarantine.noteCrash(start);
        }
    }
    SECTION("lost long before the crash")
    {
        for (int i = 0; i < 3; ++i) {
            crash(quarantine, {1}, start + seconds(20 * i), seconds(6));
        }
    }
    SECTION("lost without a crash")
    {
        for (int i = 0; i < 3; ++i) {
            quarantine.end(quarantine.begin(), 1, run_end::ConnectionLost, start);
        }
    }
    SECTION("a running request that ends regularly after the crash was noticed")
    {
        for (int i = 0; i < 3; ++i) {
            const auto run = quarantine.begin();
            quarantine.noteCrash(start);
            quarantine.end(run, 1, run_end::Regular, start);
        }
    }
    SECTION("a body that was cut off by the crash has no fingerprint")
    {
        for (int i = 0; i < 3; ++i) {
            quarantine.end(quarantine.begin(), std::nullopt, run_end::ConnectionLost, start);
            quarantine.noteCrash(start);
        }
    }
    SECTION("a crash counts once")
    {
        crash(quarantine, {1}, start);
        quarantine.noteCrash(start + seconds(2));
    }
    CHECK_FALSE(quarantine.refusesAny(start + seconds(50)));
}

// Guards against a strike that is missed because the crash is noticed first.
TEST_CASE("a connection lost after the crash was noticed counts", "[requests]")
{
    crash_quarantine quarantine;
    for (int i = 0; i < 2; ++i) {
        const auto run = quarantine.begin();
        quarantine.noteCrash(start);
        quarantine.end(run, 1, run_end::ConnectionLost, start + milliseconds(500));
    }
    CHECK(quarantine.refusedFor(1, start + seconds(1)));
}

// Guards against a quarantine without end and against unbounded memory.
TEST_CASE("entries age out and are bounded in number", "[requests]")
{
    crash_quarantine_options options;
    options.maxEntries = 3;
    crash_quarantine quarantine(options);
    for (const int second : {0, 10}) {
        crash(quarantine, {1}, start + seconds(second), milliseconds(0));
    }
    for (uint64_t other = 2; other < 12; ++other) {
        crash(quarantine, {other}, start + seconds(10), milliseconds(0));
        CHECK(quarantine.size() <= 3);
    }
    CHECK(quarantine.refusedFor(1, start + seconds(10)) == seconds(600));
    CHECK(quarantine.refusedFor(1, start + seconds(609)) == seconds(1));
    CHECK_FALSE(quarantine.refusedFor(1, start + seconds(610)));
    // An aged entry counts for nothing when the next strike comes.
    crash(quarantine, {1}, start + seconds(700), milliseconds(0));
    CHECK_FALSE(quarantine.refusedFor(1, start + seconds(700)));
}

// Guards against an entry that other daemons weaken, keep alive or never get.
TEST_CASE("entries spread by maximum and never get younger", "[requests]")
{
    crash_quarantine first;
    crash_quarantine second;
    crash(first, {1}, start, milliseconds(0));
    crash(second, {1}, start, milliseconds(0));
    second.merge(first.entries(64, start), start);
    CHECK_FALSE(second.refusedFor(1, start));
    crash(first, {1}, start + seconds(5), milliseconds(0));
    second.merge(first.entries(64, start + seconds(6)), start + seconds(6));
    CHECK(second.refusedFor(1, start + seconds(6)) == seconds(599));
    // The same entry on its way back, later, changes nothing.
    first.merge(first.entries(64, start + seconds(6)), start + seconds(8));
    CHECK(first.refusedFor(1, start + seconds(8)) == seconds(597));
    CHECK(first.entries(64, start + seconds(546)).empty());
    first.merge({{2, 24, seconds(545)}, {3, 24, milliseconds(-1)}}, start);
    CHECK(first.size() == 1);
    CHECK(first.entries(0, start + seconds(6)).empty());
}

// Guards against mixing up requests, which would refuse innocent ones.
TEST_CASE("each part of a request enters its fingerprint", "[requests]")
{
    const auto of = [](std::string_view service, std::string_view method, std::string_view target,
                       uint64_t hash, const std::vector<std::string> &body) {
        fingerprint_builder builder(service, method, target, hash);
        for (const std::string &piece : body) {
            builder.addBody(piece);
        }
        return builder.value();
    };
    const uint64_t reference = of("a", "PUT", "/a/b", 5, {"body"});
    CHECK(of("a", "PUT", "/a/b", 5, {"bo", "dy"}) == reference);
    CHECK(of("b", "PUT", "/a/b", 5, {"body"}) != reference);
    CHECK(of("a", "POST", "/a/b", 5, {"body"}) != reference);
    CHECK(of("a", "PUT", "/a/c", 5, {"body"}) != reference);
    CHECK(of("a", "PUT", "/a/b", 6, {"body"}) != reference);
    CHECK(of("a", "PUT", "/a/b", 5, {"bod"}) != reference);
    const std::string large(fingerprintBodyBytes, 'x');
    CHECK(of("a", "PUT", "/a/b", 5, {large, "1"}) == of("a", "PUT", "/a/b", 5, {large + "2"}));
}
