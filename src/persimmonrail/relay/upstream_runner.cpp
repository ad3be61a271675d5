#include "persimmonrail/relay/upstream_runner.h"

#include "persimmonrail/relay/releasing_sink.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Upstreams close connections that are idle for some seconds, and a crowded one earlier.
constexpr milliseconds upstreamIdleTime{4000};
constexpr milliseconds upstreamFreshTime{400};
// The upstream is on the same host; a connection is made at once or not at all.
constexpr milliseconds minTimeLeft{2};

milliseconds timeLeft(const relay_request &request, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(request.deadline - now);
}

relay_reason reasonOf(exchange_state state)
{
    switch (state) {
    case exchange_state::TimedOut:
        return relay_reason::DeadlineExceeded;
    case exchange_state::Silent:
        return relay_reason::SilentConnection;
    case exchange_state::Truncated:
        return relay_reason::BrokenAnswer;
    case exchange_state::CallerGone:
    case exchange_state::BadRequestBody:
        return relay_reason::CallerGone;
    default:
        return relay_reason::NoAnswer;
    }
}

} // namespace

upstream_runner::upstream_runner(exchange_codec codec, upstream_runner_hooks hooks)
    : m_codec(std::move(codec))
    , m_hooks(std::move(hooks))
    , m_pool(std::make_shared<connection_pool>(
          connection_pool_options{64, 128, upstreamIdleTime, upstreamFreshTime}))
    , m_client(m_pool)
{ }

relay_reason upstream_runner::refusal(const relay_request &request,
                                      const local_target &target) const
{
    if (target.id != request.upstream || target.service != request.service) {
        return relay_reason::OtherUpstream;
    }
    const relay_reason closed = request.key ? target.closedForKeys : target.closed;
    if (closed != relay_reason::None) {
        return closed;
    }
    if (request.key && !m_hooks.mayServe(*request.key)) {
        return relay_reason::NotOwner;
    }
    return relay_reason::None;
}

relay_result upstream_runner::run(const relay_request &request, server_exchange &exchange,
                                  answer_sink &sink)
{
    if (const relay_reason reason = refusal(request, m_hooks.local());
        reason != relay_reason::None) {
        return notRun(reason);
    }
    if (request.key) {
        m_hooks.countKey(*request.key);
    }
    const steady_time arrived = std::chrono::steady_clock::now();
    const steady_time done =
        arrived + m_gate.report().service + request.answerLink.backlog + request.answerLink.own;
    // While answers queue for the link, one that would come late only makes the others late too.
    if (request.answerLink.backlog.count() > 0 && done > request.target) {
        return notRun(relay_reason::LinkBusy,
                      std::chrono::ceil<milliseconds>(done - request.target));
    }
    const slot_request wanted{request.route, request.rank, request.objective, request.target,
                              request.deadline};
    slot_result entered = m_gate.enter(wanted, arrived);
    if (const auto *refused = std::get_if<slot_queue::refusal>(&entered)) {
        return notRun(relay_reason::Overload, refused->retryAfter);
    }
    releasing_sink releasing(std::move(std::get<std::unique_ptr<slot_ticket>>(entered)), sink);
    // Anything may have changed while the request waited.
    const local_target target = m_hooks.local();
    const relay_reason reason = refusal(request, target);
    return reason == relay_reason::None ? handOver(request, target, exchange, releasing)
                                        : notRun(reason);
}

relay_result upstream_runner::handOver(const relay_request &request, const local_target &target,
                                       server_exchange &exchange, answer_sink &sink)
{
    if (exchange.connection().waitClosed(std::chrono::steady_clock::now())) {
        relay_result gone = notRun(relay_reason::CallerGone);
        gone.callerGone = true;
        return gone;
    }
    const milliseconds left = timeLeft(request, std::chrono::steady_clock::now());
    if (left < minTimeLeft) {
        return notRun(relay_reason::DeadlineBeforeSend);
    }
    client_request call;
    call.address = target.address;
    call.message = request.message;
    m_codec.addressUpstream(call.message, {target.id.name, left, request.callerService});
    call.body = exchange.framing().type == body_framing::kind::None ? nullptr : &exchange;
    call.repeatable = request.repeatable;
    call.deadline = request.deadline;
    call.caller = &exchange.connection();
    call.acceptsUnframed = true;
    answer_kind kind = answer_kind::Genuine;
    call.belongs = [&](const Poco::Net::HTTPResponse &head) {
        return m_codec.classifyAnswer(head, request.requestId) != answer_kind::Foreign;
    };
    call.wanted = [&](const Poco::Net::HTTPResponse &head) {
        kind = m_codec.classifyAnswer(head, request.requestId);
        return kind == answer_kind::Genuine;
    };
    const exchange_result exchanged = m_client.exchange(call, sink);
    relay_result result;
    result.hasArrived = exchanged.anySent;
    result.answerStarted = exchanged.answerStarted;
    result.callerGone = exchanged.sinkGone || exchanged.state == exchange_state::CallerGone;
    result.outcome = exchanged.anySent ? request_outcome::Unknown : request_outcome::NotRun;
    switch (exchanged.state) {
    case exchange_state::Whole:
        result.outcome = request_outcome::Run;
        result.status = exchanged.head.getStatus();
        m_hooks.onAnswer(target.id);
        break;
    case exchange_state::Declined:
        m_hooks.onAnswer(target.id);
        if (kind == answer_kind::NotRun || kind == answer_kind::WrongTarget) {
            result.outcome = request_outcome::NotRun;
            result.reason = kind == answer_kind::NotRun ? relay_reason::UpstreamRefused
                                                        : relay_reason::KeyNotHeld;
        } else {
            result.reason = relay_reason::BrokenAnswer;
        }
        break;
    case exchange_state::NotSent:
        result.reason = exchanged.deadlinePassed ? relay_reason::DeadlineBeforeSend
                                                 : relay_reason::UpstreamUnreachable;
        if (exchanged.connectionRefused) {
            m_hooks.onRefusedConnection(target.id);
        }
        break;
    default:
        result.reason = reasonOf(exchanged.state);
        break;
    }
    return result;
}

} // namespace persimmonrail
