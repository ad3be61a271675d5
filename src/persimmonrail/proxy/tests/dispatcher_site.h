#pragma once

#include "persimmonrail/proxy/peer_client.h"
#include "persimmonrail/proxy/upstream_dispatcher.h"

#include <atomic>
#include <functional>
#include <future>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

namespace persimmonrail {

// A dispatcher for an upstream with one slot, and a server that sends each request to the
// dispatcher.
class dispatcher_site
{
public:
    explicit dispatcher_site(std::string upstreamAddress)
        : m_upstreamAddress(std::move(upstreamAddress))
        , m_dispatcher(makeCodec(), makeHooks(), m_quarantine)
    {
        m_dispatcher.setSlots(1);
        m_server = std::move(
            *http_server::listen({}, [this](server_exchange &exchange) { serve(exchange); }));
    }
    ~dispatcher_site() { m_server.reset(); }

    upstream_dispatcher &dispatcher() { return m_dispatcher; }
    // Makes the upstream take no requests for this reason.
    void setRejectReason(proxy_reason reason) { m_rejectReason = reason; }
    // Sends a request and returns the status of the response; 0 if there was none. The upstream
    // gets the id with the path "/ID".
    std::future<int> send(const std::string &id = "")
    {
        return std::async(std::launch::async, [address = m_server->address(), id] {
            http_client client(std::make_shared<connection_pool>());
            const auto response =
                simpleRequest(client, address, "GET", "/" + id, "",
                              std::chrono::steady_clock::now() + std::chrono::seconds(20));
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
        codec.classifyResponse = [](const Poco::Net::HTTPResponse &head, const std::string &) {
            return head.getStatus() == 421 ? response_kind::WrongUpstream : response_kind::Genuine;
        };
        return codec;
    }
    upstream_dispatcher_hooks makeHooks() const
    {
        upstream_dispatcher_hooks hooks;
        hooks.local = [this] {
            return local_upstream_state{{"i-1", 1}, "ledger", m_upstreamAddress, m_rejectReason};
        };
        hooks.onConnectionRefused = hooks.onResponse = [](const upstream_id &) {};
        return hooks;
    }
    void serve(server_exchange &exchange)
    {
        const steady_time now = std::chrono::steady_clock::now();
        proxied_request request;
        request.message = exchange.request();
        request.requestId = exchange.request().getURI().substr(1);
        request.service = "ledger";
        request.route = "r";
        request.upstream = {"i-1", 1};
        request.repeatable = true;
        request.objective = std::chrono::seconds(15);
        request.objectiveEnd = now + request.objective;
        request.deadline = now + request.objective;
        proxy_sink sink(exchange, {});
        dispatch_times times;
        const proxy_result result = m_dispatcher.dispatch(request, exchange, sink, times);
        {
            const std::lock_guard lock(m_mutex);
            m_reasons.push_back(result.reason);
        }
        if (!result.responseStarted) {
            respondToPeer(exchange, result);
        }
    }

    const std::string m_upstreamAddress;
    std::atomic<proxy_reason> m_rejectReason{proxy_reason::None};
    std::mutex m_mutex;
    std::vector<proxy_reason> m_reasons;
    crash_quarantine m_quarantine;
    upstream_dispatcher m_dispatcher;
    std::unique_ptr<http_server> m_server;
};

} // namespace persimmonrail
