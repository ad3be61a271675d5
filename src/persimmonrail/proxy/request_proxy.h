#pragma once

#include "persimmonrail/base/random_source.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/proxy/body_budget.h"
#include "persimmonrail/proxy/keyed_loss.h"
#include "persimmonrail/proxy/overload_throttle.h"
#include "persimmonrail/proxy/peer_client.h"
#include "persimmonrail/proxy/request_explanation.h"
#include "persimmonrail/proxy/upstream_dispatcher.h"
#include "persimmonrail/proxy/upstream_picker.h"
#include "persimmonrail/routes/route_table.h"
#include "persimmonrail/routing/attempt_age.h"
#include "persimmonrail/routing/caller_returns.h"
#include "persimmonrail/routing/link_delay.h"
#include "persimmonrail/routing/retry_budget.h"
#include "persimmonrail/routing/route_bytes.h"
#include "persimmonrail/routing/zone_share.h"
#include "persimmonrail/telemetry/decision_log.h"
#include "persimmonrail/telemetry/metrics.h"

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace persimmonrail {

struct request_proxy_options
{
    // Service of the local upstream, which is also the service of callers on this host.
    std::string callerService;
    std::string availabilityZone;
    // Delay before a retry for a key whose owner does not serve it yet.
    milliseconds ownerRetryDelay{60};
    // Longest wait for the owner of a key to begin serving the key. A planned move takes less time.
    // Requests are rejected if the owner is lost for longer, so that the caller learns when to
    // retry.
    milliseconds maxOwnerWait{400};
    // Retry-After of rejections whose cause lasts for an unknown time.
    milliseconds defaultRetryAfter{250};
    // Attempts at one request that may be rejected because the upstream is overloaded. Each
    // rejection costs two daemons a message, and when this many upstreams have no capacity, others
    // seldom have.
    int maxOverloadRejections = 3;
    retry_budget_options retries;
    // Whether the latency objective of a caller's retry counts from the caller's first attempt.
    bool detectsCallerRetries = false;
    // Whether callers that send a request again are recognized, so that queues can let them wait
    // behind first attempts.
    bool schedulesReturns = false;
    caller_returns_options callerReturns;
    // Bandwidth of this host's link; 0 if unknown.
    double linkBytesPerSecond = 0;
    // Share of the bandwidth that large responses use. The rest is for small responses and framing
    // overhead.
    double largeResponseShare = 0.95;
    // Limits the bytes of request bodies in flight; off by default.
    body_budget_options bodies;
    // What leaving the availability zone costs; a crossing cost of 0 keeps the fixed factor.
    zone_share_options zoneShare;
    // Whether the time to transfer a request body counts in the choice of an upstream.
    bool countsTransferTime = false;
};

// Access to the state of the daemon. All functions must be thread safe.
struct request_proxy_hooks
{
    // Returns null while no desired state is known.
    std::function<std::shared_ptr<const route_table>()> routes;
    // Returns the current members and placements.
    std::function<std::shared_ptr<const fleet_directory>()> directory;
    // Returns whether the daemon is stopping; responses then close their connections.
    std::function<bool()> isStopping;
    // Whether requests of callers that arrive now are rejected, since the process may end before
    // their responses. Connections that were accepted earlier may still bring such requests.
    std::function<bool()> isClosed;
    // Returns the time by which a stopping daemon must have responded to all requests, since its
    // process ends soon afterwards; steady_time::max() while the daemon is not stopping.
    std::function<steady_time()> shutdownDeadline;
    std::function<random_source()> makeRandom;
    // Counts a first attempt of a caller in a zone at the local upstream. May be empty, and is set
    // together with zoneStates.
    std::function<void(std::string_view zone, steady_time now)> recordZoneArrival;
    // Returns what is known of the zones of the local service.
    std::function<std::vector<zone_load>()> zoneStates;
};

// Proxies callers' requests to upstreams through the daemons beside them, and other daemons'
// requests to the local upstream. Thread safe; each request runs on the thread of its connection.
class request_proxy
{
public:
    // `dispatcher`, `log` and `values` must outlive the object.
    request_proxy(request_proxy_options options, request_proxy_hooks hooks, exchange_codec codec,
                  upstream_dispatcher &dispatcher, decision_log &log, metrics &values);

    // Serves a request of a caller on this host.
    void serveCaller(server_exchange &exchange);
    // Serves a request that another daemon has forwarded for the local upstream, or a probe of a
    // request in flight.
    void servePeer(server_exchange &exchange);
    // Returns what would happen to a request of a caller that arrives now. Sends, counts and
    // changes nothing. Holds each lock that requests use only while it copies what the lock guards.
    request_explanation explain(const explained_request &request, steady_time now) const;
    const body_budget &bodies() const { return m_bodies; }
    // Returns the number of requests that are being served.
    int inFlight() const { return m_inFlight; }
    // Returns the requests for keys that were not served in time since the last call, by cause and
    // owner.
    std::vector<loss_summary> takeLosses(steady_time now) { return m_losses.takeSummaries(now); }

private:
    friend class proxied_call;
    friend class request_explainer;
    class peer_request_guard;

    // State of the requests to one service.
    struct service_state
    {
        service_state(const request_proxy_options &options, upstream_picker_options pickerOptions,
                      random_source random, steady_time now);
        upstream_picker picker;
        overload_throttle throttle;
        route_bytes responseBytes;
        retry_budget retries;
    };
    upstream_picker_options pickerOptions();
    service_state &findOrCreateService(const std::string &service, steady_time now);
    // Returns null if no request to the service has been served.
    const service_state *findService(const std::string &service) const;
    // Counts a first attempt at the local upstream in the demand of its caller's zone.
    void recordArrival(const proxied_request &request);
    // Returns the states of the zones that a response tells; empty if the request asks for none.
    std::vector<zone_load> zonesFor(const proxied_request &request) const;
    // Reserves the bytes of a request body, or returns the rejection of the request.
    std::optional<proxy_result> admitBody(const body_demand &demand, body_reservation &admitted);
    // The same for the body of another daemon's request, which is still unread.
    std::optional<proxy_result> admitPeerBody(const proxied_request &request,
                                              const server_exchange &exchange,
                                              body_reservation &admitted);
    bool isPeerRequestInFlight(const std::string &requestId);
    // Returns 64 random bits.
    uint64_t randomBits();
    // Returns a uniformly distributed number in [0, 1).
    double randomFraction();

    const request_proxy_options m_options;
    const request_proxy_hooks m_hooks;
    const exchange_codec m_codec;
    upstream_dispatcher &m_dispatcher;
    decision_log &m_log;
    metrics &m_metrics;
    peer_client m_peers;
    keyed_loss_ledger m_losses;
    attempt_age m_attemptAges;
    // Measured only with a crossing cost, by the requests to all services.
    link_delay m_linkDelay;
    caller_returns m_returns;
    body_budget m_bodies;
    // Shared by large responses to other daemons.
    outbound_link m_outboundLink;
    std::atomic<int> m_inFlight{0};
    // Guards the members below.
    mutable std::mutex m_mutex;
    random_source m_random;
    std::map<std::string, std::unique_ptr<service_state>> m_services;
    // IDs of requests that run here on behalf of other daemons.
    std::multiset<std::string, std::less<>> m_peerRequests;
};

} // namespace persimmonrail
