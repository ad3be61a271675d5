#include "persimmonrail/upstream/upstream_client.h"

#include "persimmonrail/base/header_names.h"
#include "standins/scripted_server.h"
#include "standins/upstream_standin.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Long enough not to elapse while a test runs.
constexpr milliseconds testTimeout{60'000};

steady_time currentTime()
{
    return std::chrono::steady_clock::now();
}

class recording_sink : public response_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &response, const body_framing &,
               std::string_view first, bool) override
    {
        head = response;
        body = first;
        return true;
    }
    bool write(std::string_view piece) override
    {
        body += piece;
        return true;
    }
    bool finish() override { return true; }

    Poco::Net::HTTPResponse head;
    std::string body;
};

class text_body : public body_source
{
public:
    explicit text_body(std::string text)
        : m_text(std::move(text))
    { }
    body_framing framing() const override { return {body_framing::kind::Length, m_text.size()}; }
    io_status read(std::string &piece, steady_time) override
    {
        piece = m_text.substr(m_position, maxBodyPieceBytes);
        m_position += piece.size();
        return io_status::Ok;
    }
    bool rewind() override
    {
        m_position = 0;
        return true;
    }

private:
    const std::string m_text;
    size_t m_position = 0;
};

// A body of one byte that becomes available at a given time.
class stalling_body : public body_source
{
public:
    explicit stalling_body(steady_time availableAt)
        : m_availableAt(availableAt)
    { }
    body_framing framing() const override { return {body_framing::kind::Length, 1}; }
    io_status read(std::string &piece, steady_time until) override
    {
        std::this_thread::sleep_until(std::min(until, m_availableAt));
        if (currentTime() < m_availableAt) {
            return io_status::TimedOut;
        }
        piece = m_isRead ? "" : "b";
        m_isRead = true;
        return io_status::Ok;
    }
    bool rewind() override { return false; }

private:
    const steady_time m_availableAt;
    bool m_isRead = false;
};

dispatch_request makeRequest(const std::string &method, const std::string &uri,
                             const std::string &id)
{
    dispatch_request request;
    request.message.setMethod(method);
    request.message.setURI(uri);
    request.requestId = id;
    request.partition = "standin/a";
    request.term = 3;
    request.keyHash = 5;
    request.deadline = currentTime() + testTimeout;
    return request;
}

upstream_announcement makeAnnouncement(const std::string &address, const std::string &bootId = "b1")
{
    return {"standin", "standin-1", address, 10, bootId, false, true};
}

struct upstream_fixture
{
    upstream_fixture()
    {
        auto started = upstream_standin::start({});
        REQUIRE(started.ok());
        standin = *std::move(started);
        REQUIRE(upstreamClient.announce(standin->announcement(), currentTime()).ok());
    }
    void grant(uint64_t term)
    {
        const absl::Status pushed =
            upstreamClient.pushGrants({{"standin/a", term, {0, 10}}}, testTimeout, currentTime());
        CAPTURE(pushed.ToString());
        REQUIRE(pushed.ok());
    }
    dispatch_result run(const dispatch_request &request)
    {
        sink = recording_sink();
        return upstreamClient.dispatch(request, sink, currentTime());
    }

    std::unique_ptr<upstream_standin> standin;
    upstream_client upstreamClient{{}};
    recording_sink sink;
};

} // namespace

// Guards against an upstream that is treated as up although its announcements have stopped, and
// against a restart that is not detected.
TEST_CASE("the state follows announcements", "[upstream]")
{
    std::vector<std::string> events;
    upstream_callbacks callbacks;
    callbacks.onStateChanged = [&](upstream_state state, const upstream_announcement &) {
        events.emplace_back(toString(state));
    };
    callbacks.onRestarted = [&](const upstream_announcement &announcement) {
        events.push_back("restarted " + announcement.bootId);
    };
    upstream_client upstreamClient({}, callbacks);
    const steady_time start;
    upstream_announcement announcement = makeAnnouncement("127.0.0.1:1");
    CHECK(upstreamClient.status(start).state == upstream_state::Down);
    CHECK(upstreamClient.announce(announcement, start).ok());
    CHECK(upstreamClient.isUp(start + 2999ms));
    CHECK_FALSE(upstreamClient.isUp(start + 3000ms));
    upstreamClient.expire(start + 2999ms);
    upstreamClient.expire(start + 3000ms);
    CHECK(upstreamClient.announce(announcement, start + 4s).ok());
    announcement.bootId = "b2";
    CHECK(upstreamClient.announce(announcement, start + 5s).ok());
    announcement.draining = true;
    CHECK(upstreamClient.announce(announcement, start + 6s).ok());
    CHECK(upstreamClient.announce(announcement, start + 7s).ok());
    CHECK(upstreamClient.status(start + 8s).timeSinceDraining == 2s);
    CHECK(events == std::vector<std::string>{"up", "down", "up", "restarted b2", "draining"});

    announcement.instance = "standin-2";
    CHECK(absl::IsFailedPrecondition(upstreamClient.announce(announcement, start + 8s)));
    CHECK(upstreamClient.announce(announcement, start + 11s).ok());
}

// Guards against an outcome that differs from what the upstream did (requirements P3 and P4 in
// docs/design.md).
TEST_CASE("requests run only under the granted term", "[upstream]")
{
    upstream_fixture fixture;
    dispatch_request request = makeRequest("POST", "/standin/x", "r1");
    dispatch_result result = fixture.run(request);
    CHECK(result.outcome == request_outcome::NotRun);
    CHECK(result.reason == "stale-grant");

    fixture.grant(3);
    CHECK(fixture.run(request).outcome == request_outcome::Run);
    CHECK(fixture.sink.body == "1");
    fixture.grant(4);
    CHECK(fixture.run(request).reason == "stale-grant");

    const auto history = fixture.standin->history();
    REQUIRE(history.size() == 1);
    CHECK(history[0].requestId == "r1");
    CHECK(history[0].term == 3);
}

TEST_CASE("bodies of every size are transferred completely and unchanged", "[upstream]")
{
    upstream_fixture fixture;
    fixture.grant(3);
    for (const size_t size : {size_t{0}, size_t{1}, size_t{4096}, maxBodyPieceBytes,
                              maxBodyPieceBytes + 1, size_t{5 * 1024 * 1024}}) {
        for (const bool chunked : {false, true}) {
            CAPTURE(size, chunked);
            std::string bytes(size, '\0');
            for (size_t i = 0; i < size; ++i) {
                bytes[i] = static_cast<char>(i * 131 + i / 256);
            }
            text_body body(bytes);
            dispatch_request put = makeRequest("PUT", "/standin/photo", "put");
            put.body = &body;
            REQUIRE(fixture.run(put).outcome == request_outcome::Run);
            CHECK(fixture.sink.head.get("X-Checksum") == standinChecksum(bytes));
            dispatch_request get = makeRequest("GET", "/standin/photo", "get");
            if (chunked) {
                get.message.set("X-Chunked", "1");
            }
            REQUIRE(fixture.run(get).outcome == request_outcome::Run);
            CHECK((fixture.sink.body == bytes));

            if (size > 1) {
                get.message.set("X-Truncate", std::to_string(size - 1));
                const dispatch_result truncated = fixture.run(get);
                CHECK(truncated.outcome == request_outcome::Unknown);
                CHECK(truncated.reason == "truncated-answer");
            }
        }
    }
}

// Guards against a rejected request that is reported as if it may have run, and against a request
// that may have run but is reported as rejected.
TEST_CASE("a request that the upstream rejects has the outcome not-run", "[upstream]")
{
    upstream_fixture fixture;
    fixture.grant(3);
    upstream_standin_faults faults;
    faults.shedding = true;
    fixture.standin->setFaults(faults);
    const dispatch_result shed = fixture.run(makeRequest("POST", "/standin/x", "r"));
    CHECK(shed.outcome == request_outcome::NotRun);
    CHECK(shed.reason == "shed");
    CHECK(shed.retryAfter == 1s);
    fixture.standin->setFaults({});

    dispatch_request late = makeRequest("POST", "/standin/x", "r");
    late.leaseEnd = currentTime;
    CHECK(fixture.run(late).reason == "lease-ending");
    CHECK(fixture.standin->history().empty());

    fixture.standin.reset();
    const dispatch_result refused = fixture.run(makeRequest("POST", "/standin/x", "r"));
    CHECK(refused.outcome == request_outcome::NotRun);
    CHECK(refused.reason == "upstream-refused-connection");
    CHECK(fixture.upstreamClient.status(currentTime()).isRefusingConnections);
}

// Guards against a request that keeps running under an expired lease on an upstream that does not
// check grants, and against a request that is cancelled although its lease was renewed in time
// (rule H4 in docs/design.md).
TEST_CASE("the end of the lease cancels a request unless the upstream checks grants", "[upstream]")
{
    for (const bool checksGrants : {false, true}) {
        for (const bool isRenewed : {false, true}) {
            for (const bool bodyStalls : {false, true}) {
                CAPTURE(checksGrants, isRenewed, bodyStalls);
                upstream_fixture fixture;
                fixture.grant(3);
                auto announcement = fixture.standin->announcement();
                announcement.checksGrants = checksGrants;
                REQUIRE(fixture.upstreamClient.announce(announcement, currentTime()).ok());
                const bool isCancelled = !checksGrants && !isRenewed;
                dispatch_request request = makeRequest("PUT", "/standin/x", "r");
                request.message.set("X-Service-Ms", isCancelled && !bodyStalls ? "60000" : "50");
                stalling_body body(isCancelled && bodyStalls ? steady_time::max()
                                                             : currentTime() + 50ms);
                if (bodyStalls) {
                    request.body = &body;
                }
                int reads = 0;
                request.leaseEnd = [&] {
                    // The lease expires after the dispatch and a few renewals.
                    const bool hasExpired = !isRenewed && ++reads > 3;
                    return hasExpired ? steady_time() : currentTime() + 30ms;
                };
                const dispatch_result result = fixture.run(request);
                if (!isCancelled) {
                    CHECK(result.outcome == request_outcome::Run);
                    continue;
                }
                CHECK(result.outcome == request_outcome::Unknown);
                CHECK(result.reason == "lease-ended");
                CHECK(fixture.standin->waitFor(
                    [](const auto &runs) {
                        return runs.size() == 1 && runs[0].state != "running"
                            && runs[0].state != "done";
                    },
                    testTimeout));
            }
        }
    }
}

// Guards against dispatching requests to a draining upstream after its grace period (requirement P6
// in docs/design.md).
TEST_CASE(
    "a draining upstream receives only requests for its partitions until its grace period is over",
    "[upstream]")
{
    upstream_fixture fixture;
    upstream_announcement draining = fixture.standin->announcement();
    draining.draining = true;
    fixture.grant(3);
    const steady_time start = currentTime();
    REQUIRE(fixture.upstreamClient.announce(draining, start).ok());
    dispatch_request request = makeRequest("POST", "/standin/x", "r");
    recording_sink sink;
    CHECK(fixture.upstreamClient.dispatch(request, sink, start + 2499ms).outcome
          == request_outcome::Run);
    CHECK(fixture.upstreamClient.dispatch(request, sink, start + 2500ms).reason == "draining");
    request.partition.clear();
    CHECK(fixture.upstreamClient.dispatch(request, sink, start).reason == "draining");
}

TEST_CASE("a request to an unresponsive upstream has an unknown outcome at its deadline",
          "[upstream]")
{
    upstream_fixture fixture;
    fixture.grant(3);
    upstream_standin_faults faults;
    faults.frozen = true;
    fixture.standin->setFaults(faults);
    dispatch_request request = makeRequest("POST", "/standin/x", "r");
    request.deadline = currentTime() + 100ms;
    const dispatch_result result = fixture.run(request);
    CHECK(result.outcome == request_outcome::Unknown);
    CHECK(result.reason == "deadline-exceeded");
    fixture.upstreamClient.probe(currentTime());
    CHECK(fixture.upstreamClient.status(currentTime()).healthHint == false);
    fixture.standin->setFaults({});
}

// Guards against running a request to completion after its caller has disconnected.
TEST_CASE("a disconnected caller cancels the request", "[upstream]")
{
    upstream_fixture fixture;
    fixture.grant(3);
    std::atomic<bool> started = false;
    scripted_server callerSide([&](Poco::Net::StreamSocket &, int) {
        // Waits until the request runs; the return of the script then closes the caller's
        // connection.
        started =
            fixture.standin->waitFor([](const auto &runs) { return !runs.empty(); }, testTimeout);
    });
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(callerSide.address())};
    http_stream caller(socket);
    dispatch_request request = makeRequest("POST", "/standin/x", "r");
    request.message.set("X-Service-Ms", "60000");
    request.caller = &caller;
    const dispatch_result result = fixture.run(request);
    CHECK(started);
    CHECK(result.callerDisconnected);
    CHECK(result.outcome == request_outcome::Unknown);
    CHECK(fixture.standin->waitFor([](const auto &runs) { return runs[0].state == "cancelled"; },
                                   testTimeout));
}

// Guards against treating hints as facts: an incorrect health response must not stop requests.
TEST_CASE("health and load are only hints", "[upstream]")
{
    upstream_fixture fixture;
    fixture.grant(3);
    upstream_standin_faults faults;
    faults.healthy = false;
    faults.load = 9.5;
    fixture.standin->setFaults(faults);
    fixture.upstreamClient.probe(currentTime());
    const upstream_status status = fixture.upstreamClient.status(currentTime());
    CHECK(status.healthHint == false);
    CHECK(status.loadHint == 9.5);
    CHECK(status.state == upstream_state::Up);
    CHECK(fixture.run(makeRequest("POST", "/standin/x", "r")).outcome == request_outcome::Run);
}

TEST_CASE("the stand-in announces itself to the admin port", "[upstream]")
{
    upstream_client upstreamClient({});
    std::mutex mutex;
    std::condition_variable changed;
    auto admin = http_server::listen({}, [&](server_exchange &exchange) {
        std::string body;
        exchange.readAll(body, 4096, currentTime() + testTimeout);
        const auto announcement = parseAnnouncement(body);
        const std::lock_guard lock(mutex);
        const bool isAccepted =
            announcement.ok() && upstreamClient.announce(*announcement, currentTime()).ok();
        exchange.respond(isAccepted ? 200 : 400, "", "text/plain");
        changed.notify_all();
    });
    REQUIRE(admin.ok());
    upstream_standin_options options;
    options.adminAddress = (*admin)->address();
    options.announceInterval = testTimeout;
    const auto standin = upstream_standin::start(options);
    const auto waitForState = [&](upstream_state state) {
        std::unique_lock lock(mutex);
        return changed.wait_for(
            lock, testTimeout, [&] { return upstreamClient.status(currentTime()).state == state; });
    };
    CHECK(waitForState(upstream_state::Up));
    upstream_standin_faults faults;
    faults.draining = true;
    (*standin)->setFaults(faults);
    CHECK(waitForState(upstream_state::Draining));
}
