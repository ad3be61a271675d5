// Requests to upstreams of evacuated zones, between two daemons.
#include "dispatcher_site.h"

#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/proxy/peer_fields.h"
#include "persimmonrail/proxy/request_proxy.h"

#include "standins/scripted_server.h"

#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Peers that reject their first `rejections` requests as evacuated, and a proxy that forwards to
// them. Member i is in the zone "z<i>".
struct evacuated_site
{
    std::atomic<int> peerRequests{0};
    decision_log log{{log_level::Off, "", 100, false}};
    metrics values;
    fleet_directory_builder builder{[](const std::string &, std::string_view) {}};
    crash_quarantine quarantine;
    std::unique_ptr<http_server> peer;
    std::unique_ptr<http_server> callers;
    std::unique_ptr<upstream_dispatcher> dispatcher;
    std::unique_ptr<request_proxy> proxy;

    explicit evacuated_site(int rejections, bool isKeyed)
    {
        peer = std::move(*http_server::listen({}, [this, rejections](server_exchange &exchange) {
            if (++peerRequests <= rejections) {
                respondToPeer(exchange, notRunResult(proxy_reason::Evacuated));
                return;
            }
            Poco::Net::HTTPResponse head;
            head.set(outcomeHeader, "run");
            exchange.respond(head, "whole");
        }));
        key_placement placement = emptyPlacement("ledger");
        placement = moveRange(placement, {}, {"i-1", 1}, "");
        builder.applyObject({placementKey("ledger"), 1, false, encodePlacement(placement)});
        for (const char *name : {"i-1", "i-2"}) {
            const upstream_member member{
                {name, 1}, "ledger", std::string("z") + name[2], peer->address(), 9, false, false};
            builder.applyObject({memberKey(name), 1, false, encodeMember(member)});
        }
        exchange_codec codec;
        codec.readCallerFields = [isKeyed](const Poco::Net::HTTPRequest &) {
            caller_fields fields;
            fields.requestId = "r1";
            fields.key = isKeyed ? std::optional<shard_key>(7) : std::nullopt;
            return fields;
        };
        upstream_dispatcher_hooks dispatcherHooks;
        dispatcherHooks.local = [] { return local_upstream_state(); };
        dispatcher = std::make_unique<upstream_dispatcher>(codec, dispatcherHooks, quarantine);
        request_proxy_hooks hooks;
        hooks.routes = [isKeyed] {
            return std::make_shared<route_table>(
                1, std::vector<route>{{"r", "h", "/", false, 2000ms, 500ms, 0, 2, {{"ledger", 1}}}},
                std::vector<service_rule>{{"ledger", isKeyed, 9, ""}}, 10000ms);
        };
        hooks.directory = [this] { return builder.build(); };
        hooks.isStopping = hooks.isClosed = [] { return false; };
        hooks.shutdownDeadline = [] { return steady_time::max(); };
        hooks.makeRandom = [] { return [] { return uint64_t{1}; }; };
        proxy = std::make_unique<request_proxy>(request_proxy_options(), hooks, codec, *dispatcher,
                                                log, values);
        callers = std::move(*http_server::listen(
            {}, [this](server_exchange &exchange) { proxy->serveCaller(exchange); }));
    }
    ~evacuated_site() { callers.reset(); }
    // Returns the response to a request of a caller.
    std::string send() const { return exchangeText(callers->address()); }
    static std::string exchangeText(const std::string &address)
    {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
        const std::string request = "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        std::string text;
        char buffer[4096];
        for (int size = 0; (size = socket.receiveBytes(buffer, sizeof buffer)) > 0;) {
            text.append(buffer, static_cast<size_t>(size));
        }
        return text;
    }
};

} // namespace

// Guards against requests that fail because the caller's daemon does not try another upstream; a
// request that is not repeatable may be sent elsewhere too, since it has not run.
TEST_CASE("a request that an evacuated upstream rejects is tried elsewhere", "[relay]")
{
    const bool isKeyed = GENERATE(false, true);
    CAPTURE(isKeyed);
    evacuated_site site(1, isKeyed);
    CHECK(site.send().starts_with("HTTP/1.1 200"));
    CHECK(site.peerRequests == 2);
}

// Guards against daemons of earlier releases that don't know the word, and return an error to the
// caller without another attempt.
TEST_CASE("daemons of earlier releases read the rejection as that of a draining upstream",
          "[relay]")
{
    const evacuated_site site(1, false);
    const std::string text = evacuated_site::exchangeText(site.peer->address());
    CHECK(text.find(std::string(reasonHeader) + ": draining\r\n") != std::string::npos);
    CHECK(text.find(std::string(exactReasonHeader) + ": evacuated\r\n") != std::string::npos);
    CHECK(text.find(std::string(outcomeHeader) + ": not-run\r\n") != std::string::npos);
}

// Guards against callers that wait, or are told to retry soon, while no upstream outside evacuated
// zones exists.
TEST_CASE("a request is rejected at once while all upstreams are evacuated", "[relay]")
{
    const bool isKeyed = GENERATE(false, true);
    CAPTURE(isKeyed);
    evacuated_site site(1000, isKeyed);
    site.builder.setEvacuatedZones({"z1", "z2"});
    const steady_time sentAt = std::chrono::steady_clock::now();
    const std::string text = site.send();
    CHECK(std::chrono::steady_clock::now() - sentAt < 300ms);
    CHECK(text.starts_with("HTTP/1.1 503"));
    CHECK(text.find("Retry-After: 1.000\r\n") != std::string::npos);
    CHECK(text.find(std::string(reasonHeader) + ": evacuated\r\n") != std::string::npos);
    // Only the owner of a key knows whether it still serves the key.
    CHECK(site.peerRequests == (isKeyed ? 1 : 0));
}

// Guards against a request that waited in the queue while the zone was evacuated, and is sent
// afterwards.
TEST_CASE("a waiting request is not sent to an upstream that is evacuated meanwhile", "[relay]")
{
    std::atomic<int> received{0};
    std::promise<void> mayRespond;
    scripted_server upstream([&](Poco::Net::StreamSocket &socket, int) {
        while (!readHeadText(socket).empty()) {
            ++received;
            mayRespond.get_future().wait();
            sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
        }
    });
    dispatcher_site site(upstream.address());
    auto running = site.send();
    const steady_time end = std::chrono::steady_clock::now() + 10s;
    while (received == 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(5ms);
    }
    auto waiting = site.send();
    while (site.dispatcher().queue().waiting == 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(5ms);
    }
    site.setRejectReason(proxy_reason::Evacuated);
    mayRespond.set_value();
    CHECK(running.get() == 200);
    CHECK(waiting.get() == 503);
    CHECK(received == 1);
}
