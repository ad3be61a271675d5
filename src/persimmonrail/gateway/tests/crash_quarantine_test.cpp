#include "test_fleet.h"

#include "persimmonrail/base/header_names.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

constexpr char otherIdempotencyField[] = "Idempotency-Key: 019345ab-cdef-7123-8456-0123456789ac";

// Two daemons, each with its own quarantine. Both upstreams belong to the service.
struct quarantined_fleet
{
    explicit quarantined_fleet(const std::string &service)
    {
        first = &fleet.add("first", service, [this](auto &added) {
            added.hooks.quarantine = &quarantine;
            added.hooks.beginAtMostOnce = [this](auto, auto key, const auto &, auto) {
                return beginAtMostOnce(*parseIdempotencyKey(key));
            };
            added.hooks.endAtMostOnce = [this](auto, auto key, auto outcome, auto response) {
                atMostOnceTable.end("standin", *parseIdempotencyKey(key), outcome, response);
            };
        });
        second = &fleet.add("second", service,
                            [this](auto &added) { added.hooks.quarantine = &otherQuarantine; });
        first->holdsLease = true;
        first->standin->setCrash([] {});
        second->standin->setCrash([] {});
        fleet.setPlacement("first");
    }

    at_most_once_verdict beginAtMostOnce(const idempotency_key &key)
    {
        using std::chrono::hours;
        const auto verdict =
            atMostOnceTable.begin("standin", key, key.issuedAt() - hours(1), key.issuedAt());
        if (verdict.decision == at_most_once_verdict::action::Proceed) {
            return {};
        }
        return {at_most_once_verdict::action::Reject, nullptr, verdict.outcome,
                std::string(verdict.reason)};
    }

    // Sends a request that makes the upstream close the connection without a response, as a crash
    // does, and reports the crash to the quarantine.
    caller_response sendCrashingRequest(const std::string &method, const std::string &uri,
                                        const std::string &body,
                                        std::vector<std::string> fields = {})
    {
        fields.emplace_back("X-Crash: 1");
        auto response = call(first->callerServer->address(), method, uri, body, fields);
        quarantine.recordCrash(++crashCount, std::chrono::steady_clock::now());
        return response;
    }

    at_most_once_table atMostOnceTable;
    uint64_t crashCount = 0;
    crash_quarantine quarantine;
    crash_quarantine otherQuarantine;
    test_fleet fleet;
    test_fleet::daemon *first;
    test_fleet::daemon *second;
};

} // namespace

// Guards against three failures: a request crashes the upstream again and again, other requests
// with the same key are rejected too, or a body is not passed on completely after its beginning was
// read ahead for the fingerprint.
TEST_CASE("a request that crashed the upstream twice is rejected", "[gateway]")
{
    for (const size_t size : {size_t{0}, size_t{100}, size_t{64 * 1024}, size_t{3'000'000}}) {
        CAPTURE(size);
        quarantined_fleet fleet("standin");
        const std::string uri = "/standin/records/k";
        const std::string body(size, 'b');
        for (int i = 0; i < 2; ++i) {
            CHECK(fleet.sendCrashingRequest("PUT", uri, body).outcome == "unknown");
        }
        const size_t runsBefore = fleet.first->standin->history().size();
        const auto rejected = fleet.sendCrashingRequest("PUT", uri, body);
        CHECK(rejected.status == 503);
        CHECK(rejected.outcome == "not-run");
        CHECK(rejected.reason == "quarantined");
        CHECK(std::stoi(rejected.head.get("Retry-After")) > 500);
        // The owner also rejects the same request when the other daemon forwards it.
        const auto forwarded = call(fleet.second->callerServer->address(), "PUT", uri, body);
        CHECK(forwarded.reason == "quarantined");
        CHECK(fleet.first->standin->history().size() == runsBefore);
        const std::string otherBody = "c" + body;
        const auto otherResponse =
            call(fleet.first->callerServer->address(), "PUT", uri, otherBody);
        CHECK(otherResponse.outcome == "run");
        CHECK(otherResponse.head.get("X-Checksum", "") == standinChecksum(otherBody));
    }
}

// Guards property P5 in docs/design.md: a request whose earlier attempt may have run must not be
// reported as not-run.
TEST_CASE("a quarantined request that may have run has an unknown outcome", "[gateway]")
{
    quarantined_fleet fleet("standin");
    const std::string uri = "/standin/records/k";
    CHECK(fleet.sendCrashingRequest("POST", uri, "1", {idempotencyField}).outcome == "unknown");
    CHECK(fleet.sendCrashingRequest("POST", uri, "1", {otherIdempotencyField}).outcome
          == "unknown");
    const size_t runsBefore = fleet.first->standin->history().size();
    CHECK(fleet.sendCrashingRequest("POST", uri, "1", {idempotencyField}).outcome == "unknown");
    const auto newKeyResponse = fleet.sendCrashingRequest(
        "POST", uri, "1", {"Idempotency-Key: 019345ab-cdef-7123-8456-0123456789ad"});
    CHECK(newKeyResponse.outcome == "not-run");
    CHECK(newKeyResponse.reason == "quarantined");
    CHECK(fleet.first->standin->history().size() == runsBefore);
}

// Guards against a request that crashed one upstream and is then tried on the next, which would
// crash too. The instances of this service may run any request.
TEST_CASE("a quarantined request is not tried on another instance", "[gateway]")
{
    quarantined_fleet fleet("photos");
    for (int i = 0; i < 2; ++i) {
        fleet.sendCrashingRequest("PUT", "/photos/records/k", "body");
    }
    const size_t runsBefore = fleet.second->standin->history().size();
    CHECK(fleet.sendCrashingRequest("PUT", "/photos/records/k", "body").reason == "quarantined");
    CHECK(fleet.second->standin->history().size() == runsBefore);
}
