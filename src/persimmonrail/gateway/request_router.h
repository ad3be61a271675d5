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

struct request_router_options
{
    // Name of this daemon's instance.
    std::string instance;
    // Pause between rounds over the candidates of a key.
    milliseconds roundPause{50};
    // Instances that are tried for a request that any instance may run.
    int maxInstances = 3;
    // Of the default admission: requests that wait for a slot, and how long.
    int queueLength = 20;
    milliseconds maxQueueTime{100};
};

class routed_request;

// Takes requests from callers and from other daemons to the upstream that may run them. Thread
// safe; each request runs on the thread of its connection.
class request_router
{
public:
    // `upstreamClient`, `log` and `metrics` must outlive the object. Hooks without a value get
    // their default, except for `view`, which is required.
    request_router(request_router_options options, gateway_hooks hooks,
                   upstream_client &upstreamClient, decision_log &log, metrics &metrics);
    ~request_router();

    // Request of a caller: ANY /<service>/<path>.
    void serveCaller(server_exchange &exchange);
    // Request forwarded by another daemon; never forwarded again.
    void servePeer(server_exchange &exchange);
    // Whether a request with this id runs here on behalf of another daemon.
    bool isInFlight(const std::string &requestId) const;
    // Requests of callers and of other daemons that are being served.
    int inFlight() const { return m_inFlight; }
    // Answers a request that is not valid HTTP.
    void serveError(server_exchange &exchange, int status, const std::string &reason);

    // Describes as JSON where a request for the key would go now.
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
    std::multiset<std::string, std::less<>> m_peerRequests;
};

} // namespace persimmonrail
