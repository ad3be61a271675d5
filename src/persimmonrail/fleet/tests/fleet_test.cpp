#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/fleet/local_upstream.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

using verdict = local_upstream::verdict;
const steady_time start = steady_time(1000s);

upstream_report report(const std::string &name, int64_t startedAt, int64_t sequence,
                       bool isDraining = false)
{
    upstream_report made;
    made.id = {name, startedAt};
    made.service = "ledger";
    made.address = "127.0.0.1:8000";
    made.slots = 9;
    made.sequence = sequence;
    made.isDraining = isDraining;
    return made;
}

upstream_member member(const std::string &name)
{
    return {{name, 5}, "ledger", "nord", "127.0.0.1:9000", 9, false, false};
}

} // namespace

// Guards against late or repeated reports that bring back a life or a state that has ended.
TEST_CASE("reports out of order change nothing", "[fleet]")
{
    local_upstream upstream({1000ms, 3});
    CHECK(upstream.onReport(report("a", 10, 2), start) == verdict::Changed);
    CHECK(upstream.onReport(report("a", 10, 2), start) == verdict::Stale);
    CHECK(upstream.onReport(report("a", 10, 1, true), start) == verdict::Stale);
    CHECK(upstream.onReport(report("old", 9, 50), start) == verdict::Stale);
    CHECK(upstream.acceptsRequests());
    SECTION("a restart under the same name counts from the beginning")
    {
        CHECK(upstream.onReport(report("a", 20, 1), start) == verdict::Changed);
        CHECK(upstream.report()->id.startedAt == 20);
        CHECK(upstream.onReport(report("a", 10, 99), start) == verdict::Stale);
    }
    SECTION("a life that leaves does not return")
    {
        CHECK(upstream.onReport(report("a", 10, 3, true), start) == verdict::Changed);
        CHECK(upstream.onReport(report("a", 10, 4), start) == verdict::Unchanged);
        CHECK(upstream.phase() == upstream_phase::Draining);
    }
    SECTION("a departure speaks for its own life only")
    {
        CHECK(upstream.onDeparture({"b", 0}, start) == verdict::Stale);
        CHECK(upstream.onDeparture({"a", 9}, start) == verdict::Stale);
        CHECK(upstream.onDeparture({"a", 0}, start) == verdict::Changed);
        CHECK_FALSE(upstream.acceptsRequests());
    }
    SECTION("a refused connection ends the life")
    {
        CHECK(upstream.onRefusedConnection(start) == verdict::Changed);
        CHECK(upstream.onReport(report("a", 10, 3), start) == verdict::Unchanged);
        CHECK(upstream.phase() == upstream_phase::Absent);
        CHECK(upstream.onReport(report("b", 11, 1), start) == verdict::Changed);
        CHECK(upstream.acceptsRequests());
    }
}

// Guards against work for an upstream that has fallen silent, and against giving up one that
// answers while only its reports are held up.
TEST_CASE("an upstream is silent when neither reports nor answers come", "[fleet]")
{
    local_upstream upstream({1000ms, 3});
    upstream.onReport(report("a", 10, 1), start);
    CHECK_FALSE(upstream.expire(start + 2900ms));
    upstream.onResponse(start + 2s);
    CHECK_FALSE(upstream.expire(start + 4900ms));
    CHECK(upstream.expire(start + 5s));
    CHECK_FALSE(upstream.acceptsRequests());
    CHECK(upstream.onReport(report("a", 10, 2), start + 6s) == verdict::Changed);
    CHECK(upstream.acceptsRequests());
}

TEST_CASE("members keep their values in the store", "[fleet]")
{
    upstream_member original = member("i-1");
    original.host = {0.25, 15.5};
    const auto parsed = parseMember(encodeMember(original));
    REQUIRE(parsed.ok());
    CHECK(*parsed == original);
}

// Guards against entries of other writers that end the process or are taken for members.
TEST_CASE("entries that can't be read name nothing", "[fleet]")
{
    const std::string text =
        GENERATE("", "null", "[]", "{", R"({"upstream":1})", R"({"upstream":"i-1"})",
                 R"({"upstream":"i-1","started_at_ms":"x","service":"s","availability_zone":"z",)"
                 R"("peer_address":"127.0.0.1:1","slots":1,"leaving":false,"gone":false})",
                 R"({"upstream":"i-1","started_at_ms":1,"service":"s","availability_zone":"z",)"
                 R"("peer_address":"host:1","slots":1,"leaving":false,"gone":false})",
                 R"({"upstream":"i-1","started_at_ms":1,"service":"s","availability_zone":"z",)"
                 R"("peer_address":"127.0.0.1:1","slots":0,"leaving":false,"gone":false})");
    int faults = 0;
    fleet_directory_builder builder([&faults](const std::string &, std::string_view) { ++faults; });
    builder.reset({3,
                   {{memberKey("i-1"), 2, false, text},
                    {memberKey("i-2"), 3, false, encodeMember(member("i-2"))}}});
    const auto directory = builder.build();
    CHECK(faults == 1);
    CHECK(directory->findMember("i-1") == nullptr);
    CHECK(directory->membersOf("ledger").size() == 1);
}

// Guards against an older state of an object that replaces a newer one.
TEST_CASE("objects move forward only", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    upstream_member newer = member("i-1");
    newer.isDraining = true;
    builder.applyOne({memberKey("i-1"), 9, false, encodeMember(newer)});
    builder.applyOne({memberKey("i-1"), 8, false, encodeMember(member("i-1"))});
    CHECK(builder.build()->findMember("i-1")->member.isDraining);
    builder.applyOne({memberKey("i-1"), 7, true, ""});
    CHECK(builder.build()->findMember("i-1") != nullptr);
    builder.applyOne({memberKey("i-1"), 10, true, ""});
    CHECK(builder.build()->findMember("i-1") == nullptr);
}

// Guards against keys that stay with an upstream which ended together with the daemon beside it:
// the daemon that starts again knows it from the store only.
// Guards against an owner that grants keys again which it has just given away: its own write is
// known before a list that was read earlier.
TEST_CASE("a list does not take back what is newer", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    upstream_member leaving = member("a");
    leaving.isDraining = true;
    builder.applyOne({memberKey("a"), 12, false, encodeMember(leaving)});
    builder.applyOne({memberKey("b"), 13, false, encodeMember(member("b"))});
    builder.applyOne({memberKey("c"), 3, false, encodeMember(member("c"))});
    builder.reset({10, {{memberKey("a"), 8, false, encodeMember(member("a"))}}});
    const auto directory = builder.build();
    REQUIRE(directory->findMember("a") != nullptr);
    CHECK(directory->findMember("a")->member.isDraining);
    CHECK(directory->findMember("b") != nullptr);
    // It was removed before the list was read.
    CHECK(directory->findMember("c") == nullptr);
}

TEST_CASE("members behind the same port that report no more are gone", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    upstream_member elsewhere = member("i-3");
    elsewhere.peerAddress = "127.0.0.2:9000";
    upstream_member ended = member("i-4");
    ended.isTerminated = true;
    for (const upstream_member &known : {member("i-1"), member("i-2"), elsewhere, ended}) {
        builder.applyOne({memberKey(known.id.name), 1, false, encodeMember(known)});
    }
    const auto earlier = earlierIncarnations(*builder.build(), "127.0.0.1:9000", {"i-2", 9});
    REQUIRE(earlier.size() == 1);
    CHECK(earlier[0].id.name == "i-1");
    CHECK(earlier[0].isTerminated);
}
