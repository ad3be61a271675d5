#include "persimmonrail/base/header_names.h"
#include "persimmonrail/proxy/peer_fields.h"
#include "persimmonrail/proxy/request_proxy.h"
#include "persimmonrail/routing/zone_summary.h"

#include <catch2/catch.hpp>

#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// A request proxy in the zone "nord" and two members of a service, in "nord" and "sued", whose
// daemons share one peer port. The first requests are rejected as overload.
class zone_site
{
public:
    // Responses from "sued" are on the way for `suedDelay`; if that is above 0, no response tells
    // of the zones.
    explicit zone_site(milliseconds crossingCost, int rejections = 0, milliseconds suedDelay = 0ms)
        : m_rejections(rejections)
        , m_suedDelay(suedDelay)
    {
        m_peer = std::move(
            *http_server::listen({}, [this](server_exchange &exchange) { servePeer(exchange); }));
        exchange_codec codec;
        codec.readCallerFields = [](const Poco::Net::HTTPRequest &) {
            caller_fields fields;
            fields.requestId = "r1";
            return fields;
        };
        upstream_dispatcher_hooks dispatcherHooks;
        dispatcherHooks.local = [] { return local_upstream_state(); };
        m_dispatcher = std::make_unique<upstream_dispatcher>(codec, dispatcherHooks, m_quarantine);
        request_proxy_options options;
        options.availabilityZone = "nord";
        options.zoneShare.crossingCost = crossingCost;
        m_proxy = std::make_unique<request_proxy>(options, makeHooks(), codec, *m_dispatcher, m_log,
                                                  m_values);
        m_callers = std::move(*http_server::listen(
            {}, [this](server_exchange &exchange) { m_proxy->serveCaller(exchange); }));
    }
    ~zone_site() { m_callers.reset(); }

    void send()
    {
        http_client client(std::make_shared<connection_pool>());
        const auto response = simpleRequest(client, m_callers->address(), "GET", "/", "",
                                            std::chrono::steady_clock::now() + 20s);
        REQUIRE(response.ok());
    }
    // Returns the heads of the requests that the peer port has received.
    std::vector<Poco::Net::HTTPRequest> received()
    {
        const std::lock_guard lock(m_mutex);
        return m_received;
    }
    std::string metricsText() { return m_values.renderText(); }

private:
    void servePeer(server_exchange &exchange)
    {
        {
            const std::lock_guard lock(m_mutex);
            m_received.push_back(exchange.request());
        }
        const steady_time now = std::chrono::steady_clock::now();
        const std::vector<zone_load> zones{{"nord", 1, 9, 0, 0, 100, 20, now},
                                           {"sued", 1, 9, 0, 0, 100, 20, now}};
        if (m_rejections-- > 0) {
            proxy_result rejected = notRunResult(proxy_reason::Overload, 80ms);
            rejected.zones = zones;
            respondToPeer(exchange, rejected);
            return;
        }
        Poco::Net::HTTPResponse head;
        head.set(outcomeHeader, "run");
        head.set(timeSpentHeader, encodeTimeSpent({0us, 200us, 300us}));
        if (m_suedDelay.count() == 0) {
            head.set(zonesHeader, encodeZoneSummary(zones, now));
        } else {
            // The upstream that was used last looks fuller, so that both are used in turn.
            head.set(queueHeader, encodeQueueReport({9, 9, 9, 50ms}));
        }
        if (exchange.request().get(upstreamHeader, "") == "in-sued") {
            std::this_thread::sleep_for(m_suedDelay);
        }
        exchange.respond(head, "whole");
    }
    request_proxy_hooks makeHooks()
    {
        request_proxy_hooks hooks;
        hooks.routes = [] {
            return std::make_shared<route_table>(
                1,
                std::vector<route>{
                    {"r", "127.0.0.1", "/", true, 9000ms, 500ms, 0, 3, {{"ledger", 1}}}},
                std::vector<service_rule>{{"ledger", false, 9, ""}}, 10000ms);
        };
        hooks.directory = [this] {
            fleet_directory_builder builder([](const std::string &, std::string_view) {});
            for (const std::string zone : {"nord", "sued"}) {
                const std::string name = "in-" + zone;
                const upstream_member member{{name, 1}, "ledger", zone, m_peer->address(),
                                             9,         false,    false};
                builder.applyObject({memberKey(name), 1, false, encodeMember(member)});
            }
            return builder.build();
        };
        hooks.isStopping = [] { return false; };
        hooks.isClosed = [] { return false; };
        hooks.shutdownDeadline = [] { return steady_time::max(); };
        hooks.makeRandom = [] {
            return [engine = std::mt19937_64(3)]() mutable { return engine(); };
        };
        return hooks;
    }

    std::atomic<int> m_rejections;
    const milliseconds m_suedDelay;
    std::mutex m_mutex;
    std::vector<Poco::Net::HTTPRequest> m_received;
    decision_log m_log{{log_level::Off, "", 100, false}};
    metrics m_values;
    std::unique_ptr<http_server> m_peer;
    std::unique_ptr<http_server> m_callers;
    crash_quarantine m_quarantine;
    std::unique_ptr<upstream_dispatcher> m_dispatcher;
    std::unique_ptr<request_proxy> m_proxy;
};

} // namespace

// Deployments without a crossing cost must send the same messages as before.
TEST_CASE("without a crossing cost no fields about zones are sent", "[zone]")
{
    zone_site site(0ms);
    site.send();
    REQUIRE(site.received().size() == 1);
    CHECK_FALSE(site.received()[0].has(originZoneHeader));
    CHECK_FALSE(site.received()[0].has(zonesWantedHeader));
    CHECK(site.metricsText().find("persimmonrail_zone") == std::string::npos);
}

// Load: 60 requests. After the first response all stay in the zone, which has capacity to spare.
TEST_CASE("responses tell a daemon of the zones", "[zone]")
{
    zone_site site(5ms);
    site.send();
    std::this_thread::sleep_for(upstream_picker_options().zoneShareInterval + 20ms);
    for (int i = 0; i < 60; ++i) {
        site.send();
    }
    const auto received = site.received();
    REQUIRE(received.size() == 61);
    CHECK(received[0].get(originZoneHeader, "") == "nord");
    CHECK(received[0].get(zonesWantedHeader, "") == "1");
    int wanted = 0;
    for (size_t i = 1; i < received.size(); ++i) {
        CHECK(received[i].get(upstreamHeader, "") == "in-nord");
        wanted += received[i].has(zonesWantedHeader) ? 1 : 0;
    }
    // Knowledge of the zones is asked for at intervals, not with each request.
    CHECK(wanted < 30);
    CHECK(site.metricsText().find("zone=\"nord\",reason=\"spare\"") != std::string::npos);
}

// A retry that counted would make the demand of a zone grow with its overload.
TEST_CASE("only the first attempt counts in the demand of its zone", "[zone]")
{
    zone_site site(5ms, 1);
    site.send();
    const auto received = site.received();
    REQUIRE(received.size() == 2);
    CHECK(received[0].has(originZoneHeader));
    CHECK_FALSE(received[1].has(originZoneHeader));
}

// Fault: the link to the other zone is slow. The time that the other daemon doesn't state as its
// own must show as the excess of the link.
TEST_CASE("a slow link to a zone is measured", "[zone]")
{
    zone_site site(5ms, 0, 40ms);
    const auto end = std::chrono::steady_clock::now() + 10s;
    const std::string gauge = "persimmonrail_zone_link_excess_ms{zone=\"sued\"}";
    while (site.metricsText().find(gauge) == std::string::npos
           && std::chrono::steady_clock::now() < end) {
        site.send();
    }
    const std::string text = site.metricsText();
    const size_t found = text.find(gauge);
    REQUIRE(found != std::string::npos);
    CHECK(std::stod(text.substr(found + gauge.size())) > 25);
}
