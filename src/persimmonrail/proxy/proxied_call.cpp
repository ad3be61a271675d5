#include "persimmonrail/proxy/proxied_call.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/base/text.h"
#include "persimmonrail/gateway/caller_sink.h"
#include "persimmonrail/proxy/call_decisions.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Another attempt is very unlikely to succeed with less time left.
constexpr milliseconds minTimeForAttempt{15};
// After a rejection by its own budget for the link, the daemon tries the local upstream; after one
// by that of the local upstream, another daemon.
constexpr int maxBodyRejections = 2;

steady_time clockNow()
{
    return std::chrono::steady_clock::now();
}

double inMilliseconds(std::chrono::microseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// Returns whether a forwarded request got no response from the other daemon. Responses of daemons
// state a queue. If the deadline has passed, unanswered probes distinguish this case from a slow
// upstream.
bool isWithoutResponse(const proxy_result &result)
{
    switch (result.reason) {
    case proxy_reason::DeadlineExceeded:
        return result.unansweredProbes > 0;
    case proxy_reason::PeerUnreachable:
    case proxy_reason::PeerSilent:
    case proxy_reason::SilentConnection:
    case proxy_reason::NoResponse:
        return !result.queue && !result.callerDisconnected;
    default:
        return false;
    }
}

} // namespace

proxied_call::proxied_call(request_proxy &proxy, server_exchange &exchange)
    : m_proxy(proxy)
    , m_exchange(exchange)
    , m_startedAt(clockNow())
{ }

void proxied_call::serve()
{
    proxy_result result = resolveRoute();
    if (result.reason == proxy_reason::None) {
        result = admitBody();
    }
    if (result.reason == proxy_reason::None) {
        result = attemptWithRetries();
    }
    finish(result);
}

proxy_result proxied_call::resolveRoute()
{
    const caller_fields fields = m_proxy.m_codec.readCallerFields(m_exchange.request());
    m_request.requestId = fields.requestId;
    m_request.callerService = m_proxy.m_options.callerService;
    m_request.message = m_exchange.request();
    removeConnectionFields(m_request.message);
    removePersimmonrailFields(m_request.message);
    m_table = m_proxy.m_hooks.routes();
    const auto &head = m_exchange.request();
    const route_decision decided =
        decideRoute(m_table.get(), head.getHost(), head.getURI(),
                    fields.isMalformed || fields.requestId.empty(), m_proxy.m_hooks.isClosed());
    m_route = decided.found;
    if (decided.reason != proxy_reason::None) {
        return notRunResult(decided.reason, decided.retryAfter);
    }
    m_request.service = chooseTrafficShare(*m_route, m_proxy.randomBits()).service;
    const service_rule *rule = m_table->findService(m_request.service);
    if (rule != nullptr && rule->isKeyed) {
        if (!fields.key) {
            return notRunResult(proxy_reason::MissingKey);
        }
        m_request.key = fields.key;
    }
    applyRoute(m_request, *m_route);
    m_request.deadline =
        callDeadline(fields.timeout, *m_route, m_startedAt, m_proxy.m_hooks.shutdownDeadline());
    m_request.objectiveEnd = m_startedAt + m_route->objective - callerRetryAge(fields.timeout);
    m_exchange.setDeadline(m_request.deadline);
    if (m_proxy.m_options.schedulesReturns
        || m_proxy.m_options.zoneShare.crossingCost.count() > 0) {
        m_request.callerZone = m_proxy.m_options.availabilityZone;
    }
    if (m_proxy.m_options.schedulesReturns && fields.timeout) {
        recognizeReturn(*fields.timeout);
    }
    return {};
}

void proxied_call::recognizeReturn(milliseconds statedTimeout)
{
    m_asSent = caller_returns::request{m_route->name, m_request.key, statedTimeout, m_startedAt};
    const auto earlier = m_proxy.m_returns.takeEarlier(*m_asSent);
    if (!earlier) {
        const bool isRetry = m_request.objectiveEnd < m_startedAt + m_route->objective;
        m_request.callerAttempt = isRetry ? caller_attempt::DueRetry : caller_attempt::First;
        return;
    }
    m_firstArrivedAt = earlier->firstArrivedAt;
    m_request.objectiveEnd = m_firstArrivedAt + m_route->objective;
    m_request.callerAttempt = m_proxy.m_returns.isDue(*earlier, m_startedAt)
        ? caller_attempt::DueRetry
        : caller_attempt::EarlyRetry;
}

void proxied_call::recordFailureOfCaller(milliseconds retryAfter, steady_time now)
{
    if (m_asSent) {
        m_proxy.m_returns.recordFailure(*m_asSent, {m_firstArrivedAt, now + retryAfter}, now);
    }
}

milliseconds proxied_call::callerRetryAge(const std::optional<milliseconds> &timeout)
{
    return m_proxy.m_options.detectsCallerRetries && timeout
        ? m_proxy.m_attemptAges.estimate(m_route->name, *timeout, m_startedAt)
        : milliseconds(0);
}

proxy_result proxied_call::admitBody()
{
    body_demand demand;
    demand.bytes = expectedBodyBytes(m_exchange.framing());
    demand.usesDaemon = true;
    return m_proxy.admitBody(demand, m_body).value_or(proxy_result());
}

std::optional<proxy_result> proxied_call::admitAttempt(bool isLocal, body_reservation &admitted)
{
    body_demand demand;
    demand.bytes = expectedBodyBytes(m_exchange.framing());
    demand.usesUpstream = isLocal;
    if (!isLocal) {
        demand.link = link_direction::Outbound;
        demand.objectiveEnd = m_request.objectiveEnd;
    }
    auto rejected = m_proxy.admitBody(demand, admitted);
    if (rejected) {
        ++m_bodyRejections;
        m_bodyRejection = rejected;
        m_isLinkFull = m_isLinkFull || !isLocal;
    }
    return rejected;
}

proxy_result proxied_call::attemptWithRetries()
{
    auto &service = m_proxy.findOrCreateService(m_request.service, m_startedAt);
    service.retries.recordFirstAttempt(m_startedAt);
    const steady_time ownerDeadline = m_startedAt + m_proxy.m_options.maxOwnerWait;
    proxy_result result = notRunResult(proxy_reason::NoUpstream);
    int sentAttempts = 0;
    for (;;) {
        const steady_time now = clockNow();
        // The disconnection of the caller is detected even while the request body is unread.
        if (m_exchange.connection().waitUntilClosed(now)) {
            return callerDisconnected(result);
        }
        if (sentAttempts > 0 && !service.retries.tryRetry(now)) {
            m_isRetryBudgetSpent = true;
            return result;
        }
        if (result.reason != proxy_reason::None && now != m_startedAt) {
            m_earlierCause = causeOfFailure(result.reason, result.keyState);
        }
        m_lastAttemptAt = now;
        m_request.isRetry = sentAttempts > 0;
        const proxy_result attempted = attemptOnce(service, now);
        if (attempted.reason != proxy_reason::NoUpstream || sentAttempts == 0) {
            // If an earlier attempt may have run, the caller must not be told that the request
            // did not run.
            const bool hadUnknownOutcome = m_hasUnknownOutcome;
            result = attempted;
            if (hadUnknownOutcome && result.outcome == request_outcome::NotRun) {
                result.outcome = request_outcome::Unknown;
            }
        }
        m_hasUnknownOutcome = m_hasUnknownOutcome || attempted.outcome == request_outcome::Unknown;
        sentAttempts += attempted.hasReachedUpstream ? 1 : 0;
        if (!canRetry(attempted, sentAttempts)) {
            return result;
        }
        if (m_request.key) {
            if (clockNow() + m_proxy.m_options.ownerRetryDelay >= ownerDeadline
                || m_exchange.connection().waitUntilClosed(clockNow()
                                                           + m_proxy.m_options.ownerRetryDelay)) {
                return result;
            }
        } else if (attempted.reason == proxy_reason::NoUpstream) {
            return result;
        }
    }
}

proxy_result proxied_call::callerDisconnected(proxy_result result)
{
    result.reason = proxy_reason::CallerDisconnected;
    result.callerDisconnected = true;
    return result;
}

steady_time proxied_call::lastAttemptEnd() const
{
    return std::min(m_request.deadline, m_proxy.m_hooks.shutdownDeadline());
}

bool proxied_call::canRetry(const proxy_result &result, int sentAttempts)
{
    if (result.outcome == request_outcome::Run || result.responseStarted
        || result.callerDisconnected || clockNow() + minTimeForAttempt >= lastAttemptEnd()) {
        return false;
    }
    if (result.outcome == request_outcome::Unknown
        && (!m_request.repeatable || result.reason == proxy_reason::DeadlineExceeded)) {
        return false;
    }
    if (result.outcome == request_outcome::NotRun && !isRetryable(result.reason)) {
        return false;
    }
    if (m_overloadRejections >= m_proxy.m_options.maxOverloadRejections || m_isServiceEvacuated
        || m_bodyRejections >= maxBodyRejections
        || !mayHelpToRetry(result.reason, m_request.key.has_value())) {
        return false;
    }
    return sentAttempts < m_route->maxAttempts
        && (m_exchange.framing().type == body_framing::kind::None || m_exchange.rewind());
}

proxy_result proxied_call::attemptOnce(request_proxy::service_state &service, steady_time now)
{
    const auto directory = m_proxy.m_hooks.directory();
    const upstream_member *member =
        m_request.key ? findOwner(*directory, service) : pickUpstream(*directory, service, now);
    if (member == nullptr) {
        proxy_result missing = missingMemberResult(*directory, m_request.service, m_request.key);
        m_isServiceEvacuated = missing.reason == proxy_reason::Evacuated;
        if (!m_isServiceEvacuated && m_bodyRejection) {
            // Unlike a rejection for lack of upstreams, this one states when to retry.
            m_bodyRejections = maxBodyRejections;
            return *m_bodyRejection;
        }
        return missing;
    }
    m_request.upstream = member->id;
    if (m_request.key && service.picker.isPenalized(member->id, now)) {
        service.picker.finish(member->id, upstream_picker::result::Neutral, std::nullopt, now);
        return notRunResult(proxy_reason::PeerUnreachable);
    }
    prepareZoneFields(service, now);
    const bool isLocal = member->id == m_proxy.m_dispatcher.local().id;
    const overload_throttle::request_class requestClass = throttleClassOf(m_request, member->id);
    if (!isLocal) {
        if (const auto retryAfter =
                service.throttle.rejectLocally(requestClass, m_proxy.randomFraction(), now)) {
            service.picker.finish(member->id, upstream_picker::result::Neutral, std::nullopt, now);
            m_tried.push_back(member->id);
            return notRunResult(proxy_reason::OverloadExpected, *retryAfter);
        }
    }
    body_reservation body;
    if (const auto rejected = admitAttempt(isLocal, body)) {
        service.picker.finish(member->id, upstream_picker::result::Neutral, std::nullopt, now);
        m_tried.push_back(member->id);
        return *rejected;
    }
    const steady_time sentAt = clockNow();
    proxy_result result;
    std::optional<steady_time> respondedAt;
    proxy_sink sink(m_exchange, [&](Poco::Net::HTTPResponse &) { respondedAt = clockNow(); });
    sink.countUnreadBytes(m_proxy.m_bodies);
    if (isLocal) {
        m_proxy.recordArrival(m_request);
        dispatch_times times;
        result = m_proxy.m_dispatcher.dispatch(m_request, m_exchange, sink, times);
        result.queue = m_proxy.m_dispatcher.queue();
        result.timeSpent = spentUntil(times, clockNow());
        result.zones = m_proxy.zonesFor(m_request);
    } else if (!m_proxy.m_peers.liveness().tryBegin(member->peerAddress, sentAt)) {
        result = notRunResult(proxy_reason::PeerSilent);
    } else {
        result = m_proxy.m_peers.forward(m_request, member->peerAddress, m_exchange, sink);
        recordLoad(service.throttle, requestClass, result);
        recordLink(*member, result, sentAt, respondedAt);
        const bool isOverloaded = result.reason == proxy_reason::Overload
            || result.reason == proxy_reason::TooManyConnections
            || result.reason == proxy_reason::BodyBudget;
        m_overloadRejections += isOverloaded ? 1 : 0;
        if (result.reason == proxy_reason::BodyBudget) {
            m_bodyRejection = notRunResult(proxy_reason::BodyBudget, result.retryAfter);
        }
    }
    body.returnLinkTime(m_exchange.unreadBodyBytes(), clockNow());
    service.picker.finish(member->id, pickerResult(result), result.queue, clockNow());
    if (m_usesZoneShare) {
        recordZones(service, *member, result, sink.bodyBytes());
    }
    m_tried.push_back(member->id);
    logAttempt(result, clockNow() - sentAt, directory->revision());
    if (result.reason == proxy_reason::Evacuated
        && isServiceEvacuated(*directory, m_request.service)) {
        m_isServiceEvacuated = true;
        return serviceEvacuatedResult();
    }
    return result;
}

void proxied_call::prepareZoneFields(const request_proxy::service_state &service, steady_time now)
{
    m_usesZoneShare = !m_request.key && service.picker.usesZoneShare();
    const bool counts = m_usesZoneShare && m_tried.empty();
    m_request.originZone = counts ? m_proxy.m_options.availabilityZone : std::string();
    m_request.wantsZones = m_usesZoneShare && service.picker.wantsZones(now);
}

double proxied_call::expectedBytes(const request_proxy::service_state &service) const
{
    return static_cast<double>(requestBytes()) + service.responseBytes.mean(m_request.route);
}

size_t proxied_call::requestBytes() const
{
    const body_framing framing = m_exchange.framing();
    return framing.type == body_framing::kind::Length ? framing.length : 0;
}

body_transfer proxied_call::bodyTransfer() const
{
    if (!m_proxy.m_options.countsTransferTime) {
        return {};
    }
    return {static_cast<double>(requestBytes()), m_proxy.m_options.linkBytesPerSecond,
            m_proxy.m_dispatcher.local().id};
}

void proxied_call::recordZones(request_proxy::service_state &service, const upstream_member &member,
                               const proxy_result &result, size_t responseBytes)
{
    service.picker.learnZones(result.zones, clockNow());
    if (result.outcome == request_outcome::Run) {
        service.responseBytes.record(m_request.route, static_cast<double>(responseBytes));
    }
    const std::string labels =
        absl::StrCat("service=\"", escapeLabel(m_request.service), "\",zone=\"",
                     escapeLabel(member.availabilityZone), "\"");
    m_proxy.m_metrics.count(
        "persimmonrail_zone_requests_total",
        absl::StrCat(labels, ",reason=\"", toAbsl(toString(service.picker.shareReason())), "\""));
    m_proxy.m_metrics.count("persimmonrail_zone_bytes_total", labels,
                            requestBytes() + responseBytes);
    logShareChange(service);
    logLinkChanges();
}

void proxied_call::logShareChange(request_proxy::service_state &service)
{
    const auto change = service.picker.takeShareChange();
    if (!change) {
        return;
    }
    m_proxy.m_log.write(log_level::Info,
                        absl::StrFormat("zone-share service=%s zone=%s from=%.2f to=%.2f reason=%s "
                                        "own_demand=%.1f own_capacity=%.1f other_demand=%.1f "
                                        "other_capacity=%.1f oldest_report_ms=%d "
                                        "largest_link_excess_ms=%.1f",
                                        m_request.service, m_proxy.m_options.availabilityZone,
                                        change->from, change->to, toAbsl(toString(change->reason)),
                                        change->ownDemand, change->ownCapacity, change->otherDemand,
                                        change->otherCapacity, change->oldestReport.count(),
                                        inMilliseconds(change->largestLinkExcess)));
    for (const auto &[zone, share] : change->shares) {
        m_proxy.m_metrics.addGauge("persimmonrail_zone_share",
                                   absl::StrCat("service=\"", escapeLabel(m_request.service),
                                                "\",zone=\"", escapeLabel(zone), "\""),
                                   [value = share] { return value; });
    }
}

void proxied_call::recordLink(const upstream_member &member, const proxy_result &result,
                              steady_time sentAt, std::optional<steady_time> respondedAt)
{
    if (m_proxy.m_options.zoneShare.crossingCost.count() == 0) {
        return;
    }
    link_delay &links = m_proxy.m_linkDelay;
    if (respondedAt && result.timeSpent) {
        const auto delay = *respondedAt - sentAt - result.timeSpent->inTotal;
        links.recordResponse(member.availabilityZone, member.id.name,
                             std::chrono::duration_cast<std::chrono::microseconds>(delay),
                             clockNow());
    } else if (isWithoutResponse(result)) {
        links.recordLoss(member.availabilityZone, member.id.name, clockNow());
    }
}

void proxied_call::logLinkChanges()
{
    link_delay &links = m_proxy.m_linkDelay;
    while (const auto change = links.takeChange()) {
        m_proxy.m_metrics.addGauge("persimmonrail_zone_link_excess_ms",
                                   absl::StrCat("zone=\"", escapeLabel(change->zone), "\""),
                                   [value = inMilliseconds(change->to)] { return value; });
        m_proxy.m_log.write(
            log_level::Info,
            absl::StrFormat("zone-link zone=%s to_zone=%s from_ms=%.1f to_ms=%.1f lost=%.2f "
                            "measurements=%d",
                            m_proxy.m_options.availabilityZone, change->zone,
                            inMilliseconds(change->from), inMilliseconds(change->to),
                            change->lossShare, change->measurements));
    }
}

upstream_picker::result proxied_call::pickerResult(const proxy_result &attempted) const
{
    switch (attempted.reason) {
    case proxy_reason::PeerUnreachable:
        return upstream_picker::result::Failed;
    case proxy_reason::NoResponse:
    // A truncated response is none of these: a healthy upstream may truncate single ones, and
    // each would keep it without requests for the time of the penalty.
    case proxy_reason::InvalidResponse:
    case proxy_reason::OtherUpstream:
    case proxy_reason::UpstreamUnreachable:
        return m_request.key ? upstream_picker::result::Reached : upstream_picker::result::Failed;
    case proxy_reason::PeerSilent:
        return upstream_picker::result::Neutral;
    default:
        return attempted.callerDisconnected ? upstream_picker::result::Neutral
                                            : upstream_picker::result::Reached;
    }
}

void proxied_call::recordLoad(overload_throttle &throttle,
                              const overload_throttle::request_class &requestClass,
                              const proxy_result &result) const
{
    if (result.reason == proxy_reason::Overload) {
        throttle.recordRejected(requestClass, result.retryAfter, clockNow());
    } else if (result.outcome == request_outcome::Run) {
        // Free capacity at one upstream does not imply free capacity at the others.
        const bool hasCapacity = m_request.key && result.queue && result.queue->waiting == 0
            && result.queue->running < result.queue->limit;
        throttle.recordAccepted(requestClass, hasCapacity, clockNow());
    }
}

const upstream_member *proxied_call::findOwner(const fleet_directory &directory,
                                               request_proxy::service_state &service) const
{
    const upstream_member *owner = findServingOwner(directory, m_request.service, *m_request.key);
    if (owner != nullptr) {
        service.picker.begin(owner->id);
    }
    return owner;
}

const upstream_member *proxied_call::pickUpstream(const fleet_directory &directory,
                                                  request_proxy::service_state &service,
                                                  steady_time now) const
{
    std::vector<const upstream_member *> members = openMembers(directory, m_request.service);
    if (m_isLinkFull) {
        const upstream_id local = m_proxy.m_dispatcher.local().id;
        std::erase_if(members, [&](const upstream_member *member) { return member->id != local; });
    }
    std::vector<const upstream_member *> responsive = members;
    std::erase_if(responsive, [&](const upstream_member *member) {
        return m_proxy.m_peers.liveness().shouldAvoid(member->peerAddress, now);
    });
    const double bytes = expectedBytes(service);
    const body_transfer body = bodyTransfer();
    const upstream_member *picked = service.picker.pick(responsive, m_tried, now, bytes, body);
    return picked != nullptr ? picked : service.picker.pick(members, m_tried, now, bytes, body);
}

void proxied_call::logAttempt(const proxy_result &result, std::chrono::nanoseconds took,
                              uint64_t revision)
{
    if (!m_proxy.m_log.isEnabled(log_level::Info)) {
        return;
    }
    decision entry;
    entry.kind = "attempt";
    entry.requestId = m_request.requestId;
    entry.service = m_request.service;
    entry.instance = m_request.upstream.name;
    entry.term = revision;
    entry.outcome = toString(result.outcome);
    const std::string reason = absl::StrCat(
        toAbsl(toString(result.reason)), ",status:", result.status,
        ",unanswered_probes:", result.unansweredProbes,
        ",took_us:", std::chrono::duration_cast<std::chrono::microseconds>(took).count(),
        lostFingerprintText(result));
    entry.reason = reason;
    m_proxy.m_log.write(entry);
}

void proxied_call::recordLoss(const proxy_result &result, steady_time now)
{
    const bool wasServed = result.outcome == request_outcome::Run;
    if (!m_request.key || (wasServed && now <= m_request.objectiveEnd)) {
        return;
    }
    const loss_cause cause = wasServed
        ? causeOfDelay({m_lastAttemptAt - m_startedAt, m_earlierCause, now - m_lastAttemptAt,
                        result.timeSpent})
        : causeOfFailure(result.reason, result.keyState);
    m_proxy.m_losses.record(
        {m_request.service, cause, m_request.upstream.name, *m_request.key, wasServed}, now);
    m_proxy.m_metrics.count("persimmonrail_keyed_lost_total",
                            absl::StrCat("cause=\"", toAbsl(toString(cause)), "\",outcome=\"",
                                         wasServed ? "late" : "not-served", "\""));
}

void proxied_call::finish(const proxy_result &result)
{
    const steady_time now = clockNow();
    recordLoss(result, now);
    const std::string rank = std::to_string(m_request.rank);
    m_proxy.m_metrics.recordLatency(m_request.service, rank, result.outcome, now - m_startedAt);
    if (result.outcome == request_outcome::Run || result.responseStarted
        || result.callerDisconnected) {
        return;
    }
    m_proxy.m_metrics.count("persimmonrail_refused_total",
                            absl::StrCat("reason=\"", toAbsl(toString(result.reason)), "\""));
    // Callers don't retry requests that are rejected as malformed.
    const bool mayBeRetried = statusFor(result.reason, result.outcome) >= 500;
    if (m_route != nullptr && mayBeRetried) {
        m_proxy.m_attemptAges.recordFailure(m_route->name, now);
    }
    respondWithFailure(result);
    logFailure(result, now);
}

void proxied_call::respondWithFailure(const proxy_result &result)
{
    milliseconds retryAfter{0};
    Poco::Net::HTTPResponse head(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(statusFor(result.reason, result.outcome)));
    head.setContentType("text/plain");
    head.set(reasonHeader, std::string(toString(result.reason)));
    if (result.outcome == request_outcome::NotRun && head.getStatus() == 503) {
        retryAfter = statedRetryAfter(result.retryAfter, m_proxy.m_options.defaultRetryAfter);
        head.set("Retry-After",
                 absl::StrFormat("%.3f", std::chrono::duration<double>(retryAfter).count()));
    }
    // Before the response, since the caller may return at once.
    if (head.getStatus() >= 500) {
        recordFailureOfCaller(retryAfter, clockNow());
    }
    m_exchange.respond(head, absl::StrCat(toAbsl(toString(result.reason)), "\n"));
}

void proxied_call::logFailure(const proxy_result &result, steady_time now)
{
    decision entry;
    entry.kind = "refuse";
    entry.requestId = m_request.requestId;
    entry.service = m_request.service;
    entry.instance = m_request.upstream.name;
    entry.term = m_table ? m_table->version() : 0;
    entry.outcome = toString(result.outcome);
    const std::string reason = absl::StrCat(
        toAbsl(toString(result.reason)), m_isRetryBudgetSpent ? ",retry-budget-spent" : "",
        ",attempts:", m_tried.size(), ",took_us:",
        std::chrono::duration_cast<std::chrono::microseconds>(now - m_startedAt).count(),
        ",route:", m_route ? m_route->name : std::string("none"));
    entry.reason = reason;
    m_proxy.m_log.write(entry);
}

} // namespace persimmonrail
