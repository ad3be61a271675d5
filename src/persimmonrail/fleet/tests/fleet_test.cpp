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
    upstream_report result;
    result.id = {name, startedAt};
    result.service = "ledger";
    result.address = "127.0.0.1:8000";
    result.slots = 9;
    result.sequence = sequence;
    result.isDraining = isDraining;
    return result;
}

upstream_member member(const std::string &name)
{
    return {{name, 5}, "ledger", "nord", "127.0.0.1:9000", 9, false, false};
}

key_placement placement(const std::string &service, uint64_t highestFence)
{
    key_placement result = emptyPlacement(service);
    result.highestFence = highestFence;
    return result;
}

} // namespace

// Guards against a late or repeated report that restores an earlier incarnation or phase.
TEST_CASE("late and repeated reports are ignored", "[fleet]")
{
    local_upstream upstream({1000ms, 3});
    CHECK(upstream.onReport(report("a", 10, 2), start) == verdict::Changed);
    CHECK(upstream.onReport(report("a", 10, 2), start) == verdict::Stale);
    CHECK(upstream.onReport(report("a", 10, 1, true), start) == verdict::Stale);
    CHECK(upstream.onReport(report("old", 9, 50), start) == verdict::Stale);
    CHECK(upstream.acceptsRequests());
    SECTION("a restart under the same name starts a new sequence")
    {
        CHECK(upstream.onReport(report("a", 20, 1), start) == verdict::Changed);
        CHECK(upstream.report()->id.startedAt == 20);
        CHECK(upstream.onReport(report("a", 10, 99), start) == verdict::Stale);
    }
    SECTION("a draining incarnation does not become ready again")
    {
        CHECK(upstream.onReport(report("a", 10, 3, true), start) == verdict::Changed);
        CHECK(upstream.onReport(report("a", 10, 4), start) == verdict::Unchanged);
        CHECK(upstream.phase() == upstream_phase::Draining);
    }
    SECTION("a departure applies to its own incarnation only")
    {
        CHECK(upstream.onShutdownAnnounced({"b", 0}, start) == verdict::Stale);
        CHECK(upstream.onShutdownAnnounced({"a", 9}, start) == verdict::Stale);
        CHECK(upstream.onShutdownAnnounced({"a", 0}, start) == verdict::Changed);
        CHECK_FALSE(upstream.acceptsRequests());
    }
    SECTION("a refused connection ends the incarnation")
    {
        CHECK(upstream.onConnectionRefused(start) == verdict::Changed);
        CHECK(upstream.onReport(report("a", 10, 3), start) == verdict::Unchanged);
        CHECK(upstream.phase() == upstream_phase::Absent);
        CHECK(upstream.onReport(report("b", 11, 1), start) == verdict::Changed);
        CHECK(upstream.acceptsRequests());
    }
}

// Guards against requests to an unresponsive upstream, and against treating an upstream as
// unresponsive that still responds to requests while its reports are delayed.
TEST_CASE("an upstream is unresponsive without reports and responses", "[fleet]")
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

TEST_CASE("a member stays the same when it is encoded and parsed", "[fleet]")
{
    upstream_member original = member("i-1");
    original.host = {0.25, 15.5};
    const auto parsed = parseMember(encodeMember(original));
    REQUIRE(parsed.ok());
    CHECK(*parsed == original);
}

// Guards against invalid objects from other writers that crash the daemon or become members.
TEST_CASE("objects that cannot be parsed are reported and ignored", "[fleet]")
{
    const std::string text =
        GENERATE("", "null", "[]", "{", R"({"upstream":1})", R"({"upstream":"i-1"})",
                 R"({"upstream":"i-1","started_at_ms":"x","service":"s","availability_zone":"z",)"
                 R"("peer_address":"127.0.0.1:1","slots":1,"leaving":false,"gone":false})",
                 R"({"upstream":"i-1","started_at_ms":1,"service":"s","availability_zone":"z",)"
                 R"("peer_address":"host:1","slots":1,"leaving":false,"gone":false})",
                 R"({"upstream":"i-1","started_at_ms":1,"service":"s","availability_zone":"z",)"
                 R"("peer_address":"127.0.0.1:1","slots":0,"leaving":false,"gone":false})");
    int errors = 0;
    fleet_directory_builder builder([&errors](const std::string &, std::string_view) { ++errors; });
    builder.reset({3,
                   {{memberKey("i-1"), 2, false, text},
                    {memberKey("i-2"), 3, false, encodeMember(member("i-2"))}}});
    const auto directory = builder.build();
    CHECK(errors == 1);
    CHECK(directory->findMember("i-1") == nullptr);
    CHECK(directory->membersOf("ledger").size() == 1);
}

// Guards against an older version of an object that replaces a newer one.
TEST_CASE("an older version never replaces a newer one", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    upstream_member newer = member("i-1");
    newer.isDraining = true;
    builder.applyObject({memberKey("i-1"), 9, false, encodeMember(newer)});
    builder.applyObject({memberKey("i-1"), 8, false, encodeMember(member("i-1"))});
    CHECK(builder.build()->findMember("i-1")->member.isDraining);
    builder.applyObject({memberKey("i-1"), 7, true, ""});
    CHECK(builder.build()->findMember("i-1") != nullptr);
    builder.applyObject({memberKey("i-1"), 10, true, ""});
    CHECK(builder.build()->findMember("i-1") == nullptr);
}

// Guards against an owner that grants keys again after it has moved them to another owner: its own
// write is known before a list arrives that was read earlier.
TEST_CASE("a list does not replace newer entries", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    upstream_member draining = member("a");
    draining.isDraining = true;
    builder.applyObject({memberKey("a"), 12, false, encodeMember(draining)});
    builder.applyObject({memberKey("b"), 13, false, encodeMember(member("b"))});
    builder.applyObject({memberKey("c"), 3, false, encodeMember(member("c"))});
    builder.reset({10, {{memberKey("a"), 8, false, encodeMember(member("a"))}}});
    const auto directory = builder.build();
    REQUIRE(directory->findMember("a") != nullptr);
    CHECK(directory->findMember("a")->member.isDraining);
    CHECK(directory->findMember("b") != nullptr);
    // The list was read after the removal of "c".
    CHECK(directory->findMember("c") == nullptr);
}

// Guards against a daemon that follows the content from before a restore: the restored copy has
// lower revisions than the entries that the daemon has read.
TEST_CASE("the list of a restored store replaces what was read before", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    upstream_member draining = member("a");
    draining.isDraining = true;
    const uint64_t before = makeVersion(1, 90);
    const uint64_t after = makeVersion(2, 70);
    builder.reset({before,
                   {{memberKey("a"), before, false, encodeMember(draining)},
                    {memberKey("b"), before, false, encodeMember(member("b"))},
                    {placementKey("s"), before, false, encodePlacement(placement("s", 8))}}});
    builder.reset({after,
                   {{memberKey("a"), makeVersion(2, 60), false, encodeMember(member("a"))},
                    {placementKey("s"), after, false, encodePlacement(placement("s", 3))}}});
    const auto directory = builder.build();
    CHECK(directory->epoch() == 2);
    CHECK(directory->revision() == after);
    REQUIRE(directory->findMember("a") != nullptr);
    CHECK_FALSE(directory->findMember("a")->member.isDraining);
    CHECK(directory->findMember("a")->version == makeVersion(2, 60));
    CHECK(directory->findMember("b") == nullptr);
    REQUIRE(directory->findPlacement("s") != nullptr);
    CHECK(directory->findPlacement("s")->placement.highestFence == 3);
    CHECK(directory->findPlacement("s")->epoch == baseEpoch);
}

// Guards against content from before a restore that returns through a slower path, such as a relay
// that has not noticed the restore.
TEST_CASE("late changes from before a restore are ignored", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    const uint64_t listed = makeVersion(2, 70);
    builder.reset({listed, {{memberKey("a"), listed, false, encodeMember(member("a"))}}});
    const uint64_t late = makeVersion(1, 95);
    const object_list changes{
        late,
        {{memberKey("a"), late, true, ""},
         {memberKey("b"), late, false, encodeMember(member("b"))},
         {placementKey("s"), late, false, encodePlacement(placement("s", 8))}}};
    SECTION("changes")
    {
        builder.apply(changes);
    }
    SECTION("a list")
    {
        object_list list = changes;
        list.objects.erase(list.objects.begin());
        builder.reset(list);
    }
    const auto directory = builder.build();
    CHECK(directory->revision() == listed);
    CHECK(directory->epoch() == 2);
    CHECK(directory->findMember("a") != nullptr);
    CHECK(directory->findMember("b") == nullptr);
    CHECK(directory->findPlacement("s") == nullptr);
}

// Guards against an object of the restored store that a list from before the restore removes, and
// against a directory that does not show the restore before the list has arrived.
TEST_CASE("a single object shows the epoch of the store", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    builder.reset({makeVersion(1, 90), {}});
    builder.applyObject({memberKey("a"), makeVersion(2, 60), false, encodeMember(member("a"))});
    builder.reset({makeVersion(1, 95), {}});
    CHECK(builder.build()->epoch() == 2);
    CHECK(builder.build()->findMember("a") != nullptr);
}

TEST_CASE("the placement record of the highest epoch is in force", "[fleet]")
{
    const uint64_t listed = makeVersion(3, 70);
    const stored_object base{placementKey("s"), makeVersion(3, 60), false,
                             encodePlacement(placement("s", 1))};
    const stored_object second{placementKey("s", 2), makeVersion(3, 50), false,
                               encodePlacement(placement("s", 2))};
    const stored_object third{placementKey("s", 3), makeVersion(3, 71), false,
                              encodePlacement(placement("s", 3))};
    struct test_case
    {
        std::string description;
        std::vector<stored_object> listed;
        std::vector<stored_object> later;
        uint64_t expectedEpoch;
    };
    const auto test = GENERATE_COPY(values<test_case>({
        {"only the record of the base epoch", {base}, {}, 1},
        {"records of two epochs", {base, second}, {}, 2},
        {"the same in the other order", {second, base}, {}, 2},
        {"a record is created for the present epoch", {base, second}, {third}, 3},
        {"a later write to the record of an older epoch",
         {base, second},
         {third, {second.key, makeVersion(3, 72), false, second.value}},
         3},
        {"a later deletion of the record of an older epoch",
         {base, second},
         {third, {second.key, makeVersion(3, 72), true, ""}},
         3},
    }));
    INFO(test.description);
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    builder.reset({listed, test.listed});
    for (const stored_object &object : test.later) {
        builder.applyObject(object);
    }
    const auto *record = builder.build()->findPlacement("s");
    REQUIRE(record != nullptr);
    CHECK(record->epoch == test.expectedEpoch);
    CHECK(record->placement.highestFence == test.expectedEpoch);
}

// Guards against a list that was read before the record of the present epoch was created.
TEST_CASE("a list does not replace the record of a newer epoch", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    const stored_object base{placementKey("s"), makeVersion(2, 60), false,
                             encodePlacement(placement("s", 1))};
    builder.applyObject(
        {placementKey("s", 2), makeVersion(2, 71), false, encodePlacement(placement("s", 2))});
    builder.reset({makeVersion(2, 70), {base}});
    CHECK(builder.build()->findPlacement("s")->epoch == 2);
}

TEST_CASE("placement keys name the epoch after a restore only", "[fleet]")
{
    CHECK(placementKey("s", 0) == placementKey("s"));
    CHECK(placementKey("s", 1) == placementKey("s"));
    CHECK(placementKey("s", 2) != placementKey("s"));
    CHECK(placementKey("s", 2) != placementKey("s", 3));
    const std::string key =
        GENERATE("fleet/epoch.", "fleet/epoch.2", "fleet/epoch.x.keys.s", "fleet/epoch.1.keys.s",
                 "fleet/epoch.02.keys.s", "fleet/epoch.8192.keys.s", "fleet/epoch.-2.keys.s",
                 "fleet/epoch..keys.s", "fleet/epoch.2.keys.t");
    int errors = 0;
    fleet_directory_builder builder([&errors](const std::string &, std::string_view) { ++errors; });
    builder.applyObject({key, 3, false, encodePlacement(placement("s", 1))});
    CHECK(errors == 1);
    CHECK(builder.build()->findPlacement("s") == nullptr);
}

// Guards against keys that stay with an upstream which ended together with the daemon beside it.
// The restarted daemon knows that upstream from the store only.
TEST_CASE("earlier members at the same peer address are terminated", "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    upstream_member onOtherHost = member("i-3");
    onOtherHost.peerAddress = "127.0.0.2:9000";
    upstream_member terminated = member("i-4");
    terminated.isTerminated = true;
    for (const upstream_member &entry : {member("i-1"), member("i-2"), onOtherHost, terminated}) {
        builder.applyObject({memberKey(entry.id.name), 1, false, encodeMember(entry)});
    }
    const auto earlier = endedMembersAt(*builder.build(), "127.0.0.1:9000", {"i-2", 9});
    REQUIRE(earlier.size() == 1);
    CHECK(earlier[0].id.name == "i-1");
    CHECK(earlier[0].isTerminated);
}

// Guards against two holders of a key: a store that was restored from an older copy shows the
// earlier incarnation of a running upstream, as ended, and its keys are given to others at once.
TEST_CASE("only the same or a newer incarnation tells that an upstream has ended", "[fleet]")
{
    constexpr int64_t startedAt = 5;
    struct row
    {
        int64_t recordedStartedAt;
        bool isTerminated;
        bool expected;
    };
    const std::vector<row> rows = {
        {startedAt, false, false},   {startedAt, true, true},      {startedAt + 1, false, true},
        {startedAt + 1, true, true}, {startedAt - 1, true, false}, {startedAt - 1, false, false},
    };
    for (const row &row : rows) {
        fleet_directory_builder builder([](const std::string &, std::string_view) {});
        upstream_member recorded = member("a");
        recorded.id.startedAt = row.recordedStartedAt;
        recorded.isTerminated = row.isTerminated;
        builder.applyObject({memberKey("a"), 1, false, encodeMember(recorded)});
        CAPTURE(row.recordedStartedAt, row.isTerminated);
        CHECK(hasEnded(*builder.build(), {"a", startedAt}) == row.expected);
        CHECK_FALSE(hasEnded(*builder.build(), {"b", startedAt}));
    }
}

// Guards against OWNER: a restarted daemon takes a late heartbeat of an earlier incarnation for
// that of the running one, which is then published as ended.
// Guards against keys of an ended upstream that go to another host although the next incarnation
// runs beside the same daemon, and against a successor that has ended or serves something else.
TEST_CASE("the successor of an upstream is the latest one beside the same daemon", "[fleet]")
{
    const std::string address = "127.0.0.1:9000";
    struct row
    {
        std::string name;
        upstream_id id;
        std::string service;
        std::string peerAddress;
        bool isTerminated;
        bool isSuccessor;
        bool isDraining = false;
    };
    const std::string service = member("i-1").service;
    const std::vector<row> rows = {
        {"later", {"i-2", 6}, service, address, false, true},
        {"later with the same name", {"i-1", 6}, service, address, false, true},
        {"later, ended as well", {"i-2", 6}, service, address, true, false},
        {"later, leaving", {"i-2", 6}, service, address, false, false, true},
        {"earlier", {"i-2", 4}, service, address, false, false},
        {"on another host", {"i-2", 6}, service, "127.0.0.2:9000", false, false},
        {"of another service", {"i-2", 6}, "other", address, false, false},
    };
    for (const row &row : rows) {
        CAPTURE(row.name);
        fleet_directory_builder builder([](const std::string &, std::string_view) {});
        upstream_member ended = member("i-1");
        ended.id.startedAt = 5;
        ended.peerAddress = address;
        builder.applyObject({memberKey("i-1"), 1, false, encodeMember(ended)});
        upstream_member other = member(row.id.name);
        other.id = row.id;
        other.service = row.service;
        other.peerAddress = row.peerAddress;
        other.isTerminated = row.isTerminated;
        other.isDraining = row.isDraining;
        builder.applyObject({memberKey(row.id.name), 2, false, encodeMember(other)});
        const auto successor = successorOf(*builder.build(), {"i-1", 5});
        CHECK(successor.has_value() == row.isSuccessor);
        CHECK(successor.value_or(row.id) == row.id);
    }
}

TEST_CASE("a later member at the peer address tells that an upstream has ended", "[fleet]")
{
    struct row
    {
        std::string name;
        int64_t startedAt;
        bool isTerminated;
        std::string peerAddress;
        bool isSuperseded;
        size_t endedCount;
    };
    const std::string address = "127.0.0.1:9000";
    const std::vector<row> rows = {
        {"later", 6, false, address, true, 0},
        {"later, ended as well", 6, true, address, true, 0},
        {"earlier", 4, false, address, false, 1},
        {"earlier, ended", 4, true, address, false, 0},
        {"later on another host", 6, false, "127.0.0.2:9000", false, 0},
    };
    const upstream_id present{"i-1", 5};
    for (const row &row : rows) {
        CAPTURE(row.name);
        fleet_directory_builder builder([](const std::string &, std::string_view) {});
        upstream_member other = member("i-2");
        other.id.startedAt = row.startedAt;
        other.isTerminated = row.isTerminated;
        other.peerAddress = row.peerAddress;
        builder.applyObject({memberKey("i-2"), 1, false, encodeMember(other)});
        CHECK(isSuperseded(*builder.build(), address, present) == row.isSuperseded);
        CHECK(endedMembersAt(*builder.build(), address, present).size() == row.endedCount);
        CHECK(earlierIncarnationsAt(*builder.build(), address, present).size() == row.endedCount);
    }
}
