#include "persimmonrail/router/cold_watch.h"

#include "persimmonrail/http/discarding_sink.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// A busy host reads a report this long after the upstream has sent it. The requests that start in
// between reach the upstream after its statement.
constexpr milliseconds maxReportLateness{200};

} // namespace

cold_watch::cold_watch(cold_watch_options options, const exchange_codec &codec,
                       upstream_dispatcher &dispatcher, control_loop &loop, decision_log &log,
                       metrics &values)
    : m_options(std::move(options))
    , m_codec(codec)
    , m_dispatcher(dispatcher)
    , m_loop(loop)
    , m_log(log)
    , m_metrics(values)
    , m_client(std::make_shared<connection_pool>(connection_pool_options{1, 1}))
{
    const steady_time now = std::chrono::steady_clock::now();
    if (m_options.slack > 0) {
        m_dispatcher.changeColdLimit(
            [&](cold_rate_limit &limit) { limit.assumeUnknownRate(m_options.slack, now); }, now);
    }
    m_metrics.addGauge("persimmonrail_upstream_cold", [this] {
        return m_dispatcher.coldLimit().isCold(std::chrono::steady_clock::now()) ? 1.0 : 0.0;
    });
}

void cold_watch::tick(const route_table *routes, const local_upstream_state &upstream,
                      steady_time now)
{
    const service_rule *rule = routes != nullptr ? routes->findService(m_options.service) : nullptr;
    takeRule(rule, routes != nullptr, now);
    reportChanges(now);
    const bool canCheck = rule != nullptr && !rule->healthPath.empty() && m_codec.readColdRemaining
        && upstream.rejectReason == proxy_reason::None && !upstream.address.empty();
    if (canCheck && !m_isChecking && m_dispatcher.coldLimit().needsCheck(now)) {
        check(upstream.address, rule->healthPath, now);
    }
}

void cold_watch::takeRule(const service_rule *rule, bool isRuleKnown, steady_time now)
{
    const double rate = rule != nullptr ? rule->coldRequestsPerSecond : 0;
    if (!isRuleKnown || (m_isRuleKnown && rate == m_requestsPerSecond)) {
        return;
    }
    m_isRuleKnown = true;
    m_requestsPerSecond = rate;
    const cold_rate_options options{rate, m_options.overshoot, m_options.slack};
    m_dispatcher.changeColdLimit([&](cold_rate_limit &limit) { limit.setOptions(options, now); },
                                 now);
}

void cold_watch::reportChanges(steady_time now)
{
    const uint64_t delays = m_dispatcher.coldDelayedCount();
    if (delays > m_reportedDelays) {
        m_metrics.count("persimmonrail_cold_delayed_total", {}, delays - m_reportedDelays);
        m_reportedDelays = delays;
    }
    const cold_rate_limit limit = m_dispatcher.coldLimit();
    if (limit.isCold(now) == m_wasCold) {
        return;
    }
    m_wasCold = !m_wasCold;
    const milliseconds remaining = limit.coldRemaining(now);
    m_log.write(
        log_level::Info,
        absl::StrCat("upstream-cold state=", m_wasCold ? "cold" : "warm", " remaining_ms=",
                     remaining == milliseconds::max() ? "unknown" : absl::StrCat(remaining.count()),
                     " permitted_per_s=", limit.permittedPerSecond(),
                     " recent_starts=", limit.recentStarts(now), " delayed=", delays));
}

void cold_watch::onReport(milliseconds coldRemaining, steady_time reportedAt, steady_time now)
{
    m_dispatcher.changeColdLimit(
        [&](cold_rate_limit &limit) {
            limit.recordStatement(coldRemaining, reportedAt - maxReportLateness, reportedAt);
        },
        now);
}

void cold_watch::onRestartSign(steady_time now)
{
    m_dispatcher.changeColdLimit([now](cold_rate_limit &limit) { limit.recordRestartSign(now); },
                                 now);
}

void cold_watch::check(const std::string &address, const std::string &path, steady_time now)
{
    m_isChecking = true;
    m_dispatcher.changeColdLimit([now](cold_rate_limit &limit) { limit.recordCheck(now); }, now);
    m_worker.enqueue([this, address, path] {
        const steady_time checkedAt = std::chrono::steady_clock::now();
        client_request request;
        request.address = address;
        request.message.setMethod("GET");
        request.message.setURI(path);
        request.repeatable = true;
        request.acceptsUnframed = true;
        request.deadline = checkedAt + m_options.checkTimeout;
        discarding_sink sink;
        const exchange_result result = m_client.exchange(request, sink);
        std::optional<milliseconds> remaining;
        if (result.state == exchange_state::Complete) {
            remaining = m_codec.readColdRemaining(result.head);
        }
        const steady_time receivedAt = std::chrono::steady_clock::now();
        m_loop.post([this, remaining, checkedAt, receivedAt](steady_time) {
            onCheckResponse(remaining, checkedAt, receivedAt);
        });
    });
}

void cold_watch::onCheckResponse(std::optional<milliseconds> coldRemaining, steady_time checkedAt,
                                 steady_time receivedAt)
{
    m_isChecking = false;
    m_dispatcher.changeColdLimit(
        [&](cold_rate_limit &limit) {
            limit.recordCheckResponse(coldRemaining.has_value());
            if (coldRemaining) {
                limit.recordStatement(*coldRemaining, checkedAt, receivedAt);
            }
        },
        receivedAt);
}

} // namespace persimmonrail
