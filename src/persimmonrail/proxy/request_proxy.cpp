#include "persimmonrail/proxy/request_proxy.h"

#include "persimmonrail/base/key_hash.h"
#include "persimmonrail/base/text.h"
#include "persimmonrail/gateway/caller_sink.h"
#include "persimmonrail/proxy/peer_fields.h"
#include "persimmonrail/routing/zone_summary.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <thread>

namespace persimmonrail {
namespace {

// Another attempt is very unlikely to succeed with less time left.
constexpr milliseconds minTimeForAttempt{15};
// For requests that state no timeout.
constexpr milliseconds defaultTimeout{30000};
constexpr milliseconds minRetryAfter{50};
// Retry-After while all upstreams of a service are in evacuated zones. Operators decide when that
// ends, seldom within less.
constexpr milliseconds evacuatedRetryAfter{1000};

steady_time clockNow()
{
    return std::chrono::steady_clock::now();
}

// Returns whether the reason suggests that the key is moving to another owner.
bool isKeyMoving(proxy_reason reason)
{
    return reason == proxy_reason::NotOwner || reason == proxy_reason::OtherUpstream
        || reason == proxy_reason::KeyNotHeld || reason == proxy_reason::Draining
        || reason == proxy_reason::Evacuated;
}

// Tells which request lost its connection to the local upstream, since it may have crashed it.
std::string lostFingerprintText(const proxy_result &result)
{
    return result.lostFingerprint ? ",fingerprint:" + hashToString(*result.lostFingerprint) : "";
}

upstream_picker_options pickerOptions(const request_proxy_options &options)
{
    upstream_picker_options result;
    result.zoneShare = options.zoneShare;
    return result;
}

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

// Serves one request of a caller. Used by the thread of its connection.
class proxied_call
{
public:
    proxied_call(request_proxy &proxy, server_exchange &exchange)
        : m_proxy(proxy)
        , m_exchange(exchange)
        , m_startedAt(clockNow())
    { }

    void serve()
    {
        proxy_result result = resolveRoute();
        if (result.reason == proxy_reason::None) {
            result = attemptWithRetries();
        }
        finish(result);
    }

private:
    // Parses the request, finds its route and fills m_request. A reason other than None ends the
    // request.
    proxy_result resolveRoute()
    {
        const caller_fields fields = m_proxy.m_codec.readCallerFields(m_exchange.request());
        m_request.requestId = fields.requestId;
        m_request.callerService = m_proxy.m_options.callerService;
        m_request.message = m_exchange.request();
        removeConnectionFields(m_request.message);
        removePersimmonrailFields(m_request.message);
        m_table = m_proxy.m_hooks.routes();
        if (m_table == nullptr) {
            return notRunResult(proxy_reason::NoDesiredState, milliseconds(500));
        }
        const auto &head = m_exchange.request();
        m_route = m_table->find(head.getHost(), head.getURI());
        if (m_route == nullptr) {
            return notRunResult(proxy_reason::NoRoute);
        }
        if (fields.isMalformed || fields.requestId.empty()
            || !m_table->hasOneRoute(head.getHost(), head.getURI())) {
            return notRunResult(proxy_reason::MalformedRequest);
        }
        if (m_proxy.m_hooks.isClosed()) {
            return notRunResult(proxy_reason::Stopping);
        }
        m_request.service = chooseTrafficShare(*m_route, m_proxy.randomBits()).service;
        const service_rule *rule = m_table->findService(m_request.service);
        if (rule != nullptr && rule->isKeyed) {
            if (!fields.key) {
                return notRunResult(proxy_reason::MissingKey);
            }
            m_request.key = fields.key;
        }
        m_request.route = m_route->name;
        m_request.objective = m_route->objective;
        m_request.rank = m_route->rank;
        m_request.repeatable = m_route->repeatable;
        const milliseconds timeout = fields.timeout.value_or(defaultTimeout);
        m_request.deadline = std::min(m_startedAt + std::min(timeout, m_route->timeout),
                                      m_proxy.m_hooks.shutdownDeadline());
        m_request.objectiveEnd = m_startedAt + m_route->objective - callerRetryAge(fields.timeout);
        m_exchange.setDeadline(m_request.deadline);
        return {};
    }

    // Returns how long ago the caller sent the request first. Under overload, requests that can
    // still meet their objective are preferred to retries that can't. A caller that states no
    // timeout does not tell.
    milliseconds callerRetryAge(const std::optional<milliseconds> &timeout)
    {
        return m_proxy.m_options.detectsCallerRetries && timeout
            ? m_proxy.m_attemptAges.estimate(m_route->name, *timeout, m_startedAt)
            : milliseconds(0);
    }

    // Attempts the request until it succeeds, can't be retried, or the retry budget is spent.
    proxy_result attemptWithRetries()
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
            m_hasUnknownOutcome =
                m_hasUnknownOutcome || attempted.outcome == request_outcome::Unknown;
            sentAttempts += attempted.hasReachedUpstream ? 1 : 0;
            if (!canRetry(attempted, sentAttempts)) {
                return result;
            }
            if (m_request.key) {
                if (clockNow() + m_proxy.m_options.ownerRetryDelay >= ownerDeadline
                    || m_exchange.connection().waitUntilClosed(
                        clockNow() + m_proxy.m_options.ownerRetryDelay)) {
                    return result;
                }
            } else if (attempted.reason == proxy_reason::NoUpstream) {
                return result;
            }
        }
    }

    // Keeps the outcome for the metrics, since an earlier attempt may have run. The caller gets no
    // response.
    static proxy_result callerDisconnected(proxy_result result)
    {
        result.reason = proxy_reason::CallerDisconnected;
        result.callerDisconnected = true;
        return result;
    }

    steady_time lastAttemptEnd() const
    {
        return std::min(m_request.deadline, m_proxy.m_hooks.shutdownDeadline());
    }

    // Returns whether another attempt may follow, and rewinds the request body for it.
    bool canRetry(const proxy_result &result, int sentAttempts)
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
        if (m_overloadRejections >= m_proxy.m_options.maxOverloadRejections
            || result.reason == proxy_reason::OverloadExpected || m_isServiceEvacuated) {
            return false;
        }
        // A key has one owner. Waiting for the owner helps only while the key moves; a full queue,
        // a lost host or a restart takes longer than a caller should wait.
        if (m_request.key && !isKeyMoving(result.reason)) {
            return false;
        }
        return sentAttempts < m_route->maxAttempts
            && (m_exchange.framing().type == body_framing::kind::None || m_exchange.rewind());
    }

    // Chooses an upstream and sends the request to it once.
    proxy_result attemptOnce(request_proxy::service_state &service, steady_time now)
    {
        const auto directory = m_proxy.m_hooks.directory();
        const upstream_member *member =
            m_request.key ? findOwner(*directory, service) : pickUpstream(*directory, service, now);
        if (member == nullptr && isServiceEvacuated(*directory, m_request.service)) {
            return evacuatedResult();
        }
        if (member == nullptr) {
            return notRunResult(isOwnerEntryDue(*directory) ? proxy_reason::OtherUpstream
                                                            : proxy_reason::NoUpstream);
        }
        m_request.upstream = member->id;
        if (m_request.key && service.picker.isPenalized(member->id, now)) {
            service.picker.finish(member->id, upstream_picker::result::Neutral, std::nullopt, now);
            return notRunResult(proxy_reason::PeerUnreachable);
        }
        prepareZoneFields(service, now);
        const bool isLocal = member->id == m_proxy.m_dispatcher.local().id;
        const overload_throttle::request_class requestClass = throttleClass(member->id);
        if (!isLocal) {
            if (const auto retryAfter =
                    service.throttle.rejectLocally(requestClass, m_proxy.randomFraction(), now)) {
                service.picker.finish(member->id, upstream_picker::result::Neutral, std::nullopt,
                                      now);
                m_tried.push_back(member->id);
                return notRunResult(proxy_reason::OverloadExpected, *retryAfter);
            }
        }
        const steady_time sentAt = clockNow();
        proxy_result result;
        proxy_sink sink(m_exchange, {});
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
            const bool isOverloaded = result.reason == proxy_reason::Overload
                || result.reason == proxy_reason::TooManyConnections;
            m_overloadRejections += isOverloaded ? 1 : 0;
        }
        service.picker.finish(member->id, pickerResult(result), result.queue, clockNow());
        if (m_usesZoneShare) {
            recordZones(service, *member, result, sink.bodyBytes());
        }
        m_tried.push_back(member->id);
        logAttempt(result, clockNow() - sentAt, directory->revision());
        if (result.reason == proxy_reason::Evacuated
            && isServiceEvacuated(*directory, m_request.service)) {
            return evacuatedResult();
        }
        return result;
    }

    // Returns the rejection of a request while all upstreams of the service are in evacuated zones.
    // The request is not tried again.
    proxy_result evacuatedResult()
    {
        m_isServiceEvacuated = true;
        return notRunResult(proxy_reason::Evacuated, evacuatedRetryAfter);
    }

    // Sets the fields that tell the demand of this zone and ask for the states of the zones.
    void prepareZoneFields(const request_proxy::service_state &service, steady_time now)
    {
        m_usesZoneShare = !m_request.key && service.picker.usesZoneShare();
        const bool counts = m_usesZoneShare && m_tried.empty();
        m_request.originZone = counts ? m_proxy.m_options.availabilityZone : std::string();
        m_request.wantsZones = m_usesZoneShare && service.picker.wantsZones(now);
    }

    // Returns the length of the request body, 0 if unknown, and the mean one of the responses.
    double expectedBytes(const request_proxy::service_state &service) const
    {
        return static_cast<double>(requestBytes()) + service.responseBytes.mean(m_request.route);
    }

    size_t requestBytes() const
    {
        const body_framing framing = m_exchange.framing();
        return framing.type == body_framing::kind::Length ? framing.length : 0;
    }

    // Learns from an attempt at a request without a key, and counts where it went.
    void recordZones(request_proxy::service_state &service, const upstream_member &member,
                     const proxy_result &result, size_t responseBytes)
    {
        service.picker.learnZones(result.zones, clockNow());
        if (result.outcome == request_outcome::Run) {
            service.responseBytes.record(m_request.route, static_cast<double>(responseBytes));
        }
        const std::string labels =
            absl::StrCat("service=\"", escapeLabel(m_request.service), "\",zone=\"",
                         escapeLabel(member.availabilityZone), "\"");
        m_proxy.m_metrics.count("persimmonrail_zone_requests_total",
                                absl::StrCat(labels, ",reason=\"",
                                             toAbsl(toString(service.picker.shareReason())), "\""));
        m_proxy.m_metrics.count("persimmonrail_zone_bytes_total", labels,
                                requestBytes() + responseBytes);
        logShareChange(service);
    }

    void logShareChange(request_proxy::service_state &service)
    {
        const auto change = service.picker.takeShareChange();
        if (!change) {
            return;
        }
        m_proxy.m_log.write(
            log_level::Info,
            absl::StrFormat("zone-share service=%s zone=%s from=%.2f to=%.2f reason=%s "
                            "own_demand=%.1f own_capacity=%.1f other_demand=%.1f "
                            "other_capacity=%.1f oldest_report_ms=%d",
                            m_request.service, m_proxy.m_options.availabilityZone, change->from,
                            change->to, toAbsl(toString(change->reason)), change->ownDemand,
                            change->ownCapacity, change->otherDemand, change->otherCapacity,
                            change->oldestReport.count()));
    }

    // Returns what an attempt says about its upstream. A key has one owner, so its requests are
    // kept away from the owner only if no connection to the host of the owner can be established.
    upstream_picker::result pickerResult(const proxy_result &attempted) const
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
            return m_request.key ? upstream_picker::result::Reached
                                 : upstream_picker::result::Failed;
        case proxy_reason::PeerSilent:
            return upstream_picker::result::Neutral;
        default:
            return attempted.callerDisconnected ? upstream_picker::result::Neutral
                                                : upstream_picker::result::Reached;
        }
    }

    // Requests with a key are throttled per owner. Other requests may go to any upstream, and a
    // daemon with many upstreams contacts each too seldom to learn its load, so all upstreams of
    // the service are counted together.
    overload_throttle::request_class throttleClass(const upstream_id &upstream) const
    {
        return {m_request.key ? upstream : upstream_id(), m_request.rank, m_request.objective};
    }

    void recordLoad(overload_throttle &throttle,
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

    // Returns the owner of the key and counts a request on it. Returns null if the owner is unknown
    // or does not serve the key yet.
    const upstream_member *findOwner(const fleet_directory &directory,
                                     request_proxy::service_state &service) const
    {
        const fleet_directory::versioned_placement *versionedPlacement =
            directory.findPlacement(m_request.service);
        if (versionedPlacement == nullptr) {
            return nullptr;
        }
        const owned_range &range = versionedPlacement->placement.rangeOf(*m_request.key);
        const auto *versionedMember = directory.findMember(range.owner.name);
        if (versionedMember == nullptr || versionedMember->member.id != range.owner
            || (range.takeoverDelay.count() > 0 && !range.isCarriedOver())) {
            return nullptr;
        }
        service.picker.begin(range.owner);
        return &versionedMember->member;
    }

    // Returns whether the directory lacks the member entry of the key's recorded owner. The entry
    // arrives after the record if the owner has just joined, or if a restore of the store lost it.
    bool isOwnerEntryDue(const fleet_directory &directory) const
    {
        const auto *placement =
            m_request.key ? directory.findPlacement(m_request.service) : nullptr;
        if (placement == nullptr) {
            return false;
        }
        const upstream_id &owner = placement->placement.rangeOf(*m_request.key).owner;
        const auto *known = directory.findMember(owner.name);
        return !owner.isEmpty()
            && (known == nullptr || known->member.id.startedAt < owner.startedAt);
    }

    // Returns an upstream that is not draining and has not been tried; null if there is none.
    // Prefers upstreams whose daemons have responded recently.
    const upstream_member *pickUpstream(const fleet_directory &directory,
                                        request_proxy::service_state &service,
                                        steady_time now) const
    {
        std::vector<const upstream_member *> members = directory.membersOf(m_request.service);
        std::erase_if(members, [](const upstream_member *member) { return member->isDraining; });
        std::vector<const upstream_member *> responsive = members;
        std::erase_if(responsive, [&](const upstream_member *member) {
            return m_proxy.m_peers.liveness().shouldAvoid(member->peerAddress, now);
        });
        const double bytes = expectedBytes(service);
        const upstream_member *picked = service.picker.pick(responsive, m_tried, now, bytes);
        return picked != nullptr ? picked : service.picker.pick(members, m_tried, now, bytes);
    }

    void logAttempt(const proxy_result &result, std::chrono::nanoseconds took, uint64_t revision)
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

    // Counts a request for a key that was not served within its objective, by cause.
    void recordLoss(const proxy_result &result, steady_time now)
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

    // Records the metrics of the request, and responds and logs if it failed.
    void finish(const proxy_result &result)
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

    void respondWithFailure(const proxy_result &result)
    {
        Poco::Net::HTTPResponse head(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(
            statusFor(result.reason, result.outcome)));
        head.setContentType("text/plain");
        head.set(reasonHeader, std::string(toString(result.reason)));
        if (result.outcome == request_outcome::NotRun && head.getStatus() == 503) {
            const milliseconds retryAfter =
                std::max(minRetryAfter,
                         result.retryAfter.count() > 0 ? result.retryAfter
                                                       : m_proxy.m_options.defaultRetryAfter);
            head.set("Retry-After",
                     absl::StrFormat("%.3f", std::chrono::duration<double>(retryAfter).count()));
        }
        m_exchange.respond(head, absl::StrCat(toAbsl(toString(result.reason)), "\n"));
    }

    void logFailure(const proxy_result &result, steady_time now)
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

    request_proxy &m_proxy;
    server_exchange &m_exchange;
    const steady_time m_startedAt;
    std::shared_ptr<const route_table> m_table;
    const route *m_route = nullptr;
    proxied_request m_request;
    std::vector<upstream_id> m_tried;
    // When the last attempt began, and why the one before failed.
    steady_time m_lastAttemptAt = m_startedAt;
    loss_cause m_earlierCause = loss_cause::Other;
    // Attempts that other daemons rejected because their upstream is overloaded.
    int m_overloadRejections = 0;
    bool m_hasUnknownOutcome = false;
    bool m_isServiceEvacuated = false;
    bool m_isRetryBudgetSpent = false;
    // Whether the request's zone is chosen by the share that leaves the zone.
    bool m_usesZoneShare = false;
};

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
                                            random_source random, steady_time now)
    : picker(options.availabilityZone, std::move(random), pickerOptions(options))
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
    , m_peers(m_hooks.isStopping, m_hooks.shutdownDeadline)
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

request_proxy::service_state &request_proxy::findOrCreateService(const std::string &service,
                                                                 steady_time now)
{
    const std::lock_guard lock(m_mutex);
    auto &state = m_services[service];
    if (state == nullptr) {
        state = std::make_unique<service_state>(m_options, m_hooks.makeRandom(), now);
    }
    return *state;
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

std::vector<zone_state> request_proxy::zonesFor(const proxied_request &request) const
{
    return m_hooks.zoneStates && request.wantsZones ? m_hooks.zoneStates()
                                                    : std::vector<zone_state>();
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
    request->linkEstimate = m_outboundLink.pacer.estimateFor(request->route, clockNow());
    proxy_result result = m_dispatcher.dispatch(*request, exchange, sink, times);
    if (result.outcome != request_outcome::Run && !result.responseStarted
        && !result.callerDisconnected) {
        result.queue = m_dispatcher.queue();
        result.zones = zonesFor(*request);
        respondToPeer(exchange, result);
    }
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
