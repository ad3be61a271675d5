#include "persimmonrail/proxy/request_proxy.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/proxy/peer_fields.h"
#include "persimmonrail/proxy/proxied_call.h"
#include "persimmonrail/proxy/request_explainer.h"
#include "persimmonrail/routing/zone_summary.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

steady_time clockNow()
{
    return std::chrono::steady_clock::now();
}

// With budgets for bodies, longer ones are sent to another daemon only after its "100 Continue".
// That takes one round trip; a link of 10 Mbit/s carries this many bytes in 13 ms.
constexpr size_t maxUnaskedBodyBytes = 16 * 1024;

// Counts a request in flight during its lifetime.
class in_flight_guard
{
public:
    explicit in_flight_guard(std::atomic<int> &count)
        : m_count(count)
    {
        ++m_count;
    }
    in_flight_guard(const in_flight_guard &) = delete;
    in_flight_guard &operator=(const in_flight_guard &) = delete;
    ~in_flight_guard() { --m_count; }

private:
    std::atomic<int> &m_count;
};

} // namespace

// Counts a request of a peer as in flight until its response is sent, so that a probe can't be
// answered with "not in flight" before.
class request_proxy::peer_request_guard
{
public:
    peer_request_guard(request_proxy &proxy, const std::string &requestId)
        : m_proxy(proxy)
    {
        const std::lock_guard lock(m_proxy.m_mutex);
        m_entry = m_proxy.m_peerRequests.insert(requestId);
    }
    peer_request_guard(const peer_request_guard &) = delete;
    peer_request_guard &operator=(const peer_request_guard &) = delete;
    ~peer_request_guard()
    {
        const std::lock_guard lock(m_proxy.m_mutex);
        m_proxy.m_peerRequests.erase(m_entry);
    }

private:
    request_proxy &m_proxy;
    std::multiset<std::string, std::less<>>::iterator m_entry;
};

request_proxy::service_state::service_state(const request_proxy_options &options,
                                            upstream_picker_options pickerOptions,
                                            random_source random, steady_time now)
    : picker(options.availabilityZone, std::move(random), std::move(pickerOptions))
    , retries(now, options.retries)
{ }

request_proxy::request_proxy(request_proxy_options options, request_proxy_hooks hooks,
                             exchange_codec codec, upstream_dispatcher &dispatcher,
                             decision_log &log, metrics &values)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_codec(std::move(codec))
    , m_dispatcher(dispatcher)
    , m_log(log)
    , m_metrics(values)
    , m_peers(m_hooks.isStopping, m_hooks.shutdownDeadline,
              m_options.bodies.isEnabled ? maxUnaskedBodyBytes : maxBodyPieceBytes)
    , m_linkDelay(m_options.availabilityZone)
    , m_returns(m_options.callerReturns)
    , m_bodies(m_options.bodies)
    , m_outboundLink{large_response_queue(),
                     link_pacer(m_options.linkBytesPerSecond * m_options.largeResponseShare)}
    , m_random(m_hooks.makeRandom())
{ }

uint64_t request_proxy::randomBits()
{
    const std::lock_guard lock(m_mutex);
    return m_random();
}

double request_proxy::randomFraction()
{
    // A double has a mantissa of 53 bits.
    return static_cast<double>(randomBits() >> 11U) * 0x1.0p-53;
}

upstream_picker_options request_proxy::pickerOptions()
{
    upstream_picker_options result;
    result.zoneShare = m_options.zoneShare;
    result.linkExcess = [this](steady_time now) { return m_linkDelay.excess(now); };
    return result;
}

request_proxy::service_state &request_proxy::findOrCreateService(const std::string &service,
                                                                 steady_time now)
{
    const std::lock_guard lock(m_mutex);
    auto &state = m_services[service];
    if (state == nullptr) {
        state =
            std::make_unique<service_state>(m_options, pickerOptions(), m_hooks.makeRandom(), now);
    }
    return *state;
}

const request_proxy::service_state *request_proxy::findService(const std::string &service) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second.get();
}

request_explanation request_proxy::explain(const explained_request &request, steady_time now) const
{
    return request_explainer(*this, request, now).explain();
}

void request_proxy::serveCaller(server_exchange &exchange)
{
    const in_flight_guard guard(m_inFlight);
    if (m_hooks.isStopping()) {
        exchange.closeAfterResponse();
    }
    proxied_call(*this, exchange).serve();
}

void request_proxy::recordArrival(const proxied_request &request)
{
    if (m_hooks.recordZoneArrival && !request.originZone.empty()) {
        m_hooks.recordZoneArrival(request.originZone, clockNow());
    }
}

std::vector<zone_load> request_proxy::zonesFor(const proxied_request &request) const
{
    return m_hooks.zoneStates && request.wantsZones ? m_hooks.zoneStates()
                                                    : std::vector<zone_load>();
}

std::optional<proxy_result> request_proxy::admitBody(const body_demand &demand,
                                                     body_reservation &admitted)
{
    auto decision = m_bodies.admit(demand, clockNow());
    if (const auto *rejection = std::get_if<body_rejection>(&decision)) {
        m_metrics.count("persimmonrail_body_rejected_total",
                        absl::StrCat("budget=\"", toAbsl(toString(rejection->limit)), "\""));
        return notRunResult(proxy_reason::BodyBudget, rejection->retryAfter);
    }
    admitted = std::move(std::get<body_reservation>(decision));
    return std::nullopt;
}

std::optional<proxy_result> request_proxy::admitPeerBody(const proxied_request &request,
                                                         const server_exchange &exchange,
                                                         body_reservation &admitted)
{
    body_demand demand;
    demand.bytes = expectedBodyBytes(exchange.framing());
    if (demand.bytes == 0 || !m_options.bodies.isEnabled) {
        return std::nullopt;
    }
    // A request for another owner gets that rejection, which tells its daemon to try again.
    if (auto rejected = m_dispatcher.checkTarget(request)) {
        return rejected;
    }
    demand.usesDaemon = demand.usesUpstream = true;
    demand.link = link_direction::Inbound;
    demand.serviceTime = m_dispatcher.queue().meanServiceTime;
    demand.objectiveEnd = request.objectiveEnd;
    return admitBody(demand, admitted);
}

bool request_proxy::isPeerRequestInFlight(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    return m_peerRequests.contains(requestId);
}

void request_proxy::servePeer(server_exchange &exchange)
{
    const std::string &uri = exchange.request().getURI();
    if (uri.starts_with(proxyInFlightPath)) {
        const bool isInFlight = isPeerRequestInFlight(uri.substr(sizeof(proxyInFlightPath) - 1));
        exchange.respond(isInFlight ? 200 : 404, "", "text/plain");
        return;
    }
    const in_flight_guard guard(m_inFlight);
    if (m_hooks.isStopping()) {
        // Otherwise the peer could send a request on the connection while the process exits.
        exchange.closeAfterResponse();
    }
    auto request = readPeerRequest(exchange.request(), m_codec, clockNow());
    if (!request.ok()) {
        m_log.write(log_level::Warn,
                    absl::StrCat("rejected a request from a peer: ", request.status().message()));
        respondToPeer(exchange, notRunResult(proxy_reason::MalformedRequest));
        return;
    }
    request->deadline = std::min(request->deadline, m_hooks.shutdownDeadline());
    exchange.setDeadline(request->deadline);
    const peer_request_guard inFlightGuard(*this, request->requestId);
    dispatch_times times;
    recordArrival(*request);
    const auto decorate = [this, &times, &request](Poco::Net::HTTPResponse &head) {
        head.set(outcomeHeader, std::string(toString(request_outcome::Run)));
        head.set(timeSpentHeader, encodeTimeSpent(spentUntil(times, clockNow())));
        head.set(queueHeader, encodeQueueReport(m_dispatcher.queue()));
        if (const auto zones = zonesFor(*request); !zones.empty()) {
            head.set(zonesHeader, encodeZoneSummary(zones, clockNow()));
        }
    };
    proxy_sink sink(exchange, decorate, &m_outboundLink, request->route);
    sink.countUnreadBytes(m_bodies);
    request->linkEstimate = m_outboundLink.pacer.estimateFor(request->route, clockNow());
    body_reservation body;
    const auto rejected = admitPeerBody(*request, exchange, body);
    proxy_result result =
        rejected ? *rejected : m_dispatcher.dispatch(*request, exchange, sink, times);
    if (result.outcome != request_outcome::Run && !result.responseStarted
        && !result.callerDisconnected) {
        result.queue = m_dispatcher.queue();
        result.zones = zonesFor(*request);
        respondToPeer(exchange, result);
    }
    // The response may have read the rest of a small body.
    body.returnLinkTime(exchange.unreadBodyBytes(), clockNow());
    if (result.outcome != request_outcome::Run && m_log.isEnabled(log_level::Info)) {
        decision entry;
        entry.kind = "hand-over";
        entry.requestId = request->requestId;
        entry.service = request->service;
        entry.instance = request->upstream.name;
        entry.outcome = toString(result.outcome);
        const std::string reason =
            absl::StrCat(toAbsl(toString(result.reason)), lostFingerprintText(result));
        entry.reason = reason;
        m_log.write(entry);
    }
}

} // namespace persimmonrail
