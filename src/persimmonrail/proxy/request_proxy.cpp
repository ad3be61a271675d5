#include "persimmonrail/proxy/request_proxy.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/gateway/caller_sink.h"
#include "persimmonrail/proxy/peer_fields.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>

#include <algorithm>
#include <thread>

namespace persimmonrail {
namespace {

// With less time left, another attempt has hardly a chance.
constexpr milliseconds minTimeForAttempt{15};
// A request that says nothing of its caller's patience.
constexpr milliseconds defaultTimeout{30000};
constexpr milliseconds minRetryAfter{50};

steady_time clockNow()
{
    return std::chrono::steady_clock::now();
}

bool isKeyMoving(proxy_reason reason)
{
    return reason == proxy_reason::NotOwner || reason == proxy_reason::OtherUpstream
        || reason == proxy_reason::KeyNotHeld || reason == proxy_reason::Draining;
}

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

// One request of a caller on its way through this daemon. Used by the thread of its connection.
class proxied_call
{
public:
    proxied_call(request_proxy &path, server_exchange &exchange)
        : m_proxy(path)
        , m_exchange(exchange)
        , m_start(clockNow())
    { }

    void serve()
    {
        proxy_result result = prepare();
        if (result.reason == proxy_reason::None) {
            result = attemptUntilDone();
        }
        finish(result);
    }

private:
    // Reads the request and finds its route. A reason other than None ends the request.
    proxy_result prepare()
    {
        const caller_fields call = m_proxy.m_codec.readCall(m_exchange.request());
        m_request.requestId = call.requestId;
        m_request.callerService = m_proxy.m_options.callerService;
        m_request.message = m_exchange.request();
        removeConnectionFields(m_request.message);
        removeOwnFields(m_request.message);
        m_table = m_proxy.m_hooks.routes();
        if (m_table == nullptr) {
            return notRun(proxy_reason::NoDesiredState, milliseconds(500));
        }
        const auto &head = m_exchange.request();
        m_route = m_table->find(head.getHost(), head.getURI());
        if (m_route == nullptr) {
            return notRun(proxy_reason::NoRoute);
        }
        if (call.isMalformed || call.requestId.empty()) {
            return notRun(proxy_reason::MalformedRequest);
        }
        m_request.service = chooseTrafficShare(*m_route, m_proxy.draw()).service;
        const service_rule *rule = m_table->findService(m_request.service);
        if (rule != nullptr && rule->isKeyed) {
            if (!call.key) {
                return notRun(proxy_reason::MissingKey);
            }
            m_request.key = call.key;
        }
        m_request.route = m_route->name;
        m_request.objective = m_route->objective;
        m_request.rank = m_route->rank;
        m_request.repeatable = m_route->repeatable;
        const milliseconds timeout = call.timeout.value_or(defaultTimeout);
        m_request.deadline = m_start + std::min(timeout, m_route->timeout);
        m_request.objectiveEnd = m_start + m_route->objective;
        return {};
    }

    proxy_result attemptUntilDone()
    {
        auto &service = m_proxy.stateOf(m_request.service, m_start);
        service.retries.recordFirstAttempt(m_start);
        const steady_time ownerDeadline = m_start + m_proxy.m_options.ownerPatience;
        proxy_result result = notRun(proxy_reason::NoUpstream);
        int arrivals = 0;
        for (;;) {
            const steady_time now = clockNow();
            // Also seen while the body of the request is unread.
            if (m_exchange.connection().waitClosed(now)) {
                return callerDisconnected(result);
            }
            if (arrivals > 0 && !service.retries.tryRetry(now)) {
                m_budgetSpent = true;
                return result;
            }
            const proxy_result attempted = attempt(service, now);
            if (attempted.reason != proxy_reason::NoUpstream || arrivals == 0) {
                // An earlier attempt that may have run decides what the caller is told.
                const bool mayHaveRun = m_mayHaveRun;
                result = attempted;
                if (mayHaveRun && result.outcome == request_outcome::NotRun) {
                    result.outcome = request_outcome::Unknown;
                }
            }
            m_mayHaveRun = m_mayHaveRun || attempted.outcome == request_outcome::Unknown;
            arrivals += attempted.hasArrived ? 1 : 0;
            if (!mayContinue(attempted, arrivals)) {
                return result;
            }
            if (m_request.key) {
                if (clockNow() + m_proxy.m_options.ownerPause >= ownerDeadline
                    || m_exchange.connection().waitClosed(clockNow()
                                                          + m_proxy.m_options.ownerPause)) {
                    return result;
                }
            } else if (attempted.reason == proxy_reason::NoUpstream) {
                return result;
            }
        }
    }

    // Nobody is told how the request ended; an attempt before may have run.
    static proxy_result callerDisconnected(proxy_result result)
    {
        result.reason = proxy_reason::CallerDisconnected;
        result.callerDisconnected = true;
        return result;
    }

    bool mayContinue(const proxy_result &result, int arrivals)
    {
        if (result.outcome == request_outcome::Run || result.responseStarted
            || result.callerDisconnected || clockNow() + minTimeForAttempt >= m_request.deadline) {
            return false;
        }
        if (result.outcome == request_outcome::Unknown
            && (!m_request.repeatable || result.reason == proxy_reason::DeadlineExceeded)) {
            return false;
        }
        if (result.outcome == request_outcome::NotRun && !isRetryable(result.reason)) {
            return false;
        }
        if (m_refusedOffers >= m_proxy.m_options.maxOffers
            || result.reason == proxy_reason::OverloadExpected) {
            return false;
        }
        // A key has one owner. Waiting for it helps only while the key moves; a full queue, a lost
        // host or one that starts again takes longer than a caller should be held.
        if (m_request.key && !isKeyMoving(result.reason)) {
            return false;
        }
        return arrivals < m_route->maxAttempts
            && (m_exchange.framing().type == body_framing::kind::None || m_exchange.rewind());
    }

    // Chooses an upstream and tries the request there.
    proxy_result attempt(request_proxy::service_state &service, steady_time now)
    {
        const auto directory = m_proxy.m_hooks.directory();
        const upstream_member *member =
            m_request.key ? ownerOf(*directory, service) : anyOf(*directory, service, now);
        if (member == nullptr) {
            return notRun(proxy_reason::NoUpstream);
        }
        m_request.upstream = member->id;
        if (m_request.key && service.picker.isPenalized(member->id, now)) {
            service.picker.finish(member->id, upstream_picker::result::Neutral, std::nullopt, now);
            return notRun(proxy_reason::PeerUnreachable);
        }
        const bool isLocal = member->id == m_proxy.m_dispatcher.local().id;
        const overload_throttle::kind kind = loadKind(member->id);
        if (!isLocal) {
            if (const auto pause = service.throttle.keepBack(kind, m_proxy.drawShare(), now)) {
                service.picker.finish(member->id, upstream_picker::result::Neutral, std::nullopt,
                                      now);
                m_tried.push_back(member->id);
                return notRun(proxy_reason::OverloadExpected, *pause);
            }
        }
        const steady_time sentAt = clockNow();
        proxy_result result;
        if (isLocal) {
            proxy_sink sink(m_exchange, {});
            result = m_proxy.m_dispatcher.dispatch(m_request, m_exchange, sink);
            result.queue = m_proxy.m_dispatcher.queue();
        } else if (m_proxy.m_peers.isSilent(member->peerAddress, now)) {
            result = notRun(proxy_reason::PeerSilent);
        } else {
            proxy_sink sink(m_exchange, {});
            result = m_proxy.m_peers.forward(m_request, member->peerAddress, m_exchange, sink);
            noteLoad(service.throttle, kind, result);
            m_refusedOffers += result.reason == proxy_reason::Overload ? 1 : 0;
        }
        const bool failed = result.reason == proxy_reason::PeerUnreachable
            || result.reason == proxy_reason::PeerSilent
            || result.reason == proxy_reason::SilentConnection
            || result.reason == proxy_reason::NoResponse
            || result.reason == proxy_reason::OtherUpstream
            || result.reason == proxy_reason::UpstreamUnreachable;
        service.picker.finish(member->id,
                              failed                          ? upstream_picker::result::Failed
                                  : result.callerDisconnected ? upstream_picker::result::Neutral
                                                              : upstream_picker::result::Reached,
                              result.queue, clockNow());
        m_tried.push_back(member->id);
        logAttempt(result, clockNow() - sentAt, directory->revision());
        return result;
    }

    // A key has one owner. Other requests go to any upstream, and each daemon sees each of many too
    // seldom to learn its load, so all of the service count together.
    overload_throttle::kind loadKind(const upstream_id &upstream) const
    {
        return {m_request.key ? upstream : upstream_id(), m_request.rank, m_request.objective};
    }

    void noteLoad(overload_throttle &throttle, const overload_throttle::kind &kind,
                  const proxy_result &result) const
    {
        if (result.reason == proxy_reason::Overload) {
            throttle.noteRefused(kind, result.retryAfter, clockNow());
        } else if (result.outcome == request_outcome::Run) {
            // Room at one upstream says nothing of the others.
            const bool hasRoom = m_request.key && result.queue && result.queue->waiting == 0
                && result.queue->running < result.queue->limit;
            throttle.noteAccepted(kind, hasRoom, clockNow());
        }
    }

    const upstream_member *ownerOf(const fleet_directory &directory,
                                   request_proxy::service_state &service) const
    {
        const fleet_directory::versioned_placement *placed =
            directory.findPlacement(m_request.service);
        if (placed == nullptr) {
            return nullptr;
        }
        const owned_range &range = placed->placement.rangeOf(*m_request.key);
        const auto *known = directory.findMember(range.owner.name);
        if (known == nullptr || known->member.id != range.owner
            || range.takeOverAfter.count() > 0) {
            return nullptr;
        }
        service.picker.begin(range.owner);
        return &known->member;
    }

    const upstream_member *anyOf(const fleet_directory &directory,
                                 request_proxy::service_state &service, steady_time now) const
    {
        std::vector<const upstream_member *> members = directory.membersOf(m_request.service);
        std::erase_if(members, [](const upstream_member *member) { return member->isDraining; });
        return service.picker.pick(members, m_tried, now);
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
            ",took_us:", std::chrono::duration_cast<std::chrono::microseconds>(took).count());
        entry.reason = reason;
        m_proxy.m_log.write(entry);
    }

    void finish(const proxy_result &result)
    {
        const steady_time now = clockNow();
        const std::string rank = std::to_string(m_request.rank);
        m_proxy.m_metrics.recordLatency(m_request.service, rank, result.outcome, now - m_start);
        if (result.outcome == request_outcome::Run || result.responseStarted
            || result.callerDisconnected) {
            return;
        }
        m_proxy.m_metrics.count("persimmonrail_refused_total",
                                absl::StrCat("reason=\"", toAbsl(toString(result.reason)), "\""));
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
            const milliseconds pause =
                std::max(minRetryAfter,
                         result.retryAfter.count() > 0 ? result.retryAfter
                                                       : m_proxy.m_options.defaultRetryAfter);
            head.set("Retry-After",
                     absl::StrFormat("%.3f", std::chrono::duration<double>(pause).count()));
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
            toAbsl(toString(result.reason)), m_budgetSpent ? ",retry-budget-spent" : "",
            ",attempts:", m_tried.size(), ",took_us:",
            std::chrono::duration_cast<std::chrono::microseconds>(now - m_start).count(),
            ",route:", m_route ? m_route->name : std::string("none"));
        entry.reason = reason;
        m_proxy.m_log.write(entry);
    }

    request_proxy &m_proxy;
    server_exchange &m_exchange;
    const steady_time m_start;
    std::shared_ptr<const route_table> m_table;
    const route *m_route = nullptr;
    proxied_request m_request;
    std::vector<upstream_id> m_tried;
    // Attempts that other daemons refused as beyond their upstream's capacity.
    int m_refusedOffers = 0;
    bool m_mayHaveRun = false;
    bool m_budgetSpent = false;
};

request_proxy::service_state::service_state(const request_proxy_options &options,
                                            random_source random, steady_time now)
    : picker(options.availabilityZone, std::move(random))
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
    , m_outbound{large_response_queue(),
                 link_pacer(m_options.linkBytesPerSecond * m_options.largeShare)}
    , m_random(m_hooks.makeRandom())
{ }

uint64_t request_proxy::draw()
{
    const std::lock_guard lock(m_mutex);
    return m_random();
}

double request_proxy::drawShare()
{
    // The upper 53 bits fill the mantissa of a double.
    return static_cast<double>(draw() >> 11U) * 0x1.0p-53;
}

request_proxy::service_state &request_proxy::stateOf(const std::string &service, steady_time now)
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

void request_proxy::servePeer(server_exchange &exchange)
{
    const std::string &uri = exchange.request().getURI();
    if (uri.starts_with(proxyInFlightPath)) {
        const std::lock_guard lock(m_mutex);
        const bool known = m_peerRequests.contains(uri.substr(sizeof(proxyInFlightPath) - 1));
        exchange.respond(known ? 200 : 404, "", "text/plain");
        return;
    }
    const in_flight_guard guard(m_inFlight);
    auto request = readPeerRequest(exchange.request(), clockNow());
    if (!request.ok()) {
        m_log.write(log_level::Warn,
                    absl::StrCat("peer request ignored: ", request.status().message()));
        respondToPeer(exchange, notRun(proxy_reason::MalformedRequest));
        return;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_peerRequests.insert(request->requestId);
    }
    const auto decorate = [this](Poco::Net::HTTPResponse &head) {
        head.set(outcomeHeader, std::string(toString(request_outcome::Run)));
        head.set(queueHeader, encodeQueueReport(m_dispatcher.queue()));
    };
    proxy_sink sink(exchange, decorate, &m_outbound, request->route);
    request->responseLink = m_outbound.pacer.expect(request->route, clockNow());
    proxy_result result = m_dispatcher.dispatch(*request, exchange, sink);
    {
        const std::lock_guard lock(m_mutex);
        m_peerRequests.erase(m_peerRequests.find(request->requestId));
    }
    if (result.outcome != request_outcome::Run && !result.responseStarted
        && !result.callerDisconnected) {
        result.queue = m_dispatcher.queue();
        respondToPeer(exchange, result);
    }
    if (result.outcome != request_outcome::Run && m_log.isEnabled(log_level::Info)) {
        decision entry;
        entry.kind = "hand-over";
        entry.requestId = request->requestId;
        entry.service = request->service;
        entry.instance = request->upstream.name;
        entry.outcome = toString(result.outcome);
        entry.reason = toString(result.reason);
        m_log.write(entry);
    }
}

} // namespace persimmonrail
