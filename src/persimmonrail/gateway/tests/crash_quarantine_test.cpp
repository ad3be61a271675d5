#include "test_fleet.h"

#include "persimmonrail/base/header_names.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

constexpr char otherIdempotencyField[] = "Idempotency-Key: 019345ab-cdef-7123-8456-0123456789ac";

// Two daemons with one quarantine each; both instances run requests of the service.
struct quarantined_fleet
{
    explicit quarantined_fleet(const std::string &service)
    {
        first = &fleet.add("first", service, [this](auto &added) {
            added.hooks.quarantine = &quarantine;
            added.hooks.atMostOnceBegin = [this](auto, auto key, const auto &, auto) {
                return begin(*parseIdempotencyKey(key));
            };
            added.hooks.atMostOnceEnd = [this](auto, auto key, auto outcome, auto response) {
                table.end("standin", *parseIdempotencyKey(key), outcome, response);
            };
        });
        second = &fleet.add("second", service,
                            [this](auto &added) { added.hooks.quarantine = &otherQuarantine; });
        first->holdsLease = true;
        first->standin->setCrash([] {});
        second->standin->setCrash([] {});
        fleet.place("first");
    }

    at_most_once_verdict begin(const idempotency_key &key)
    {
        using std::chrono::hours;
        const auto verdict = table.begin("standin", key, key.issuedAt() - hours(1), key.issuedAt());
        if (verdict.what == at_most_once_verdict::action::Proceed) {
            return {};
        }
        return {at_most_once_verdict::action::Refuse, nullptr, verdict.outcome,
                std::string(verdict.reason)};
    }

    // Sends a marked request, whose connection the upstream closes, as a crash does.
    caller_response crash(const std::string &method, const std::string &uri,
                          const std::string &body, std::vector<std::string> fields = {})
    {
        fields.emplace_back("X-Crash: 1");
        auto response = call(first->callers->address(), method, uri, body, fields);
        quarantine.noteCrash(std::chrono::steady_clock::now());
        return response;
    }

    at_most_once_table table;
    crash_quarantine quarantine;
    crash_quarantine otherQuarantine;
    test_fleet fleet;
    test_fleet::daemon *first;
    test_fleet::daemon *second;
};

} // namespace

// Guards against an upstream that is crashed again and again, against requests of the same key that
// are blocked too, and against a body that is not passed on whole after its beginning was read
// ahead.
TEST_CASE("a request that crashed the upstream twice is refused", "[gateway]")
{
    for (const size_t size : {size_t{0}, size_t{100}, size_t{64 * 1024}, size_t{3'000'000}}) {
        CAPTURE(size);
        quarantined_fleet fleet("standin");
        const std::string uri = "/standin/records/k";
        const std::string body(size, 'b');
        for (int i = 0; i < 2; ++i) {
            CHECK(fleet.crash("PUT", uri, body).outcome == "unknown");
        }
        const size_t runs = fleet.first->standin->history().size();
        const auto refused = fleet.crash("PUT", uri, body);
        CHECK(refused.status == 503);
        CHECK(refused.outcome == "not-run");
        CHECK(refused.reason == "quarantined");
        CHECK(std::stoi(refused.head.get("Retry-After")) > 500);
        // The same request through the other daemon is refused by the owner too.
        const auto forwarded = call(fleet.second->callers->address(), "PUT", uri, body);
        CHECK(forwarded.reason == "quarantined");
        CHECK(fleet.first->standin->history().size() == runs);
        const std::string other = "c" + body;
        const auto run = call(fleet.first->callers->address(), "PUT", uri, other);
        CHECK(run.outcome == "run");
        CHECK(run.head.get("X-Checksum", "") == standinChecksum(other));
    }
}

// Guards P5: a request whose earlier attempt may have run must not be reported as not-run.
TEST_CASE("a quarantined request that may have run is unknown", "[gateway]")
{
    quarantined_fleet fleet("standin");
    const std::string uri = "/standin/records/k";
    CHECK(fleet.crash("POST", uri, "1", {idempotencyField}).outcome == "unknown");
    CHECK(fleet.crash("POST", uri, "1", {otherIdempotencyField}).outcome == "unknown");
    const size_t runs = fleet.first->standin->history().size();
    CHECK(fleet.crash("POST", uri, "1", {idempotencyField}).outcome == "unknown");
    const auto fresh =
        fleet.crash("POST", uri, "1", {"Idempotency-Key: 019345ab-cdef-7123-8456-0123456789ad"});
    CHECK(fresh.outcome == "not-run");
    CHECK(fresh.reason == "quarantined");
    CHECK(fleet.first->standin->history().size() == runs);
}

// Guards against trying a request that crashed one upstream on the next one, where any may run it.
TEST_CASE("a quarantined request is not tried on another instance", "[gateway]")
{
    quarantined_fleet fleet("photos");
    for (int i = 0; i < 2; ++i) {
        fleet.crash("PUT", "/photos/records/k", "body");
    }
    const size_t runs = fleet.second->standin->history().size();
    CHECK(fleet.crash("PUT", "/photos/records/k", "body").reason == "quarantined");
    CHECK(fleet.second->standin->history().size() == runs);
}
