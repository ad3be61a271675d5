#include "persimmonrail/proxy/upstream_dispatcher.h"

#include "persimmonrail/proxy/releasing_sink.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Upstreams close connections that are idle for some seconds, and a crowded one earlier.
constexpr milliseconds upstreamIdleTime{4000};
constexpr milliseconds upstreamFreshTime{400};
// The upstream is on the same host; a connection is made at once or not at all.
constexpr milliseconds minTimeLeft{2};

milliseconds timeLeft(const proxied_request &request, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(request.deadline - now);
}

proxy_reason reasonOf(exchange_state state)
{
    switch (state) {
    case exchange_state::TimedOut:
        return proxy_reason::DeadlineExceeded;
    case exchange_state::Silent:
        return proxy_reason::SilentConnection;
    case exchange_state::Truncated:
        return proxy_reason::BrokenResponse;
    case exchange_state::CallerDisconnected:
    case exchange_state::BadRequestBody:
        return proxy_reason::CallerDisconnected;
    default:
        return proxy_reason::NoResponse;
    }
}

} // namespace

upstream_dispatcher::upstream_dispatcher(exchange_codec codec, upstream_dispatcher_hooks hooks)
    : m_codec(std::move(codec))
    , m_hooks(std::move(hooks))
    , m_pool(std::make_shared<connection_pool>(
          connection_pool_options{64, 128, upstreamIdleTime, upstreamFreshTime}))
    , m_client(m_pool)
{ }

proxy_reason upstream_dispatcher::refusal(const proxied_request &request,
                                          const local_target &target) const
{
    if (target.id != request.upstream || target.service != request.service) {
        return proxy_reason::OtherUpstream;
    }
    const proxy_reason closed = request.key ? target.closedForKeys : target.closed;
    if (closed != proxy_reason::None) {
        return closed;
    }
    if (request.key && !m_hooks.mayServe(*request.key)) {
        return proxy_reason::NotOwner;
    }
    return proxy_reason::None;
}

proxy_result upstream_dispatcher::dispatch(const proxied_request &request,
                                           server_exchange &exchange, response_sink &sink)
{
    if (const proxy_reason reason = refusal(request, m_hooks.local());
        reason != proxy_reason::None) {
        return notRun(reason);
    }
    if (request.key) {
        m_hooks.countKey(*request.key);
    }
    const steady_time arrived = std::chrono::steady_clock::now();
    const steady_time done = arrived + m_gate.report().meanServiceTime
        + request.responseLink.backlog + request.responseLink.own;
    // While answers queue for the link, one that would come late only makes the others late too.
    if (request.responseLink.backlog.count() > 0 && done > request.objectiveEnd) {
        return notRun(proxy_reason::LinkBusy,
                      std::chrono::ceil<milliseconds>(done - request.objectiveEnd));
    }
    const slot_request wanted{request.route, request.rank, request.objective, request.objectiveEnd,
                              request.deadline};
    slot_result entered = m_gate.enter(wanted, arrived);
    if (const auto *refused = std::get_if<slot_queue::refusal>(&entered)) {
        return notRun(proxy_reason::Overload, refused->retryAfter);
    }
    releasing_sink releasing(std::move(std::get<std::unique_ptr<slot_ticket>>(entered)), sink);
    // Anything may have changed while the request waited.
    const local_target target = m_hooks.local();
    const proxy_reason reason = refusal(request, target);
    return reason == proxy_reason::None ? dispatchTo(request, target, exchange, releasing)
                                        : notRun(reason);
}

proxy_result upstream_dispatcher::dispatchTo(const proxied_request &request,
                                             const local_target &target, server_exchange &exchange,
                                             response_sink &sink)
{
    if (exchange.connection().waitClosed(std::chrono::steady_clock::now())) {
        proxy_result gone = notRun(proxy_reason::CallerDisconnected);
        gone.callerDisconnected = true;
        return gone;
    }
    const milliseconds left = timeLeft(request, std::chrono::steady_clock::now());
    if (left < minTimeLeft) {
        return notRun(proxy_reason::DeadlineBeforeSend);
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
    response_kind kind = response_kind::Genuine;
    call.matchesRequest = [&](const Poco::Net::HTTPResponse &head) {
        return m_codec.classifyResponse(head, request.requestId) != response_kind::Foreign;
    };
    call.acceptsResponse = [&](const Poco::Net::HTTPResponse &head) {
        kind = m_codec.classifyResponse(head, request.requestId);
        return kind == response_kind::Genuine;
    };
    const exchange_result exchanged = m_client.exchange(call, sink);
    proxy_result result;
    result.hasArrived = exchanged.anySent;
    result.responseStarted = exchanged.responseStarted;
    result.callerDisconnected =
        exchanged.sinkGone || exchanged.state == exchange_state::CallerDisconnected;
    result.outcome = exchanged.anySent ? request_outcome::Unknown : request_outcome::NotRun;
    switch (exchanged.state) {
    case exchange_state::Complete:
        result.outcome = request_outcome::Run;
        result.status = exchanged.head.getStatus();
        m_hooks.onResponse(target.id);
        break;
    case exchange_state::Declined:
        m_hooks.onResponse(target.id);
        if (kind == response_kind::NotRun || kind == response_kind::WrongTarget) {
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
