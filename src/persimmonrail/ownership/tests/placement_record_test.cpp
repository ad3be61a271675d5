#include "persimmonrail/ownership/placement_record.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

placement_record exampleRecord()
{
    placement_record record;
    record.partition = "haulbook/4000000000000000";
    record.range = {0x4000000000000000ULL, 0x7fffffffffffffffULL};
    record.owner = {"haulbook-1", 0xfedcba9876543210ULL};
    record.term = 0xffffffffffffffffULL;
    record.witnesses = {{"ledger-0", 1}, {"lichtbild-1", 2}, {"zaehlwerk-2", 3}};
    record.standbys = {{"haulbook-2", 4}};
    return record;
}

} // namespace

// Guards against a field that is lost, or a 64-bit number that loses precision, when a record is
// stored and read again.
TEST_CASE("a decoded record equals the encoded record", "[ownership]")
{
    auto record = exampleRecord();
    SECTION("without changes in progress") { }
    SECTION("during a witness change")
    {
        record.previousWitnesses = record.witnesses;
    }
    SECTION("during a move")
    {
        record.nextOwner = record.standbys[0];
    }
    const auto decoded = decodeRecord(encodeRecord(record));
    REQUIRE(decoded.ok());
    CHECK(*decoded == record);
}

// Guards against the use of a damaged record, which could give a partition a second owner.
TEST_CASE("a record that violates an invariant is rejected", "[ownership]")
{
    auto record = exampleRecord();
    SECTION("two witnesses")
    {
        record.witnesses.pop_back();
    }
    SECTION("no owner")
    {
        record.owner = {};
    }
    SECTION("empty range")
    {
        record.range = {2, 1};
    }
    SECTION("one previous witness")
    {
        record.previousWitnesses = {{"ledger-0", 1}};
    }
    CHECK(decodeRecord(encodeRecord(record)).status().code() == absl::StatusCode::kInvalidArgument);
}

TEST_CASE("text that is not a record is rejected", "[ownership]")
{
    for (const char *text :
         {"", "[]", "{}", "{\"partition\":1}", "\xff", "{\"partition\":\"a\"}"}) {
        CAPTURE(text);
        CHECK(!decodeRecord(text).ok());
    }
}
