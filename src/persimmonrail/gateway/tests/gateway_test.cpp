#include "test_fleet.h"

#include "persimmonrail/base/header_names.h"
#include "standins/raw_client.h"
#include "standins/scripted_server.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <future>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Returns bytes whose values depend on their positions, so that lost or reordered pieces are
// detected.
std::string makePattern(size_t size)
{
    std::string bytes(size, '\0');
    for (size_t i = 0; i < size; ++i) {
        bytes[i] = static_cast<char>(i * 131 + i / 256);
    }
    return bytes;
}

// Returns an address at which connections are refused, since its listening socket has been closed.
std::string closedPortAddress()
{
    const scripted_server gone([](Poco::Net::StreamSocket &, int) {});
    return gone.address();
}

size_t runCount(const test_fleet::daemon &daemon)
{
    return daemon.standin->history().size();
}

} // namespace

// Guards property P3 in docs/design.md: every byte of a response reaches the caller, whether the
// request runs locally or is forwarded.
TEST_CASE("bodies arrive complete in both directions", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    for (const size_t size : {size_t{1}, size_t{4096}, size_t{5 * 1024 * 1024}}) {
        for (const auto *ingress : {&owner, &other}) {
            CAPTURE(size, ingress->name);
            const std::string bytes = makePattern(size);
            const std::string &address = ingress->callerServer->address();
            const caller_response put = call(address, "PUT", "/standin/records/k", bytes);
            CHECK(put.status == 200);
            CHECK(put.outcome == "run");
            CHECK(put.head.get("X-Checksum") == standinChecksum(bytes));
            for (const std::vector<std::string> &fields :
                 {std::vector<std::string>{}, std::vector<std::string>{"X-Chunked: 1"}}) {
                const caller_response get = call(address, "GET", "/standin/records/k", "", fields);
                CHECK(get.outcome == "run");
                CHECK(get.head.get(requestIdHeader).size() == 32);
                CHECK((get.body == bytes));
            }
            const caller_response head = call(address, "HEAD", "/standin/records/k");
            CHECK(head.status == 404);
        }
    }
    const standin_run first = owner.standin->history().front();
    CHECK(first.partition == "standin/all");
    CHECK(first.term == 7);
}

// Guards property P4 in docs/design.md: the response to a request that is rejected before it
// reaches an upstream has the outcome "not-run" and the reason.
TEST_CASE("requests that cannot be routed have the outcome not-run", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    struct
    {
        const char *method;
        const char *uri;
        std::vector<std::string> fields;
        int status;
        const char *reason;
    } const table[] = {
        {"GET", "/nosuch/records/k", {}, 404, "unknown-service"},
        {"GET", "/", {}, 404, "unknown-service"},
        {"GET", "/standin/elsewhere/k", {}, 404, "unknown-operation"},
        {"DELETE", "/standin/records/k", {}, 404, "unknown-operation"},
        {"GET", "/standin/records", {}, 400, "missing-key"},
        {"GET", "/standin/records/", {}, 400, "invalid-key"},
        {"GET", "/standin/records/%zz", {}, 400, "invalid-path"},
        {"GET", "/standin/records/../k", {}, 400, "invalid-path"},
        {"GET", "/standin/records/%2e%2e/k", {}, 400, "invalid-path"},
        {"GET", "/standin/records/k", {"Persimmonrail-Deadline-Ms: soon"}, 400, "invalid-deadline"},
        {"GET", "/standin/records/k", {"Persimmonrail-Deadline-Ms: 0"}, 503, "deadline-exceeded"},
        {"POST", "/standin/records/k", {}, 400, "missing-idempotency-key"},
        {"POST", "/standin/records/k", {"Idempotency-Key: 1"}, 400, "invalid-idempotency-key"},
        {"POST",
         "/standin/records/k",
         {"Idempotency-Key: 019345ab-cdef-4123-8456-0123456789ab"},
         400,
         "invalid-idempotency-key"},
        {"GET",
         "/standin/records/k",
         {"X-Long: " + std::string(40'000, 'x')},
         431,
         "header-too-large"},
        {"GET", "/standin/records/k", {"Transfer-Encoding: gzip"}, 400, "malformed-request"},
        {"GET", "/standin/%72ecords/k", {}, 404, "unknown-operation"},
        {"GET", "/standin/records%2Fk", {}, 404, "unknown-operation"},
        {"GET", "/standin/records/%63losing", {}, 400, "invalid-path"},
        {"GET", "/standin/records/a%2Fb", {}, 400, "invalid-key"},
        {"GET", "/standin/records//k", {}, 400, "invalid-key"},
        {"GET", "/standin/records/k", {"Persimmonrail_Rank: crew"}, 400, "malformed-request"},
        {"GET",
         "/standin/records/k",
         {"Persimmonrail-Deadline-Ms: 1000", "Persimmonrail-Deadline-Ms: 9000"},
         400,
         "malformed-request"},
    };
    for (const auto &row : table) {
        CAPTURE(row.method, row.uri, row.reason);
        const caller_response response =
            call(owner.callerServer->address(), row.method, row.uri, "", row.fields);
        CHECK(response.status == row.status);
        CHECK(response.outcome == "not-run");
        CHECK(response.reason == row.reason);
        CHECK(response.head.get(requestIdHeader).size() == 32);
        CHECK(response.body.find(row.reason) != std::string::npos);
    }
    CHECK(runCount(owner) == 0);
}

// Guards against requests that fail although another daemon could run them.
TEST_CASE("a request is retried on the lease holder", "[gateway]")
{
    struct
    {
        const char *name;
        std::vector<std::string> standbys;
        const char *hint;
        bool isOwnerPortClosed;
    } const table[] = {
        {"standby after not-owner", {"second"}, "", false},
        {"hinted holder that is not a standby", {}, "second", false},
        {"standby after a refused connection", {"second"}, "", true},
    };
    for (const auto &row : table) {
        CAPTURE(row.name);
        test_fleet fleet;
        auto &first = fleet.add("first");
        auto &second = fleet.add("second");
        auto &ingress = fleet.add("ingress", "");
        second.holdsLease = true;
        first.holderHint = row.hint;
        fleet.setPlacement("first", row.standbys);
        if (row.isOwnerPortClosed) {
            fleet.setPeerAddress("first", closedPortAddress());
        }
        const caller_response response = call(ingress.callerServer->address(), "POST",
                                              "/standin/records/k", "body", {idempotencyField});
        CHECK(response.outcome == "run");
        CHECK(response.body == "1");
        CHECK(runCount(first) == 0);
        CHECK(runCount(second) == 1);
    }
}

// Guards against requests that wait for a frozen daemon until their deadline although a standby
// holds the partition. The kernel of a frozen daemon still accepts connections.
TEST_CASE("a repeatable request to a frozen daemon is retried on the standby", "[gateway]")
{
    test_fleet fleet;
    fleet.add("frozen");
    auto &standby = fleet.add("standby");
    auto &ingress = fleet.add("ingress", "", [](test_fleet::daemon &daemon) {
        daemon.hooks.consumeRetryBudget = [](bool, steady_time) { return true; };
    });
    standby.holdsLease = true;
    fleet.setPlacement("frozen", {"standby"});
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    fleet.setPeerAddress("frozen", silent.address().toString());
    const caller_response put =
        call(ingress.callerServer->address(), "PUT", "/standin/records/k", "record");
    CHECK(put.outcome == "run");
    // The peer is marked as unresponsive, so the next request does not connect to it.
    const caller_response get = call(ingress.callerServer->address(), "GET", "/standin/records/k");
    CHECK(get.outcome == "run");
    CHECK(get.body == "record");
}

// Guards against requests that fail during a failover, and against attempts after the deadline.
TEST_CASE("a request is retried until an owner appears or its deadline passes", "[gateway]")
{
    for (const bool ownerAppears : {true, false}) {
        CAPTURE(ownerAppears);
        test_fleet fleet;
        fleet.setTimeout(ownerAppears ? testTimeout : 300ms);
        std::atomic<int> lookups = 0;
        auto &owner = fleet.add("owner", "standin", [&](test_fleet::daemon &daemon) {
            daemon.onLeaseLookup = [&] { daemon.holdsLease = ++lookups >= 3 && ownerAppears; };
        });
        auto &ingress = fleet.add("ingress", "");
        fleet.setPlacement("owner");
        const caller_response response =
            call(ingress.callerServer->address(), "GET", "/standin/records/k");
        CHECK(response.outcome == (ownerAppears ? "run" : "not-run"));
        CHECK(response.status == (ownerAppears ? 404 : 503));
        CHECK(response.reason == (ownerAppears ? "" : "not-owner"));
        CHECK(response.head.has("Retry-After") != ownerAppears);
        CHECK(runCount(owner) == (ownerAppears ? 1 : 0));
    }
}

// Guards properties P3 and P4 in docs/design.md: a truncated response is never reported as
// complete, nor its request as "not-run".
TEST_CASE("a request with a truncated response has an unknown outcome", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    const std::string bytes = makePattern(1024 * 1024);
    for (const auto *ingress : {&owner, &other}) {
        for (const size_t truncateAfter : {size_t{1000}, size_t{500'000}}) {
            CAPTURE(ingress->name, truncateAfter);
            const std::string &address = ingress->callerServer->address();
            REQUIRE(call(address, "PUT", "/standin/records/k", bytes).status == 200);
            const caller_response response = call(address, "GET", "/standin/records/k", "",
                                                  {"X-Truncate: " + std::to_string(truncateAfter)});
            if (response.outcome == "run") {
                // The head had already been sent; the framing shows that the body is incomplete.
                CHECK_FALSE(response.isComplete);
                CHECK(response.body.size() <= truncateAfter);
            } else {
                CHECK(response.outcome == "unknown");
                CHECK(response.status == 502);
                CHECK(response.reason == "truncated-answer");
            }
            CHECK((response.outcome == "run") == (truncateAfter > maxBodyPieceBytes));
        }
    }
}

// Guards against requests that outlive their deadline, or are reported as "not-run", when the
// upstream does not respond.
TEST_CASE("a request to an unresponsive upstream has an unknown outcome at its deadline",
          "[gateway]")
{
    test_fleet fleet;
    fleet.setTimeout(400ms);
    auto &owner = fleet.add("owner");
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    upstream_standin_faults faults;
    faults.frozen = true;
    owner.standin->setFaults(faults);
    for (const auto *ingress : {&owner, &other}) {
        CAPTURE(ingress->name);
        const caller_response response =
            call(ingress->callerServer->address(), "GET", "/standin/records/k");
        CHECK(response.outcome == "unknown");
        CHECK(response.status == 504);
        CHECK(response.reason == "deadline-exceeded");
    }
    owner.standin->setFaults({});
}

// Guards against work that continues for a caller that has disconnected.
TEST_CASE("the disconnect of a caller cancels a forwarded request", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    {
        Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(other.callerServer->address())};
        sendText(caller,
                 "GET /standin/records/k HTTP/1.1\r\nHost: a\r\nX-Service-Ms: 60000\r\n\r\n");
        REQUIRE(owner.standin->waitFor([](const auto &all) { return !all.empty(); }, testTimeout));
    }
    CHECK(owner.standin->waitFor([](const auto &all) { return all[0].state == "cancelled"; },
                                 testTimeout));
}

// Guards property P5 in docs/design.md: a request with an incomplete body must not run, and a
// request must not run twice.
TEST_CASE("a large body is sent to one owner only", "[gateway]")
{
    test_fleet fleet;
    auto &first = fleet.add("first");
    auto &second = fleet.add("second");
    auto &ingress = fleet.add("ingress", "");
    second.holdsLease = true;
    fleet.setPlacement("first", {"second"});
    const std::string bytes = makePattern(3 * 1024 * 1024);
    const caller_response response =
        call(ingress.callerServer->address(), "PUT", "/standin/records/k", bytes);
    CHECK(response.outcome == "run");
    CHECK(runCount(first) == 0);
    CHECK(runCount(second) == 1);
    CHECK(response.head.get("X-Checksum") == standinChecksum(bytes));

    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(second.callerServer->address())};
    sendText(caller,
             "PUT /standin/records/cut HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n");
    caller.shutdown();
    CHECK(second.standin->waitFor(
        [](const auto &all) { return !all.empty() && all.back().state == "broken"; }, testTimeout));
}

// Guards against an unbounded queue, and against rejections without the time after which the caller
// may retry.
TEST_CASE("requests beyond the slots are rejected early", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner", "standin", [](test_fleet::daemon &daemon) {
        daemon.hooks.admit = [admission =
                                  std::make_shared<slot_admission>([] { return 1; }, 0, 0ms)](
                                 const admission_request &request, steady_time now) {
            return admission->admit(request.deadline, now);
        };
    });
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    std::thread longRequest([&] {
        call(owner.callerServer->address(), "POST", "/standin/records/k", "",
             {"X-Service-Ms: 60000", idempotencyField});
    });
    REQUIRE(owner.standin->waitFor([](const auto &all) { return !all.empty(); }, testTimeout));
    for (const auto *ingress : {&owner, &other}) {
        const caller_response rejected =
            call(ingress->callerServer->address(), "GET", "/standin/records/k");
        CHECK(rejected.status == 429);
        CHECK(rejected.outcome == "not-run");
        CHECK(rejected.reason == "overload");
        CHECK(rejected.head.get("Retry-After") == "1");
    }
    const std::string id = owner.standin->history()[0].requestId;
    http_client client(std::make_shared<connection_pool>());
    CHECK(simpleRequest(client, owner.standin->address(), "DELETE", "/v1/requests/" + id, "",
                        std::chrono::steady_clock::now() + testTimeout)
              .ok());
    longRequest.join();
    CHECK(runCount(owner) == 1);
}

// Guards against admission control that does not receive the rank or subsidiary of a request, or
// the end of the request.
TEST_CASE("admission control receives each request and its end, also if it is forwarded",
          "[gateway]")
{
    struct recording_ticket : admission_ticket
    {
        recording_ticket(std::string request, std::promise<std::string> &endReport)
            : request(std::move(request))
            , endReport(endReport)
        { }
        void finish(request_outcome outcome, std::string_view reason,
                    std::chrono::nanoseconds latency, steady_time) override
        {
            endReport.set_value(absl::StrCat(request, std::string(toString(outcome)), " ",
                                             std::string(reason),
                                             latency.count() > 0 ? "" : ", no latency"));
        }
        std::string request;
        std::promise<std::string> &endReport;
    };
    std::promise<std::string> endReport;
    test_fleet fleet;
    auto &owner = fleet.add("owner", "standin", [&endReport](test_fleet::daemon &daemon) {
        daemon.hooks.admit = [&endReport](const admission_request &request,
                                          steady_time) -> admission_result {
            return std::make_unique<recording_ticket>(
                absl::StrCat(std::string(request.service), " ", request.rank, " ",
                             std::string(request.subsidiary), " "),
                endReport);
        };
    });
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    for (const auto *ingress : {&owner, &other}) {
        for (const bool shedding : {false, true}) {
            endReport = {};
            upstream_standin_faults faults;
            faults.shedding = shedding;
            owner.standin->setFaults(faults);
            call(ingress->callerServer->address(), "PUT", "/standin/records/k", "body",
                 {"Persimmonrail-Subsidiary: muenchen"});
            // The caller may receive the response before the end is reported.
            auto reported = endReport.get_future();
            REQUIRE(reported.wait_for(testTimeout) == std::future_status::ready);
            CHECK(reported.get()
                  == (shedding ? "standin 0 muenchen not-run shed"
                               : "standin 0 muenchen run answered"));
        }
    }
}

// Guards property P5 in docs/design.md: the response to the caller follows the verdict of the
// at-most-once table.
TEST_CASE("the gateway applies at-most-once verdicts", "[gateway]")
{
    test_fleet fleet;
    at_most_once_verdict nextVerdict;
    std::vector<std::pair<request_outcome, bool>> endedRequests;
    auto &owner = fleet.add("owner", "standin", [&](test_fleet::daemon &daemon) {
        daemon.hooks.beginAtMostOnce = [&](auto, auto, const auto &, auto) { return nextVerdict; };
        daemon.hooks.endAtMostOnce = [&](auto, auto, request_outcome outcome,
                                         const std::shared_ptr<const stored_response> &response) {
            endedRequests.emplace_back(outcome, response != nullptr);
            nextVerdict = {at_most_once_verdict::action::Replay, response, {}, ""};
        };
    });
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    const auto post = [&](const std::vector<std::string> &extraFields = {}) {
        std::vector<std::string> fields = {idempotencyField};
        fields.insert(fields.end(), extraFields.begin(), extraFields.end());
        return call(owner.callerServer->address(), "POST", "/standin/records/k", "", fields);
    };
    for (int i = 0; i < 2; ++i) {
        const caller_response response = post();
        CHECK(response.outcome == "run");
        CHECK(response.body == "1");
        CHECK(response.head.get("X-Checksum") == standinChecksum("1"));
    }
    CHECK(runCount(owner) == 1);
    nextVerdict = {at_most_once_verdict::action::Reject, nullptr, request_outcome::Unknown,
                   "older-tenure"};
    CHECK(post().status == 502);
    CHECK(post().reason == "older-tenure");
    nextVerdict = {};
    CHECK(post({"X-Truncate: 0"}).outcome == "unknown");
    owner.callerServer.reset();
    CHECK(endedRequests
          == std::vector<std::pair<request_outcome, bool>>{{request_outcome::Run, true},
                                                           {request_outcome::Unknown, false}});
}

// Guards against retries of requests that may have run and must not run twice.
TEST_CASE("only repeatable requests are retried after an unknown outcome", "[gateway]")
{
    test_fleet fleet;
    int retriesRequested = 0;
    auto &owner = fleet.add("owner", "standin", [&](test_fleet::daemon &daemon) {
        daemon.hooks.consumeRetryBudget = [&](bool isRetry, steady_time) {
            return !isRetry || ++retriesRequested < 2;
        };
    });
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    owner.standin->setCrash([] {});
    const std::string &address = owner.callerServer->address();
    CHECK(call(address, "GET", "/standin/records/k", "", {"X-Crash: 1"}).outcome == "unknown");
    CHECK(retriesRequested == 2);
    const size_t before = runCount(owner);
    CHECK(before >= 2);
    retriesRequested = 0;
    CHECK(call(address, "POST", "/standin/records/k", "", {"X-Crash: 1", idempotencyField}).outcome
          == "unknown");
    CHECK(retriesRequested == 0);
    CHECK(runCount(owner) == before + 1);
}

// Guards property P4 in docs/design.md: after a first attempt that may have run, a retry that finds
// no owner does not change the outcome to "not-run".
TEST_CASE("a rejected retry leaves the outcome unknown", "[gateway]")
{
    test_fleet fleet;
    fleet.setTimeout(300ms);
    std::atomic<int> lookups = 0;
    auto &owner = fleet.add("owner", "standin", [&](test_fleet::daemon &daemon) {
        daemon.hooks.consumeRetryBudget = [](bool, steady_time) { return true; };
        daemon.onLeaseLookup = [&] { daemon.holdsLease = ++lookups == 1; };
    });
    fleet.setPlacement("owner");
    owner.standin->setCrash([] {});
    const caller_response response =
        call(owner.callerServer->address(), "GET", "/standin/records/k", "", {"X-Crash: 1"});
    CHECK(response.outcome == "unknown");
    CHECK(response.status == 502);
    CHECK(runCount(owner) >= 1);
    CHECK(lookups > 1);
}

// Guards against requests that fail because one instance rejects them although another instance
// could run them.
TEST_CASE("a request for any instance is tried on the next after a rejection", "[gateway]")
{
    test_fleet fleet;
    std::vector<std::string> attempts;
    auto &ingress = fleet.add("ingress", "", [&](test_fleet::daemon &daemon) {
        daemon.hooks.onAttemptEnd = [&](auto, const member_record &member, request_outcome outcome,
                                        auto, auto, auto) {
            attempts.push_back(member.id.name + " " + std::string(toString(outcome)));
        };
    });
    auto &first = fleet.add("photos-1", "photos");
    auto &second = fleet.add("photos-2", "photos");
    upstream_standin_faults faults;
    faults.shedding = true;
    first.standin->setFaults(faults);
    CHECK(call(ingress.callerServer->address(), "PUT", "/photos/records/k", "x").outcome == "run");
    CHECK(runCount(first) == 0);
    CHECK(runCount(second) == 1);
    // Destroying the server waits for the hook, which is called after the response has been sent.
    ingress.callerServer.reset();
    CHECK(attempts == std::vector<std::string>{"photos-1 not-run", "photos-2 run"});
}

// Guards against a request that runs without a field that the daemon has set or read: the caller
// lists the field in Connection, and the daemon removes it.
TEST_CASE("a request that lists a field of the daemon in Connection does not run", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    owner.holdsLease = true;
    auto &other = fleet.add("other", "");
    fleet.setPlacement("owner");
    const std::string name =
        GENERATE("Idempotency-Key", "idempotency-key", "Persimmonrail-Term",
                 "Persimmonrail-Partition", "Persimmonrail-Key-Hash", "Persimmonrail-Deadline-Ms",
                 "persimmonrail-request-id", "Persimmonrail-Rank", "Host");
    CAPTURE(name);
    for (const auto *ingress : {&owner, &other}) {
        const raw_response response = exchangeRaw(
            ingress->callerServer->address(),
            absl::StrCat("POST /standin/records/k HTTP/1.1\r\nHost: h\r\n", idempotencyField,
                         "\r\nConnection: keep-alive, ", name, "\r\nContent-Length: 0\r\n\r\n"),
            testTimeout);
        CHECK(response.status == 400);
        CHECK(response.head.get(outcomeHeader, "") == "not-run");
    }
    CHECK(runCount(owner) == 0);
}
