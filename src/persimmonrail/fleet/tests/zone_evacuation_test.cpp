#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/fleet/zone_evacuation.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

using kind = zone_change::kind;
const steady_time start = steady_time(1000s);
const zone_set known{"nord", "west"};

stored_object evacuationOf(const std::string &zone, uint64_t version,
                           const std::string &content = "{}")
{
    return {"evacuations/" + zone, version, false, content};
}

stored_object removalOf(const std::string &zone, uint64_t version)
{
    return {"evacuations/" + zone, version, true, ""};
}

upstream_member memberIn(const std::string &name, const std::string &zone, bool isDraining = false)
{
    return {{name, 5}, "ledger", zone, "127.0.0.1:9000", 9, isDraining, false};
}

stored_object memberObject(const upstream_member &member)
{
    return {memberKey(member.id.name), 3, false, encodeMember(member)};
}

} // namespace

// Guards against a request that reaches an upstream of an evacuated zone after the bound, and
// against keys that are rejected before they can have moved.
TEST_CASE("what an upstream may get depends on the time since the evacuation was seen", "[fleet]")
{
    zone_evacuation evacuation("evacuations/", 5000ms);
    CHECK(evacuation.stateOf("nord").admissionAt(start) == zone_admission::Nothing);
    evacuation.reset({1, {}}, start);
    CHECK(evacuation.stateOf("nord").admissionAt(start) == zone_admission::All);
    evacuation.apply({2, {evacuationOf("nord", 2)}}, start + 20s);
    const auto [passed, admission] = GENERATE(table<milliseconds, zone_admission>({
        {0ms, zone_admission::HeldKeys},
        {3999ms, zone_admission::HeldKeys},
        {4000ms, zone_admission::Nothing},
        {60000ms, zone_admission::Nothing},
    }));
    CHECK(evacuation.stateOf("nord").admissionAt(start + 20s + passed) == admission);
    CHECK(evacuation.stateOf("west").admissionAt(start + 20s + passed) == zone_admission::All);
    evacuation.apply({3, {removalOf("nord", 3)}}, start + 90s);
    CHECK(evacuation.stateOf("nord").admissionAt(start + 90s) == zone_admission::All);
}

// Guards against an evacuation that gets the whole time once more because a list shows it: the
// object may have been written at any time since the last response of the store.
TEST_CASE("an evacuation that a list shows counts from the response before", "[fleet]")
{
    zone_evacuation evacuation("evacuations/", 5000ms);
    SECTION("the first list of a daemon")
    {
        evacuation.reset({9, {evacuationOf("nord", 2)}}, start);
        CHECK(evacuation.stateOf("nord").admissionAt(start) == zone_admission::Nothing);
    }
    SECTION("a list after a watch whose history was gone")
    {
        evacuation.reset({1, {}}, start);
        evacuation.reset({9, {evacuationOf("nord", 2)}}, start + 3s);
        CHECK(evacuation.stateOf("nord").admissionAt(start + 3s) == zone_admission::HeldKeys);
        CHECK(evacuation.stateOf("nord").admissionAt(start + 4s) == zone_admission::Nothing);
    }
    SECTION("a list that shows what a watch has shown")
    {
        evacuation.reset({1, {}}, start);
        evacuation.apply({2, {evacuationOf("nord", 2)}}, start + 1s);
        evacuation.reset({9, {evacuationOf("nord", 2)}}, start + 2s);
        CHECK(evacuation.stateOf("nord").admissionAt(start + 4900ms) == zone_admission::HeldKeys);
        CHECK(evacuation.stateOf("nord").admissionAt(start + 5s) == zone_admission::Nothing);
    }
}

// Guards against an evacuation that goes on although a list no longer has it, and against one that
// is missed because its content is invalid or its zone becomes known late.
TEST_CASE("the objects of the store decide which zones are evacuated", "[fleet]")
{
    zone_evacuation evacuation("evacuations/", 5000ms);
    evacuation.reset({4,
                      {evacuationOf("nord", 2, "?"), evacuationOf("sued", 3), evacuationOf("", 4),
                       removalOf("west", 4)}},
                     start);
    CHECK(evacuation.zones() == zone_set{"nord", "sued"});
    CHECK(evacuation.takeChanges(known, start + 5ms)
          == std::vector<zone_change>{{kind::Begun, "nord", 2, 5ms},
                                      {kind::UnknownZone, "sued", 3, 5ms}});
    CHECK(evacuation.hasUnknownZones());
    CHECK(evacuation.takeChanges(known, start).empty());
    SECTION("a member joins in a zone that was unknown")
    {
        CHECK(evacuation.takeChanges({"nord", "sued", "west"}, start + 7ms)
              == std::vector<zone_change>{{kind::Begun, "sued", 3, 7ms}});
        CHECK_FALSE(evacuation.hasUnknownZones());
    }
    SECTION("a list without the objects")
    {
        evacuation.reset({8, {evacuationOf("west", 7)}}, start + 1s);
        CHECK(evacuation.takeChanges(known, start + 1s)
              == std::vector<zone_change>{{kind::Ended, "nord", 2, 1000ms},
                                          {kind::Begun, "west", 7, 0ms}});
        CHECK_FALSE(evacuation.hasUnknownZones());
    }
    SECTION("an object that is removed and written again at once")
    {
        evacuation.apply({6, {removalOf("nord", 6), evacuationOf("nord", 6)}}, start + 1s);
        CHECK(evacuation.takeChanges(known, start + 1s).empty());
        CHECK(evacuation.zones().contains("nord"));
    }
}

// Guards against an upstream that stays marked as draining after the evacuation, because the mark
// was written to its record.
TEST_CASE("a directory shows members of evacuated zones as draining, but not as recorded so",
          "[fleet]")
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    const upstream_member evacuated = memberIn("a", "nord");
    builder.applyObject(memberObject(evacuated));
    builder.applyObject(memberObject(memberIn("b", "west")));
    builder.applyObject(memberObject(memberIn("c", "nord", true)));
    builder.setEvacuatedZones({"nord"});
    const auto directory = builder.build();
    CHECK(directory->findMember("a")->member.isDraining);
    CHECK(directory->findMember("a")->recorded() == evacuated);
    CHECK_FALSE(directory->findMember("b")->member.isDraining);
    CHECK(directory->findMember("c")->recorded().isDraining);
    CHECK_FALSE(isServiceEvacuated(*directory, "ledger"));
    builder.setEvacuatedZones({"nord", "west"});
    CHECK(isServiceEvacuated(*builder.build(), "ledger"));
    CHECK_FALSE(isServiceEvacuated(*builder.build(), "other"));
    builder.setEvacuatedZones({});
    CHECK_FALSE(builder.build()->findMember("a")->member.isDraining);
}
