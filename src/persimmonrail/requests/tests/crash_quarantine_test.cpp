#include "persimmonrail/requests/crash_quarantine.h"

#include <catch2/catch.hpp>

#include <string>

using namespace persimmonrail;
using run_end = crash_quarantine::run_end;
using std::chrono::seconds;

namespace {

const steady_time start{seconds(100'000)};

// Runs requests with these fingerprints at the same time. All of them lose their connections at
// `now`, and the crash is detected `delay` later. Each call is another crash.
void crash(crash_quarantine &quarantine, const std::vector<uint64_t> &running, steady_time now,
           milliseconds delay = milliseconds(1000))
{
    static uint64_t crashCount = 0;
    std::vector<crash_quarantine::run_id> runs(running.size());
    for (auto &run : runs) {
        run = quarantine.begin();
    }
    for (size_t i = 0; i < running.size(); ++i) {
        quarantine.end(runs[i], running[i], run_end::ConnectionLost, now);
    }
    quarantine.recordCrash(++crashCount, now + delay);
}

} // namespace

// Guards against a request that crashes busy upstreams and is never rejected because many requests
// were in flight with it, and against the rejection after a single crash.
TEST_CASE("a request is rejected after two crashes alone or three among others", "[requests]")
{
    struct
    {
        std::vector<uint64_t> running;
        int crashesUntilRejected;
    } const table[] = {
        {{1}, 2},
        {{1, 1}, 2},
        {{1, 2}, 3},
        {{1, 2, 3}, 3},
        {{1, 2, 3, 4}, 3},
        {{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20}, 3},
    };
    for (const auto &row : table) {
        CAPTURE(row.running);
        crash_quarantine quarantine;
        int rejectedAfter = 0;
        for (int i = 1; i <= 10 && rejectedAfter == 0; ++i) {
            const steady_time now = start + seconds(10 * i);
            crash(quarantine, row.running, now);
            rejectedAfter = quarantine.remainingRejectionTime(1, now + seconds(1)) ? i : 0;
        }
        CHECK(rejectedAfter == row.crashesUntilRejected);
        CHECK(quarantine.rejectsAny(start + seconds(100)));
        CHECK_FALSE(quarantine.remainingRejectionTime(77, start + seconds(100)));
    }
}

// Guards against the rejection of requests that only ran beside one that crashes upstreams.
TEST_CASE("a complete response clears the strikes of a request", "[requests]")
{
    crash_quarantine quarantine;
    for (int i = 0; i < 6; ++i) {
        const steady_time now = start + seconds(10 * i);
        crash(quarantine, {1, 2}, now);
        quarantine.end(quarantine.begin(), 2, run_end::Responded, now + seconds(2));
    }
    CHECK(quarantine.remainingRejectionTime(1, start + seconds(60)));
    CHECK_FALSE(quarantine.remainingRejectionTime(2, start + seconds(60)));
    // Another daemon learns of the response, also if it knows the crashes already.
    crash_quarantine other;
    const auto withoutResponse = [&] {
        auto entries = quarantine.entries(64, start + seconds(60));
        std::erase_if(entries, [](const auto &entry) { return entry.strikes == 0; });
        return entries;
    };
    other.merge(withoutResponse(), start + seconds(60));
    other.merge({{2, 91, 8, seconds(40)}, {2, 92, 8, seconds(39)}, {2, 93, 8, seconds(38)}},
                start + seconds(60));
    CHECK(other.remainingRejectionTime(2, start + seconds(60)));
    other.merge(quarantine.entries(64, start + seconds(60)), start + seconds(60));
    CHECK_FALSE(other.remainingRejectionTime(2, start + seconds(60)));
    CHECK(other.remainingRejectionTime(1, start + seconds(60)));
}

// Guards against strikes for a lost connection without a crash, and for a crash without a lost
// connection.
TEST_CASE("only a lost connection together with a crash adds a strike", "[requests]")
{
    crash_quarantine quarantine;
    uint64_t crashes = 1000;
    SECTION("regular ends")
    {
        for (int i = 0; i < 3; ++i) {
            quarantine.end(quarantine.begin(), 1, run_end::Regular, start);
            quarantine.recordCrash(++crashes, start);
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
    SECTION("a running request that ends regularly after the crash was detected")
    {
        for (int i = 0; i < 3; ++i) {
            const auto run = quarantine.begin();
            quarantine.recordCrash(++crashes, start);
            quarantine.end(run, 1, run_end::Regular, start);
        }
    }
    SECTION("a request whose body was interrupted by the crash has no fingerprint")
    {
        for (int i = 0; i < 3; ++i) {
            quarantine.end(quarantine.begin(), std::nullopt, run_end::ConnectionLost, start);
            quarantine.recordCrash(++crashes, start);
        }
    }
    SECTION("a crash counts once")
    {
        crash(quarantine, {1}, start);
        quarantine.recordCrash(++crashes, start + seconds(2));
    }
    CHECK_FALSE(quarantine.rejectsAny(start + seconds(50)));
}

// Guards against a missing strike if the crash is detected before the connection is lost.
TEST_CASE("a connection lost after the detection of the crash adds a strike", "[requests]")
{
    crash_quarantine quarantine;
    uint64_t crashes = 0;
    for (int i = 0; i < 2; ++i) {
        const auto run = quarantine.begin();
        quarantine.recordCrash(++crashes, start);
        quarantine.end(run, 1, run_end::ConnectionLost, start + milliseconds(500));
    }
    CHECK(quarantine.remainingRejectionTime(1, start + seconds(1)));
}

// Guards against entries that never expire, and against unbounded memory.
TEST_CASE("entries expire and are bounded in number", "[requests]")
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
    CHECK(quarantine.remainingRejectionTime(1, start + seconds(10)) == seconds(600));
    CHECK(quarantine.remainingRejectionTime(1, start + seconds(609)) == seconds(1));
    CHECK_FALSE(quarantine.remainingRejectionTime(1, start + seconds(610)));
    // The strikes of an expired entry are not added to the next strike.
    crash(quarantine, {1}, start + seconds(700), milliseconds(0));
    CHECK_FALSE(quarantine.remainingRejectionTime(1, start + seconds(700)));
}

// Guards against crashes at different daemons that don't add up, so that a request may crash each
// upstream of a service once more, and against entries that are renewed because daemons exchange
// them or that do not reach other daemons.
TEST_CASE("merging adds the crashes of other daemons and does not renew entries", "[requests]")
{
    crash_quarantine first;
    crash_quarantine second;
    crash(first, {1}, start, milliseconds(0));
    second.merge(first.entries(64, start), start);
    // The same crash, received again, is one crash.
    second.merge(first.entries(64, start + seconds(1)), start + seconds(1));
    CHECK_FALSE(second.remainingRejectionTime(1, start + seconds(1)));
    crash(second, {1}, start + seconds(5), milliseconds(0));
    CHECK(second.remainingRejectionTime(1, start + seconds(6)) == seconds(599));
    CHECK_FALSE(first.remainingRejectionTime(1, start + seconds(6)));
    first.merge(second.entries(64, start + seconds(6)), start + seconds(6));
    CHECK(first.remainingRejectionTime(1, start + seconds(6)) == seconds(599));
    // The same entries, received later, do not change the record.
    first.merge(second.entries(64, start + seconds(6)), start + seconds(8));
    CHECK(first.remainingRejectionTime(1, start + seconds(8)) == seconds(597));
    CHECK(first.entries(64, start + seconds(546)).empty());
    first.merge({{2, 5, 24, seconds(545)}, {3, 5, 24, milliseconds(-1)}}, start);
    CHECK(first.size() == 1);
    CHECK(first.entries(0, start + seconds(6)).empty());
}

// Guards against a single message that gets a request rejected, and against records that grow with
// the crashes of one request.
TEST_CASE("a crash counts one strike at most and few crashes are kept", "[requests]")
{
    crash_quarantine quarantine;
    quarantine.merge({{1, 5, UINT32_MAX, milliseconds(0)}}, start);
    CHECK_FALSE(quarantine.remainingRejectionTime(1, start));
    for (uint64_t crash = 100; crash < 200; ++crash) {
        quarantine.merge({{2, crash, partsPerStrike, milliseconds(0)}}, start);
    }
    CHECK(quarantine.remainingRejectionTime(2, start));
    CHECK(quarantine.entries(1000, start).size()
          == crash_quarantine_options().maxCrashesPerEntry + 1);
}

// Guards against requests that share the fingerprint of a different, rejected request.
TEST_CASE("each part of a request enters its fingerprint", "[requests]")
{
    const auto fingerprintOf = [](std::string_view service, std::string_view method,
                                  std::string_view target, uint64_t keyHash,
                                  const std::vector<std::string> &body) {
        fingerprint_builder builder(service, method, target, keyHash);
        for (const std::string &chunk : body) {
            builder.addBody(chunk);
        }
        return builder.value();
    };
    const uint64_t reference = fingerprintOf("a", "PUT", "/a/b", 5, {"body"});
    CHECK(fingerprintOf("a", "PUT", "/a/b", 5, {"bo", "dy"}) == reference);
    CHECK(fingerprintOf("b", "PUT", "/a/b", 5, {"body"}) != reference);
    CHECK(fingerprintOf("a", "POST", "/a/b", 5, {"body"}) != reference);
    CHECK(fingerprintOf("a", "PUT", "/a/c", 5, {"body"}) != reference);
    CHECK(fingerprintOf("a", "PUT", "/a/b", 6, {"body"}) != reference);
    CHECK(fingerprintOf("a", "PUT", "/a/b", 5, {"bod"}) != reference);
    const std::string large(fingerprintBodyBytes, 'x');
    CHECK(fingerprintOf("a", "PUT", "/a/b", 5, {large, "1"})
          == fingerprintOf("a", "PUT", "/a/b", 5, {large + "2"}));
}
