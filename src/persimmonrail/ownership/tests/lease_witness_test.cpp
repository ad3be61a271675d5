#include "persimmonrail/ownership/lease_witness.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

enum class step_kind { Heartbeat, Claim, Release };

struct step
{
    step_kind kind;
    // Milliseconds after the start.
    int at;
    const char *sender;
    uint64_t recordVersion;
    uint64_t term;
    // A release gets no verdict, so its value stays UNSPECIFIED.
    wire::LeaseVerdict::Code expected = wire::LeaseVerdict::UNSPECIFIED;
    uint64_t incarnation = 7;
};

struct sequence
{
    const char *name;
    std::vector<step> steps;
};

const instance_id self{"ledger-0", 7};
constexpr steady_time start{std::chrono::hours(1)};

wire::LeaseVerdict::Code perform(lease_witness &witness, const step &step)
{
    const auto now = start + milliseconds(step.at);
    const instance_id sender{step.sender, 1};
    wire::PartitionLease lease;
    lease.set_partition("haulbook/0");
    lease.set_record_version(step.recordVersion);
    lease.set_term(step.term);
    wire::Request request;
    switch (step.kind) {
    case step_kind::Heartbeat:
        request.mutable_heartbeat()->set_witness_incarnation(step.incarnation);
        *request.mutable_heartbeat()->add_leases() = lease;
        return witness.onHeartbeat(sender, request.heartbeat(), now).verdicts(0).code();
    case step_kind::Claim:
        request.mutable_claim()->set_witness_incarnation(step.incarnation);
        *request.mutable_claim()->mutable_lease() = lease;
        return witness.onClaim(sender, request.claim(), now).verdict().code();
    default:
        request.mutable_release()->set_witness_incarnation(step.incarnation);
        *request.mutable_release()->mutable_lease() = lease;
        witness.onRelease(sender, request.release(), now);
        return wire::LeaseVerdict::UNSPECIFIED;
    }
}

} // namespace

// Guards against a witness that grants a lease before the previous lease has ended, or that accepts
// an older record version or term than one it has seen. The names refer to the rules of
// docs/design.md.
TEST_CASE("witness rules", "[ownership]")
{
    using verdict = wire::LeaseVerdict;
    constexpr auto heartbeat = step_kind::Heartbeat;
    constexpr auto claim = step_kind::Claim;
    constexpr auto release = step_kind::Release;
    const sequence sequences[] = {
        {"W1: a message for another incarnation is rejected",
         {{claim, 0, "a", 5, 1, verdict::STALE_INCARNATION, 8},
          {heartbeat, 1, "a", 5, 1, verdict::STALE_INCARNATION, 8},
          {claim, 2, "a", 5, 1, verdict::GRANTED}}},
        {"W2: a lower record version is rejected",
         {{claim, 0, "a", 5, 1, verdict::GRANTED},
          {heartbeat, 1, "a", 4, 1, verdict::STALE_RECORD}}},
        {"W2: a higher record version is adopted from a rejected claim",
         {{claim, 0, "a", 5, 1, verdict::GRANTED},
          {claim, 1, "b", 6, 2, verdict::HELD},
          {heartbeat, 2, "a", 5, 1, verdict::STALE_RECORD},
          {heartbeat, 3, "a", 6, 1, verdict::GRANTED}}},
        {"W2: a release under an outdated record has no effect",
         {{claim, 0, "a", 5, 1, verdict::GRANTED},
          {heartbeat, 1, "a", 6, 1, verdict::GRANTED},
          {release, 2, "a", 5, 1},
          {claim, 3, "b", 6, 2, verdict::HELD}}},
        {"W3: a heartbeat of the holder renews an expired lease",
         {{claim, 0, "a", 5, 1, verdict::GRANTED},
          {heartbeat, 3000, "a", 5, 1, verdict::GRANTED},
          {claim, 4049, "b", 5, 2, verdict::HELD},
          {claim, 4050, "b", 5, 2, verdict::GRANTED}}},
        {"W3: a heartbeat of a superseded term is rejected",
         {{claim, 0, "a", 5, 1, verdict::GRANTED},
          {claim, 1050, "b", 5, 2, verdict::GRANTED},
          {heartbeat, 1051, "a", 5, 1, verdict::STALE_TERM},
          {heartbeat, 3000, "a", 5, 2, verdict::STALE_TERM}}},
        {"W3: a heartbeat with a higher term is a claim",
         {{claim, 0, "a", 5, 1, verdict::GRANTED},
          {heartbeat, 500, "b", 5, 2, verdict::HELD},
          {heartbeat, 1050, "b", 5, 2, verdict::GRANTED}}},
        {"W4: a term is granted once",
         {{claim, 0, "a", 5, 1, verdict::GRANTED},
          {claim, 1100, "b", 5, 1, verdict::STALE_TERM},
          {claim, 1100, "a", 5, 1, verdict::STALE_TERM}}},
        {"W4: a claimant may supersede its own lower term",
         {{claim, 0, "a", 5, 1, verdict::GRANTED}, {claim, 1, "a", 5, 2, verdict::GRANTED}}},
        {"W5: a release ends the lease and closes the term",
         {{claim, 0, "a", 5, 1, verdict::GRANTED},
          {release, 1, "a", 5, 1},
          {heartbeat, 2, "a", 5, 1, verdict::STALE_TERM},
          {claim, 3, "b", 5, 2, verdict::GRANTED}}},
        {"W5: only the holder of a term can release the lease",
         {{claim, 0, "a", 5, 2, verdict::GRANTED},
          {release, 1, "b", 5, 2},
          {release, 1, "a", 5, 1},
          {claim, 2, "b", 5, 3, verdict::HELD}}},
    };
    for (const auto &sequence : sequences) {
        lease_witness witness(self);
        for (const auto &step : sequence.steps) {
            CAPTURE(sequence.name, step.at, step.sender, step.term);
            CHECK(perform(witness, step) == step.expected);
        }
    }
}

// Guards against standbys that are not notified of an expired lease, or that are notified while the
// lease is valid.
TEST_CASE("expiry notices are repeated until a claim is granted", "[ownership]")
{
    lease_witness witness(self);
    const auto noticesAt = [&](int ms) {
        return witness.takeDueNotices(start + milliseconds(ms)).size();
    };
    SECTION("after expiry")
    {
        perform(witness, {step_kind::Claim, 0, "a", 5, 1});
        CHECK(noticesAt(1049) == 0);
        CHECK(noticesAt(1050) == 1);
        CHECK(noticesAt(1051) == 0);
        CHECK(noticesAt(1250) == 1);
        perform(witness, {step_kind::Claim, 1300, "b", 5, 2});
        CHECK(noticesAt(2000) == 0);
    }
    SECTION("immediately after a release")
    {
        perform(witness, {step_kind::Claim, 0, "a", 5, 1});
        perform(witness, {step_kind::Release, 10, "a", 5, 1});
        CHECK(noticesAt(10) == 1);
        witness.stopNotices("haulbook/0");
        CHECK(noticesAt(5000) == 0);
    }
    SECTION("for a partition that is never claimed")
    {
        witness.startNotices("haulbook/0", start);
        CHECK(noticesAt(1049) == 0);
        CHECK(noticesAt(1050) == 1);
    }
}
