#include "persimmonrail/fleet/quarantine_record.h"

#include "persimmonrail/fleet/fleet_directory.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const wall_time wallNow{std::chrono::hours(500'000)};

const quarantine_record stored{
    {{1, 100, 8, wallNow - 5s}, {1, 101, 8, wallNow - 4s}, {~0ULL, 0, 0, wallNow - 3s}}};

} // namespace

// Guards against evidence that is lost or changed on its way through the store.
TEST_CASE("a quarantine record stays the same when it is encoded and parsed", "[fleet]")
{
    const auto parsed = parseQuarantineRecord(encodeQuarantineRecord(stored));
    REQUIRE(parsed.ok());
    CHECK(parsed->items == stored.items);
    CHECK(toRecord(toEntries(stored, wallNow), wallNow).items == stored.items);
    // The clock of the writing host may be ahead.
    CHECK(toEntries(stored, wallNow - 1h).front().age == 0ms);
    quarantine_record tooLong;
    tooLong.items.resize(maxQuarantineRecordItems + 1);
    CHECK(parseQuarantineRecord(encodeQuarantineRecord(tooLong))->items.size()
          == maxQuarantineRecordItems);
}

// Guards against crashes and responses that never reach the other daemons, and against daemons that
// write the same evidence again and again.
TEST_CASE("a record is written only if it lacks evidence", "[fleet]")
{
    struct
    {
        crash_quarantine::entry evidence;
        bool isLacking;
    } const table[] = {
        {{1, 100, 8, 5s}, false},
        // The same crash with another age, since the clocks of hosts differ.
        {{1, 100, 8, 60s}, false},
        {{1, 102, 8, 5s}, true},
        {{2, 100, 8, 5s}, true},
        {{~0ULL, 0, 0, 3s}, false},
        {{~0ULL, 0, 0, 2500ms}, false},
        {{~0ULL, 0, 0, 10s}, false},
        {{~0ULL, 0, 0, 1s}, true},
        {{1, 0, 0, 3s}, true},
    };
    for (const auto &row : table) {
        CAPTURE(row.evidence.fingerprint, row.evidence.crash, row.evidence.age.count());
        CHECK(lacksEvidence(stored, {row.evidence}, wallNow) == row.isLacking);
    }
    CHECK_FALSE(lacksEvidence(stored, {}, wallNow));
    CHECK_FALSE(lacksEvidence(stored, toEntries(stored, wallNow), wallNow));
}

// Guards against a record of another writer that stops the exchange of evidence for good.
TEST_CASE("a quarantine record that cannot be parsed is empty and keeps its version", "[fleet]")
{
    const std::string text =
        GENERATE("", "[]", "{}", R"({"evidence":1})", R"({"evidence":[1]})",
                 R"({"evidence":[["1","2",3,4]]})",
                 R"({"evidence":[["0000000000000001","0000000000000002","x",4]]})");
    CAPTURE(text);
    int errors = 0;
    fleet_directory_builder builder([&errors](const std::string &, std::string_view) { ++errors; });
    builder.reset({7, {{quarantineKey("s"), 5, false, text}}});
    const auto directory = builder.build();
    CHECK(errors == 1);
    REQUIRE(directory->findQuarantine("s") != nullptr);
    CHECK(directory->findQuarantine("s")->version == 5);
    CHECK(directory->findQuarantine("s")->record.items.empty());
    builder.apply({9, {{quarantineKey("s"), 8, false, encodeQuarantineRecord(stored)}}});
    CHECK(builder.build()->findQuarantine("s")->record.items == stored.items);
    builder.apply({10, {{quarantineKey("s"), 10, true, ""}}});
    CHECK(builder.build()->findQuarantine("s") == nullptr);
}
