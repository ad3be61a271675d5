#include "persimmonrail/gateway/routed_request.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/base/path_reading.h"
#include "persimmonrail/gateway/caller_sink.h"
#include "persimmonrail/gateway/error_response.h"
#include "persimmonrail/gateway/gateway_fields.h"
#include "persimmonrail/gateway/local_attempt.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

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

} // namespace

routed_request::routed_request(request_router &router, server_exchange &exchange)
    : m_router(router)
    , m_exchange(exchange)
    , m_startedAt(currentTime())
{
    m_request.message = exchange.request();
}

void routed_request::serveCaller()
{
    m_request.id = generateRequestId();
    std::optional<attempt_result> result = resolveOperation();
    if (!result) {
        result = resolveKey();
    }
    if (!result) {
        m_router.m_hooks.consumeRetryBudget(false, m_startedAt);
        m_request.message.set(requestIdHeader, m_request.id);
        m_request.message.set(rankHeader, m_request.rank);
        if (!m_request.subsidiary.empty()) {
            m_request.message.set(subsidiaryHeader, m_request.subsidiary);
        }
        if (m_request.keyHash) {
            m_request.message.set(keyHashHeader, hashToString(*m_request.keyHash));
        }
        result = m_request.keyHash ? routeByHash() : routeToAnyInstance();
    } else {
        logAttempt("", nullptr, *result);
    }
    recordAndRespond(*std::move(result));
}

std::optional<attempt_result> routed_request::resolveOperation()
{
    if (!checkGuardedFields(m_request.message, callerFields()).ok()) {
        return notRunResult("malformed-request", 400);
    }
    const std::string deadlineField = m_request.message.get(deadlineHeader, "");
    readSubsidiary();
    removePersimmonrailFields(m_request.message);
    auto target = parseTarget(m_request.message.getURI());
    if (!target.ok()) {
        return notRunResult("invalid-path", 400);
    }
    m_request.target = *std::move(target);
    m_view = m_router.m_hooks.view();
    if (!m_view) {
        return notRunResult("not-ready");
    }
    const auto document = m_view->documents.find(m_request.target.service);
    if (document == m_view->documents.end()) {
        return notRunResult("unknown-service", 404);
    }
    m_document = document->second;
    const operation_rule *const operation =
        m_document->findOperation(m_request.message.getMethod(), m_request.target.path);
    if (operation == nullptr) {
        return notRunResult("unknown-operation", 404);
    }
    if (!hasOneOperation(*operation)) {
        return notRunResult("invalid-path", 400);
    }
    m_request.rank = operation->rank;
    m_request.rankIndex = m_document->rankIndex(m_request.rank);
    m_request.repeatable = operation->repeatable;
    milliseconds timeout = operation->timeout;
    if (!deadlineField.empty()) {
        int64_t remainingMs = 0;
        if (!absl::SimpleAtoi(deadlineField, &remainingMs) || remainingMs < 0
            || remainingMs > maxDeadlineMs) {
            return notRunResult("invalid-deadline", 400);
        }
        timeout = std::min(timeout, milliseconds(remainingMs));
    }
    m_request.deadline = m_startedAt + timeout;
    m_exchange.setDeadline(m_request.deadline);
    return std::nullopt;
}

bool routed_request::hasOneOperation(const operation_rule &operation) const
{
    const std::string &path = m_request.target.path;
    if (!hasSeveralReadings(path)) {
        return true;
    }
    const auto decoded = decodePath(path);
    return decoded.ok()
        && m_document->findOperation(m_request.message.getMethod(), *decoded) == &operation;
}

void routed_request::readSubsidiary()
{
    m_request.subsidiary =
        m_request.message.get(subsidiaryHeader, "").substr(0, maxSubsidiaryLength);
}

std::optional<attempt_result> routed_request::resolveKey()
{
    if (!m_request.repeatable) {
        m_request.idempotencyKey = m_request.message.get(idempotencyKeyHeader, "");
        if (m_request.idempotencyKey.empty()) {
            return notRunResult("missing-idempotency-key", 400);
        }
        if (!isUuidV7(m_request.idempotencyKey)) {
            return notRunResult("invalid-idempotency-key", 400);
        }
    }
    if (m_document->key) {
        const auto key = extractKey(*m_document->key, m_request.target, m_request.message);
        if (!key.ok()) {
            return notRunResult(absl::IsNotFound(key.status()) ? "missing-key" : "invalid-key",
                                400);
        }
        m_request.keyHash = keyHash(*key);
    } else if (!m_request.repeatable) {
        m_request.keyHash = keyHash(m_request.idempotencyKey);
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
    if (now >= m_request.deadline) {
        return false;
    }
    if (result.outcome == request_outcome::NotRun) {
        return result.canRetry;
    }
    return result.outcome == request_outcome::Unknown && m_request.repeatable
        && result.reason != "deadline-exceeded" && result.reason != "malformed-request-body"
        && m_router.m_hooks.consumeRetryBudget(true, now);
}

attempt_result routed_request::routeByHash()
{
    for (;;) {
        const steady_time now = currentTime();
        if (const auto ticket =
                m_router.m_hooks.localLease(m_request.target.service, *m_request.keyHash, now)) {
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
        if (next >= m_request.deadline) {
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
        const auto candidates = m_router.m_hooks.candidates(*m_view, m_request.target.service,
                                                            *m_request.keyHash, m_holderHint);
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
            m_router.m_hooks.pickInstance(*m_view, m_request.target.service, tried, startedAt);
        if (!member) {
            return result;
        }
        tried.push_back(member->id);
        result = member->id.name == m_router.m_options.instance ? runLocally(nullptr)
                                                                : forwardTo(*member);
        const steady_time endedAt = currentTime();
        if (m_router.m_hooks.onAttemptEnd) {
            m_router.m_hooks.onAttemptEnd(m_request.target.service, *member, result.outcome,
                                          result.reason, endedAt - startedAt, endedAt);
        }
        // Any instance may run the request, so another one may have a free slot. A quarantined
        // request must not crash the next upstream.
        result.canRetry =
            result.outcome == request_outcome::NotRun && result.reason != quarantinedReason;
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
    request.message = m_request.message;
    const auto remaining = std::chrono::duration_cast<milliseconds>(m_request.deadline - now);
    request.message.set(deadlineHeader, absl::StrCat(std::max<int64_t>(remaining.count(), 0)));
    if (m_exchange.framing().type != body_framing::kind::None) {
        request.body = &m_exchange;
    }
    request.repeatable = m_request.repeatable;
    request.deadline = m_request.deadline;
    request.caller = &m_exchange.connection();
    caller_sink sink(m_exchange, m_request.id);
    const forward_result forwarded = m_router.m_forwarder.forward(std::move(request), sink);
    attempt_result result = toAttemptResult(forwarded, forwarded.canRetry);
    result.holder = forwarded.holder;
    if (forwarded.outcome == request_outcome::NotRun && forwarded.status != 503) {
        result.status = forwarded.status;
    }
    logAttempt(member.id.name, nullptr, result);
    return result;
}

attempt_result routed_request::runLocally(const lease_ticket *ticket)
{
    local_attempt attempt(m_router.m_hooks, m_router.m_upstreamClient, m_exchange, m_request);
    attempt_result result = attempt.run(ticket);
    logAttempt(m_router.m_options.instance, ticket, result);
    return result;
}

void routed_request::logAttempt(std::string_view instance, const lease_ticket *ticket,
                                const attempt_result &result)
{
    decision entry;
    entry.kind = "route";
    entry.requestId = m_request.id;
    entry.service = m_request.target.service;
    entry.keyHash = m_request.keyHash.value_or(0);
    entry.hasKeyHash = m_request.keyHash.has_value();
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
    m_router.m_metrics.recordLatency(service, m_request.rank, result.outcome,
                                     currentTime() - m_startedAt);
    m_router.m_metrics.count("persimmonrail_answers_total",
                             absl::StrCat("service=\"", escapeLabel(service), "\",outcome=\"",
                                          std::string(toString(result.outcome)), "\",reason=\"",
                                          escapeLabel(result.reason), "\""));
    respondUnlessStarted(result);
}

void routed_request::respondUnlessStarted(const attempt_result &result)
{
    if (!result.responseStarted && !result.callerDisconnected) {
        sendErrorResponse(m_exchange, m_request.id, result);
    }
}

void routed_request::servePeer()
{
    m_request.id = m_request.message.get(requestIdHeader, "");
    m_request.rank = m_request.message.get(rankHeader, "");
    const std::string hash = m_request.message.get(keyHashHeader, "");
    uint64_t hashValue = 0;
    int64_t remainingMs = 0;
    auto target = parseTarget(m_request.message.getURI());
    if (!target.ok() || !checkGuardedFields(m_request.message, forwardedFields()).ok()
        || m_request.id.empty()
        || !absl::SimpleAtoi(m_request.message.get(deadlineHeader, ""), &remainingMs)
        || remainingMs < 0 || remainingMs > maxDeadlineMs
        || (!hash.empty() && !absl::SimpleHexAtoi(hash, &hashValue))) {
        return respondUnlessStarted(notRunResult("malformed-forwarded-request", 400));
    }
    readSubsidiary();
    removePersimmonrailFields(m_request.message);
    m_request.target = *std::move(target);
    m_request.deadline = m_startedAt + milliseconds(remainingMs);
    m_exchange.setDeadline(m_request.deadline);
    m_view = m_router.m_hooks.view();
    if (m_view) {
        const auto document = m_view->documents.find(m_request.target.service);
        m_document = document == m_view->documents.end() ? nullptr : document->second;
    }
    m_request.idempotencyKey = m_request.message.get(idempotencyKeyHeader, "");
    const operation_rule *const operation = m_document
        ? m_document->findOperation(m_request.message.getMethod(), m_request.target.path)
        : nullptr;
    // The ingress daemon may have another version of the service document, so the request counts as
    // repeatable only if neither daemon may regard it otherwise. A request that the ingress daemon
    // does not regard as repeatable carries an idempotency key.
    m_request.repeatable =
        operation != nullptr && operation->repeatable && !isUuidV7(m_request.idempotencyKey);
    m_request.rankIndex = m_document ? m_document->rankIndex(m_request.rank) : 0;
    if (hash.empty()) {
        return respondUnlessStarted(runLocally(nullptr));
    }
    m_request.keyHash = hashValue;
    const auto ticket =
        m_router.m_hooks.localLease(m_request.target.service, hashValue, m_startedAt);
    attempt_result result = notRunResult("not-owner");
    if (ticket) {
        result = runLocally(ticket.get());
    } else {
        result.holder = m_router.m_hooks.holderHint(m_request.target.service, hashValue);
        logAttempt("", nullptr, result);
    }
    respondUnlessStarted(result);
}

} // namespace persimmonrail
