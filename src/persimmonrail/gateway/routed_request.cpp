#include "persimmonrail/gateway/routed_request.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/gateway/crash_watch.h"

#include <Poco/JSON/Object.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>
#include <sstream>

namespace persimmonrail {
namespace {

// Longest remaining time that a request may state; larger values are malformed.
constexpr int64_t maxDeadlineMs = 24LL * 3600 * 1000;

// Longer names are cut, so that admission control keeps bounded state.
constexpr size_t maxSubsidiaryLength = 64;

steady_time currentTime()
{
    return std::chrono::steady_clock::now();
}

attempt_result notRun(std::string reason, int status = 0)
{
    attempt_result result;
    result.reason = std::move(reason);
    result.status = status;
    result.tryNext = isRetryable(result.reason);
    return result;
}

int statusOf(const attempt_result &result)
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

routed_request::routed_request(request_router &path, server_exchange &exchange)
    : m_router(path)
    , m_exchange(exchange)
    , m_start(currentTime())
    , m_message(exchange.request())
{ }

void routed_request::serveCaller()
{
    m_requestId = generateRequestId();
    std::optional<attempt_result> ended = findOperation();
    if (!ended) {
        ended = findKey();
    }
    if (!ended) {
        m_router.m_hooks.retryBudget(false, m_start);
        m_message.set(requestIdHeader, m_requestId);
        m_message.set(rankHeader, m_rank);
        if (!m_subsidiary.empty()) {
            m_message.set(subsidiaryHeader, m_subsidiary);
        }
        if (m_hash) {
            m_message.set(keyHashHeader, hashToString(*m_hash));
        }
        ended = m_hash ? routeByHash() : routeToAny();
    } else {
        logAttempt("", nullptr, *ended);
    }
    finish(*std::move(ended));
}

std::optional<attempt_result> routed_request::findOperation()
{
    const std::string statedDeadline = m_message.get(deadlineHeader, "");
    takeSubsidiary();
    removeOwnFields(m_message);
    auto target = parseTarget(m_message.getURI());
    if (!target.ok()) {
        return notRun("invalid-path", 400);
    }
    m_target = *std::move(target);
    m_view = m_router.m_hooks.view();
    if (!m_view) {
        return notRun("not-ready");
    }
    const auto document = m_view->documents.find(m_target.service);
    if (document == m_view->documents.end()) {
        return notRun("unknown-service", 404);
    }
    m_document = document->second;
    const operation_rule *const operation =
        m_document->findOperation(m_message.getMethod(), m_target.path);
    if (operation == nullptr) {
        return notRun("unknown-operation", 404);
    }
    m_rank = operation->rank;
    m_rankIndex = m_document->rankIndex(m_rank);
    m_repeatable = operation->repeatable;
    milliseconds timeout = operation->timeout;
    if (!statedDeadline.empty()) {
        int64_t stated = 0;
        if (!absl::SimpleAtoi(statedDeadline, &stated) || stated < 0 || stated > maxDeadlineMs) {
            return notRun("invalid-deadline", 400);
        }
        timeout = std::min(timeout, milliseconds(stated));
    }
    m_deadline = m_start + timeout;
    return std::nullopt;
}

void routed_request::takeSubsidiary()
{
    m_subsidiary = m_message.get(subsidiaryHeader, "").substr(0, maxSubsidiaryLength);
}

std::optional<attempt_result> routed_request::findKey()
{
    if (!m_repeatable) {
        m_idempotencyKey = m_message.get(idempotencyKeyHeader, "");
        if (m_idempotencyKey.empty()) {
            return notRun("missing-idempotency-key", 400);
        }
        if (!isUuidV7(m_idempotencyKey)) {
            return notRun("invalid-idempotency-key", 400);
        }
    }
    if (m_document->key) {
        const auto key = extractKey(*m_document->key, m_target, m_message);
        if (!key.ok()) {
            return notRun(absl::IsNotFound(key.status()) ? "missing-key" : "invalid-key", 400);
        }
        m_hash = keyHash(*key);
    } else if (!m_repeatable) {
        m_hash = keyHash(m_idempotencyKey);
    }
    return std::nullopt;
}

bool routed_request::prepareBody()
{
    return m_exchange.framing().type == body_framing::kind::None || m_exchange.rewind();
}

bool routed_request::mayContinue(const attempt_result &result)
{
    if (result.outcome == request_outcome::Unknown) {
        m_mayHaveRun = true;
        m_unknownReason = result.reason;
    }
    if (result.responseStarted || result.callerDisconnected || !prepareBody()) {
        return false;
    }
    const steady_time now = currentTime();
    if (now >= m_deadline) {
        return false;
    }
    if (result.outcome == request_outcome::NotRun) {
        return result.tryNext;
    }
    return result.outcome == request_outcome::Unknown && m_repeatable
        && result.reason != "deadline-exceeded" && result.reason != "malformed-request-body"
        && m_router.m_hooks.retryBudget(true, now);
}

attempt_result routed_request::routeByHash()
{
    for (;;) {
        const steady_time now = currentTime();
        if (const auto ticket = m_router.m_hooks.localLease(m_target.service, *m_hash, now)) {
            attempt_result result = runLocal(ticket.get());
            if (!mayContinue(result)) {
                return result;
            }
        }
        attempt_result result = tryCandidates();
        if (!mayContinue(result)) {
            return result;
        }
        const steady_time next = currentTime() + m_router.m_options.roundPause;
        if (next >= m_deadline) {
            return result;
        }
        if (m_exchange.connection().waitClosed(next)) {
            result.callerDisconnected = true;
            return result;
        }
        if (auto view = m_router.m_hooks.view()) {
            m_view = std::move(view);
        }
    }
}

// One round over the candidates. A holder named by one of them is tried next.
attempt_result routed_request::tryCandidates()
{
    attempt_result result = notRun("no-owner");
    result.tryNext = true;
    std::vector<instance_id> tried;
    for (;;) {
        const auto candidates =
            m_router.m_hooks.candidates(*m_view, m_target.service, *m_hash, m_holderHint);
        const auto isNew = [&](const member_record &member) {
            return member.id.name != m_router.m_options.instance
                && std::find(tried.begin(), tried.end(), member.id) == tried.end()
                && !m_router.m_forwarder.isSilent(member.peerAddress, currentTime());
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
        if (!mayContinue(result)) {
            return result;
        }
    }
}

attempt_result routed_request::routeToAny()
{
    attempt_result result = notRun("no-instance");
    std::vector<instance_id> tried;
    for (int attempt = 0; attempt < m_router.m_options.maxInstances; ++attempt) {
        const steady_time started = currentTime();
        const auto member =
            m_router.m_hooks.pickInstance(*m_view, m_target.service, tried, started);
        if (!member) {
            return result;
        }
        tried.push_back(member->id);
        result =
            member->id.name == m_router.m_options.instance ? runLocal(nullptr) : forwardTo(*member);
        const steady_time ended = currentTime();
        if (m_router.m_hooks.attemptEnded) {
            m_router.m_hooks.attemptEnded(m_target.service, *member, result.outcome, result.reason,
                                          ended - started, ended);
        }
        // Any instance may run the request, so another one may have room for it. One that crashed
        // an upstream must not reach the next.
        result.tryNext = result.outcome == request_outcome::NotRun
            && result.reason != crash_watch::refusalReason;
        if (!mayContinue(result)) {
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
    const auto left = std::chrono::duration_cast<milliseconds>(m_deadline - now);
    request.message.set(deadlineHeader, absl::StrCat(std::max<int64_t>(left.count(), 0)));
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
    result.tryNext = forwarded.tryNext;
    result.responseStarted = forwarded.responseStarted;
    result.callerDisconnected = forwarded.callerDisconnected;
    result.holder = forwarded.holder;
    if (forwarded.outcome == request_outcome::NotRun && forwarded.status != 503) {
        result.status = forwarded.status;
    }
    logAttempt(member.id.name, nullptr, result);
    return result;
}

attempt_result routed_request::runLocal(const lease_ticket *ticket)
{
    const steady_time now = currentTime();
    const upstream_status status = m_router.m_upstreamClient.status(now);
    attempt_result result;
    if (!status.announcement || status.state == upstream_state::Down) {
        result = notRun("upstream-down");
    } else if (status.announcement->service != m_target.service) {
        result = notRun("wrong-service");
    } else if (m_repeatable) {
        result = admitAndDispatch(ticket, {});
    } else if (ticket == nullptr) {
        result = notRun("not-owner");
    } else {
        result = runAtMostOnce(*ticket, now);
    }
    logAttempt(m_router.m_options.instance, ticket, result);
    return result;
}

attempt_result routed_request::runAtMostOnce(const lease_ticket &ticket, steady_time now)
{
    const auto &hooks = m_router.m_hooks;
    const at_most_once_verdict decision =
        hooks.atMostOnceBegin(m_target.service, m_idempotencyKey, ticket, now);
    attempt_result result;
    if (decision.what == at_most_once_verdict::action::Refuse) {
        result.outcome = decision.outcome;
        result.reason = decision.reason;
        return result;
    }
    if (decision.what == at_most_once_verdict::action::Replay) {
        result.outcome = request_outcome::Run;
        result.reason = "answered-from-record";
        result.responseStarted = true;
        result.callerDisconnected = !sendStored(m_exchange, *decision.response, m_requestId);
        return result;
    }
    bool ended = false;
    result = admitAndDispatch(&ticket, [&](std::shared_ptr<const stored_response> response) {
        ended = true;
        hooks.atMostOnceEnd(m_target.service, m_idempotencyKey, request_outcome::Run,
                            std::move(response));
    });
    if (!ended) {
        hooks.atMostOnceEnd(m_target.service, m_idempotencyKey, result.outcome, nullptr);
    }
    return result;
}

attempt_result routed_request::admitAndDispatch(const lease_ticket *ticket,
                                                const caller_sink::keep_hook &keep)
{
    if (m_router.m_hooks.refusesNewWork(currentTime())) {
        return notRun("draining");
    }
    crash_watch watch(m_router.m_hooks.quarantine, m_exchange, m_target.service,
                      m_hash.value_or(0));
    if (const auto refusal = watch.refusal(m_deadline, currentTime())) {
        attempt_result result = notRun(refusal->reason);
        result.retryAfter = refusal->retryAfter;
        return result;
    }
    const admission_result admitted = m_router.m_hooks.admit(
        {m_target.service, m_rankIndex, m_subsidiary, m_deadline}, currentTime());
    if (const auto *const refusal = std::get_if<admission_refusal>(&admitted)) {
        attempt_result result = notRun(refusal->reason, 429);
        result.retryAfter = refusal->retryAfter;
        return result;
    }
    // The wait for a slot may have passed the time from which no new work is taken.
    if (m_router.m_hooks.refusesNewWork(currentTime())) {
        return notRun("draining");
    }
    dispatch_request request;
    request.message = m_message;
    if (m_exchange.framing().type != body_framing::kind::None) {
        request.body = &watch;
    }
    request.requestId = m_requestId;
    if (ticket != nullptr) {
        request.partition = ticket->partition();
        request.term = ticket->term();
        request.leaseEnd = [ticket] { return ticket->leaseEnd(); };
    }
    request.keyHash = m_hash;
    request.repeatable = m_repeatable;
    request.deadline = m_deadline;
    request.caller = &m_exchange.connection();
    caller_sink sink(m_exchange, m_requestId, keep);
    watch.begin();
    const steady_time dispatchedAt = currentTime();
    const dispatch_result dispatched =
        m_router.m_upstreamClient.dispatch(request, sink, dispatchedAt);
    const steady_time endedAt = currentTime();
    watch.end(dispatched, endedAt);
    std::get<std::unique_ptr<admission_ticket>>(admitted)->finish(
        dispatched.outcome, dispatched.reason, endedAt - dispatchedAt, endedAt);
    attempt_result result;
    result.outcome = dispatched.outcome;
    result.reason = dispatched.reason;
    result.retryAfter = dispatched.retryAfter;
    result.responseStarted = dispatched.responseStarted;
    result.callerDisconnected = dispatched.callerDisconnected;
    result.tryNext = isRetryable(dispatched.reason);
    return result;
}

void routed_request::logAttempt(std::string_view instance, const lease_ticket *ticket,
                                const attempt_result &result)
{
    decision line;
    line.kind = "route";
    line.requestId = m_requestId;
    line.service = m_target.service;
    line.keyHash = m_hash.value_or(0);
    line.hasKeyHash = m_hash.has_value();
    if (ticket != nullptr) {
        line.partition = ticket->partition();
        line.term = ticket->term();
    }
    line.instance = instance;
    line.outcome = toString(result.outcome);
    line.reason = result.reason;
    m_router.m_log.write(line);
}

void routed_request::finish(attempt_result result)
{
    if (m_mayHaveRun && result.outcome == request_outcome::NotRun) {
        result.outcome = request_outcome::Unknown;
        result.reason = m_unknownReason;
        result.status = 0;
    }
    // Names of unknown services come from callers and would make the number of series unbounded.
    const std::string service = m_document ? m_document->service : std::string();
    m_router.m_metrics.recordLatency(service, m_rank, result.outcome, currentTime() - m_start);
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
    const int status = statusOf(result);
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
    int64_t left = 0;
    auto target = parseTarget(m_message.getURI());
    if (!target.ok() || m_requestId.empty()
        || !absl::SimpleAtoi(m_message.get(deadlineHeader, ""), &left) || left < 0
        || left > maxDeadlineMs || (!hash.empty() && !absl::SimpleHexAtoi(hash, &hashValue))) {
        return respondWithError(notRun("malformed-forwarded-request", 400));
    }
    takeSubsidiary();
    removeOwnFields(m_message);
    m_target = *std::move(target);
    m_deadline = m_start + milliseconds(left);
    m_view = m_router.m_hooks.view();
    if (m_view) {
        const auto document = m_view->documents.find(m_target.service);
        m_document = document == m_view->documents.end() ? nullptr : document->second;
    }
    m_idempotencyKey = m_message.get(idempotencyKeyHeader, "");
    const operation_rule *const operation =
        m_document ? m_document->findOperation(m_message.getMethod(), m_target.path) : nullptr;
    // The ingress daemon may know another version of the document. A request is treated as
    // repeatable only if neither side has a reason to think otherwise.
    m_repeatable = operation != nullptr && operation->repeatable && !isUuidV7(m_idempotencyKey);
    m_rankIndex = m_document ? m_document->rankIndex(m_rank) : 0;
    if (hash.empty()) {
        const attempt_result result = runLocal(nullptr);
        if (!result.responseStarted && !result.callerDisconnected) {
            respondWithError(result);
        }
        return;
    }
    m_hash = hashValue;
    const auto ticket = m_router.m_hooks.localLease(m_target.service, hashValue, m_start);
    attempt_result result = notRun("not-owner");
    if (ticket) {
        result = runLocal(ticket.get());
    } else {
        result.holder = m_router.m_hooks.holderHint(m_target.service, hashValue);
        logAttempt("", nullptr, result);
    }
    if (!result.responseStarted && !result.callerDisconnected) {
        respondWithError(result);
    }
}

} // namespace persimmonrail
