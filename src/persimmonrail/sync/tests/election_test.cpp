#include "persimmonrail/sync/pull_schedule.h"
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

wire::PullReply statedRevision(uint64_t revision, uint64_t minimumRevision)
{
    wire::PullReply reply;
    reply.set_revision(revision);
    reply.set_floor(minimumRevision);
    return reply;
}

} // namespace

// Guards against all pulls staying in a zone that is cut off, and against traffic across zones.
TEST_CASE("pulls are spread over zones and regions as designed")
{
    const auto view = makeView({"a1", "a2", "b1"}, 10);
    pull_schedule schedule({"a1-0", "a1", "a"}, {"seed"}, std::mt19937_64(7));
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

TEST_CASE("pulls fall back to other groups and to seeds")
{
    const auto [zones, expected] = GENERATE(table<std::vector<std::string>, std::string>(
        {{{"a2"}, "a2-0"}, {{"b1"}, "b1-0"}, {{"a1"}, ""}, {std::vector<std::string>{}, ""}}));
    // In zone a1 the asking daemon is the only member.
    const auto view = makeView(zones, 1);
    pull_schedule schedule({"a1-0", "a1", "a"}, {"seed"}, std::mt19937_64(7));
    for (int i = 0; i < 100; ++i) {
        const auto target = schedule.next(view);
        REQUIRE(target.has_value());
        CHECK(target->instance == expected);
        CHECK(target->controlAddress == (expected.empty() ? "seed" : "127.0.0.1:2"));
    }
    CHECK_FALSE(pull_schedule({"a1-0", "a1", "a"}, {}, std::mt19937_64(7)).next({}).has_value());
}

// Guards against a zone without relays after losses, and against more watches than two per zone.
TEST_CASE("the relays are the two highest-ranked members that answer")
{
    const auto lost = GENERATE(values<std::vector<size_t>>({{}, {0}, {1}, {0, 1}, {0, 1, 2, 3}}));
    const auto view = makeView({"a1"}, 40);
    const std::mt19937_64 random(7);
    std::map<std::string, relay_election> elections;
    for (const auto &[name, member] : view.members) {
        elections.try_emplace(name, name, "a1", start, random).first->second.setView(view, start);
    }
    rendezvous_election ranking("", "relay/a1", relaysPerZone);
    std::vector<const member_record *> members;
    for (const auto &[name, member] : view.members) {
        members.push_back(&member);
    }
    ranking.setMembers(members, start);
    const auto candidates = ranking.candidates();
    REQUIRE(candidates.size() == electionCandidates);
    std::vector<std::string> live;
    for (size_t i = 0; i < candidates.size(); ++i) {
        if (std::find(lost.begin(), lost.end(), i) == lost.end()) {
            live.push_back(candidates[i]);
        }
    }
    for (auto now = start; now <= start + 20s; now += electionPingInterval) {
        // The lost members answer until second 8 and count as alive for 5 s more.
        const auto &replying = now < start + 8s ? candidates : live;
        std::vector<std::string> relays;
        for (const auto &name : replying) {
            auto &election = elections.at(name);
            for (const auto &target : election.pingTargets()) {
                if (std::find(replying.begin(), replying.end(), target.id.name) != replying.end()) {
                    election.recordResponse(target.id.name, now);
                }
            }
            if (election.isRelay(now)) {
                relays.push_back(name);
            }
        }
        if (now == start + 7s || now >= start + 13s) {
            REQUIRE(relays == std::vector(replying.begin(), replying.begin() + 2));
        }
    }
    for (const auto &[name, election] : elections) {
        const bool listed =
            std::find(candidates.begin(), candidates.end(), name) != candidates.end();
        CHECK((listed || !election.isRelay(start + 20s)));
    }
}

// Guards against a first daemon that waits forever for a relay.
TEST_CASE("a daemon that knows no member of its zone reads the platform itself")
{
    relay_election election("a1-0", "a1", start, std::mt19937_64(7));
    election.setView(makeView({"b1"}, 3), start);
    CHECK(election.isRelay(start + bootstrapSpread));
    election.setView(makeView({"a1"}, 40), start);
    CHECK(election.isRelay(start + bootstrapSpread) == false);
}

// Guards against a fresh daemon that adopts a state older than one in force.
TEST_CASE("a fresh daemon is ready only by the platform or enough peers")
{
    struct stated_reply
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
        // 0 if the platform was not read.
        uint64_t platform;
        std::vector<stated_reply> replies;
        bool ready;
    };
    const std::vector<std::string> two{"a1", "a2"};
    // The store is at revision 9.
    const auto row = GENERATE_COPY(values<struct row>({
        {"nothing known", {}, 0, 0, {}, false},
        {"platform read, no floor", {}, 0, 9, {}, true},
        {"platform read, not yet applied", {}, 0, 10, {}, false},
        {"platform read, below the floor", two, 9, 9, {{"a1-1", 9, 60}}, false},
        {"two peers", two, 9, 0, {{"a1-1", 9, 0}, {"a2-1", 9, 0}}, false},
        {"three of one zone", two, 9, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 0}, {"a1-3", 9, 0}}, false},
        {"three of two zones", two, 9, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 0}, {"a2-3", 9, 0}}, true},
        {"one asked thrice", two, 9, 0, {{"a1-1", 9, 0}, {"a1-1", 9, 0}, {"a1-1", 9, 0}}, false},
        {"behind one", two, 9, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 0}, {"a2-3", 10, 0}}, false},
        {"below the floor", two, 9, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 12}, {"a2-3", 9, 0}}, false},
        {"peers not ready", two, 9, 0, {{"a1-1", 0, 0}, {"a1-2", 0, 0}, {"a2-3", 0, 0}}, false},
        {"all peers of a small fleet", two, 1, 0, {{"a2-0", 9, 0}}, true},
        {"all peers of one zone", {"a1"}, 3, 0, {{"a1-1", 9, 0}, {"a1-2", 9, 0}}, true},
        {"alone", {"a1"}, 1, 0, {}, false},
    }));
    CAPTURE(row.name);
    readiness ready("a1-0");
    if (row.platform > 0) {
        ready.notePlatformRead(row.platform);
    }
    for (const auto &reply : row.replies) {
        ready.notePull({reply.peer, 1}, statedRevision(reply.revision, reply.minimumRevision));
    }
    CHECK(ready.evaluate(9, makeView(row.zones, row.perZone)) == row.ready);
}
