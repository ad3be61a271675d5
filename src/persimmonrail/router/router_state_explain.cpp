// The part of router::state that explains requests on the metrics address.
#include "persimmonrail/router/router_state.h"

namespace persimmonrail {
namespace {

std::optional<milliseconds> ageOf(const std::optional<steady_time> &time, steady_time now)
{
    return time ? std::optional(std::chrono::duration_cast<milliseconds>(now - *time))
                : std::nullopt;
}

} // namespace

explain_hooks router::state::makeExplainHooks()
{
    explain_hooks hooks;
    hooks.isStopping = [this] { return m_isStopping.load(); };
    hooks.explain = [this](const explained_request &request) {
        return m_proxy->explain(request, std::chrono::steady_clock::now());
    };
    hooks.ages = [this] {
        const steady_time now = std::chrono::steady_clock::now();
        const std::lock_guard lock(m_mutex);
        return explanation_ages{ageOf(m_routesReceivedAt, now), ageOf(m_directoryConfirmedAt, now),
                                ageOf(m_evacuationsReceivedAt, now)};
    };
    return hooks;
}

void router::state::serveMetrics(server_exchange &exchange)
{
    const Poco::Net::HTTPRequest &request = exchange.request();
    if (!explain_endpoint::isExplainUri(request.getURI())) {
        exchange.respond(200, m_metrics.renderText(), "text/plain");
        return;
    }
    const explain_response response =
        m_explainEndpoint.serve(request.getMethod(), request.getURI());
    exchange.respond(response.status, response.body, "application/json");
}

} // namespace persimmonrail
