#include "persimmonrail/requests/at_most_once_table.h"

#include <catch2/catch.hpp>

#include <string>

using namespace persimmonrail;
using action = at_most_once_verdict::action;
using std::chrono::seconds;

namespace {

const wall_time start{seconds(1'800'000'000)};
const wall_time earlyTenureStart = start - seconds(3600);

idempotency_key keyIssuedAt(wall_time issued, uint8_t number = 1)
{
    idempotency_key key;
    auto ms = std::chrono::duration_cast<milliseconds>(issued.time_since_epoch()).count();
    for (int i = 5; i >= 0; --i) {
        key.bytes[i] = static_cast<uint8_t>(ms);
        ms >>= 8;
    }
    key.bytes[6] = 0x70;
    key.bytes[8] = 0x80;
    key.bytes[15] = number;
    return key;
}

std::shared_ptr<const stored_response> responseOf(size_t bytes)
{
    return std::make_shared<const stored_response>(
        stored_response{200, {}, std::string(bytes, 'a')});
}

} // namespace

// Guards against a key that is parsed incorrectly, and against a random UUID whose first bytes are
// interpreted as a time.
TEST_CASE("idempotency keys are UUIDs of version 7", "[requests]")
{
    struct
    {
        const char *text;
        bool valid;
    } const table[] = {
        {"01a2b3c4-d5e6-7abc-8def-0123456789ab", true},
        {"01A2B3C4-D5E6-7ABC-BDEF-0123456789AB", true},
        {"01a2b3c4-d5e6-4abc-8def-0123456789ab", false},
        {"01a2b3c4-d5e6-7abc-cdef-0123456789ab", false},
        {"01a2b3c4-d5e6-7abc-8def-0123456789a", false},
        {"01a2b3c4d5e6-7abc-8def-0123456789abc", false},
        {"01a2b3c4-d5e6-7abc-8def-0123456789ag", false},
        {"", false},
    };
    for (const auto &row : table) {
        CAPTURE(row.text);
        CHECK(parseIdempotencyKey(row.text).ok() == row.valid);
    }
    CHECK(parseIdempotencyKey("01a2b3c4-d5e6-7abc-8def-0123456789ab")->issuedAt()
          == wall_time(milliseconds(0x01a2b3c4d5e6)));
}

// Guards against a request that runs twice because its caller sends the request again.
TEST_CASE("a repeated request is not dispatched again", "[requests]")
{
    at_most_once_table table;
    const auto key = keyIssuedAt(start);
    REQUIRE(table.begin("orderbook", key, earlyTenureStart, start).decision == action::Proceed);
    CHECK(table.begin("orderbook", key, earlyTenureStart, start).decision == action::Reject);

    struct
    {
        request_outcome outcome;
        bool storesResponse;
        action expected;
    } const rows[] = {
        {request_outcome::Run, true, action::Replay},
        {request_outcome::Run, false, action::Reject},
        {request_outcome::Unknown, false, action::Reject},
        {request_outcome::NotRun, false, action::Proceed},
    };
    uint8_t number = 10;
    for (const auto &row : rows) {
        CAPTURE(toString(row.outcome), row.storesResponse);
        const auto repeatedKey = keyIssuedAt(start, number++);
        REQUIRE(table.begin("orderbook", repeatedKey, earlyTenureStart, start).decision
                == action::Proceed);
        table.end("orderbook", repeatedKey, row.outcome,
                  row.storesResponse ? responseOf(10) : nullptr);
        const auto verdict = table.begin("orderbook", repeatedKey, earlyTenureStart, start);
        CHECK(verdict.decision == row.expected);
        CHECK((verdict.decision != action::Reject || verdict.outcome == request_outcome::Unknown));
    }
}

// Guards against a second run of a request that an earlier owner, whose table is lost, may have
// run.
TEST_CASE("keys that may have been used before are rejected with an unknown outcome", "[requests]")
{
    struct
    {
        const char *what;
        seconds issued;
        seconds tenureStart;
        action expected;
    } const table[] = {
        {"issued long after the tenure began", seconds(0), seconds(-60), action::Proceed},
        {"issued before the tenure began", seconds(-61), seconds(-60), action::Reject},
        {"issued within the clock skew after the tenure began", seconds(-56), seconds(-60),
         action::Reject},
        {"older than the retention", seconds(-601), seconds(-3600), action::Reject},
        {"issued in the future", seconds(6), seconds(-3600), action::Reject},
        {"caller's clock slightly ahead", seconds(4), seconds(-3600), action::Proceed},
    };
    for (const auto &row : table) {
        CAPTURE(row.what);
        at_most_once_table emptyTable;
        const auto verdict =
            emptyTable.begin("s", keyIssuedAt(start + row.issued), start + row.tenureStart, start);
        CHECK(verdict.decision == row.expected);
        CHECK((verdict.decision == action::Proceed || verdict.outcome == request_outcome::Unknown));
    }
}

// Guards against an entry that is removed while its key would still be accepted, so that the
// request could run twice, and against unbounded memory.
TEST_CASE("entries are kept until their keys are rejected", "[requests]")
{
    at_most_once_options options;
    options.maxEntries = 2;
    at_most_once_table table(options);
    const auto key = keyIssuedAt(start);
    REQUIRE(table.begin("s", key, earlyTenureStart, start).decision == action::Proceed);
    table.end("s", key, request_outcome::Run, nullptr);
    REQUIRE(table.begin("s", keyIssuedAt(start, 2), earlyTenureStart, start).decision
            == action::Proceed);
    const auto fullTableVerdict = table.begin("s", keyIssuedAt(start, 3), earlyTenureStart, start);
    CHECK(fullTableVerdict.decision == action::Reject);
    CHECK(fullTableVerdict.outcome == request_outcome::NotRun);
    for (int elapsedSeconds = 0; elapsedSeconds < 2000; elapsedSeconds += 10) {
        CAPTURE(elapsedSeconds);
        CHECK(table.begin("s", key, earlyTenureStart, start + seconds(elapsedSeconds)).decision
              == action::Reject);
    }
    CHECK(table.size() == 0);
}

// Guards against unbounded memory for stored responses.
TEST_CASE("the total size of stored responses is bounded", "[requests]")
{
    at_most_once_options options;
    options.maxResponseBytes = 10000;
    at_most_once_table table(options);
    for (uint8_t number = 1; number <= 20; ++number) {
        const auto key = keyIssuedAt(start, number);
        REQUIRE(table.begin("s", key, earlyTenureStart, start).decision == action::Proceed);
        table.end("s", key, request_outcome::Run, responseOf(1000));
        CHECK(table.responseBytes() <= options.maxResponseBytes);
    }
    CHECK(table.begin("s", keyIssuedAt(start, 1), earlyTenureStart, start).decision
          == action::Reject);
    CHECK(table.begin("s", keyIssuedAt(start, 20), earlyTenureStart, start).decision
          == action::Replay);
}
