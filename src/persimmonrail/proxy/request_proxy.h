#pragma once

#include "persimmonrail/base/random_source.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/gateway/silent_peers.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/proxy/overload_throttle.h"
#include "persimmonrail/proxy/peer_client.h"
#include "persimmonrail/proxy/upstream_dispatcher.h"
#include "persimmonrail/proxy/upstream_picker.h"
#include "persimmonrail/routes/route_table.h"
#include "persimmonrail/routing/retry_budget.h"
#include "persimmonrail/telemetry/decision_log.h"
#include "persimmonrail/telemetry/metrics.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace persimmonrail {

struct request_proxy_options
{
    // Service of the upstream on this host, on whose behalf callers here ask.
    std::string callerService;
    std::string availabilityZone;
    // Pause before a key is looked up again whose owner does not serve it yet.
    milliseconds ownerPause{60};
    // Longest wait for the owner of a key to begin serving it. A planned move takes less; longer
    // losses are refused, so that the caller learns when to come back.
    milliseconds ownerPatience{400};
    // For refusals of which nothing tells how long their cause lasts.
    milliseconds defaultRetryAfter{250};
    // Upstreams that may refuse one request as beyond their capacity. Each refusal costs two
    // daemons a message, and where this many have no room, others seldom have.
    int maxOffers = 3;
    retry_budget_options retries;
    // What the link of this host carries; 0 if unknown.
    double linkBytesPerSecond = 0;
    // Part of it that large answers use; the rest is for small ones and what frames cost.
    double largeShare = 0.95;
};

struct request_proxy_hooks
{
    // Null while no desired state is known.
    std::function<std::shared_ptr<const route_table>()> routes;
    std::function<std::shared_ptr<const fleet_directory>()> directory;
    // Whether the daemon stops: answers then close their connections.
    std::function<bool()> isStopping;
    std::function<random_source()> makeRandom;
};

// Takes requests of callers to the upstreams that may run them, through the daemons beside those.
// Thread safe; each request runs on the thread of its connection.
class request_proxy
{
public:
    // `dispatcher`, `log` and `values` must outlive the object.
    request_proxy(request_proxy_options options, request_proxy_hooks hooks, exchange_codec codec,
                  upstream_dispatcher &dispatcher, decision_log &log, metrics &values);

    // Request of a caller on this host.
    void serveCaller(server_exchange &exchange);
    // Request passed on by another daemon for the upstream on this host.
    void servePeer(server_exchange &exchange);
    // Requests that are being served.
    int inFlight() const { return m_inFlight; }

private:
    friend class proxied_call;

    struct service_state
    {
        explicit service_state(const request_proxy_options &options, random_source random,
                               steady_time now);
        upstream_picker picker;
        overload_throttle throttle;
        retry_budget retries;
    };
    service_state &stateOf(const std::string &service, steady_time now);
    uint64_t draw();
    // Uniform in [0, 1).
    double drawShare();

    const request_proxy_options m_options;
    const request_proxy_hooks m_hooks;
    const exchange_codec m_codec;
    upstream_dispatcher &m_dispatcher;
    decision_log &m_log;
    metrics &m_metrics;
    peer_client m_peers;
    // Of answers that leave this host.
    outbound_link m_outbound;
    std::atomic<int> m_inFlight{0};
    // Guards the members below.
    std::mutex m_mutex;
    random_source m_random;
    std::map<std::string, std::unique_ptr<service_state>> m_services;
    // Ids of requests that run here on behalf of other daemons.
    std::multiset<std::string, std::less<>> m_peerRequests;
};

} // namespace persimmonrail
