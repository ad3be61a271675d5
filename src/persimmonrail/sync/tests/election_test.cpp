#include "persimmonrail/sync/pull_peer_selector.h"
#include "persimmonrail/sync/readiness.h"
#include "persimmonrail/sync/relay_election.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time{} + 1h;

fleet_view makeView(const std::vector<std::string> &zones, int perZone)
{
    fleet_view view;
    for (const auto &zone : zones) {
        for (int i = 0; i < perZone; ++i) {
            const std::string name = zone + "-" + std::to_string(i);
            view.members[name] = {{name, 1},     zone.substr(0, 1), zone, "s",
                                  "127.0.0.1:1", "127.0.0.1:2",     1};
        }
    }
    return view;
}

wire::PullReply makePullReply(uint64_t revision, uint64_t minimumRevision)
{
    wire::PullReply reply;
    reply.set_revision(revision);
    reply.set_floor(minimumRevision);
    return reply;
}

} // namespace

// Guards against a zone that is disconnected from the platform and receives no updates because no
// pull leaves the zone, and against too many pulls across zones and regions.
TEST_CASE("pulls are distributed over zones and regions in the specified ratios")
{
    const auto view = makeView({"a1", "a2", "b1"}, 10);
    pull_peer_selector schedule({"a1-0", "a1", "a"}, {"seed"}, std::mt19937_64(7));
    std::map<std::string, int> pulls;
    constexpr int total = 32000;
    for (int i = 0; i < total; ++i) {
        const auto target = schedule.next(view);
        REQUIRE(target.has_value());
        REQUIRE(target->instance != "a1-0");
        ++pulls[target->instance.substr(0, 2)];
    }
    CHECK(pulls["b1"] == Approx(total / 32.0).epsilon(0.1));
    CHECK(pulls["a2"] == Approx(total / 8.0).epsilon(0.1));
}

TEST_CASE("pulls go to other zones, regions or seeds if a group has no member")
{
    const auto [zones, expected] = GENERATE(table<std::vector<std::string>, std::string>(
        {{{"a2"}, "a2-0"}, {{"b1"}, "b1-0"}, {{"a1"}, ""}, {std::vector<std::string>{}, ""}}));
    // In zone a1, the requesting daemon is the only member.
    const auto view = makeView(zones, 1);
    pull_peer_selector schedule({"a1-0", "a1", "a"}, {"seed"}, std::mt19937_64(7));
    for (int i = 0; i < 100; ++i) {
        const auto target = schedule.next(view);
        REQUIRE(target.has_value());
        CHECK(target->instance == expected);
        CHECK(target->controlAddress == (expected.empty() ? "seed" : "127.0.0.1:2"));
    }
    CHECK_FALSE(
        pull_peer_selector({"a1-0", "a1", "a"}, {}, std::mt19937_64(7)).next({}).has_value());
}

// Guards against a zone that has no relay after members failed, and against more than two watches
// per zone.
TEST_CASE("the relays are the first two responsive members in rendezvous order")
{
    const auto unresponsive =
        GENERATE(values<std::vector<size_t>>({{}, {0}, {1}, {0, 1}, {0, 1, 2, 3}}));
    const auto view = makeView({"a1"}, 40);
    const std::mt19937_64 random(7);
    std::map<std::string, relay_election> elections;
    for (const auto &[name, member] : view.members) {
        elections.try_emplace(name, name, "a1", start, random).first->second.setView(view, start);
    }
    rendezvous_election referenceElection("", "relay/a1", relaysPerZone);
    std::vector<const member_record *> members;
    for (const auto &[name, member] : view.members) {
        members.push_back(&member);
    }
    referenceElection.setMembers(members, start);
    const auto candidates = referenceElection.candidates();
    REQUIRE(candidates.size() == maxElectionCandidates);
    std::vector<std::string> responsive;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (std::find(unresponsive.begin(), unresponsive.end(), i) == unresponsive.end()) {
            responsive.push_back(candidates[i]);
        }
    }
    for (auto now = start; now <= start + 20s; now += electionPingInterval) {
        // The unresponsive members respond to pings until second 8, and count as responsive for 5 s
        // after their last response.
        const auto &responding = now < start + 8s ? candidates : responsive;
        std::vector<std::string> relays;
        for (const auto &name : responding) {
            auto &election = elections.at(name);
            for (const auto &target : election.pingTargets()) {
                if (std::find(responding.begin(), responding.end(), target.id.name)
                    != responding.end()) {
                    election.recordReply(target.id.name, now);
                }
            }
            if (election.isRelay(now)) {
                relays.push_back(name);
            }
        }
        if (now == start + 7s || now >= start + 13s) {
            REQUIRE(relays == std::vector(responding.begin(), responding.begin() + 2));
        }
    }
    for (const auto &[name, election] : elections) {
        const bool isCandidate =
            std::find(candidates.begin(), candidates.end(), name) != candidates.end();
        CHECK((isCandidate || !election.isRelay(start + 20s)));
    }
}

// Guards against the first daemon of a zone waiting forever for a relay.
TEST_CASE("a daemon that knows no member of its zone reads the platform itself")
{
    relay_election election("a1-0", "a1", start, std::mt19937_64(7));
    election.setView(makeView({"b1"}, 3), start);
    CHECK(election.isRelay(start + maxBootstrapDelay));
    election.setView(makeView({"a1"}, 40), start);
    CHECK(election.isRelay(start + maxBootstrapDelay) == false);
}

// Guards against a daemon that has just started and uses a state older than one that the fleet has
// already acted on.
TEST_CASE("a daemon becomes ready only by reading the platform or by replies of enough peers")
{
    struct received_reply
    {
        std::string peer;
        uint64_t revision;
        uint64_t minimumRevision;
    };
    struct row
    {
        std::string name;
        std::vector<std::string> zones;
        int perZone;
        // Revision read from the platform, or 0 if the platform was not read.
        uint64_t platformRevision;
        std::vector<received_reply> replies;
        bool isReady;
    };
    const std::vector<std::string> zones{"a1", "a2"};
    // The object replica is at revision 9. "Minimum" stands for the minimum revision.
    const auto row = GENERATE_COPY(values<struct row>({
        {"no member, no reply", {}, 0, 0, {}, false},
        {"platform read, no minimum", {}, 0, 9, {}, true},
        {"platform read, not yet applied", {}, 0, 10, {}, false},
        {"platform read, below minimum", zones, 9, 9, {{"a1-1", 9, 60}}, false},
        {"two peers", zones, 9, 0, {{"a1-1", 9, 0}, {"a2-1", 9, 0}}, false},
        {"3 peers, 1 zone", zones, 9, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 0}, {"a1-3", 9, 0}}, false},
        {"3 peers, 2 zones", zones, 9, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 0}, {"a2-3", 9, 0}}, true},
        {"1 peer, 3 replies", zones, 9, 0, {{"a1-1", 9, 0}, {"a1-1", 9, 0}, {"a1-1", 9, 0}}, false},
        {"behind 1 peer", zones, 9, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 0}, {"a2-3", 10, 0}}, false},
        {"below minimum", zones, 9, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 12}, {"a2-3", 9, 0}}, false},
        {"peers not ready", zones, 9, 0, {{"a1-1", 0, 0}, {"a1-2", 0, 0}, {"a2-3", 0, 0}}, false},
        {"all peers of a small fleet", zones, 1, 0, {{"a2-0", 9, 0}}, true},
        {"all peers of one zone", {"a1"}, 3, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 0}}, true},
        {"no other member", {"a1"}, 1, 0, {}, false},
    }));
    CAPTURE(row.name);
    readiness readinessState("a1-0");
    if (row.platformRevision > 0) {
        readinessState.recordPlatformRead(row.platformRevision);
    }
    for (const auto &reply : row.replies) {
        readinessState.recordPullReply({reply.peer, 1},
                                       makePullReply(reply.revision, reply.minimumRevision));
    }
    CHECK(readinessState.evaluate(9, makeView(row.zones, row.perZone)) == row.isReady);
}
