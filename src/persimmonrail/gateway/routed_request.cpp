#include "persimmonrail/gateway/routed_request.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/gateway/fingerprinted_body.h"

#include <Poco/JSON/Object.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <sstream>

namespace persimmonrail {
namespace {

// Maximum remaining time that a request may state in its deadline header; larger values are
// rejected.
constexpr int64_t maxDeadlineMs = 24LL * 3600 * 1000;

// Longer names are cut to this length, which bounds the state that admission control keeps.
constexpr size_t maxSubsidiaryLength = 64;

steady_time currentTime()
{
    return std::chrono::steady_clock::now();
}

// Returns the result of an attempt that did not run the request.
attempt_result notRunResult(std::string reason, int status = 0)
{
    attempt_result result;
    result.reason = std::move(reason);
    result.status = status;
    result.canRetry = isRetryable(result.reason);
    return result;
}

// Returns the HTTP status of an error response with this result.
int httpStatusOf(const attempt_result &result)
{
    if (result.status != 0) {
        return result.status;
    }
    if (result.reason == "malformed-request-body") {
        return 400;
    }
    if (result.outcome == request_outcome::NotRun) {
        return 503;
    }
    return result.reason == "deadline-exceeded" ? 504 : 502;
}

} // namespace

routed_request::routed_request(request_router &router, server_exchange &exchange)
    : m_router(router)
    , m_exchange(exchange)
    , m_startedAt(currentTime())
    , m_message(exchange.request())
{ }

void routed_request::serveCaller()
{
    m_requestId = generateRequestId();
    std::optional<attempt_result> result = resolveOperation();
    if (!result) {
        result = resolveKey();
    }
    if (!result) {
        m_router.m_hooks.consumeRetryBudget(false, m_startedAt);
        m_message.set(requestIdHeader, m_requestId);
        m_message.set(rankHeader, m_rank);
        if (!m_subsidiary.empty()) {
            m_message.set(subsidiaryHeader, m_subsidiary);
        }
        if (m_keyHash) {
            m_message.set(keyHashHeader, hashToString(*m_keyHash));
        }
        result = m_keyHash ? routeByHash() : routeToAnyInstance();
    } else {
        logAttempt("", nullptr, *result);
    }
    recordAndRespond(*std::move(result));
}

std::optional<attempt_result> routed_request::resolveOperation()
{
    const std::string deadlineField = m_message.get(deadlineHeader, "");
    readSubsidiary();
    removePersimmonrailFields(m_message);
    auto target = parseTarget(m_message.getURI());
    if (!target.ok()) {
        return notRunResult("invalid-path", 400);
    }
    m_target = *std::move(target);
    m_view = m_router.m_hooks.view();
    if (!m_view) {
        return notRunResult("not-ready");
    }
    const auto document = m_view->documents.find(m_target.service);
    if (document == m_view->documents.end()) {
        return notRunResult("unknown-service", 404);
    }
    m_document = document->second;
    const operation_rule *const operation =
        m_document->findOperation(m_message.getMethod(), m_target.path);
    if (operation == nullptr) {
        return notRunResult("unknown-operation", 404);
    }
    m_rank = operation->rank;
    m_rankIndex = m_document->rankIndex(m_rank);
    m_repeatable = operation->repeatable;
    milliseconds timeout = operation->timeout;
    if (!deadlineField.empty()) {
        int64_t remainingMs = 0;
        if (!absl::SimpleAtoi(deadlineField, &remainingMs) || remainingMs < 0
            || remainingMs > maxDeadlineMs) {
            return notRunResult("invalid-deadline", 400);
        }
        timeout = std::min(timeout, milliseconds(remainingMs));
    }
    m_deadline = m_startedAt + timeout;
    return std::nullopt;
}

void routed_request::readSubsidiary()
{
    m_subsidiary = m_message.get(subsidiaryHeader, "").substr(0, maxSubsidiaryLength);
}

std::optional<attempt_result> routed_request::resolveKey()
{
    if (!m_repeatable) {
        m_idempotencyKey = m_message.get(idempotencyKeyHeader, "");
        if (m_idempotencyKey.empty()) {
            return notRunResult("missing-idempotency-key", 400);
        }
        if (!isUuidV7(m_idempotencyKey)) {
            return notRunResult("invalid-idempotency-key", 400);
        }
    }
    if (m_document->key) {
        const auto key = extractKey(*m_document->key, m_target, m_message);
        if (!key.ok()) {
            return notRunResult(absl::IsNotFound(key.status()) ? "missing-key" : "invalid-key",
                                400);
        }
        m_keyHash = keyHash(*key);
    } else if (!m_repeatable) {
        m_keyHash = keyHash(m_idempotencyKey);
    }
    return std::nullopt;
}

bool routed_request::rewindBody()
{
    return m_exchange.framing().type == body_framing::kind::None || m_exchange.rewind();
}

bool routed_request::prepareRetry(const attempt_result &result)
{
    if (result.outcome == request_outcome::Unknown) {
        m_mayHaveRun = true;
        m_unknownReason = result.reason;
    }
    if (result.responseStarted || result.callerDisconnected || !rewindBody()) {
        return false;
    }
    const steady_time now = currentTime();
    if (now >= m_deadline) {
        return false;
    }
    if (result.outcome == request_outcome::NotRun) {
        return result.canRetry;
    }
    return result.outcome == request_outcome::Unknown && m_repeatable
        && result.reason != "deadline-exceeded" && result.reason != "malformed-request-body"
        && m_router.m_hooks.consumeRetryBudget(true, now);
}

attempt_result routed_request::routeByHash()
{
    for (;;) {
        const steady_time now = currentTime();
        if (const auto ticket = m_router.m_hooks.localLease(m_target.service, *m_keyHash, now)) {
            attempt_result result = runLocally(ticket.get());
            if (!prepareRetry(result)) {
                return result;
            }
        }
        attempt_result result = tryCandidates();
        if (!prepareRetry(result)) {
            return result;
        }
        const steady_time next = currentTime() + m_router.m_options.roundDelay;
        if (next >= m_deadline) {
            return result;
        }
        if (m_exchange.connection().waitUntilClosed(next)) {
            result.callerDisconnected = true;
            return result;
        }
        if (auto view = m_router.m_hooks.view()) {
            m_view = std::move(view);
        }
    }
}

attempt_result routed_request::tryCandidates()
{
    attempt_result result = notRunResult("no-owner");
    result.canRetry = true;
    std::vector<instance_id> tried;
    for (;;) {
        const auto candidates =
            m_router.m_hooks.candidates(*m_view, m_target.service, *m_keyHash, m_holderHint);
        const auto isNew = [&](const member_record &member) {
            return member.id.name != m_router.m_options.instance
                && std::find(tried.begin(), tried.end(), member.id) == tried.end()
                && !m_router.m_forwarder.isUnresponsive(member.peerAddress, currentTime());
        };
        auto next = std::find_if(candidates.begin(), candidates.end(), [&](const auto &member) {
            return member.id.name == m_holderHint && isNew(member);
        });
        if (next == candidates.end()) {
            next = std::find_if(candidates.begin(), candidates.end(), isNew);
        }
        if (next == candidates.end()) {
            return result;
        }
        tried.push_back(next->id);
        result = forwardTo(*next);
        m_holderHint = result.holder;
        if (!prepareRetry(result)) {
            return result;
        }
    }
}

attempt_result routed_request::routeToAnyInstance()
{
    attempt_result result = notRunResult("no-instance");
    std::vector<instance_id> tried;
    for (int attempt = 0; attempt < m_router.m_options.maxInstances; ++attempt) {
        const steady_time startedAt = currentTime();
        const auto member =
            m_router.m_hooks.pickInstance(*m_view, m_target.service, tried, startedAt);
        if (!member) {
            return result;
        }
        tried.push_back(member->id);
        result = member->id.name == m_router.m_options.instance ? runLocally(nullptr)
                                                                : forwardTo(*member);
        const steady_time endedAt = currentTime();
        if (m_router.m_hooks.onAttemptEnd) {
            m_router.m_hooks.onAttemptEnd(m_target.service, *member, result.outcome, result.reason,
                                          endedAt - startedAt, endedAt);
        }
        // Any instance may run the request, so another one may have a free slot. A quarantined
        // request must not crash the next upstream.
        result.canRetry = result.outcome == request_outcome::NotRun
            && result.reason != fingerprinted_body::quarantinedReason;
        if (!prepareRetry(result)) {
            return result;
        }
    }
    return result;
}

attempt_result routed_request::forwardTo(const member_record &member)
{
    const steady_time now = currentTime();
    client_request request;
    request.address = member.peerAddress;
    request.message = m_message;
    const auto remaining = std::chrono::duration_cast<milliseconds>(m_deadline - now);
    request.message.set(deadlineHeader, absl::StrCat(std::max<int64_t>(remaining.count(), 0)));
    if (m_exchange.framing().type != body_framing::kind::None) {
        request.body = &m_exchange;
    }
    request.repeatable = m_repeatable;
    request.deadline = m_deadline;
    request.caller = &m_exchange.connection();
    caller_sink sink(m_exchange, m_requestId);
    const forward_result forwarded = m_router.m_forwarder.forward(std::move(request), sink);
    attempt_result result;
    result.outcome = forwarded.outcome;
    result.reason = forwarded.reason;
    result.retryAfter = forwarded.retryAfter;
    result.canRetry = forwarded.canRetry;
    result.responseStarted = forwarded.responseStarted;
    result.callerDisconnected = forwarded.callerDisconnected;
    result.holder = forwarded.holder;
    if (forwarded.outcome == request_outcome::NotRun && forwarded.status != 503) {
        result.status = forwarded.status;
    }
    logAttempt(member.id.name, nullptr, result);
    return result;
}

attempt_result routed_request::runLocally(const lease_ticket *ticket)
{
    const steady_time now = currentTime();
    const upstream_status status = m_router.m_upstreamClient.status(now);
    attempt_result result;
    if (!status.announcement || status.state == upstream_state::Down) {
        result = notRunResult("upstream-down");
    } else if (status.announcement->service != m_target.service) {
        result = notRunResult("wrong-service");
    } else if (m_repeatable) {
        result = admitAndDispatch(ticket, {});
    } else if (ticket == nullptr) {
        result = notRunResult("not-owner");
    } else {
        result = runAtMostOnce(*ticket, now);
    }
    logAttempt(m_router.m_options.instance, ticket, result);
    return result;
}

attempt_result routed_request::runAtMostOnce(const lease_ticket &ticket, steady_time now)
{
    const auto &hooks = m_router.m_hooks;
    const at_most_once_verdict verdict =
        hooks.beginAtMostOnce(m_target.service, m_idempotencyKey, ticket, now);
    attempt_result result;
    if (verdict.decision == at_most_once_verdict::action::Reject) {
        result.outcome = verdict.outcome;
        result.reason = verdict.reason;
        return result;
    }
    if (verdict.decision == at_most_once_verdict::action::Replay) {
        result.outcome = request_outcome::Run;
        result.reason = "answered-from-record";
        result.responseStarted = true;
        result.callerDisconnected = !sendStored(m_exchange, *verdict.response, m_requestId);
        return result;
    }
    bool endReported = false;
    result = admitAndDispatch(&ticket, [&](std::shared_ptr<const stored_response> response) {
        endReported = true;
        hooks.endAtMostOnce(m_target.service, m_idempotencyKey, request_outcome::Run,
                            std::move(response));
    });
    if (!endReported) {
        hooks.endAtMostOnce(m_target.service, m_idempotencyKey, result.outcome, nullptr);
    }
    return result;
}

attempt_result routed_request::admitAndDispatch(const lease_ticket *ticket,
                                                const caller_sink::store_hook &storeResponse)
{
    if (m_router.m_hooks.rejectsNewRequests(currentTime())) {
        return notRunResult("draining");
    }
    fingerprinted_body body(m_router.m_hooks.quarantine, m_exchange, m_target.service,
                            m_keyHash.value_or(0));
    if (const auto rejection = body.checkQuarantine(m_deadline, currentTime())) {
        attempt_result result = notRunResult(rejection->reason);
        result.retryAfter = rejection->retryAfter;
        return result;
    }
    const admission_result admitted = m_router.m_hooks.admit(
        {m_target.service, m_rankIndex, m_subsidiary, m_deadline}, currentTime());
    if (const auto *const rejection = std::get_if<admission_rejection>(&admitted)) {
        attempt_result result = notRunResult(rejection->reason, 429);
        result.retryAfter = rejection->retryAfter;
        return result;
    }
    // The upstream or the daemon may have begun to stop during the wait for a slot.
    if (m_router.m_hooks.rejectsNewRequests(currentTime())) {
        return notRunResult("draining");
    }
    dispatch_request request;
    request.message = m_message;
    if (m_exchange.framing().type != body_framing::kind::None) {
        request.body = &body;
    }
    request.requestId = m_requestId;
    if (ticket != nullptr) {
        request.partition = ticket->partition();
        request.term = ticket->term();
        request.leaseEnd = [ticket] { return ticket->leaseEnd(); };
    }
    request.keyHash = m_keyHash;
    request.repeatable = m_repeatable;
    request.deadline = m_deadline;
    request.caller = &m_exchange.connection();
    caller_sink sink(m_exchange, m_requestId, storeResponse);
    body.recordDispatch();
    const steady_time dispatchedAt = currentTime();
    const dispatch_result dispatched =
        m_router.m_upstreamClient.dispatch(request, sink, dispatchedAt);
    const steady_time endedAt = currentTime();
    body.recordEnd(dispatched, endedAt);
    std::get<std::unique_ptr<admission_ticket>>(admitted)->finish(
        dispatched.outcome, dispatched.reason, endedAt - dispatchedAt, endedAt);
    attempt_result result;
    result.outcome = dispatched.outcome;
    result.reason = dispatched.reason;
    result.retryAfter = dispatched.retryAfter;
    result.responseStarted = dispatched.responseStarted;
    result.callerDisconnected = dispatched.callerDisconnected;
    result.canRetry = isRetryable(dispatched.reason);
    return result;
}

void routed_request::logAttempt(std::string_view instance, const lease_ticket *ticket,
                                const attempt_result &result)
{
    decision entry;
    entry.kind = "route";
    entry.requestId = m_requestId;
    entry.service = m_target.service;
    entry.keyHash = m_keyHash.value_or(0);
    entry.hasKeyHash = m_keyHash.has_value();
    if (ticket != nullptr) {
        entry.partition = ticket->partition();
        entry.term = ticket->term();
    }
    entry.instance = instance;
    entry.outcome = toString(result.outcome);
    entry.reason = result.reason;
    m_router.m_log.write(entry);
}

void routed_request::recordAndRespond(attempt_result result)
{
    if (m_mayHaveRun && result.outcome == request_outcome::NotRun) {
        result.outcome = request_outcome::Unknown;
        result.reason = m_unknownReason;
        result.status = 0;
    }
    // The names of unknown services are chosen by callers. As label values, these names would make
    // the number of time series unbounded.
    const std::string service = m_document ? m_document->service : std::string();
    m_router.m_metrics.recordLatency(service, m_rank, result.outcome, currentTime() - m_startedAt);
    m_router.m_metrics.count("persimmonrail_answers_total",
                             absl::StrCat("service=\"", escapeLabel(service), "\",outcome=\"",
                                          std::string(toString(result.outcome)), "\",reason=\"",
                                          escapeLabel(result.reason), "\""));
    if (!result.responseStarted && !result.callerDisconnected) {
        respondWithError(result);
    }
}

void routed_request::respondWithError(const attempt_result &result)
{
    if (m_requestId.empty()) {
        m_requestId = generateRequestId();
    }
    const std::string outcome(toString(result.outcome));
    Poco::JSON::Object body;
    body.set("outcome", outcome);
    body.set("reason", result.reason);
    body.set("request_id", m_requestId);
    std::ostringstream text;
    body.stringify(text);
    const int status = httpStatusOf(result);
    Poco::Net::HTTPResponse head(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    head.setContentType("application/json");
    head.set(outcomeHeader, outcome);
    head.set(reasonHeader, result.reason);
    head.set(requestIdHeader, m_requestId);
    if (!result.holder.empty()) {
        head.set(holderHeader, result.holder);
    }
    if (status == 503 || status == 429) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(result.retryAfter).count();
        head.set("Retry-After", absl::StrCat(std::max<int64_t>(seconds, 1)));
    }
    m_exchange.respond(head, text.str());
}

void routed_request::servePeer()
{
    m_requestId = m_message.get(requestIdHeader, "");
    m_rank = m_message.get(rankHeader, "");
    const std::string hash = m_message.get(keyHashHeader, "");
    uint64_t hashValue = 0;
    int64_t remainingMs = 0;
    auto target = parseTarget(m_message.getURI());
    if (!target.ok() || m_requestId.empty()
        || !absl::SimpleAtoi(m_message.get(deadlineHeader, ""), &remainingMs) || remainingMs < 0
        || remainingMs > maxDeadlineMs
        || (!hash.empty() && !absl::SimpleHexAtoi(hash, &hashValue))) {
        return respondWithError(notRunResult("malformed-forwarded-request", 400));
    }
    readSubsidiary();
    removePersimmonrailFields(m_message);
    m_target = *std::move(target);
    m_deadline = m_startedAt + milliseconds(remainingMs);
    m_view = m_router.m_hooks.view();
    if (m_view) {
        const auto document = m_view->documents.find(m_target.service);
        m_document = document == m_view->documents.end() ? nullptr : document->second;
    }
    m_idempotencyKey = m_message.get(idempotencyKeyHeader, "");
    const operation_rule *const operation =
        m_document ? m_document->findOperation(m_message.getMethod(), m_target.path) : nullptr;
    // The ingress daemon may have another version of the service document, so the request counts as
    // repeatable only if neither daemon may regard it otherwise. A request that the ingress daemon
    // does not regard as repeatable carries an idempotency key.
    m_repeatable = operation != nullptr && operation->repeatable && !isUuidV7(m_idempotencyKey);
    m_rankIndex = m_document ? m_document->rankIndex(m_rank) : 0;
    if (hash.empty()) {
        const attempt_result result = runLocally(nullptr);
        if (!result.responseStarted && !result.callerDisconnected) {
            respondWithError(result);
        }
        return;
    }
    m_keyHash = hashValue;
    const auto ticket = m_router.m_hooks.localLease(m_target.service, hashValue, m_startedAt);
    attempt_result result = notRunResult("not-owner");
    if (ticket) {
        result = runLocally(ticket.get());
    } else {
        result.holder = m_router.m_hooks.holderHint(m_target.service, hashValue);
        logAttempt("", nullptr, result);
    }
    if (!result.responseStarted && !result.callerDisconnected) {
        respondWithError(result);
    }
}

} // namespace persimmonrail
