#include "persimmonrail/gateway/request_call.h"

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

call_result notRun(std::string reason, int status = 0)
{
    call_result result;
    result.reason = std::move(reason);
    result.status = status;
    result.tryNext = isPassing(result.reason);
    return result;
}

int statusOf(const call_result &result)
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

request_call::request_call(request_path &path, server_exchange &exchange)
    : m_path(path)
    , m_exchange(exchange)
    , m_start(currentTime())
    , m_message(exchange.request())
{ }

void request_call::serveCaller()
{
    m_requestId = drawRequestId();
    std::optional<call_result> ended = findOperation();
    if (!ended) {
        ended = findKey();
    }
    if (!ended) {
        m_path.m_hooks.retryBudget(false, m_start);
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

std::optional<call_result> request_call::findOperation()
{
    const std::string statedDeadline = m_message.get(deadlineHeader, "");
    takeSubsidiary();
    removeOwnFields(m_message);
    auto target = parseTarget(m_message.getURI());
    if (!target.ok()) {
        return notRun("invalid-path", 400);
    }
    m_target = *std::move(target);
    m_view = m_path.m_hooks.view();
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

void request_call::takeSubsidiary()
{
    m_subsidiary = m_message.get(subsidiaryHeader, "").substr(0, maxSubsidiaryLength);
}

std::optional<call_result> request_call::findKey()
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

bool request_call::prepareBody()
{
    return m_exchange.framing().type == body_framing::kind::None || m_exchange.rewind();
}

bool request_call::mayContinue(const call_result &result)
{
    if (result.outcome == request_outcome::Unknown) {
        m_mayHaveRun = true;
        m_unknownReason = result.reason;
    }
    if (result.answerStarted || result.callerGone || !prepareBody()) {
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
        && m_path.m_hooks.retryBudget(true, now);
}

call_result request_call::routeByHash()
{
    for (;;) {
        const steady_time now = currentTime();
        if (const auto ticket = m_path.m_hooks.localLease(m_target.service, *m_hash, now)) {
            call_result result = runLocal(ticket.get());
            if (!mayContinue(result)) {
                return result;
            }
        }
        call_result result = tryCandidates();
        if (!mayContinue(result)) {
            return result;
        }
        const steady_time next = currentTime() + m_path.m_options.roundPause;
        if (next >= m_deadline) {
            return result;
        }
        if (m_exchange.connection().waitClosed(next)) {
            result.callerGone = true;
            return result;
        }
        if (auto view = m_path.m_hooks.view()) {
            m_view = std::move(view);
        }
    }
}

// One round over the candidates. A holder named by one of them is tried next.
call_result request_call::tryCandidates()
{
    call_result result = notRun("no-owner");
    result.tryNext = true;
    std::vector<instance_id> tried;
    for (;;) {
        const auto candidates =
            m_path.m_hooks.candidates(*m_view, m_target.service, *m_hash, m_holderHint);
        const auto isNew = [&](const member_record &member) {
            return member.id.name != m_path.m_options.instance
                && std::find(tried.begin(), tried.end(), member.id) == tried.end()
                && !m_path.m_forwarder.isSilent(member.peerAddress, currentTime());
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

call_result request_call::routeToAny()
{
    call_result result = notRun("no-instance");
    std::vector<instance_id> tried;
    for (int attempt = 0; attempt < m_path.m_options.maxInstances; ++attempt) {
        const steady_time started = currentTime();
        const auto member = m_path.m_hooks.pickInstance(*m_view, m_target.service, tried, started);
        if (!member) {
            return result;
        }
        tried.push_back(member->id);
        result =
            member->id.name == m_path.m_options.instance ? runLocal(nullptr) : forwardTo(*member);
        const steady_time ended = currentTime();
        if (m_path.m_hooks.attemptEnded) {
            m_path.m_hooks.attemptEnded(m_target.service, *member, result.outcome, result.reason,
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

call_result request_call::forwardTo(const member_record &member)
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
    const forward_result forwarded = m_path.m_forwarder.forward(std::move(request), sink);
    call_result result;
    result.outcome = forwarded.outcome;
    result.reason = forwarded.reason;
    result.retryAfter = forwarded.retryAfter;
    result.tryNext = forwarded.tryNext;
    result.answerStarted = forwarded.answerStarted;
    result.callerGone = forwarded.callerGone;
    result.holder = forwarded.holder;
    if (forwarded.outcome == request_outcome::NotRun && forwarded.status != 503) {
        result.status = forwarded.status;
    }
    logAttempt(member.id.name, nullptr, result);
    return result;
}

call_result request_call::runLocal(const lease_ticket *ticket)
{
    const steady_time now = currentTime();
    const upstream_status status = m_path.m_guard.status(now);
    call_result result;
    if (!status.announcement || status.state == upstream_state::Down) {
        result = notRun("upstream-down");
    } else if (status.announcement->service != m_target.service) {
        result = notRun("wrong-service");
    } else if (m_repeatable) {
        result = admitAndHandOver(ticket, {});
    } else if (ticket == nullptr) {
        result = notRun("not-owner");
    } else {
        result = runAtMostOnce(*ticket, now);
    }
    logAttempt(m_path.m_options.instance, ticket, result);
    return result;
}

call_result request_call::runAtMostOnce(const lease_ticket &ticket, steady_time now)
{
    const auto &hooks = m_path.m_hooks;
    const at_most_once_verdict decision =
        hooks.atMostOnceBegin(m_target.service, m_idempotencyKey, ticket, now);
    call_result result;
    if (decision.what == at_most_once_verdict::action::Refuse) {
        result.outcome = decision.outcome;
        result.reason = decision.reason;
        return result;
    }
    if (decision.what == at_most_once_verdict::action::Replay) {
        result.outcome = request_outcome::Run;
        result.reason = "answered-from-record";
        result.answerStarted = true;
        result.callerGone = !sendStored(m_exchange, *decision.answer, m_requestId);
        return result;
    }
    bool ended = false;
    result = admitAndHandOver(&ticket, [&](std::shared_ptr<const kept_answer> answer) {
        ended = true;
        hooks.atMostOnceEnd(m_target.service, m_idempotencyKey, request_outcome::Run,
                            std::move(answer));
    });
    if (!ended) {
        hooks.atMostOnceEnd(m_target.service, m_idempotencyKey, result.outcome, nullptr);
    }
    return result;
}

call_result request_call::admitAndHandOver(const lease_ticket *ticket,
                                           const caller_sink::keep_hook &keep)
{
    if (m_path.m_hooks.refusesNewWork(currentTime())) {
        return notRun("draining");
    }
    crash_watch watch(m_path.m_hooks.quarantine, m_exchange, m_target.service, m_hash.value_or(0));
    if (const auto refusal = watch.refusal(m_deadline, currentTime())) {
        call_result result = notRun(refusal->reason);
        result.retryAfter = refusal->retryAfter;
        return result;
    }
    const admission_result admitted = m_path.m_hooks.admit(
        {m_target.service, m_rankIndex, m_subsidiary, m_deadline}, currentTime());
    if (const auto *const refusal = std::get_if<admission_refusal>(&admitted)) {
        call_result result = notRun(refusal->reason, 429);
        result.retryAfter = refusal->retryAfter;
        return result;
    }
    // The wait for a slot may have passed the time from which no new work is taken.
    if (m_path.m_hooks.refusesNewWork(currentTime())) {
        return notRun("draining");
    }
    hand_over request;
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
    const steady_time handedAt = currentTime();
    const hand_over_result handed = m_path.m_guard.handOver(request, sink, handedAt);
    const steady_time endedAt = currentTime();
    watch.end(handed, endedAt);
    std::get<std::unique_ptr<admission_ticket>>(admitted)->finish(handed.outcome, handed.reason,
                                                                  endedAt - handedAt, endedAt);
    call_result result;
    result.outcome = handed.outcome;
    result.reason = handed.reason;
    result.retryAfter = handed.retryAfter;
    result.answerStarted = handed.answerStarted;
    result.callerGone = handed.callerGone;
    result.tryNext = isPassing(handed.reason);
    return result;
}

void request_call::logAttempt(std::string_view instance, const lease_ticket *ticket,
                              const call_result &result)
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
    m_path.m_log.write(line);
}

void request_call::finish(call_result result)
{
    if (m_mayHaveRun && result.outcome == request_outcome::NotRun) {
        result.outcome = request_outcome::Unknown;
        result.reason = m_unknownReason;
        result.status = 0;
    }
    // Names of unknown services come from callers and would make the number of series unbounded.
    const std::string service = m_document ? m_document->service : std::string();
    m_path.m_metrics.recordLatency(service, m_rank, result.outcome, currentTime() - m_start);
    m_path.m_metrics.count("persimmonrail_answers_total",
                           absl::StrCat("service=\"", escapeLabel(service), "\",outcome=\"",
                                        std::string(toString(result.outcome)), "\",reason=\"",
                                        escapeLabel(result.reason), "\""));
    if (!result.answerStarted && !result.callerGone) {
        answerError(result);
    }
}

void request_call::answerError(const call_result &result)
{
    if (m_requestId.empty()) {
        m_requestId = drawRequestId();
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
    m_exchange.answer(head, text.str());
}

void request_call::servePeer()
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
        return answerError(notRun("malformed-forwarded-request", 400));
    }
    takeSubsidiary();
    removeOwnFields(m_message);
    m_target = *std::move(target);
    m_deadline = m_start + milliseconds(left);
    m_view = m_path.m_hooks.view();
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
        const call_result result = runLocal(nullptr);
        if (!result.answerStarted && !result.callerGone) {
            answerError(result);
        }
        return;
    }
    m_hash = hashValue;
    const auto ticket = m_path.m_hooks.localLease(m_target.service, hashValue, m_start);
    call_result result = notRun("not-owner");
    if (ticket) {
        result = runLocal(ticket.get());
    } else {
        result.holder = m_path.m_hooks.holderHint(m_target.service, hashValue);
        logAttempt("", nullptr, result);
    }
    if (!result.answerStarted && !result.callerGone) {
        answerError(result);
    }
}

} // namespace persimmonrail
