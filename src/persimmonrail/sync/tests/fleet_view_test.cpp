#include "persimmonrail/sync/fleet_view.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

member_record sampleMember()
{
    return {{"berthdesk-1", 0xfedcba9876543210ULL},
            "pomorze",
            "wejherowo",
            "berthdesk",
            "127.0.0.1:7001",
            "127.0.0.1:7002",
            20};
}

} // namespace

// Guards against a loss of precision of the 64-bit incarnation in JSON numbers.
TEST_CASE("a decoded member record equals the encoded one")
{
    const auto decoded = decodeMember(encodeMember(sampleMember()));
    REQUIRE(decoded.ok());
    CHECK(*decoded == sampleMember());
}

// Guards against members that other daemons can't reach or identify.
TEST_CASE("invalid member records are rejected")
{
    const auto [name, change] = GENERATE(table<std::string, void (*)(member_record &)>({
        {"no name", [](member_record &member) { member.id.name.clear(); }},
        {"no incarnation", [](member_record &member) { member.id.incarnation = 0; }},
        {"no zone", [](member_record &member) { member.availabilityZone.clear(); }},
        {"no control address", [](member_record &member) { member.controlAddress.clear(); }},
        {"no peer address", [](member_record &member) { member.peerAddress.clear(); }},
        {"negative slots", [](member_record &member) { member.slots = -1; }},
    }));
    CAPTURE(name);
    auto member = sampleMember();
    change(member);
    CHECK(absl::IsInvalidArgument(decodeMember(encodeMember(member)).status()));
}

TEST_CASE("text that is not a member record is rejected")
{
    const std::string text = GENERATE("", "7", "[]", "{}", R"({"name":"a","incarnation":"12"})");
    CAPTURE(text);
    CHECK(absl::IsInvalidArgument(decodeMember(text).status()));
}

// Guards against a lookup that returns the record of a range or of another single key instead of
// the single-key record, and against a lookup of an uncovered hash that returns the preceding
// record.
TEST_CASE("the record of the smallest range that contains the hash is found")
{
    fleet_view view;
    const auto add = [&](const std::string &partition, hash_range range) {
        view.records[partition].record.partition = partition;
        view.records[partition].record.range = range;
    };
    add("ledger/a", {0, 99});
    add("ledger/b", {100, 199});
    add("ledger/d", {300, UINT64_MAX});
    for (const uint64_t hash : {0, 5, 100, 120, 121, 122, 199}) {
        add("ledger/single" + std::to_string(hash), {hash, hash});
    }
    add("other/a", {200, 299});
    indexRecords(view);
    const auto [hash, expected] = GENERATE(table<uint64_t, std::string>({
        {0, "ledger/single0"},
        {1, "ledger/a"},
        {5, "ledger/single5"},
        {99, "ledger/a"},
        {100, "ledger/single100"},
        {119, "ledger/b"},
        {122, "ledger/single122"},
        {123, "ledger/b"},
        {199, "ledger/single199"},
        {200, ""},
        {299, ""},
        {300, "ledger/d"},
        {UINT64_MAX, "ledger/d"},
    }));
    CAPTURE(hash);
    const auto *found = view.findRecord("ledger", hash);
    CHECK((found == nullptr ? "" : found->record.partition) == expected);
    CHECK(view.findRecord("absent", hash) == nullptr);
}

// Guards against confusing a restarted daemon with its previous incarnation.
TEST_CASE("members are found by incarnation and service")
{
    fleet_view view;
    view.members["berthdesk-1"] = sampleMember();
    CHECK(view.findMember(sampleMember().id) != nullptr);
    CHECK(view.findMember({"berthdesk-1", 1}) == nullptr);
    CHECK(view.findMember({"absent", 1}) == nullptr);
    CHECK(view.membersOf("berthdesk").size() == 1);
    CHECK(view.membersOf("labnote").empty());
}
