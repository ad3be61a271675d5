#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/proxy/upstream_dispatcher.h"
#include "persimmonrail/routes/route_table.h"
#include "persimmonrail/telemetry/decision_log.h"
#include "persimmonrail/telemetry/metrics.h"

#include <memory>
#include <optional>
#include <string>

namespace persimmonrail {

struct cold_watch_options
{
    // Service of the local upstream.
    std::string service = {};
    // Settings cold-overshoot and cold-slack.
    double overshoot = 1;
    int slack = 0;
    // Interval at which tick() is to be called. It bounds the requests that a busy upstream gets
    // after it has become cold and before the daemon checks it.
    milliseconds interval{100};
    // An upstream responds to a health check immediately.
    milliseconds checkTimeout{500};
};

// Tells the limit of the dispatcher (cold_rate_limit) what the desired state, the reports and the
// health checks of the local upstream say about its cold time, and reports changes in the log and
// the metrics. All functions must be called on the control thread.
class cold_watch
{
public:
    // The references must outlive the object. The control loop must have stopped when the object is
    // destroyed.
    cold_watch(cold_watch_options options, const exchange_codec &codec,
               upstream_dispatcher &dispatcher, control_loop &loop, decision_log &log,
               metrics &values);

    // Takes over the service's rule of the desired state; `routes` is null before there is one.
    // Asks the upstream for its cold time if the limit needs it.
    void tick(const route_table *routes, const local_upstream_state &upstream, steady_time now);
    // Handles a report of the present incarnation that arrived at `reportedAt`.
    void onReport(milliseconds coldRemaining, steady_time reportedAt, steady_time now);
    // Handles a sign that the upstream has ended or has restarted.
    void onRestartSign(steady_time now);

private:
    void takeRule(const service_rule *rule, bool isRuleKnown, steady_time now);
    void reportChanges(steady_time now);
    void check(const std::string &address, const std::string &path, steady_time now);
    void onCheckResponse(std::optional<milliseconds> coldRemaining, steady_time checkedAt,
                         steady_time receivedAt);

    const cold_watch_options m_options;
    const exchange_codec &m_codec;
    upstream_dispatcher &m_dispatcher;
    control_loop &m_loop;
    decision_log &m_log;
    metrics &m_metrics;
    double m_requestsPerSecond = 0;
    bool m_isRuleKnown = false;
    bool m_isChecking = false;
    bool m_wasCold = false;
    uint64_t m_reportedDelays = 0;
    http_client m_client;
    // Declared last, because the worker's thread uses the members above until the thread has ended.
    background_worker m_worker;
};

} // namespace persimmonrail
