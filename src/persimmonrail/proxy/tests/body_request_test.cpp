// Requests with large bodies: from a caller through one daemon, or two, to an upstream.
#include "persimmonrail/proxy/peer_fields.h"
#include "persimmonrail/proxy/request_proxy.h"

#include "standins/scripted_server.h"

#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <future>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds routeTimeout{1500};

// An upstream "i-1" that holds its responses until release(), and the proxy of the daemon beside
// it, which has the budgets.
class upload_site
{
public:
    explicit upload_site(body_budget_options budgets)
    {
        m_upstream = listen([this](server_exchange &exchange) { serveUpload(exchange); });
        m_peer = listen([this](server_exchange &exchange) {
            unaskedBodies += exchange.request().getExpectContinue() ? 0 : 1;
            m_owner->servePeer(exchange);
        });
        budgets.isEnabled = true;
        m_owner = makeProxy(*m_ownerDispatcher, budgets);
        m_other = makeProxy(*m_otherDispatcher, {true, 0, 0, 0});
        m_ownerCallers =
            listen([this](server_exchange &exchange) { m_owner->serveCaller(exchange); });
        m_otherCallers =
            listen([this](server_exchange &exchange) { m_other->serveCaller(exchange); });
    }
    ~upload_site()
    {
        release();
        m_ownerCallers.reset();
        m_otherCallers.reset();
        m_peer.reset();
    }

    // Adds an upstream whose daemon responds to everything.
    void addOther()
    {
        m_otherPeer = listen([this](server_exchange &exchange) {
            ++otherRequests;
            Poco::Net::HTTPResponse head;
            head.set(outcomeHeader, "run");
            exchange.respond(head, "");
        });
    }
    // Sends the beginning of an upload from a caller beside the upstream, or beside another daemon.
    Poco::Net::StreamSocket sendPart(bool isRemote, size_t statedBytes, size_t sentBytes) const
    {
        const auto &server = isRemote ? m_otherCallers : m_ownerCallers;
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
        sendText(socket,
                 "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(statedBytes)
                     + "\r\n\r\n" + std::string(sentBytes, 'x'));
        return socket;
    }
    // Returns the head of the response to an upload.
    std::string upload(bool isRemote, size_t bytes) const
    {
        Poco::Net::StreamSocket socket = sendPart(isRemote, bytes, bytes);
        return readHeadText(socket);
    }
    void release()
    {
        const std::lock_guard lock(m_mutex);
        m_isReleased = true;
        m_changed.notify_all();
    }
    // Returns whether so many uploads have reached the upstream.
    bool waitForUploads(int count)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, 20s, [&] { return uploads >= count; });
    }

    int uploads = 0;
    std::atomic<int> otherRequests{0};
    std::atomic<int> unaskedBodies{0};
    metrics values;

private:
    static std::unique_ptr<http_server> listen(http_server::handler handler)
    {
        return std::move(*http_server::listen({}, std::move(handler)));
    }
    void serveUpload(server_exchange &exchange)
    {
        std::string body;
        exchange.readAll(body, 1 << 20, std::chrono::steady_clock::now() + 20s);
        {
            std::unique_lock lock(m_mutex);
            ++uploads;
            m_changed.notify_all();
            m_changed.wait(lock, [this] { return m_isReleased; });
        }
        exchange.respond(200, "", "text/plain");
    }
    std::unique_ptr<request_proxy> makeProxy(upstream_dispatcher &dispatcher,
                                             const body_budget_options &budgets)
    {
        request_proxy_options options;
        options.bodies = budgets;
        request_proxy_hooks hooks;
        hooks.routes = [] {
            return std::make_shared<route_table>(
                1,
                std::vector<route>{
                    {"r", "h", "/", false, routeTimeout, 500ms, 0, 2, {{"ledger", 1}}}},
                std::vector<service_rule>{{"ledger", false, 9, ""}}, 10000ms);
        };
        hooks.directory = [this] {
            fleet_directory_builder builder([](const std::string &, std::string_view) {});
            const auto add = [&](const char *name, const std::unique_ptr<http_server> &server) {
                const upstream_member member{{name, 1}, "ledger", "z",  server->address(),
                                             9,         false,    false};
                builder.applyObject({memberKey(name), 1, false, encodeMember(member)});
            };
            add("i-1", m_peer);
            if (m_otherPeer != nullptr) {
                add("i-2", m_otherPeer);
            }
            return builder.build();
        };
        hooks.isStopping = hooks.isClosed = [] { return false; };
        hooks.shutdownDeadline = [] { return steady_time::max(); };
        hooks.makeRandom = [] { return std::mt19937_64(1); };
        return std::make_unique<request_proxy>(options, hooks, makeCodec(), dispatcher, m_log,
                                               values);
    }
    static exchange_codec makeCodec()
    {
        exchange_codec codec;
        codec.readCallerFields = [](const Poco::Net::HTTPRequest &) {
            caller_fields fields;
            fields.requestId = "r1";
            return fields;
        };
        codec.setUpstreamFields = [](Poco::Net::HTTPRequest &, const upstream_fields &) {};
        codec.classifyResponse = [](const Poco::Net::HTTPResponse &, const std::string &) {
            return response_kind::Genuine;
        };
        return codec;
    }
    std::unique_ptr<upstream_dispatcher> makeDispatcher(const char *name)
    {
        upstream_dispatcher_hooks hooks;
        hooks.local = [this, name] {
            return local_upstream_state{{name, 1}, "ledger", m_upstream->address()};
        };
        hooks.onConnectionRefused = hooks.onResponse = [](const upstream_id &) {};
        auto dispatcher = std::make_unique<upstream_dispatcher>(makeCodec(), hooks, m_quarantine);
        dispatcher->setSlots(9);
        return dispatcher;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isReleased = false;
    decision_log m_log{{log_level::Off, "", 100, false}};
    crash_quarantine m_quarantine;
    std::unique_ptr<upstream_dispatcher> m_ownerDispatcher = makeDispatcher("i-1");
    std::unique_ptr<upstream_dispatcher> m_otherDispatcher = makeDispatcher("i-3");
    std::unique_ptr<http_server> m_upstream;
    std::unique_ptr<request_proxy> m_owner;
    std::unique_ptr<request_proxy> m_other;
    std::unique_ptr<http_server> m_otherPeer;
    std::unique_ptr<http_server> m_peer;
    std::unique_ptr<http_server> m_ownerCallers;
    std::unique_ptr<http_server> m_otherCallers;
};

} // namespace

// Load: uploads arrive while the upstream holds as many bytes as it may. Guards against an upstream
// that gets more than it can hold, and against callers that can't tell when to retry.
TEST_CASE("uploads beyond the upstream's budget are rejected unread", "[relay]")
{
    const bool isRemote = GENERATE(false, true);
    CAPTURE(isRemote);
    upload_site site({true, 0, 150'000, 1'000'000'000});
    std::vector<std::future<std::string>> held;
    for (int i = 1; i <= 2; ++i) {
        held.push_back(
            std::async(std::launch::async, [&] { return site.upload(isRemote, 60'000); }));
        REQUIRE(site.waitForUploads(i));
    }
    for (int i = 0; i < 10; ++i) {
        // The connection stays usable, since the body is small.
        auto socket = site.sendPart(isRemote, 60'000, 60'000);
        const std::string head = readHeadText(socket);
        CHECK(head.starts_with("HTTP/1.1 503"));
        CHECK(head.find(std::string(reasonHeader) + ": body-budget\r\n") != std::string::npos);
        CHECK(head.find("Retry-After: ") != std::string::npos);
        CHECK(head.find("Keep-Alive") != std::string::npos);
    }
    // The response to a large body does not wait for it.
    auto socket = site.sendPart(isRemote, 300'000, 0);
    const std::string head = readHeadText(socket);
    CHECK(head.starts_with("HTTP/1.1 503"));
    CHECK(head.find("Connection: Close") != std::string::npos);
    CHECK(site.values.counter("persimmonrail_body_rejected_total", "budget=\"upstream\"") == 11);
    site.release();
    for (auto &response : held) {
        CHECK(response.get().starts_with("HTTP/1.1 200"));
    }
    CHECK(site.uploads == 2);
    // Rejected bodies have not crossed the link between the daemons.
    CHECK(site.unaskedBodies == 0);
    CHECK(site.upload(isRemote, 60'000).starts_with("HTTP/1.1 200"));
}

// Guards against requests that are rejected although the upstream on their own host is free.
TEST_CASE("uploads that the link can't carry go to the local upstream", "[relay]")
{
    upload_site site({true, 0, 0, 1000});
    site.addOther();
    site.release();
    for (int i = 0; i < 20; ++i) {
        CHECK(site.upload(false, 4000).starts_with("HTTP/1.1 200"));
    }
    // The first one, while the link was free.
    CHECK(site.otherRequests <= 1);
    CHECK(site.uploads >= 19);
}

// Failure: a caller stops in the middle of its body. Guards against bytes that stay reserved.
TEST_CASE("a body that stalls is released at the deadline", "[relay]")
{
    upload_site site({true, 250'000, 0, 0});
    site.release();
    const auto stalled = site.sendPart(false, 200'000, 1000);
    std::this_thread::sleep_for(100ms);
    CHECK(site.upload(false, 100'000).starts_with("HTTP/1.1 503"));
    std::this_thread::sleep_for(routeTimeout);
    CHECK(site.upload(false, 100'000).starts_with("HTTP/1.1 200"));
}
