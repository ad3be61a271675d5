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

constexpr milliseconds generous{60'000};

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
        piece = m_text.substr(m_position, bodyPieceBytes);
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

// A body of one byte that comes at a given time.
class stalling_body : public body_source
{
public:
    explicit stalling_body(steady_time comesAt)
        : m_comesAt(comesAt)
    { }
    body_framing framing() const override { return {body_framing::kind::Length, 1}; }
    io_status read(std::string &piece, steady_time until) override
    {
        std::this_thread::sleep_until(std::min(until, m_comesAt));
        if (currentTime() < m_comesAt) {
            return io_status::TimedOut;
        }
        piece = m_isRead ? "" : "b";
        m_isRead = true;
        return io_status::Ok;
    }
    bool rewind() override { return false; }

private:
    const steady_time m_comesAt;
    bool m_isRead = false;
};

dispatch_request requestFor(const std::string &method, const std::string &uri,
                            const std::string &id)
{
    dispatch_request request;
    request.message.setMethod(method);
    request.message.setURI(uri);
    request.requestId = id;
    request.partition = "standin/a";
    request.term = 3;
    request.keyHash = 5;
    request.deadline = currentTime() + generous;
    return request;
}

upstream_announcement announcementOf(const std::string &address, const std::string &bootId = "b1")
{
    return {"standin", "standin-1", address, 10, bootId, false, true};
}

struct guarded_standin
{
    guarded_standin()
    {
        auto started = upstream_standin::start({});
        REQUIRE(started.ok());
        standin = *std::move(started);
        REQUIRE(upstreamClient.announce(standin->announcement(), currentTime()).ok());
    }
    void grant(uint64_t term)
    {
        REQUIRE(upstreamClient.pushGrants({{"standin/a", term, {0, 10}}}, generous, currentTime())
                    .ok());
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

// Guards against an upstream that counts as up after it stopped announcing itself, and against a
// restart that goes unnoticed.
TEST_CASE("the state follows announcements", "[upstream]")
{
    std::vector<std::string> seen;
    upstream_callbacks callbacks;
    callbacks.stateChanged = [&](upstream_state state, const upstream_announcement &) {
        seen.emplace_back(toString(state));
    };
    callbacks.restarted = [&](const upstream_announcement &announcement) {
        seen.push_back("restarted " + announcement.bootId);
    };
    upstream_client upstreamClient({}, callbacks);
    const steady_time start;
    upstream_announcement announcement = announcementOf("127.0.0.1:1");
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
    CHECK(upstreamClient.status(start + 8s).drainingFor == 2s);
    CHECK(seen == std::vector<std::string>{"up", "down", "up", "restarted b2", "draining"});

    announcement.instance = "standin-2";
    CHECK(absl::IsFailedPrecondition(upstreamClient.announce(announcement, start + 8s)));
    CHECK(upstreamClient.announce(announcement, start + 11s).ok());
}

// Guards P3 and P4 at the hand-over: what the caller is told follows from what the upstream did.
TEST_CASE("requests run under the granted term only", "[upstream]")
{
    guarded_standin fixture;
    dispatch_request request = requestFor("POST", "/standin/x", "r1");
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

TEST_CASE("bodies of every size are whole and unchanged", "[upstream]")
{
    guarded_standin fixture;
    fixture.grant(3);
    for (const size_t size : {size_t{0}, size_t{1}, size_t{4096}, bodyPieceBytes,
                              bodyPieceBytes + 1, size_t{5 * 1024 * 1024}}) {
        for (const bool chunked : {false, true}) {
            CAPTURE(size, chunked);
            std::string bytes(size, '\0');
            for (size_t i = 0; i < size; ++i) {
                bytes[i] = static_cast<char>(i * 131 + i / 256);
            }
            text_body body(bytes);
            dispatch_request put = requestFor("PUT", "/standin/photo", "put");
            put.body = &body;
            REQUIRE(fixture.run(put).outcome == request_outcome::Run);
            CHECK(fixture.sink.head.get("X-Checksum") == standinChecksum(bytes));
            dispatch_request get = requestFor("GET", "/standin/photo", "get");
            if (chunked) {
                get.message.set("X-Chunked", "1");
            }
            REQUIRE(fixture.run(get).outcome == request_outcome::Run);
            CHECK((fixture.sink.body == bytes));

            if (size > 1) {
                get.message.set("X-Truncate", std::to_string(size - 1));
                const dispatch_result cut = fixture.run(get);
                CHECK(cut.outcome == request_outcome::Unknown);
                CHECK(cut.reason == "truncated-answer");
            }
        }
    }
}

// Guards against a refusal that is reported as if the request could have run, or the reverse.
TEST_CASE("refusals of the upstream are not-run", "[upstream]")
{
    guarded_standin fixture;
    fixture.grant(3);
    upstream_standin_faults faults;
    faults.shedding = true;
    fixture.standin->setFaults(faults);
    const dispatch_result shed = fixture.run(requestFor("POST", "/standin/x", "r"));
    CHECK(shed.outcome == request_outcome::NotRun);
    CHECK(shed.reason == "shed");
    CHECK(shed.retryAfter == 1s);
    fixture.standin->setFaults({});

    dispatch_request late = requestFor("POST", "/standin/x", "r");
    late.leaseEnd = currentTime;
    CHECK(fixture.run(late).reason == "lease-ending");
    CHECK(fixture.standin->history().empty());

    fixture.standin.reset();
    const dispatch_result refused = fixture.run(requestFor("POST", "/standin/x", "r"));
    CHECK(refused.outcome == request_outcome::NotRun);
    CHECK(refused.reason == "upstream-refused-connection");
    CHECK(fixture.upstreamClient.status(currentTime()).refusingConnections);
}

// Guards H4: an upstream that does not check grants must not go on under an expired lease, and a
// lease that is renewed in time must not end a request.
TEST_CASE("the end of the lease cancels a request unless the upstream checks grants", "[upstream]")
{
    for (const bool checksGrants : {false, true}) {
        for (const bool isRenewed : {false, true}) {
            for (const bool bodyStalls : {false, true}) {
                CAPTURE(checksGrants, isRenewed, bodyStalls);
                guarded_standin fixture;
                fixture.grant(3);
                auto announcement = fixture.standin->announcement();
                announcement.checksGrants = checksGrants;
                REQUIRE(fixture.upstreamClient.announce(announcement, currentTime()).ok());
                const bool ends = !checksGrants && !isRenewed;
                dispatch_request request = requestFor("PUT", "/standin/x", "r");
                request.message.set("X-Service-Ms", ends && !bodyStalls ? "60000" : "50");
                stalling_body body(ends && bodyStalls ? steady_time::max() : currentTime() + 50ms);
                if (bodyStalls) {
                    request.body = &body;
                }
                int reads = 0;
                request.leaseEnd = [&] {
                    // The end comes after the hand-over and a few renewals.
                    const bool isOver = !isRenewed && ++reads > 3;
                    return isOver ? steady_time() : currentTime() + 30ms;
                };
                const dispatch_result result = fixture.run(request);
                if (!ends) {
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
                    generous));
            }
        }
    }
}

// Guards P6: a draining upstream gets nothing beyond the grace period.
TEST_CASE("a draining upstream gets only requests of its partitions, and not for long",
          "[upstream]")
{
    guarded_standin fixture;
    upstream_announcement draining = fixture.standin->announcement();
    draining.draining = true;
    fixture.grant(3);
    const steady_time start = currentTime();
    REQUIRE(fixture.upstreamClient.announce(draining, start).ok());
    dispatch_request request = requestFor("POST", "/standin/x", "r");
    recording_sink sink;
    CHECK(fixture.upstreamClient.dispatch(request, sink, start + 2499ms).outcome
          == request_outcome::Run);
    CHECK(fixture.upstreamClient.dispatch(request, sink, start + 2500ms).reason == "draining");
    request.partition.clear();
    CHECK(fixture.upstreamClient.dispatch(request, sink, start).reason == "draining");
}

TEST_CASE("a frozen upstream makes a request unknown at its deadline", "[upstream]")
{
    guarded_standin fixture;
    fixture.grant(3);
    upstream_standin_faults faults;
    faults.frozen = true;
    fixture.standin->setFaults(faults);
    dispatch_request request = requestFor("POST", "/standin/x", "r");
    request.deadline = currentTime() + 100ms;
    const dispatch_result result = fixture.run(request);
    CHECK(result.outcome == request_outcome::Unknown);
    CHECK(result.reason == "deadline-exceeded");
    fixture.upstreamClient.probe(currentTime());
    CHECK(fixture.upstreamClient.status(currentTime()).healthHint == false);
    fixture.standin->setFaults({});
}

// Guards against work that goes on for a caller that is gone.
TEST_CASE("a disconnected caller cancels the request", "[upstream]")
{
    guarded_standin fixture;
    fixture.grant(3);
    std::atomic<bool> started = false;
    scripted_server callerSide([&](Poco::Net::StreamSocket &, int) {
        // The script's return closes the caller's connection once the request runs.
        started =
            fixture.standin->waitFor([](const auto &runs) { return !runs.empty(); }, generous);
    });
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(callerSide.address())};
    http_stream caller(socket);
    dispatch_request request = requestFor("POST", "/standin/x", "r");
    request.message.set("X-Service-Ms", "60000");
    request.caller = &caller;
    const dispatch_result result = fixture.run(request);
    CHECK(started);
    CHECK(result.callerDisconnected);
    CHECK(result.outcome == request_outcome::Unknown);
    CHECK(fixture.standin->waitFor([](const auto &runs) { return runs[0].state == "cancelled"; },
                                   generous));
}

// Guards against hints that are taken for facts: a wrong health answer must not stop requests.
TEST_CASE("health and load are hints", "[upstream]")
{
    guarded_standin fixture;
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
    CHECK(fixture.run(requestFor("POST", "/standin/x", "r")).outcome == request_outcome::Run);
}

TEST_CASE("the stand-in announces itself to the admin port", "[upstream]")
{
    upstream_client upstreamClient({});
    std::mutex mutex;
    std::condition_variable changed;
    auto admin = http_server::listen({}, [&](server_exchange &exchange) {
        std::string body;
        exchange.readAll(body, 4096, currentTime() + generous);
        const auto announcement = parseAnnouncement(body);
        const std::lock_guard lock(mutex);
        const bool taken =
            announcement.ok() && upstreamClient.announce(*announcement, currentTime()).ok();
        exchange.respond(taken ? 200 : 400, "", "text/plain");
        changed.notify_all();
    });
    REQUIRE(admin.ok());
    upstream_standin_options options;
    options.adminAddress = (*admin)->address();
    options.announceInterval = generous;
    const auto standin = upstream_standin::start(options);
    const auto waitForState = [&](upstream_state state) {
        std::unique_lock lock(mutex);
        return changed.wait_for(
            lock, generous, [&] { return upstreamClient.status(currentTime()).state == state; });
    };
    CHECK(waitForState(upstream_state::Up));
    upstream_standin_faults faults;
    faults.draining = true;
    (*standin)->setFaults(faults);
    CHECK(waitForState(upstream_state::Draining));
}
