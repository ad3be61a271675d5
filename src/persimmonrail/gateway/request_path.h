#pragma once

#include "persimmonrail/gateway/forwarder.h"
#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/telemetry/decision_log.h"
#include "persimmonrail/telemetry/metrics.h"
#include "persimmonrail/upstream/upstream_guard.h"

#include <memory>
#include <string>

namespace persimmonrail {

struct request_path_options
{
    // Name of this daemon's instance.
    std::string instance;
    // Pause between rounds over the candidates of a key.
    milliseconds roundPause{50};
    // Timeout of requests for which a peer has no operation rule.
    milliseconds defaultTimeout{10000};
};

class request_call;

// Takes requests from callers and from other daemons to the upstream that may run them. Thread
// safe; each request runs on the thread of its connection.
class request_path
{
public:
    // `guard`, `log` and `metrics` must outlive the object. Hooks without a value get their
    // default, except for `view`, which is required.
    request_path(request_path_options options, gateway_hooks hooks, upstream_guard &guard,
                 decision_log &log, metrics &metrics);
    ~request_path();

    // Request of a caller: ANY /<service>/<path>.
    void serveCaller(server_exchange &exchange);
    // Request forwarded by another daemon; never forwarded again.
    void servePeer(server_exchange &exchange);
    // Answers a request that is not valid HTTP.
    void serveError(server_exchange &exchange, int status, const std::string &reason);

    // Describes as JSON where a request for the key would go now.
    std::string explain(std::string_view service, std::string_view key, steady_time now) const;

private:
    friend class request_call;

    const request_path_options m_options;
    gateway_hooks m_hooks;
    upstream_guard &m_guard;
    decision_log &m_log;
    metrics &m_metrics;
    forwarder m_forwarder;
    std::unique_ptr<slot_admission> m_defaultAdmission;
};

} // namespace persimmonrail
