#include "persimmonrail/proxy/upstream_dispatcher.h"

#include "persimmonrail/proxy/peer_client.h"

#include <catch2/catch.hpp>

#include <future>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// A dispatcher with an upstream that has one slot and responds after 20 s, and a server that sends
// each request to the dispatcher.
class dispatcher_site
{
public:
    dispatcher_site()
        : m_upstream(std::move(*http_server::listen({},
                                                    [this](server_exchange &exchange) {
                                                        ++m_running;
                                                        exchange.connection().waitUntilClosed(
                                                            std::chrono::steady_clock::now() + 20s);
                                                        --m_running;
                                                    })))
        , m_dispatcher(makeCodec(), makeHooks(), m_quarantine)
    {
        m_dispatcher.setSlots(1);
        m_server = std::move(
            *http_server::listen({}, [this](server_exchange &exchange) { serve(exchange); }));
    }
    ~dispatcher_site() { m_server.reset(); }

    upstream_dispatcher &dispatcher() { return m_dispatcher; }
    int running() const { return m_running; }
    // Sends a request and returns the status of the response; 0 if there was none.
    std::future<int> send()
    {
        return std::async(std::launch::async, [address = m_server->address()] {
            http_client client(std::make_shared<connection_pool>());
            const auto response = simpleRequest(client, address, "GET", "/", "",
                                                std::chrono::steady_clock::now() + 20s);
            return response.ok() ? response->status : 0;
        });
    }
    // Returns the reasons for which requests were not served.
    std::vector<proxy_reason> reasons()
    {
        const std::lock_guard lock(m_mutex);
        return m_reasons;
    }

private:
    static exchange_codec makeCodec()
    {
        exchange_codec codec;
        codec.setUpstreamFields = [](Poco::Net::HTTPRequest &, const upstream_fields &) {};
        codec.classifyResponse = [](const Poco::Net::HTTPResponse &, const std::string &) {
            return response_kind::Genuine;
        };
        return codec;
    }
    upstream_dispatcher_hooks makeHooks() const
    {
        upstream_dispatcher_hooks hooks;
        hooks.local = [this] {
            return local_upstream_state{{"i-1", 1}, "ledger", m_upstream->address()};
        };
        hooks.onConnectionRefused = hooks.onResponse = [](const upstream_id &) {};
        return hooks;
    }
    void serve(server_exchange &exchange)
    {
        const steady_time now = std::chrono::steady_clock::now();
        proxied_request request;
        request.message = exchange.request();
        request.service = "ledger";
        request.route = "r";
        request.upstream = {"i-1", 1};
        request.repeatable = true;
        request.objective = 15s;
        request.objectiveEnd = now + 15s;
        request.deadline = now + 15s;
        proxy_sink sink(exchange, {});
        const proxy_result result = m_dispatcher.dispatch(request, exchange, sink);
        {
            const std::lock_guard lock(m_mutex);
            m_reasons.push_back(result.reason);
        }
        respondToPeer(exchange, result);
    }

    std::atomic<int> m_running{0};
    std::mutex m_mutex;
    std::vector<proxy_reason> m_reasons;
    std::unique_ptr<http_server> m_upstream;
    crash_quarantine m_quarantine;
    upstream_dispatcher m_dispatcher;
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
    dispatcher_site site;
    auto running = site.send();
    REQUIRE(waitFor([&] { return site.running() == 1; }));
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
