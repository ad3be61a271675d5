#include "persimmonrail/gateway/local_attempt.h"

#include "persimmonrail/gateway/forwarder.h"
#include "persimmonrail/requests/fingerprinted_body.h"

namespace persimmonrail {
namespace {

steady_time currentTime()
{
    return std::chrono::steady_clock::now();
}

attempt_result rejectionFor(const fingerprinted_body::admission &checked)
{
    using verdict = fingerprinted_body::admission::verdict;
    switch (checked.decision) {
    case verdict::MalformedBody:
        return notRunResult("malformed-request-body");
    case verdict::IncompleteBody:
        return notRunResult("incomplete-request-body");
    default:
        attempt_result result = notRunResult(quarantinedReason);
        result.retryAfter = checked.rejectionTime;
        return result;
    }
}

crash_quarantine::run_end runEndOf(const dispatch_result &dispatched)
{
    using run_end = crash_quarantine::run_end;
    if (dispatched.outcome == request_outcome::Run) {
        return run_end::Responded;
    }
    const bool wasConnectionLost = dispatched.outcome == request_outcome::Unknown
        && (dispatched.reason == toString(exchange_state::NoResponse)
            || dispatched.reason == toString(exchange_state::Truncated));
    return wasConnectionLost ? run_end::ConnectionLost : run_end::Regular;
}

} // namespace

local_attempt::local_attempt(const gateway_hooks &hooks, upstream_client &upstreamClient,
                             server_exchange &exchange, const resolved_request &request)
    : m_hooks(hooks)
    , m_upstreamClient(upstreamClient)
    , m_exchange(exchange)
    , m_request(request)
{ }

attempt_result local_attempt::run(const lease_ticket *ticket)
{
    const steady_time now = currentTime();
    const upstream_status status = m_upstreamClient.status(now);
    if (!status.announcement || status.state == upstream_state::Down) {
        return notRunResult("upstream-down");
    }
    if (status.announcement->service != m_request.target.service) {
        return notRunResult("wrong-service");
    }
    if (m_request.repeatable) {
        return admitAndDispatch(ticket, {});
    }
    if (ticket == nullptr) {
        return notRunResult("not-owner");
    }
    return runAtMostOnce(*ticket, now);
}

attempt_result local_attempt::runAtMostOnce(const lease_ticket &ticket, steady_time now)
{
    const std::string &service = m_request.target.service;
    const std::string &idempotencyKey = m_request.idempotencyKey;
    const at_most_once_verdict verdict =
        m_hooks.beginAtMostOnce(service, idempotencyKey, ticket, now);
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
        result.callerDisconnected = !sendStored(m_exchange, *verdict.response, m_request.id);
        return result;
    }
    bool endReported = false;
    result = admitAndDispatch(&ticket, [&](std::shared_ptr<const stored_response> response) {
        endReported = true;
        m_hooks.endAtMostOnce(service, idempotencyKey, request_outcome::Run, std::move(response));
    });
    if (!endReported) {
        m_hooks.endAtMostOnce(service, idempotencyKey, result.outcome, nullptr);
    }
    return result;
}

attempt_result local_attempt::admitAndDispatch(const lease_ticket *ticket,
                                               const caller_sink::store_hook &storeResponse)
{
    if (m_hooks.rejectsNewRequests(currentTime())) {
        return notRunResult("draining");
    }
    const auto &head = m_exchange.request();
    fingerprinted_body body(
        m_hooks.quarantine, m_exchange,
        {m_request.target.service, head.getMethod(), head.getURI(), m_request.keyHash.value_or(0)});
    if (const auto checked = body.checkQuarantine(m_request.deadline, currentTime());
        checked.decision != fingerprinted_body::admission::verdict::Accepted) {
        return rejectionFor(checked);
    }
    const admission_result admitted = m_hooks.admit(
        {m_request.target.service, m_request.rankIndex, m_request.subsidiary, m_request.deadline},
        currentTime());
    if (const auto *const rejection = std::get_if<admission_rejection>(&admitted)) {
        attempt_result result = notRunResult(rejection->reason, 429);
        result.retryAfter = rejection->retryAfter;
        return result;
    }
    // During the wait for a slot, the upstream or the daemon may have begun to stop, and another
    // copy of the request may have crashed an upstream.
    if (m_hooks.rejectsNewRequests(currentTime())) {
        return notRunResult("draining");
    }
    if (const auto checked = body.checkQuarantine(m_request.deadline, currentTime());
        checked.decision != fingerprinted_body::admission::verdict::Accepted) {
        return rejectionFor(checked);
    }
    dispatch_request request = makeDispatchRequest(ticket);
    if (m_exchange.framing().type != body_framing::kind::None) {
        request.body = &body;
    }
    caller_sink sink(m_exchange, m_request.id, storeResponse);
    body.recordDispatch();
    const steady_time dispatchedAt = currentTime();
    const dispatch_result dispatched = m_upstreamClient.dispatch(request, sink, dispatchedAt);
    const steady_time endedAt = currentTime();
    body.recordEnd(runEndOf(dispatched), endedAt);
    std::get<std::unique_ptr<admission_ticket>>(admitted)->finish(
        dispatched.outcome, dispatched.reason, endedAt - dispatchedAt, endedAt);
    return toAttemptResult(dispatched, isRetryable(dispatched.reason));
}

dispatch_request local_attempt::makeDispatchRequest(const lease_ticket *ticket) const
{
    dispatch_request request;
    request.message = m_request.message;
    request.requestId = m_request.id;
    if (ticket != nullptr) {
        request.partition = ticket->partition();
        request.term = ticket->term();
        request.leaseEnd = [ticket] { return ticket->leaseEnd(); };
    }
    request.keyHash = m_request.keyHash;
    request.repeatable = m_request.repeatable;
    request.deadline = m_request.deadline;
    request.caller = &m_exchange.connection();
    return request;
}

} // namespace persimmonrail
