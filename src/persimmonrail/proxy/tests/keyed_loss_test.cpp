#include "persimmonrail/proxy/keyed_loss.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr steady_time start{1000s};

} // namespace

TEST_CASE("the cause of a request that was not served follows from its rejection", "[proxy]")
{
    const auto [reason, state, cause] =
        GENERATE(table<proxy_reason, std::optional<key_state>, loss_cause>({
            {proxy_reason::NoUpstream, std::nullopt, loss_cause::NoOwner},
            {proxy_reason::NotOwner, key_state::Moving, loss_cause::KeyMoving},
            {proxy_reason::NotOwner, key_state::NotGranted, loss_cause::NotGranted},
            {proxy_reason::NotOwner, key_state::NotRecorded, loss_cause::DirectoriesDiffer},
            {proxy_reason::NotOwner, std::nullopt, loss_cause::DirectoriesDiffer},
            {proxy_reason::OtherUpstream, std::nullopt, loss_cause::DirectoriesDiffer},
            {proxy_reason::Draining, std::nullopt, loss_cause::OwnerLeaving},
            {proxy_reason::Overload, std::nullopt, loss_cause::OwnerFull},
            {proxy_reason::OverloadExpected, std::nullopt, loss_cause::OwnerExpectedFull},
            {proxy_reason::PeerUnreachable, std::nullopt, loss_cause::PeerUnreachable},
            {proxy_reason::SilentConnection, std::nullopt, loss_cause::PeerSilent},
            {proxy_reason::NoResponse, std::nullopt, loss_cause::UpstreamFailed},
            {proxy_reason::Quarantined, std::nullopt, loss_cause::Other},
        }));
    CAPTURE(toString(reason));
    CHECK(causeOfFailure(reason, state) == cause);
}

TEST_CASE("the cause of a late request is the largest part of its time", "[proxy]")
{
    const auto [times, cause] = GENERATE(table<served_times, loss_cause>({
        {{500ms, loss_cause::KeyMoving, 300ms, time_spent{50ms, 200ms, 260ms}},
         loss_cause::KeyMoving},
        {{0ms, loss_cause::Other, 900ms, time_spent{600ms, 200ms, 810ms}}, loss_cause::OwnerFull},
        {{0ms, loss_cause::Other, 900ms, time_spent{100ms, 700ms, 810ms}},
         loss_cause::UpstreamSlow},
        {{0ms, loss_cause::Other, 900ms, time_spent{100ms, 200ms, 800ms}},
         loss_cause::OwnerDaemonSlow},
        {{0ms, loss_cause::Other, 900ms, time_spent{100ms, 200ms, 310ms}}, loss_cause::PathSlow},
        {{0ms, loss_cause::Other, 900ms, std::nullopt}, loss_cause::PathSlow},
    }));
    CHECK(causeOfDelay(times) == cause);
}

TEST_CASE("losses are summed by cause and owner, with the time since they began", "[proxy]")
{
    keyed_loss_ledger ledger;
    ledger.record({"haulbook", loss_cause::OwnerFull, "a", 9, false}, start);
    ledger.record({"haulbook", loss_cause::OwnerFull, "a", 4, true}, start + 700ms);
    ledger.record({"haulbook", loss_cause::KeyMoving, "b", 7, false}, start + 800ms);
    const auto first = ledger.takeSummaries(start + 1s);
    REQUIRE(first.size() == 2);
    CHECK(first[0].cause == loss_cause::OwnerFull);
    CHECK(first[0].owner == "a");
    CHECK(first[0].notServed == 1);
    CHECK(first[0].late == 1);
    CHECK(first[0].firstKey == 4);
    CHECK(first[0].lastKeySeen == 9);
    CHECK(first[0].duration == 700ms);
    CHECK(ledger.takeSummaries(start + 1s).empty());
    SECTION("a series goes on while losses follow each other")
    {
        ledger.record({"haulbook", loss_cause::OwnerFull, "a", 9, false}, start + 1900ms);
        CHECK(ledger.takeSummaries(start + 2s).at(0).duration == 1900ms);
    }
    SECTION("a pause ends a series")
    {
        ledger.record({"haulbook", loss_cause::OwnerFull, "a", 9, false}, start + 5s);
        CHECK(ledger.takeSummaries(start + 6s).at(0).duration == 0ms);
    }
}

TEST_CASE("times between daemons are read only if they are complete", "[proxy]")
{
    const auto read = parseTimeSpent(encodeTimeSpent({1us, 2us, 3us}));
    REQUIRE(read);
    CHECK(read->inQueue == 1us);
    CHECK(read->atUpstream == 2us);
    CHECK(read->inTotal == 3us);
    for (const char *text : {"", "1,2", "1,2,3,4", "1,-2,3", "1,x,3"}) {
        CHECK_FALSE(parseTimeSpent(text));
    }
}

TEST_CASE("states of keys between daemons are read by name", "[proxy]")
{
    for (const key_state state :
         {key_state::Served, key_state::Moving, key_state::NotRecorded, key_state::NotGranted}) {
        CHECK(parseKeyState(toString(state)) == state);
    }
    CHECK_FALSE(parseKeyState("other"));
}
