#include "persimmonrail/ownership/lease_state.h"
#include "persimmonrail/ownership/recovery.h"
#include "persimmonrail/ownership/witness_choice.h"

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <set>

using namespace persimmonrail;

namespace {

constexpr steady_time start{std::chrono::hours(1)};

instance_id member(int index, uint64_t incarnation = 1)
{
    return {absl::StrCat("ledger-", index), incarnation};
}

// Returns a view with `members` instances, `perHost` of them on each host. The hosts are spread
// evenly over `zones` availability zones.
fleet_view makeView(int members, int zones, int perHost = 1)
{
    fleet_view view;
    for (int i = 0; i < members; ++i) {
        const int host = i / perHost;
        member_record record;
        record.id = member(i);
        record.region = "bavaria";
        record.availabilityZone = absl::StrCat("zone-", host % zones);
        record.service = i % 2 == 0 ? "ledger" : "lichtbild";
        record.controlAddress = absl::StrCat("10.0.0.", host, ":", 7000 + i);
        view.members[record.id.name] = record;
    }
    return view;
}

} // namespace

// Guards against witness sets that lose their majority with one host or availability zone.
TEST_CASE("witnesses are spread over hosts and availability zones", "[ownership]")
{
    struct
    {
        int members;
        int zones;
        int perHost;
        size_t witnesses;
        size_t hosts;
        size_t zonesUsed;
    } const cases[] = {
        {12, 3, 1, 3, 3, 3}, {12, 2, 1, 3, 3, 2}, {13, 4, 2, 3, 3, 3},
        {4, 4, 1, 3, 3, 3},  {5, 3, 9, 3, 1, 1},  {3, 3, 1, 2, 2, 2},
    };
    for (const auto &test : cases) {
        const auto view = makeView(test.members, test.zones, test.perHost);
        for (int owner = 0; owner < test.members; ++owner) {
            CAPTURE(test.members, test.zones, test.perHost, owner);
            const auto witnesses = chooseWitnesses(view, member(owner), "ledger/0");
            CHECK(witnesses == chooseWitnesses(view, member(owner), "ledger/0"));
            std::set<std::string_view> hosts;
            std::set<std::string> zones;
            for (const auto &id : witnesses) {
                CHECK(id != member(owner));
                hosts.insert(hostOf(*view.findMember(id)));
                zones.insert(view.findMember(id)->availabilityZone);
            }
            CHECK(witnesses.size() == test.witnesses);
            CHECK(hosts.size() == test.hosts);
            CHECK(zones.size() == test.zonesUsed);
            if (test.hosts == 3) {
                CHECK(!hosts.contains(hostOf(*view.findMember(member(owner)))));
            }
        }
    }
    CHECK(chooseWitnesses(makeView(6, 3), member(0, 2), "ledger/0").empty());
}

// Guards against standbys that fail together with the owner because they share its availability
// zone.
TEST_CASE("standbys are other members of the service, those in other availability zones first",
          "[ownership]")
{
    const auto view = makeView(12, 3);
    const auto standbys = chooseStandbys(view, "ledger", member(0), "ledger/0");
    REQUIRE(standbys.size() == 3);
    for (const auto &id : standbys) {
        CHECK(view.findMember(id)->service == "ledger");
        CHECK(view.findMember(id)->availabilityZone != "zone-0");
    }
    CHECK(chooseStandbys(makeView(3, 3), "ledger", member(0), "ledger/0").size() == 1);
}

// Guards against a recovery while an instance can still obtain a majority of the witnesses (rule R3
// of docs/design.md).
TEST_CASE("recovery requires evidence that no majority is possible", "[ownership]")
{
    const auto view = makeView(12, 3);
    placement_record record;
    record.partition = "ledger/0";
    record.range = {0, 9};
    record.owner = member(0);
    record.term = 4;
    record.witnesses = {member(1), member(2), member(3)};
    enum class result { Nothing, NewOwner, NewWitnesses };
    struct
    {
        const char *name;
        bool isJoint;
        std::vector<int> dead;
        result expected;
    } const cases[] = {
        {"one witness dead", false, {1}, result::Nothing},
        {"two witnesses dead", false, {1, 3}, result::NewOwner},
        {"during a witness change, one witness of each set dead", true, {1, 4}, result::Nothing},
        {"during a witness change, majority of the previous set dead",
         true,
         {4, 5},
         result::NewOwner},
        // An instance that does not know the change can still win the lease at the previous set.
        {"during a witness change, majority of the new set dead",
         true,
         {1, 2},
         result::NewWitnesses},
    };
    for (const auto &test : cases) {
        CAPTURE(test.name);
        auto changed = record;
        if (test.isJoint) {
            changed.previousWitnesses = {member(4), member(5), member(3)};
        }
        witness_evidence evidence;
        for (const int index : test.dead) {
            evidence.onPingReply(member(index), member(index, 2), milliseconds(1051));
        }
        const auto recovered = recoverRecord(changed, evidence, view, member(6), start);
        REQUIRE(recovered.has_value() == (test.expected != result::Nothing));
        if (test.expected == result::NewOwner) {
            CHECK(recovered->owner == member(6));
            CHECK(recovered->term == 4 + recoveryTermStep);
            CHECK(recovered->previousWitnesses.empty());
        } else if (test.expected == result::NewWitnesses) {
            CHECK(recovered->owner == changed.owner);
            CHECK(recovered->term == 4);
            CHECK(recovered->previousWitnesses == changed.previousWitnesses);
            CHECK(recovered->witnesses != changed.witnesses);
        }
    }
}

// Guards against a recovery before a lease that the dead witness acknowledged has certainly
// expired.
TEST_CASE("a witness counts as dead only after the leases it acknowledged have expired",
          "[ownership]")
{
    witness_evidence evidence;
    const auto isDead = [&](int ms) {
        return evidence.isDead(member(1), start + milliseconds(ms));
    };
    SECTION("ping replies of another incarnation")
    {
        evidence.onPingReply(member(1), member(1), milliseconds(5000));
        evidence.onPingReply(member(1), member(2, 9), milliseconds(5000));
        evidence.onPingReply(member(1), member(1, 9), milliseconds(1050));
        CHECK(!isDead(0));
        evidence.onPingReply(member(1), member(1, 9), milliseconds(1051));
        CHECK(isDead(0));
    }
    SECTION("listed as retired in a document")
    {
        service_document document;
        document.retired = {toString(member(1))};
        evidence.onDocument(document, start);
        evidence.onDocument(document, start + milliseconds(1000));
        CHECK(!isDead(1050));
        CHECK(isDead(1051));
    }
}

// Guards against a holder whose lease ends later than the witnesses assume (rule H1 of
// docs/design.md).
TEST_CASE("the lease ends one lease duration after the send time that completed the majority",
          "[ownership]")
{
    struct
    {
        bool isJoint;
        // Send times in milliseconds after the start, by witness. Witness 3 is in both sets.
        std::map<int, int> acks;
        std::optional<int> end;
    } const cases[] = {
        {false, {{1, 50}}, std::nullopt},
        {false, {{1, 50}, {2, 20}}, 1020},
        {false, {{1, 50}, {2, 20}, {3, 40}}, 1040},
        {false, {{1, 50}, {4, 20}, {5, 20}}, std::nullopt},
        {true, {{1, 50}, {2, 20}, {4, 10}}, std::nullopt},
        {true, {{1, 50}, {3, 20}, {4, 10}}, 1010},
        {true, {{1, 50}, {2, 45}, {4, 40}, {5, 30}}, 1030},
    };
    for (const auto &test : cases) {
        placement_record record;
        record.witnesses = {member(1), member(2), member(3)};
        if (test.isJoint) {
            record.previousWitnesses = {member(4), member(5), member(3)};
        }
        ack_map acks;
        for (const auto &[index, ms] : test.acks) {
            acks[member(index)].sentAt = start + milliseconds(ms);
        }
        const auto end = leaseEndFromAcks(record, acks, milliseconds(1000));
        CHECK(end == (test.end ? start + milliseconds(*test.end) : steady_time::min()));
    }
}
