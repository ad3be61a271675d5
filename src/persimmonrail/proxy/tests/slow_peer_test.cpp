#include "persimmonrail/proxy/request_proxy.h"

#include "persimmonrail/base/header_names.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <future>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr char slowPath[] = "/slow";
constexpr char fastPath[] = "/fast";
constexpr shard_key testKey = 5;

struct site_options
{
    bool isRepeatable = true;
    bool isKeyed = false;
    bool isStopping = false;
    // Processing time of requests for slowPath; other requests take no time.
    milliseconds processingTime{1800};
    milliseconds probeDelay{0};
    int probeStatus = 200;
    int maxPeerConnections = 100;
    milliseconds routeTimeout{4000};
    // Bytes that the peer sends in place of a response; empty for a valid response.
    std::string invalidResponse = {};
};

// A request proxy and the peer of the service's two upstreams, which share its port. The peer
// accepts connections at once and responds to requests and probes after the set times.
class slow_peer_site
{
public:
    explicit slow_peer_site(const site_options &options)
        : m_options(options)
        , m_peer(listen([this](server_exchange &exchange) { servePeer(exchange); },
                        options.maxPeerConnections))
        , m_peerAddress(m_peer->address())
        , m_dispatcher(makeCodec(), makeDispatcherHooks(), m_quarantine)
        , m_proxy({}, makeProxyHooks(), makeCodec(), m_dispatcher, m_log, m_metrics)
        , m_callers(listen([this](server_exchange &exchange) { m_proxy.serveCaller(exchange); }))
    { }

    simple_response send(const std::string &path)
    {
        http_client client(std::make_shared<connection_pool>());
        const auto response = simpleRequest(client, m_callers->address(), "GET", path, "",
                                            std::chrono::steady_clock::now() + 20s);
        return response.ok() ? *response : simple_response{0, response.status().ToString()};
    }
    // Begins the graceful shutdown of the daemon that the requests are sent to.
    void stopWithin(milliseconds time)
    {
        m_shutdownDeadline = std::chrono::steady_clock::now() + time;
        m_isStopping = true;
    }
    // Makes the peer refuse connections.
    void closePeer() { m_peer.reset(); }
    int executions() const { return m_executions; }
    int probes() const { return m_probes; }
    uint64_t peerRejections() const { return m_peer->rejectedConnections(); }

private:
    static std::unique_ptr<http_server> listen(http_server::handler handler,
                                               int maxConnections = 100)
    {
        http_server_options options;
        options.maxConnections = maxConnections;
        return std::move(*http_server::listen(options, std::move(handler)));
    }

    void servePeer(server_exchange &exchange)
    {
        const std::string &uri = exchange.request().getURI();
        if (uri.starts_with(proxyInFlightPath)) {
            ++m_probes;
            exchange.connection().waitUntilClosed(std::chrono::steady_clock::now()
                                                  + m_options.probeDelay);
            exchange.respond(m_options.probeStatus, "", "text/plain");
            return;
        }
        ++m_executions;
        if (!m_options.invalidResponse.empty()) {
            size_t written = 0;
            exchange.connection().write(m_options.invalidResponse, written,
                                        std::chrono::steady_clock::now() + 5s);
            exchange.closeAfterResponse();
            return;
        }
        if (uri == slowPath) {
            exchange.connection().waitUntilClosed(std::chrono::steady_clock::now()
                                                  + m_options.processingTime);
        }
        Poco::Net::HTTPResponse head;
        head.set(outcomeHeader, std::string(toString(request_outcome::Run)));
        exchange.respond(head, "whole");
    }

    exchange_codec makeCodec() const
    {
        exchange_codec codec;
        codec.readCallerFields = [this](const Poco::Net::HTTPRequest &request) {
            caller_fields fields;
            fields.requestId = request.getURI().substr(1);
            if (m_options.isKeyed) {
                fields.key = testKey;
            }
            return fields;
        };
        return codec;
    }

    static upstream_dispatcher_hooks makeDispatcherHooks()
    {
        upstream_dispatcher_hooks hooks;
        hooks.local = [] { return local_upstream_state(); };
        return hooks;
    }

    request_proxy_hooks makeProxyHooks()
    {
        request_proxy_hooks hooks;
        hooks.routes = [this] {
            const route only{
                "r",   "127.0.0.1", "/", m_options.isRepeatable, m_options.routeTimeout,
                500ms, 0,           2,   {{"ledger", 1}}};
            return std::make_shared<route_table>(
                1, std::vector<route>{only},
                std::vector<service_rule>{{"ledger", m_options.isKeyed, 9, ""}}, 10000ms);
        };
        hooks.directory = [this] {
            fleet_directory_builder builder([](const std::string &, std::string_view) {});
            for (const char *name : {"i-1", "i-2"}) {
                const upstream_member member{{name, 1}, "ledger", "z",  m_peerAddress,
                                             9,         false,    false};
                builder.applyObject({memberKey(name), 1, false, encodeMember(member)});
            }
            key_placement placement = emptyPlacement("ledger");
            placement.highestFence = 1;
            placement.ranges.front().owner = {"i-1", 1};
            placement.ranges.front().fence = 1;
            builder.applyObject({placementKey("ledger"), 1, false, encodePlacement(placement)});
            return builder.build();
        };
        hooks.isStopping = [this] { return m_options.isStopping || m_isStopping; };
        hooks.isClosed = [] { return false; };
        hooks.shutdownDeadline = [this] { return m_shutdownDeadline.load(); };
        hooks.makeRandom = [] { return [] { return uint64_t{1}; }; };
        return hooks;
    }

    const site_options m_options;
    std::atomic<int> m_executions{0};
    std::atomic<int> m_probes{0};
    std::atomic<bool> m_isStopping{false};
    std::atomic<steady_time> m_shutdownDeadline{steady_time::max()};
    decision_log m_log{{log_level::Off, "", 100, false}};
    metrics m_metrics;
    std::unique_ptr<http_server> m_peer;
    const std::string m_peerAddress;
    crash_quarantine m_quarantine;
    upstream_dispatcher m_dispatcher;
    request_proxy m_proxy;
    std::unique_ptr<http_server> m_callers;
};

} // namespace

// Guards against requests that are broken off, and run a second time elsewhere, because the daemon
// that works on them is overloaded and responds late to probes, also while the sender stops.
TEST_CASE("a response is awaited from a peer that responds late to probes", "[relay]")
{
    site_options options;
    options.probeDelay = 1500ms;
    std::tie(options.isRepeatable, options.isKeyed, options.isStopping) =
        GENERATE(table<bool, bool, bool>({
            {true, false, false},
            {true, true, false},
            {true, false, true},
            {true, true, true},
            {false, false, false},
            {false, true, true},
        }));
    CAPTURE(options.isRepeatable, options.isKeyed, options.isStopping);
    slow_peer_site site(options);
    const simple_response response = site.send(slowPath);
    CHECK(response.status == 200);
    CHECK(response.body == "whole");
    CHECK(site.executions() == 1);
    CHECK(site.probes() >= 1);
}

// Guards against an owner that gets no requests because it once responded late: callers repeat the
// rejected requests, which loads the daemons further.
TEST_CASE("new requests are sent to a peer that responds late to probes", "[relay]")
{
    site_options options;
    options.probeDelay = 1500ms;
    options.isKeyed = GENERATE(false, true);
    CAPTURE(options.isKeyed);
    slow_peer_site site(options);
    auto slow = std::async(std::launch::async, [&] { return site.send(slowPath); });
    std::this_thread::sleep_for(1300ms);
    CHECK(site.send(fastPath).status == 200);
    CHECK(slow.get().status == 200);
    CHECK(site.send(fastPath).status == 200);
    CHECK(site.executions() == 3);
}

// Guards against requests that wait at a suspended daemon until their deadline, and against a
// planned stop that cuts requests because of a unresponsive peer.
TEST_CASE("a repeatable request is given up after a long time without any response of its peer",
          "[relay]")
{
    const auto [isRepeatable, isStopping, status] = GENERATE(table<bool, bool, int>({
        {true, false, 502},
        {true, true, 504},
        {false, false, 504},
    }));
    CAPTURE(isRepeatable, isStopping);
    site_options options;
    options.isRepeatable = isRepeatable;
    options.isStopping = isStopping;
    options.isKeyed = true;
    options.processingTime = options.probeDelay = 20s;
    options.routeTimeout = 7s;
    slow_peer_site site(options);
    const steady_time start = std::chrono::steady_clock::now();
    CHECK(site.send(slowPath).status == status);
    CHECK(std::chrono::steady_clock::now() - start >= 3s);
    CHECK(site.executions() == 1);
    if (status == 502) {
        // Further requests don't wait for the unresponsive peer.
        CHECK(site.send(fastPath).status == 503);
        CHECK(site.executions() == 1);
    }
}

// Guards against a wait until the deadline for a request that the peer has never received.
TEST_CASE("a request that its peer does not have is sent to another upstream", "[relay]")
{
    site_options options;
    options.probeStatus = 404;
    options.processingTime = 20s;
    slow_peer_site site(options);
    CHECK(site.send(slowPath).status == 502);
    CHECK(site.executions() == 2);
}

// Guards against callers that wait although the host of the owner can't be reached.
TEST_CASE("a keyed request is rejected at once while its owner can't be reached", "[relay]")
{
    site_options options;
    options.isKeyed = true;
    slow_peer_site site(options);
    site.closePeer();
    const steady_time start = std::chrono::steady_clock::now();
    CHECK(site.send(fastPath).status == 503);
    CHECK(site.send(fastPath).status == 503);
    CHECK(std::chrono::steady_clock::now() - start < 3s);
}

// Guards against a rejection that is taken for a broken response, which is not sent to another
// upstream.
TEST_CASE("a request is sent elsewhere if its peer takes no more connections", "[relay]")
{
    site_options options;
    options.maxPeerConnections = 0;
    slow_peer_site site(options);
    CHECK(site.send(fastPath).status == 503);
    CHECK(site.peerRejections() == 2);
}

// Guards against a daemon whose process ends with requests in flight: their callers got neither a
// response nor a rejection.
TEST_CASE("a stopping daemon responds to every request before its shutdown deadline", "[relay]")
{
    site_options options;
    options.processingTime = 15000ms;
    options.routeTimeout = 20000ms;
    options.isRepeatable = GENERATE(true, false);
    options.isKeyed = GENERATE(false, true);
    const bool isInFlight = GENERATE(true, false);
    CAPTURE(options.isRepeatable, options.isKeyed, isInFlight);
    slow_peer_site site(options);
    std::future<simple_response> inFlight;
    if (isInFlight) {
        inFlight = std::async(std::launch::async, [&] { return site.send(slowPath); });
        while (site.executions() == 0) {
            std::this_thread::sleep_for(5ms);
        }
    }
    const steady_time stoppedAt = std::chrono::steady_clock::now();
    site.stopWithin(1500ms);
    const simple_response response = isInFlight ? inFlight.get() : site.send(slowPath);
    CHECK((response.status == 502 || response.status == 504));
    CHECK(std::chrono::steady_clock::now() - stoppedAt < 8s);
    CHECK(site.executions() == 1);
}

// Guards against a response of another daemon with an invalid status that reaches the caller as the
// response, or as a promise that the request has not run.
TEST_CASE("an invalid response of a peer is a failure without a promise", "[relay]")
{
    site_options options;
    options.isRepeatable = false;
    options.invalidResponse = GENERATE("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
                                       "HTTP/1.1 0 X\r\nContent-Length: 0\r\n\r\n",
                                       "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n");
    CAPTURE(options.invalidResponse);
    slow_peer_site site(options);
    CHECK(site.send(fastPath).status == 502);
    CHECK(site.executions() == 1);
}
