#include "persimmonrail/http/discarding_sink.h"
#include "persimmonrail/proxy/request_proxy.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/proxy/peer_fields.h"

#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// A request proxy and members of a service that share one peer port, which counts requests.
struct proxy_site
{
    std::atomic<int> upstreamRequests{0};
    std::atomic<bool> isClosed{false};
    // The requests to this upstream end with the reason `failure`.
    std::string failingUpstream = "none";
    proxy_reason failure = proxy_reason::None;
    // Whether the upstreams respond without end, for up to 15 s.
    bool isEndless = false;
    std::atomic<int> failedRequests{0};
    std::promise<void> served;
    decision_log log{{log_level::Off, "", 100, false}};
    metrics values;
    std::unique_ptr<http_server> peer;
    std::unique_ptr<http_server> callers;
    crash_quarantine quarantine;
    std::unique_ptr<upstream_dispatcher> dispatcher;
    std::unique_ptr<request_proxy> proxy;

    explicit proxy_site(int members = 1, bool isFull = false)
    {
        peer = std::move(*http_server::listen({}, [this, isFull](server_exchange &exchange) {
            ++upstreamRequests;
            if (exchange.request().get(upstreamHeader, "") == failingUpstream) {
                ++failedRequests;
                proxy_result failed;
                failed.outcome = request_outcome::Unknown;
                failed.reason = failure;
                respondToPeer(exchange, failed);
                return;
            }
            if (isFull) {
                respondToPeer(exchange, notRunResult(proxy_reason::Overload, 80ms));
                return;
            }
            Poco::Net::HTTPResponse head;
            head.set(outcomeHeader, "run");
            if (isEndless) {
                respondWithoutEnd(exchange, head);
                return;
            }
            exchange.respond(head, "whole");
        }));
        exchange_codec codec;
        codec.readCallerFields = [](const Poco::Net::HTTPRequest &) {
            caller_fields fields;
            fields.requestId = "r1";
            return fields;
        };
        upstream_dispatcher_hooks dispatcherHooks;
        dispatcherHooks.local = [] { return local_upstream_state(); };
        dispatcher = std::make_unique<upstream_dispatcher>(codec, dispatcherHooks, quarantine);
        request_proxy_hooks hooks;
        hooks.routes = [] {
            return std::make_shared<route_table>(
                1, std::vector<route>{{"r", "h", "/", true, 2000ms, 500ms, 0, 2, {{"ledger", 1}}}},
                std::vector<service_rule>{{"ledger", false, 9, ""}}, 10000ms);
        };
        hooks.directory = [this, members] {
            fleet_directory_builder builder([](const std::string &, std::string_view) {});
            for (int i = 1; i <= members; ++i) {
                const std::string name = "i-" + std::to_string(i);
                const upstream_member member{{name, 1}, "ledger", "z",  peer->address(),
                                             9,         false,    false};
                builder.applyObject({memberKey(name), 1, false, encodeMember(member)});
            }
            return builder.build();
        };
        hooks.isStopping = [] { return false; };
        hooks.isClosed = [this] { return isClosed.load(); };
        hooks.shutdownDeadline = [] { return steady_time::max(); };
        hooks.makeRandom = [] { return std::mt19937_64(1); };
        proxy = std::make_unique<request_proxy>(request_proxy_options(), hooks, codec, *dispatcher,
                                                log, values);
    }
    ~proxy_site() { callers.reset(); }

    static void respondWithoutEnd(server_exchange &exchange, Poco::Net::HTTPResponse &head)
    {
        const steady_time end = std::chrono::steady_clock::now() + 15s;
        bool isOpen = exchange.beginResponse(head, {body_framing::kind::Chunked, 0});
        while (isOpen && std::chrono::steady_clock::now() < end) {
            isOpen = exchange.writeResponse(std::string(maxBodyPieceBytes, 'x'));
        }
    }

    // Serves one request. With `isClosedFirst`, the caller closes its connection before the proxy
    // serves the request.
    void serve(const std::string &request, bool isClosedFirst)
    {
        callers = std::move(*http_server::listen({}, [&](server_exchange &exchange) {
            if (isClosedFirst) {
                exchange.connection().waitUntilClosed(std::chrono::steady_clock::now() + 20s);
            }
            proxy->serveCaller(exchange);
            served.set_value();
        }));
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(callers->address())};
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        if (isClosedFirst) {
            socket.close();
        }
        REQUIRE(served.get_future().wait_for(20s) == std::future_status::ready);
    }
};

} // namespace

// After a restart, daemons receive requests whose callers have already disconnected. Guards against
// running such requests, including those whose body is still unread.
TEST_CASE("a request whose caller has disconnected is sent to no upstream", "[relay]")
{
    const std::string request =
        GENERATE("GET / HTTP/1.1\r\nHost: h\r\n\r\n",
                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody");
    const bool isClosedFirst = GENERATE(false, true);
    proxy_site site;
    site.serve(request, isClosedFirst);
    CHECK(site.upstreamRequests == (isClosedFirst ? 0 : 1));
}

// Guards against a request that a stopping daemon reads late, on a connection that was accepted
// before its port closed, sends to an upstream and then abandons at its own end.
TEST_CASE("a daemon that is about to end rejects further requests of callers", "[relay]")
{
    proxy_site site;
    site.isClosed = true;
    site.serve("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody", false);
    CHECK(site.upstreamRequests == 0);
    CHECK(site.values.renderText().find("stopping") != std::string::npos);
}

// Guards against CONFIG: a response without end at a caller that reads nothing of it, which held
// its request beyond the route's timeout of 2 s.
TEST_CASE("a response without end is given up at the route's timeout", "[relay]")
{
    proxy_site site;
    site.isEndless = true;
    const steady_time startedAt = std::chrono::steady_clock::now();
    site.serve("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false);
    CHECK(std::chrono::steady_clock::now() - startedAt < 10s);
}

// All 22 upstreams of a service are full. Guards against hosts that spend their CPU time on
// rejecting each request 22 times.
TEST_CASE("a request is sent to few overloaded upstreams", "[relay]")
{
    proxy_site site(22, true);
    site.serve("GET / HTTP/1.1\r\nHost: h\r\n\r\n", false);
    CHECK(site.upstreamRequests == request_proxy_options().maxOverloadRejections);
}

// Guards against pipelined requests that are sent to an upstream although an earlier response
// closes their connection. The caller sends them again.
TEST_CASE("a pipelined request behind a closing response is sent to no upstream", "[relay]")
{
    proxy_site site;
    std::promise<void> hasSecondStarted;
    http_server_options options;
    options.maxPipelinedRequests = 16;
    options.isIdempotent = [](const Poco::Net::HTTPRequest &) { return true; };
    site.callers = std::move(*http_server::listen(options, [&](server_exchange &exchange) {
        if (exchange.request().getURI() == "/1") {
            hasSecondStarted.get_future().wait_for(20s);
            exchange.closeAfterResponse();
            exchange.respond(200, "", "text/plain");
            return;
        }
        hasSecondStarted.set_value();
        CHECK(exchange.connection().waitUntilClosed(std::chrono::steady_clock::now() + 20s));
        site.proxy->serveCaller(exchange);
        site.served.set_value();
    }));
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(site.callers->address())};
    const std::string requests =
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n";
    socket.sendBytes(requests.data(), static_cast<int>(requests.size()));
    REQUIRE(site.served.get_future().wait_for(20s) == std::future_status::ready);
    CHECK(site.upstreamRequests == 0);
}

// Guards against an upstream that sends no valid responses and keeps getting requests, and against
// a long penalty for an upstream that only truncates a response.
TEST_CASE("an upstream that sends invalid responses is avoided", "[relay]")
{
    const auto [failure, mostFailed, leastFailed] = GENERATE(table<proxy_reason, int, int>({
        {proxy_reason::InvalidResponse, 4, 1},
        {proxy_reason::BrokenResponse, 40, 8},
    }));
    CAPTURE(failure);
    proxy_site site(2);
    site.failingUpstream = "i-1";
    site.failure = failure;
    site.callers = std::move(*http_server::listen(
        {}, [&](server_exchange &exchange) { site.proxy->serveCaller(exchange); }));
    http_client client(std::make_shared<connection_pool>());
    for (int i = 0; i < 40; ++i) {
        client_request request;
        request.address = site.callers->address();
        request.message.setURI("/");
        request.message.setHost("h");
        request.deadline = std::chrono::steady_clock::now() + 20s;
        discarding_sink sink;
        const exchange_result result = client.exchange(request, sink);
        REQUIRE(result.state == exchange_state::Complete);
    }
    CHECK(site.failedRequests <= mostFailed);
    CHECK(site.failedRequests >= leastFailed);
}
