// Explanations of whole requests, compared with what happens to the requests.
#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/proxy/peer_fields.h"
#include "persimmonrail/proxy/request_proxy.h"

#include <Poco/Net/StreamSocket.h>

#include <absl/strings/str_format.h>

#include <catch2/catch.hpp>

#include <mutex>
#include <random>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// A daemon of zone z0 beside the upstream i-0, and peers that run every request. The services
// "keyed" and "plain" have four members each; the state follows from the seed.
class explained_site
{
public:
    explicit explained_site(uint64_t seed)
        : m_random(seed)
    {
        m_peer = std::move(*http_server::listen({}, [this](server_exchange &exchange) {
            {
                const std::lock_guard lock(m_mutex);
                m_reached.push_back(exchange.request().get(upstreamHeader, "local"));
            }
            Poco::Net::HTTPResponse head;
            head.set(outcomeHeader, "run");
            head.set(queueHeader, encodeQueueReport({3, 0, 9, 90ms}));
            exchange.respond(head, "whole");
        }));
        generateDirectory();
        generateRoutes();
        const proxy_reason reasons[] = {proxy_reason::None, proxy_reason::None,
                                        proxy_reason::Draining, proxy_reason::UpstreamUnreachable};
        m_localReason = reasons[below(4)];
        m_key = below(4) == 0 ? std::nullopt : std::optional<shard_key>(below(2) * 40'000);
        m_keyState = below(2) == 0 ? key_state::Served : key_state::NotGranted;
        m_isClosed = below(12) == 0;
        makeProxy();
        if (below(3) == 0) {
            quarantineKeyedRequests();
        }
        if (below(4) == 0) {
            // The starts that the limit assumes leave none for the next second.
            const steady_time now = std::chrono::steady_clock::now();
            m_dispatcher->changeColdLimit(
                [now](cold_rate_limit &limit) {
                    limit.setOptions({1, 1, 0}, now);
                },
                now);
        }
    }
    ~explained_site() { m_callers.reset(); }
    explained_site(const explained_site &) = delete;
    explained_site &operator=(const explained_site &) = delete;

    int below(uint64_t bound) { return static_cast<int>(m_random() % bound); }
    // Returns the response to a request of a caller.
    std::string send(const std::string &path) const
    {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(m_callers->address())};
        const std::string request =
            "GET " + path + " HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
        socket.sendBytes(request.data(), static_cast<int>(request.size()));
        std::string text;
        char buffer[4096];
        for (int size = 0; (size = socket.receiveBytes(buffer, sizeof buffer)) > 0;) {
            text.append(buffer, static_cast<size_t>(size));
        }
        return text;
    }
    request_explanation explain(const std::string &path) const
    {
        explained_request request;
        request.host = "h";
        request.path = path;
        request.key = m_key;
        return m_proxy->explain(request, std::chrono::steady_clock::now());
    }
    // Returns the upstreams that got requests, in order.
    std::vector<std::string> reached()
    {
        const std::lock_guard lock(m_mutex);
        return m_reached;
    }
    // Returns all counters.
    std::string counters() const
    {
        std::string result;
        std::istringstream lines(m_metrics.renderText());
        for (std::string line; std::getline(lines, line);) {
            result += line.find("_total") != std::string::npos ? line + "\n" : "";
        }
        return result;
    }
    size_t losses() const
    {
        return m_proxy->takeLosses(std::chrono::steady_clock::now() + 10s).size();
    }
    queue_report queue() const { return m_dispatcher->queue(); }
    int keyCounts() const { return m_keyCounts; }

private:
    void generateDirectory()
    {
        key_placement placement = moveRange(emptyPlacement("keyed"), {0, 32'767}, {"i-0", 1}, "");
        if (below(4) != 0) {
            placement = moveRange(placement, {32'768, lastKey}, {"i-1", 1 + below(2)}, "");
        }
        if (below(6) == 0) {
            placement.ranges.back().takeoverDelay = 10s;
        }
        m_builder.applyObject({placementKey("keyed"), 1, false, encodePlacement(placement)});
        for (int i = 0; i < 8; ++i) {
            const std::string name = "i-" + std::to_string(i);
            const upstream_member member{{name, 1},
                                         i < 4 ? "keyed" : "plain",
                                         "z" + std::to_string(i % 2),
                                         m_peer->address(),
                                         9,
                                         below(4) == 0,
                                         below(8) == 0};
            if (below(8) != 0) {
                m_builder.applyObject({memberKey(name), 1, false, encodeMember(member)});
            }
        }
        const zone_set zones[] = {{}, {}, {"z0"}, {"z0", "z1"}};
        m_builder.setEvacuatedZones(zones[below(4)]);
    }
    void generateRoutes()
    {
        if (below(12) == 0) {
            return;
        }
        m_routes = std::make_shared<route_table>(
            1,
            std::vector<route>{{"k", "h", "/k/", true, 2000ms, 500ms, 0, 2, {{"keyed", 1}}},
                               {"p", "h", "/p/", true, 2000ms, 500ms, 0, 2, {{"plain", 1}}}},
            std::vector<service_rule>{{"keyed", true, 9, ""}, {"plain", false, 9, ""}}, 10000ms);
    }
    void quarantineKeyedRequests()
    {
        const steady_time now = std::chrono::steady_clock::now();
        for (uint64_t crash = 1; crash <= 2; ++crash) {
            const crash_quarantine::run_id run = m_quarantine.begin();
            const fingerprint_builder request("keyed", "GET", "h/k/x", 0);
            m_quarantine.end(run, request.value(), crash_quarantine::run_end::ConnectionLost, now);
            m_quarantine.recordCrash(crash, now);
        }
    }
    void makeProxy()
    {
        exchange_codec codec;
        codec.readCallerFields = [this](const Poco::Net::HTTPRequest &) {
            caller_fields fields;
            fields.requestId = "r1";
            fields.key = m_key;
            return fields;
        };
        codec.setUpstreamFields = [](Poco::Net::HTTPRequest &, const upstream_fields &) {};
        codec.classifyResponse = [](const Poco::Net::HTTPResponse &, const std::string &) {
            return response_kind::Genuine;
        };
        upstream_dispatcher_hooks dispatcherHooks;
        dispatcherHooks.local = [this] {
            return local_upstream_state{
                {"i-0", 1}, "keyed", m_peer->address(), m_localReason, m_localReason};
        };
        dispatcherHooks.keyState =
            dispatcherHooks.peekKeyState = [this](shard_key) { return m_keyState; };
        dispatcherHooks.countKeyRequest = [this](shard_key) { ++m_keyCounts; };
        dispatcherHooks.onConnectionRefused =
            dispatcherHooks.onResponse = [](const upstream_id &) {};
        m_dispatcher = std::make_unique<upstream_dispatcher>(codec, dispatcherHooks, m_quarantine);
        request_proxy_hooks hooks;
        hooks.routes = [this] { return m_routes; };
        hooks.directory = [this] { return m_builder.build(); };
        hooks.isStopping = [] { return false; };
        hooks.isClosed = [this] { return m_isClosed; };
        hooks.shutdownDeadline = [] { return steady_time::max(); };
        hooks.makeRandom = [] { return std::mt19937_64(1); };
        request_proxy_options options;
        options.availabilityZone = "z0";
        options.maxOwnerWait = 0ms;
        m_proxy =
            std::make_unique<request_proxy>(options, hooks, codec, *m_dispatcher, m_log, m_metrics);
        m_callers = std::move(*http_server::listen(
            {}, [this](server_exchange &exchange) { m_proxy->serveCaller(exchange); }));
    }

    std::mt19937_64 m_random;
    decision_log m_log{{log_level::Off, "", 100, false}};
    metrics m_metrics;
    fleet_directory_builder m_builder{[](const std::string &, std::string_view) {}};
    std::shared_ptr<const route_table> m_routes;
    std::optional<shard_key> m_key;
    proxy_reason m_localReason = proxy_reason::None;
    key_state m_keyState = key_state::Served;
    bool m_isClosed = false;
    std::atomic<int> m_keyCounts{0};
    std::mutex m_mutex;
    std::vector<std::string> m_reached;
    crash_quarantine m_quarantine;
    std::unique_ptr<http_server> m_peer;
    std::unique_ptr<upstream_dispatcher> m_dispatcher;
    std::unique_ptr<request_proxy> m_proxy;
    std::unique_ptr<http_server> m_callers;
};

void checkRejected(const std::string &response, const explained_rejection &expected)
{
    CAPTURE(response, std::string(toString(expected.reason)));
    CHECK(response.starts_with("HTTP/1.1 " + std::to_string(expected.status)));
    CHECK(response.find(std::string(reasonHeader) + ": " + std::string(toString(expected.reason))
                        + "\r\n")
          != std::string::npos);
    // That of an overloaded upstream falls while the test runs.
    if (expected.status == 503 && expected.reason != proxy_reason::Overload
        && expected.reason != proxy_reason::Quarantined) {
        const double seconds = std::chrono::duration<double>(expected.retryAfter).count();
        CHECK(response.find(absl::StrFormat("Retry-After: %.3f\r\n", seconds))
              != std::string::npos);
    }
}

} // namespace

// Guards against an explanation that differs from what happens: what is certain to be rejected gets
// the stated response, what is certain to be sent arrives at one of the upstreams named.
TEST_CASE("an explanation agrees with what happens to the request", "[explain]")
{
    std::map<std::string, int> seen;
    for (uint64_t seed = 1; seed <= 500; ++seed) {
        CAPTURE(seed);
        explained_site site(seed);
        const char *const paths[] = {"/k/x", "/k/x", "/p/x?y=1", "/none", "/k/..%2fp/x"};
        const std::string path = paths[site.below(5)];
        CAPTURE(path);
        const request_explanation explained = site.explain(path);
        const std::string response = site.send(path);
        if (explained.rejected.reason != proxy_reason::None) {
            ++seen[std::string(toString(explained.rejected.reason))];
            checkRejected(response, explained.rejected);
            continue;
        }
        REQUIRE(explained.services.size() == 1);
        const explained_service &service = explained.services[0];
        if (service.rejections.size() == 1 && service.rejections[0].chance == 1) {
            ++seen[std::string(toString(service.rejections[0].reason))];
            checkRejected(response, service.rejections[0]);
        } else if (service.rejections.empty()) {
            ++seen["sent"];
            CHECK(response.starts_with("HTTP/1.1 200"));
            REQUIRE(site.reached().size() == 1);
            const std::string reached = site.reached()[0];
            CHECK(std::any_of(service.members.begin(), service.members.end(),
                              [&](const explained_member &member) {
                                  return member.chance > 0
                                      && reached
                                      == (member.isLocal ? "local" : member.member.id.name);
                              }));
        }
    }
    for (const char *reason : {"sent", "no-desired-state", "no-route", "malformed-request",
                               "stopping", "missing-key", "no-upstream", "other-upstream",
                               "evacuated", "draining", "not-owner", "quarantined", "overload"}) {
        CAPTURE(reason);
        CHECK(seen[reason] > 0);
    }
}

// Guards against explanations that count, consume random numbers or change the choice of upstreams:
// of two daemons with the same history, one is asked 10,000 times between the requests.
TEST_CASE("10,000 explanations change no state and no metrics of the decisions", "[explain]")
{
    // The first seed in whose state requests of both services are sent, those without a key to one
    // of several upstreams.
    uint64_t seed = 1;
    const auto isSent = [&seed](const std::string &path, size_t minMembers) {
        const request_explanation explained = explained_site(seed).explain(path);
        return explained.services.size() == 1 && explained.services[0].rejections.empty()
            && explained.services[0].members.size() >= minMembers;
    };
    while (!isSent("/p/x", 3) || !isSent("/k/x", 1)) {
        ++seed;
    }
    explained_site asked(seed);
    explained_site other(seed);
    for (int i = 0; i < 50; ++i) {
        const std::string path = i % 3 == 0 ? "/k/x" : "/p/x";
        const std::string before = asked.counters();
        const int keyCounts = asked.keyCounts();
        for (int repeat = 0; repeat < 100; ++repeat) {
            asked.explain("/p/x");
            asked.explain(repeat % 50 == 0 ? "/none" : "/k/x");
        }
        REQUIRE(asked.counters() == before);
        REQUIRE(asked.keyCounts() == keyCounts);
        REQUIRE(asked.queue().running + asked.queue().waiting == 0);
        REQUIRE(asked.send(path).substr(0, 12) == other.send(path).substr(0, 12));
    }
    CHECK(asked.reached() == other.reached());
    CHECK(asked.reached().size() > 20);
    CHECK(asked.counters() == other.counters());
    CHECK(asked.losses() == other.losses());
}

// Guards against explanations that block requests, or that read what requests write without the
// lock: as many explanations as a daemon serves at a time run while requests are served.
TEST_CASE("requests are served while explanations run", "[explain]")
{
    uint64_t seed = 1;
    const auto isSent = [&seed] {
        const request_explanation explained = explained_site(seed).explain("/p/x");
        return explained.services.size() == 1 && explained.services[0].rejections.empty();
    };
    while (!isSent()) {
        ++seed;
    }
    explained_site site(seed);
    std::atomic<bool> isOver{false};
    std::atomic<int> explanations{0};
    std::vector<std::thread> asking;
    asking.reserve(4);
    for (int i = 0; i < 4; ++i) {
        asking.emplace_back([&] {
            while (!isOver) {
                site.explain("/p/x");
                ++explanations;
            }
        });
    }
    int served = 0;
    for (int i = 0; i < 200 || explanations < 1000; ++i) {
        served += site.send("/p/x").starts_with("HTTP/1.1 200") ? 1 : 0;
    }
    isOver = true;
    for (std::thread &thread : asking) {
        thread.join();
    }
    CHECK(served >= 200);
    CHECK(static_cast<size_t>(served) == site.reached().size());
}
