#include "test_fleet.h"

#include "persimmonrail/base/header_names.h"
#include "standins/scripted_server.h"

#include <absl/strings/str_cat.h>
#include <catch2/catch.hpp>

#include <future>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

std::string patternOf(size_t size)
{
    std::string bytes(size, '\0');
    for (size_t i = 0; i < size; ++i) {
        bytes[i] = static_cast<char>(i * 131 + i / 256);
    }
    return bytes;
}

// An address at which connections are refused.
std::string refusingAddress()
{
    const scripted_server gone([](Poco::Net::StreamSocket &, int) {});
    return gone.address();
}

size_t runs(const test_fleet::daemon &daemon)
{
    return daemon.standin->history().size();
}

} // namespace

// Guards P3: every byte of the answer reaches the caller, locally and over two hops.
TEST_CASE("bodies pass whole in both directions", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.place("owner");
    for (const size_t size : {size_t{1}, size_t{4096}, size_t{5 * 1024 * 1024}}) {
        for (const auto *ingress : {&owner, &other}) {
            CAPTURE(size, ingress->name);
            const std::string bytes = patternOf(size);
            const std::string &address = ingress->callers->address();
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

// Guards P4: a request refused before it reaches an upstream says so, with its reason.
TEST_CASE("requests that cannot be routed are answered not-run", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    owner.holdsLease = true;
    fleet.place("owner");
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
    };
    for (const auto &row : table) {
        CAPTURE(row.method, row.uri, row.reason);
        const caller_response response =
            call(owner.callers->address(), row.method, row.uri, "", row.fields);
        CHECK(response.status == row.status);
        CHECK(response.outcome == "not-run");
        CHECK(response.reason == row.reason);
        CHECK(response.head.get(requestIdHeader).size() == 32);
        CHECK(response.body.find(row.reason) != std::string::npos);
    }
    CHECK(runs(owner) == 0);
}

// Guards against requests that fail although another daemon can run them.
TEST_CASE("a request moves on to the holder", "[gateway]")
{
    struct
    {
        const char *name;
        std::vector<std::string> standbys;
        const char *hint;
        bool ownerRefuses;
    } const table[] = {
        {"standby after not-owner", {"second"}, "", false},
        {"hinted holder that is no standby", {}, "second", false},
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
        fleet.place("first", row.standbys);
        if (row.ownerRefuses) {
            fleet.setPeerAddress("first", refusingAddress());
        }
        const caller_response response = call(ingress.callers->address(), "POST",
                                              "/standin/records/k", "body", {idempotencyField});
        CHECK(response.outcome == "run");
        CHECK(response.body == "1");
        CHECK(runs(first) == 0);
        CHECK(runs(second) == 1);
    }
}

// Guards against requests that wait until their deadline for a frozen daemon, whose kernel still
// takes connections, while a standby holds the partition.
TEST_CASE("a repeatable request leaves a frozen daemon", "[gateway]")
{
    test_fleet fleet;
    fleet.add("frozen");
    auto &standby = fleet.add("standby");
    auto &ingress = fleet.add("ingress", "", [](test_fleet::daemon &daemon) {
        daemon.hooks.retryBudget = [](bool, steady_time) { return true; };
    });
    standby.holdsLease = true;
    fleet.place("frozen", {"standby"});
    const Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
    fleet.setPeerAddress("frozen", silent.address().toString());
    const caller_response put =
        call(ingress.callers->address(), "PUT", "/standin/records/k", "record");
    CHECK(put.outcome == "run");
    // The silent peer is remembered, so the next request does not connect to it.
    const caller_response get = call(ingress.callers->address(), "GET", "/standin/records/k");
    CHECK(get.outcome == "run");
    CHECK(get.body == "record");
}

// Guards against giving up during a failover, and against trying beyond the deadline.
TEST_CASE("rounds continue until an owner appears or the deadline passes", "[gateway]")
{
    for (const bool appears : {true, false}) {
        CAPTURE(appears);
        test_fleet fleet;
        fleet.setTimeout(appears ? generous : 300ms);
        std::atomic<int> lookups = 0;
        auto &owner = fleet.add("owner", "standin", [&](test_fleet::daemon &daemon) {
            daemon.onLookup = [&] { daemon.holdsLease = ++lookups >= 3 && appears; };
        });
        auto &ingress = fleet.add("ingress", "");
        fleet.place("owner");
        const caller_response response =
            call(ingress.callers->address(), "GET", "/standin/records/k");
        CHECK(response.outcome == (appears ? "run" : "not-run"));
        CHECK(response.status == (appears ? 404 : 503));
        CHECK(response.reason == (appears ? "" : "not-owner"));
        CHECK(response.head.has("Retry-After") != appears);
        CHECK(runs(owner) == (appears ? 1 : 0));
    }
}

// Guards P3 and P4: an answer that broke off is never whole, and its request is not "not-run".
TEST_CASE("truncated answers are unknown", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.place("owner");
    const std::string bytes = patternOf(1024 * 1024);
    for (const auto *ingress : {&owner, &other}) {
        for (const size_t cut : {size_t{1000}, size_t{500'000}}) {
            CAPTURE(ingress->name, cut);
            const std::string &address = ingress->callers->address();
            REQUIRE(call(address, "PUT", "/standin/records/k", bytes).status == 200);
            const caller_response response = call(address, "GET", "/standin/records/k", "",
                                                  {"X-Truncate: " + std::to_string(cut)});
            if (response.outcome == "run") {
                // The head had gone out already; the framing shows that the body is not whole.
                CHECK_FALSE(response.whole);
                CHECK(response.body.size() <= cut);
            } else {
                CHECK(response.outcome == "unknown");
                CHECK(response.status == 502);
                CHECK(response.reason == "truncated-answer");
            }
            CHECK((response.outcome == "run") == (cut > bodyPieceBytes));
        }
    }
}

TEST_CASE("a silent upstream makes a request unknown at its deadline", "[gateway]")
{
    test_fleet fleet;
    fleet.setTimeout(400ms);
    auto &owner = fleet.add("owner");
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.place("owner");
    upstream_standin_faults faults;
    faults.frozen = true;
    owner.standin->setFaults(faults);
    for (const auto *ingress : {&owner, &other}) {
        CAPTURE(ingress->name);
        const caller_response response =
            call(ingress->callers->address(), "GET", "/standin/records/k");
        CHECK(response.outcome == "unknown");
        CHECK(response.status == 504);
        CHECK(response.reason == "deadline-exceeded");
    }
    owner.standin->setFaults({});
}

// Guards against work that goes on for a caller that is gone.
TEST_CASE("a caller that disconnects cancels its request over two hops", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.place("owner");
    {
        Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(other.callers->address())};
        sendText(caller,
                 "GET /standin/records/k HTTP/1.1\r\nHost: a\r\nX-Service-Ms: 60000\r\n\r\n");
        REQUIRE(owner.standin->waitFor([](const auto &all) { return !all.empty(); }, generous));
    }
    CHECK(owner.standin->waitFor([](const auto &all) { return all[0].state == "cancelled"; },
                                 generous));
}

// Guards P5: a broken upload must not run, and a request must not run twice.
TEST_CASE("a large body is sent to one owner only", "[gateway]")
{
    test_fleet fleet;
    auto &first = fleet.add("first");
    auto &second = fleet.add("second");
    auto &ingress = fleet.add("ingress", "");
    second.holdsLease = true;
    fleet.place("first", {"second"});
    const std::string bytes = patternOf(3 * 1024 * 1024);
    const caller_response response =
        call(ingress.callers->address(), "PUT", "/standin/records/k", bytes);
    CHECK(response.outcome == "run");
    CHECK(runs(first) == 0);
    CHECK(runs(second) == 1);
    CHECK(response.head.get("X-Checksum") == standinChecksum(bytes));

    Poco::Net::StreamSocket caller{Poco::Net::SocketAddress(second.callers->address())};
    sendText(caller,
             "PUT /standin/records/cut HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
             "5\r\nhello\r\n");
    caller.shutdown();
    CHECK(second.standin->waitFor(
        [](const auto &all) { return !all.empty() && all.back().state == "broken"; }, generous));
}

// Guards against a queue without bound and against refusals that do not say when to come back.
TEST_CASE("requests beyond the slots are refused early", "[gateway]")
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
    fleet.place("owner");
    std::thread busy([&] {
        call(owner.callers->address(), "POST", "/standin/records/k", "",
             {"X-Service-Ms: 60000", idempotencyField});
    });
    REQUIRE(owner.standin->waitFor([](const auto &all) { return !all.empty(); }, generous));
    for (const auto *ingress : {&owner, &other}) {
        const caller_response refused =
            call(ingress->callers->address(), "GET", "/standin/records/k");
        CHECK(refused.status == 429);
        CHECK(refused.outcome == "not-run");
        CHECK(refused.reason == "overload");
        CHECK(refused.head.get("Retry-After") == "1");
    }
    const std::string id = owner.standin->history()[0].requestId;
    http_client client(std::make_shared<connection_pool>());
    CHECK(simpleRequest(client, owner.standin->address(), "DELETE", "/v1/requests/" + id, "",
                        std::chrono::steady_clock::now() + generous)
              .ok());
    busy.join();
    CHECK(runs(owner) == 1);
}

// Guards against admission control that decides without the rank or subsidiary of a request, or
// never learns how requests end.
TEST_CASE("admission control sees requests and their ends, also across a hop", "[gateway]")
{
    struct recording_ticket : admission_ticket
    {
        recording_ticket(std::string request, std::promise<std::string> &record)
            : request(std::move(request))
            , record(record)
        { }
        void finish(request_outcome outcome, std::string_view reason,
                    std::chrono::nanoseconds latency, steady_time) override
        {
            record.set_value(absl::StrCat(request, std::string(toString(outcome)), " ",
                                          std::string(reason),
                                          latency.count() > 0 ? "" : ", no latency"));
        }
        std::string request;
        std::promise<std::string> &record;
    };
    std::promise<std::string> record;
    test_fleet fleet;
    auto &owner = fleet.add("owner", "standin", [&record](test_fleet::daemon &daemon) {
        daemon.hooks.admit = [&record](const admission_request &request,
                                       steady_time) -> admission_result {
            return std::make_unique<recording_ticket>(
                absl::StrCat(std::string(request.service), " ", request.rank, " ",
                             std::string(request.subsidiary), " "),
                record);
        };
    });
    auto &other = fleet.add("other", "");
    owner.holdsLease = true;
    fleet.place("owner");
    for (const auto *ingress : {&owner, &other}) {
        for (const bool shedding : {false, true}) {
            record = {};
            upstream_standin_faults faults;
            faults.shedding = shedding;
            owner.standin->setFaults(faults);
            call(ingress->callers->address(), "PUT", "/standin/records/k", "body",
                 {"Persimmonrail-Subsidiary: muenchen"});
            // The caller may have its answer before the end is reported.
            auto reported = record.get_future();
            REQUIRE(reported.wait_for(generous) == std::future_status::ready);
            CHECK(reported.get()
                  == (shedding ? "standin 0 muenchen not-run shed"
                               : "standin 0 muenchen run answered"));
        }
    }
}

// Guards P5: the decision of the at-most-once table is what the caller gets.
TEST_CASE("at-most-once decisions are carried out", "[gateway]")
{
    test_fleet fleet;
    at_most_once_verdict next;
    std::vector<std::pair<request_outcome, bool>> ended;
    auto &owner = fleet.add("owner", "standin", [&](test_fleet::daemon &daemon) {
        daemon.hooks.atMostOnceBegin = [&](auto, auto, const auto &, auto) { return next; };
        daemon.hooks.atMostOnceEnd = [&](auto, auto, request_outcome outcome,
                                         const std::shared_ptr<const stored_response> &response) {
            ended.emplace_back(outcome, response != nullptr);
            next = {at_most_once_verdict::action::Replay, response, {}, ""};
        };
    });
    owner.holdsLease = true;
    fleet.place("owner");
    const auto post = [&](const std::vector<std::string> &more = {}) {
        std::vector<std::string> fields = {idempotencyField};
        fields.insert(fields.end(), more.begin(), more.end());
        return call(owner.callers->address(), "POST", "/standin/records/k", "", fields);
    };
    for (int i = 0; i < 2; ++i) {
        const caller_response response = post();
        CHECK(response.outcome == "run");
        CHECK(response.body == "1");
        CHECK(response.head.get("X-Checksum") == standinChecksum("1"));
    }
    CHECK(runs(owner) == 1);
    next = {at_most_once_verdict::action::Refuse, nullptr, request_outcome::Unknown,
            "older-tenure"};
    CHECK(post().status == 502);
    CHECK(post().reason == "older-tenure");
    next = {};
    CHECK(post({"X-Truncate: 0"}).outcome == "unknown");
    owner.callers.reset();
    CHECK(ended
          == std::vector<std::pair<request_outcome, bool>>{{request_outcome::Run, true},
                                                           {request_outcome::Unknown, false}});
}

// Guards against retries of requests that may have run and must not run again.
TEST_CASE("only repeatable requests are retried after an unknown outcome", "[gateway]")
{
    test_fleet fleet;
    int asked = 0;
    auto &owner = fleet.add("owner", "standin", [&](test_fleet::daemon &daemon) {
        daemon.hooks.retryBudget = [&](bool isRetry, steady_time) {
            return !isRetry || ++asked < 2;
        };
    });
    owner.holdsLease = true;
    fleet.place("owner");
    owner.standin->setCrash([] {});
    const std::string &address = owner.callers->address();
    CHECK(call(address, "GET", "/standin/records/k", "", {"X-Crash: 1"}).outcome == "unknown");
    CHECK(asked == 2);
    const size_t before = runs(owner);
    CHECK(before >= 2);
    asked = 0;
    CHECK(call(address, "POST", "/standin/records/k", "", {"X-Crash: 1", idempotencyField}).outcome
          == "unknown");
    CHECK(asked == 0);
    CHECK(runs(owner) == before + 1);
}

// Guards P4: a retry that finds no owner does not undo that the first attempt may have run.
TEST_CASE("a retry that is refused leaves the outcome unknown", "[gateway]")
{
    test_fleet fleet;
    fleet.setTimeout(300ms);
    std::atomic<int> lookups = 0;
    auto &owner = fleet.add("owner", "standin", [&](test_fleet::daemon &daemon) {
        daemon.hooks.retryBudget = [](bool, steady_time) { return true; };
        daemon.onLookup = [&] { daemon.holdsLease = ++lookups == 1; };
    });
    fleet.place("owner");
    owner.standin->setCrash([] {});
    const caller_response response =
        call(owner.callers->address(), "GET", "/standin/records/k", "", {"X-Crash: 1"});
    CHECK(response.outcome == "unknown");
    CHECK(response.status == 502);
    CHECK(runs(owner) >= 1);
    CHECK(lookups > 1);
}

// Guards against refusals by one instance that fail a request which any other could run.
TEST_CASE("a request for any instance moves on after a refusal", "[gateway]")
{
    test_fleet fleet;
    std::vector<std::string> attempts;
    auto &ingress = fleet.add("ingress", "", [&](test_fleet::daemon &daemon) {
        daemon.hooks.attemptEnded = [&](auto, const member_record &member, request_outcome outcome,
                                        auto, auto, auto) {
            attempts.push_back(member.id.name + " " + std::string(toString(outcome)));
        };
    });
    auto &first = fleet.add("photos-1", "photos");
    auto &second = fleet.add("photos-2", "photos");
    upstream_standin_faults faults;
    faults.shedding = true;
    first.standin->setFaults(faults);
    CHECK(call(ingress.callers->address(), "PUT", "/photos/records/k", "x").outcome == "run");
    CHECK(runs(first) == 0);
    CHECK(runs(second) == 1);
    // Closing the port waits for the hook, which runs after the answer.
    ingress.callers.reset();
    CHECK(attempts == std::vector<std::string>{"photos-1 not-run", "photos-2 run"});
}
