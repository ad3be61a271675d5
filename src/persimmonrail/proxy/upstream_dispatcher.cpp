#include "persimmonrail/proxy/upstream_dispatcher.h"

#include "persimmonrail/proxy/releasing_sink.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Upstreams close connections that are idle for some seconds, and crowded upstreams close them
// earlier.
constexpr milliseconds upstreamIdleTimeout{4000};
// A request that may not be repeated reuses a connection only if it has been idle for less than
// this.
constexpr milliseconds upstreamFreshTime{400};
// Requests with less time left are not sent. The upstream is on the same host, so a connection is
// made at once or not at all.
constexpr milliseconds minTimeLeft{2};
constexpr milliseconds listeningCheckTimeout{100};
// How often a request in progress looks whether the process stops. Well below the grace period, and
// longer than most requests, since each look wakes a thread.
constexpr milliseconds stopCheckInterval{1000};
// Until setResendBudget() is called, one request may be sent again.
constexpr retry_budget_options initialResendBudget{0.0, 1.0, 1.0};

milliseconds timeLeft(const proxied_request &request, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(request.deadline - now);
}

proxy_reason reasonFor(exchange_state state)
{
    switch (state) {
    case exchange_state::TimedOut:
        return proxy_reason::DeadlineExceeded;
    case exchange_state::Unresponsive:
        return proxy_reason::SilentConnection;
    case exchange_state::Abandoned:
        return proxy_reason::Stopping;
    case exchange_state::Truncated:
    case exchange_state::AmbiguousResponse:
        return proxy_reason::BrokenResponse;
    case exchange_state::InvalidResponse:
        return proxy_reason::InvalidResponse;
    case exchange_state::CallerDisconnected:
    case exchange_state::MalformedRequestBody:
        return proxy_reason::CallerDisconnected;
    default:
        return proxy_reason::NoResponse;
    }
}

// Returns the fingerprint of the request without its body. The same path of two hosts may stand for
// different requests.
fingerprint_builder headFingerprint(const proxied_request &request)
{
    return {request.service, request.message.getMethod(),
            request.message.get("Host", "") + request.message.getURI(), request.key.value_or(0)};
}

slot_request slotRequestOf(const proxied_request &request)
{
    return {request.route,         request.rank,       request.objective,
            request.objectiveEnd,  request.deadline,   request.isRetry,
            request.callerAttempt, request.callerZone, request.key.has_value()};
}

// A connection that ended before its response suggests that the upstream has crashed.
crash_quarantine::run_end runEndOf(exchange_state state)
{
    switch (state) {
    case exchange_state::Complete:
        return crash_quarantine::run_end::Responded;
    case exchange_state::NoResponse:
    case exchange_state::Truncated:
        return crash_quarantine::run_end::ConnectionLost;
    default:
        return crash_quarantine::run_end::Regular;
    }
}

} // namespace

upstream_dispatcher::upstream_dispatcher(exchange_codec codec, upstream_dispatcher_hooks hooks,
                                         crash_quarantine &quarantine,
                                         const slot_queue_options &queueOptions)
    : m_codec(std::move(codec))
    , m_hooks(std::move(hooks))
    , m_quarantine(quarantine)
    , m_slotQueue(queueOptions)
    , m_pool(std::make_shared<connection_pool>(
          connection_pool_options{64, 128, upstreamIdleTimeout, upstreamFreshTime}))
    , m_client(m_pool)
    , m_resends(std::chrono::steady_clock::now(), initialResendBudget)
{ }

void upstream_dispatcher::stopAt(steady_time end)
{
    m_end = end;
    m_slotQueue.stopAt(end);
}

std::optional<proxy_result>
upstream_dispatcher::checkTarget(const proxied_request &request, const local_upstream_state &target,
                                 const std::function<key_state(shard_key)> &keyState) const
{
    if (target.id != request.upstream || target.service != request.service) {
        return notRunResult(proxy_reason::OtherUpstream);
    }
    const proxy_reason rejectReason = request.key ? target.keyedRejectReason : target.rejectReason;
    if (rejectReason != proxy_reason::None) {
        return notRunResult(rejectReason);
    }
    if (!request.key) {
        return std::nullopt;
    }
    const key_state state = keyState(*request.key);
    if (state == key_state::Served) {
        return std::nullopt;
    }
    proxy_result rejected = notRunResult(proxy_reason::NotOwner);
    rejected.keyState = state;
    return rejected;
}

proxy_result upstream_dispatcher::dispatch(const proxied_request &request,
                                           server_exchange &exchange, response_sink &sink,
                                           dispatch_times &times)
{
    const steady_time arrived = std::chrono::steady_clock::now();
    times = {arrived, arrived};
    if (const auto rejected = checkTarget(request, m_hooks.local())) {
        return *rejected;
    }
    fingerprinted_body body(&m_quarantine, exchange, headFingerprint(request));
    if (const auto rejected = checkQuarantine(request, body)) {
        return *rejected;
    }
    if (request.key) {
        m_hooks.countKeyRequest(*request.key);
    }
    const steady_time expectedEnd = arrived + m_slotQueue.meanServiceTime()
        + request.linkEstimate.queueDelay + request.linkEstimate.sendTime;
    // While responses queue for the link, a response that would be late would only delay the others
    // as well.
    if (request.linkEstimate.queueDelay.count() > 0 && expectedEnd > request.objectiveEnd) {
        return notRunResult(proxy_reason::LinkBusy,
                            std::chrono::ceil<milliseconds>(expectedEnd - request.objectiveEnd));
    }
    slot_result acquired = m_slotQueue.acquire(slotRequestOf(request), arrived);
    if (const auto *rejected = std::get_if<slot_queue::rejection>(&acquired)) {
        const bool hasEnded = std::chrono::steady_clock::now() >= m_end.load();
        return notRunResult(hasEnded ? proxy_reason::Stopping : proxy_reason::Overload,
                            rejected->retryAfter);
    }
    times.startedAt = std::chrono::steady_clock::now();
    releasing_sink releasing(std::move(std::get<std::unique_ptr<slot_permit>>(acquired)), sink);
    // While the request waited, another copy of it may have crashed an upstream, and the state of
    // the upstream or the owner of the key may have changed.
    if (const auto rejected = checkQuarantine(request, body)) {
        releasing.markNotCounted();
        return *rejected;
    }
    const local_upstream_state target = m_hooks.local();
    if (const auto rejected = checkTarget(request, target)) {
        releasing.markNotCounted();
        return *rejected;
    }
    proxy_result result = sendToUpstream(request, target, exchange, body, releasing);
    // A request that the upstream answers with 421 does not count at a cold upstream.
    if (!result.hasReachedUpstream || result.reason == proxy_reason::KeyNotHeld) {
        releasing.markNotCounted();
    }
    return result;
}

dispatch_assessment upstream_dispatcher::assess(const proxied_request &request, bool hasBody,
                                                steady_time now) const
{
    dispatch_assessment result;
    const local_upstream_state target = m_hooks.local();
    result.rejectReason = request.key ? target.keyedRejectReason : target.rejectReason;
    result.rejected = checkTarget(request, target, m_hooks.peekKeyState);
    if (request.key) {
        result.key = m_hooks.peekKeyState(*request.key);
    }
    if (m_quarantine.rejectsAny(now)) {
        const auto remaining =
            m_quarantine.remainingRejectionTime(headFingerprint(request).value(), now);
        result.quarantine = hasBody ? quarantine_state::DependsOnBody
            : remaining             ? quarantine_state::Rejected
                                    : quarantine_state::Accepted;
        if (!result.rejected && result.quarantine == quarantine_state::Rejected) {
            result.rejected = notRunResult(proxy_reason::Quarantined, *remaining);
        }
    }
    result.expectation = m_slotQueue.snapshot().expect(slotRequestOf(request), now);
    if (!result.rejected && result.expectation.rejected) {
        result.rejected =
            notRunResult(proxy_reason::Overload, result.expectation.rejected->retryAfter);
    }
    return result;
}

local_load upstream_dispatcher::load(steady_time now) const
{
    const cold_rate_limit limit = m_slotQueue.coldLimit();
    return {m_slotQueue.report(), limit.isCold(now), limit.coldRemaining(now),
            limit.isEnabled() ? limit.permittedPerSecond() : 0, limit.recentStarts(now)};
}

std::optional<proxy_result> upstream_dispatcher::checkQuarantine(const proxied_request &request,
                                                                 fingerprinted_body &body)
{
    using verdict = fingerprinted_body::admission::verdict;
    const fingerprinted_body::admission checked =
        body.checkQuarantine(request.deadline, std::chrono::steady_clock::now());
    switch (checked.decision) {
    case verdict::Accepted:
        return std::nullopt;
    case verdict::Quarantined:
        return notRunResult(proxy_reason::Quarantined, checked.rejectionTime);
    case verdict::MalformedBody:
        return notRunResult(proxy_reason::MalformedRequest);
    case verdict::IncompleteBody:
        return notRunResult(proxy_reason::DeadlineBeforeSend);
    }
    return std::nullopt;
}

void upstream_dispatcher::checkListening(const local_upstream_state &target)
{
    if (m_isCheckingListening.exchange(true)) {
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    auto connected = m_pool->connect(target.address, now + listeningCheckTimeout);
    if (connected.ok()) {
        // The next request uses the connection in place of the lost one.
        m_pool->release(std::move(*connected), now);
    } else if (absl::IsFailedPrecondition(connected.status())) {
        m_hooks.onConnectionRefused(target.id);
    }
    m_isCheckingListening = false;
}

void upstream_dispatcher::recordLostConnection()
{
    const steady_time now = std::chrono::steady_clock::now();
    changeColdLimit([now](cold_rate_limit &limit) { limit.recordLostConnection(now); }, now);
}

bool upstream_dispatcher::tryResendToCold()
{
    const steady_time now = std::chrono::steady_clock::now();
    bool isTolerated = true;
    changeColdLimit([&](cold_rate_limit &limit) { isTolerated = limit.tryResend(now); }, now);
    return isTolerated;
}

void upstream_dispatcher::recordWorkFactor(const Poco::Net::HTTPResponse &head)
{
    if (!m_codec.readWorkFactor) {
        return;
    }
    if (const auto factor = m_codec.readWorkFactor(head)) {
        m_slotQueue.recordWorkFactor(*factor, std::chrono::steady_clock::now());
    }
}

bool upstream_dispatcher::mayResend(const proxied_request &request, fingerprinted_body &body)
{
    recordLostConnection();
    return !checkTarget(request, m_hooks.local()) && !checkQuarantine(request, body)
        && m_resends.tryRetry(std::chrono::steady_clock::now()) && tryResendToCold();
}

proxy_result upstream_dispatcher::sendToUpstream(const proxied_request &request,
                                                 const local_upstream_state &target,
                                                 server_exchange &exchange,
                                                 fingerprinted_body &body, response_sink &sink)
{
    if (exchange.connection().waitUntilClosed(std::chrono::steady_clock::now())) {
        proxy_result disconnected = notRunResult(proxy_reason::CallerDisconnected);
        disconnected.callerDisconnected = true;
        return disconnected;
    }
    const milliseconds left = timeLeft(request, std::chrono::steady_clock::now());
    if (left < minTimeLeft) {
        return notRunResult(proxy_reason::DeadlineBeforeSend);
    }
    client_request call;
    call.address = target.address;
    call.message = request.message;
    m_codec.setUpstreamFields(call.message, {target.id.name, left, request.callerService});
    call.body = exchange.framing().type == body_framing::kind::None ? nullptr : &body;
    call.repeatable = request.repeatable;
    call.requestId = request.requestId;
    call.mayResend = [&] { return mayResend(request, body); };
    call.deadline = request.deadline;
    call.abandonTime = [this] { return m_end.load(); };
    call.progressTimeout = stopCheckInterval;
    call.probe = [] { return false; };
    call.caller = &exchange.connection();
    call.acceptsUnframed = true;
    call.responseFields = &m_codec.responseFields;
    response_kind kind = response_kind::Genuine;
    call.matchesRequest = [&](const Poco::Net::HTTPResponse &head) {
        return m_codec.classifyResponse(head, request.requestId) != response_kind::Mismatched;
    };
    call.acceptsResponse = [&](const Poco::Net::HTTPResponse &head) {
        kind = m_codec.classifyResponse(head, request.requestId);
        recordWorkFactor(head);
        return kind == response_kind::Genuine;
    };
    body.recordDispatch();
    m_resends.recordFirstAttempt(std::chrono::steady_clock::now());
    const exchange_result exchanged = m_client.exchange(call, sink);
    const crash_quarantine::run_end runEnd = runEndOf(exchanged.state);
    body.recordEnd(runEnd, std::chrono::steady_clock::now());
    proxy_result result;
    if (runEnd == crash_quarantine::run_end::ConnectionLost) {
        result.lostFingerprint = body.fingerprint();
        recordLostConnection();
        checkListening(target);
    }
    result.hasReachedUpstream = exchanged.hasSentBytes;
    result.responseStarted = exchanged.responseStarted;
    result.callerDisconnected =
        exchanged.receiverDisconnected || exchanged.state == exchange_state::CallerDisconnected;
    result.outcome = exchanged.hasSentBytes ? request_outcome::Unknown : request_outcome::NotRun;
    switch (exchanged.state) {
    case exchange_state::Complete:
        result.outcome = request_outcome::Run;
        result.status = exchanged.head.getStatus();
        m_hooks.onResponse(target.id);
        break;
    case exchange_state::Declined:
        m_hooks.onResponse(target.id);
        if (kind == response_kind::NotRun || kind == response_kind::WrongUpstream) {
            result.outcome = request_outcome::NotRun;
            result.reason = kind == response_kind::NotRun ? proxy_reason::UpstreamRefused
                                                          : proxy_reason::KeyNotHeld;
        } else {
            result.reason = proxy_reason::BrokenResponse;
        }
        break;
    case exchange_state::NotSent:
        result.reason = exchanged.deadlinePassed ? proxy_reason::DeadlineBeforeSend
                                                 : proxy_reason::UpstreamUnreachable;
        if (exchanged.connectionRefused) {
            m_hooks.onConnectionRefused(target.id);
        }
        break;
    default:
        result.reason = reasonFor(exchanged.state);
        break;
    }
    return result;
}

} // namespace persimmonrail
