#pragma once

#include "persimmonrail/gateway/forwarder.h"
#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/telemetry/decision_log.h"
#include "persimmonrail/telemetry/metrics.h"
#include "persimmonrail/upstream/upstream_client.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <set>
#include <string>

namespace persimmonrail {

// Settings of a request_router.
struct request_router_options
{
    // Name of this daemon's instance.
    std::string instance;
    // Delay between two rounds over the candidates of a key.
    milliseconds roundDelay{50};
    // Maximum number of instances tried for a request that any instance may run.
    int maxInstances = 3;
    // Limits of the default admission control: the number of requests that wait for a slot at a
    // time, and the time that each of them waits.
    int maxQueueLength = 20;
    milliseconds maxQueueTime{100};
};

class routed_request;

// Routes requests of callers and of other daemons to the upstream that may run them. Thread safe;
// each request is served on the thread of its connection.
class request_router
{
public:
    // `upstreamClient`, `log` and `metrics` must outlive the object. Hooks that are empty get their
    // defaults, except for `view`, which is required.
    request_router(request_router_options options, gateway_hooks hooks,
                   upstream_client &upstreamClient, decision_log &log, metrics &metrics);
    ~request_router();

    // Serves a request of a caller: any method, URI /<service>/<path>. Blocks until the response is
    // sent.
    void serveCaller(server_exchange &exchange);
    // Serves a request forwarded by another daemon, which is never forwarded again. Blocks until
    // the response is sent.
    void servePeer(server_exchange &exchange);
    // Returns whether a request with this id, forwarded by another daemon, is being served.
    bool isInFlight(const std::string &requestId) const;
    // Returns the number of requests of callers and of other daemons that are being served.
    int inFlight() const { return m_inFlight; }
    // Responds to a request that is not valid HTTP.
    void respondToInvalidRequest(server_exchange &exchange, int status, const std::string &reason);

    // Returns a JSON description of where a request with this key would be routed now.
    std::string explain(std::string_view service, std::string_view key, steady_time now) const;

private:
    friend class routed_request;

    const request_router_options m_options;
    gateway_hooks m_hooks;
    upstream_client &m_upstreamClient;
    decision_log &m_log;
    metrics &m_metrics;
    forwarder m_forwarder;
    std::unique_ptr<slot_admission> m_defaultAdmission;
    std::atomic<int> m_inFlight{0};
    mutable std::mutex m_mutex;
    // Ids of the requests forwarded by other daemons that are being served. A retry may have the
    // same id as an attempt that is still being served.
    std::multiset<std::string, std::less<>> m_forwardedRequestIds;
};

} // namespace persimmonrail
