#include "dispatcher_site.h"

#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

#include <future>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// An upstream that responds after 20 s.
class slow_upstream
{
public:
    slow_upstream()
        : m_server(std::move(*http_server::listen({}, [this](server_exchange &exchange) {
            ++m_running;
            exchange.connection().waitUntilClosed(std::chrono::steady_clock::now() + 20s);
            --m_running;
        })))
    { }
    ~slow_upstream() { m_server.reset(); }
    const std::string &address() const { return m_server->address(); }
    int running() const { return m_running; }

private:
    std::atomic<int> m_running{0};
    std::unique_ptr<http_server> m_server;
};

bool waitFor(const std::function<bool()> &condition)
{
    const steady_time end = std::chrono::steady_clock::now() + 10s;
    while (!condition() && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(5ms);
    }
    return condition();
}

} // namespace

// Guards against LOST: requests that arrived before the stop, in the queue or at the upstream, that
// end with the process and never get a response.
TEST_CASE("requests from before a stop get a response before the process ends", "[relay]")
{
    slow_upstream upstream;
    dispatcher_site site(upstream.address());
    auto running = site.send();
    REQUIRE(waitFor([&] { return upstream.running() == 1; }));
    auto waiting = site.send();
    REQUIRE(waitFor([&] { return site.dispatcher().queue().waiting == 1; }));
    site.dispatcher().stopAt(std::chrono::steady_clock::now() + 300ms);
    REQUIRE(waiting.wait_for(5s) == std::future_status::ready);
    REQUIRE(running.wait_for(5s) == std::future_status::ready);
    // The waiting request has not run, the other one may have run.
    CHECK(waiting.get() == 503);
    CHECK(running.get() == 502);
    CHECK(site.reasons() == std::vector<proxy_reason>(2, proxy_reason::Stopping));
}

// Guards against DRAIN: a request whose response is lost with its connection is sent once more,
// after the drain timeout of an upstream that leaves meanwhile.
TEST_CASE("a request is sent again only if the upstream still takes it", "[relay]")
{
    const auto [reason, sendings] = GENERATE(table<proxy_reason, int>({
        {proxy_reason::None, 3},
        {proxy_reason::Draining, 2},
        {proxy_reason::UpstreamUnreachable, 2},
        {proxy_reason::Stopping, 2},
    }));
    CAPTURE(reason);
    std::atomic<int> received{0};
    std::promise<void> isSecondReceived;
    std::promise<void> mayClose;
    scripted_server upstream([&](Poco::Net::StreamSocket &socket, int connection) {
        while (!readHeadText(socket).empty()) {
            ++received;
            if (connection == 0 && received == 2) {
                isSecondReceived.set_value();
                mayClose.get_future().wait();
                return;
            }
            sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    dispatcher_site site(upstream.address());
    REQUIRE(site.send().get() == 200);
    auto second = site.send();
    isSecondReceived.get_future().wait();
    site.setRejectReason(reason);
    mayClose.set_value();
    CHECK(second.get() == (reason == proxy_reason::None ? 200 : 502));
    CHECK(received == sendings);
}

// Guards against REFUSED: an order that was rejected and sent again, on the connection of the first
// attempt, was run and answered with a late copy of the rejection, which promises that it was not.
TEST_CASE("a late copy of a rejection is no answer to a later attempt", "[relay]")
{
    const std::string rejection = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
    std::atomic<int> runs{0};
    scripted_server upstream([&](Poco::Net::StreamSocket &socket, int connection) {
        for (int i = 0; !readHeadText(socket).empty(); ++i) {
            const bool isFirst = connection == 0 && i == 0;
            if (connection == 0) {
                sendText(socket, rejection);
            }
            if (!isFirst) {
                ++runs;
                sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
        }
    });
    dispatcher_site site(upstream.address());
    CHECK(site.send("order").get() != 200);
    CHECK(site.send("order").get() == 200);
    CHECK(runs == 1);
}

// Guards against a limit that counts other requests than a cold upstream does: those that it
// answers with 421 and those that are not sent don't count, and those that are sent again do.
TEST_CASE("requests count at a cold upstream if it counts them", "[relay][cold]")
{
    const auto [response, closesFirst, counted] = GENERATE(table<std::string, bool, int>({
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", false, 2},
        {"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n", false, 0},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true, 3},
    }));
    CAPTURE(response, closesFirst);
    std::atomic<int> received{0};
    const bool closesSecondRequest = closesFirst;
    const std::string text = response;
    scripted_server upstream([&](Poco::Net::StreamSocket &socket, int) {
        while (!readHeadText(socket).empty()) {
            if (++received == 2 && closesSecondRequest) {
                return;
            }
            sendText(socket, text);
        }
    });
    dispatcher_site site(upstream.address());
    const steady_time now = std::chrono::steady_clock::now();
    site.dispatcher().changeColdLimit(
        [now](cold_rate_limit &limit) {
            limit.setOptions({200, 1, 8}, now - 10s);
        },
        now);
    for (int i = 0; i < 2; ++i) {
        site.send().get();
    }
    CHECK(site.dispatcher().coldLimit().recentStarts(now) == counted);
}

// Guards against an invalid response that is passed on, or that counts as a truncated one, for
// which callers' daemons do not avoid the upstream.
TEST_CASE("an invalid response of the upstream is a failure without a promise", "[relay]")
{
    const auto [response, reason] = GENERATE(table<std::string, proxy_reason>({
        {"HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\nok", proxy_reason::InvalidResponse},
        {"HTTP/1.1 999 X\r\nContent-Length: 2\r\n\r\nok", proxy_reason::InvalidResponse},
        {"HTTP/1.1 101 X\r\n\r\n", proxy_reason::InvalidResponse},
        {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", proxy_reason::BrokenResponse},
    }));
    CAPTURE(response);
    scripted_server upstream([&, sent = response](Poco::Net::StreamSocket &socket, int) {
        readHeadText(socket);
        sendText(socket, sent);
    });
    dispatcher_site site(upstream.address());
    CHECK(site.send().get() == 502);
    CHECK(site.reasons() == std::vector<proxy_reason>{reason});
}
