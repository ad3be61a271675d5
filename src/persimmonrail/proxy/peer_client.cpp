#include "persimmonrail/proxy/peer_client.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/gateway/caller_sink.h"
#include "persimmonrail/proxy/peer_fields.h"
#include "persimmonrail/routing/zone_summary.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Each connection between daemons carries one request at a time and occupies a thread of its peer,
// so connections opened for a burst are closed soon.
constexpr size_t maxIdlePerPeer = 8;
constexpr size_t maxIdleConnections = 64;
constexpr milliseconds peerIdleTimeout{2000};
// A request that may not be repeated reuses a connection only if it has been idle for less than
// this. The peer keeps idle connections open for longer. A connection between hosts may become
// unresponsive at any time, and only a probe shows it.
constexpr milliseconds peerFreshTime{2000};
// Crossing between availability zones takes a few milliseconds, and the kernel accepts connections
// even for a busy process. Calls that running requests wait for have a quarter of a second in all.
constexpr milliseconds peerConnectTimeout{120};
// After each such time without progress, the client asks the peer over a new connection whether the
// request is still in flight there.
constexpr milliseconds progressTimeout{700};
constexpr milliseconds probeConnectTimeout{400};
// Large responses are sent in chunks of this size, so that a small response waits for at most one
// chunk.
constexpr size_t pacedChunkBytes = 16 * 1024;
// Maximum time, in either direction, that a field of another daemon may state.
constexpr milliseconds maxFieldTime{24 * 3600 * 1000};
// Shorter delays do not justify a wake-up; a fast link needs none.
constexpr milliseconds minPacingDelay{2};

// Returns why a request was given up after this result of a probe.
proxy_reason reasonAfterProbe(probe_result probed)
{
    switch (probed) {
    case probe_result::HostUnreachable:
        return proxy_reason::PeerUnreachable;
    case probe_result::NoResponse:
        return proxy_reason::PeerSilent;
    default:
        return proxy_reason::SilentConnection;
    }
}

std::string formatMilliseconds(std::chrono::nanoseconds time)
{
    return absl::StrCat(std::chrono::duration_cast<milliseconds>(time).count());
}

void setForwardingFields(Poco::Net::HTTPRequest &message, const proxied_request &request,
                         steady_time now)
{
    removePersimmonrailFields(message);
    message.set(requestIdHeader, request.requestId);
    message.set(serviceHeader, request.service);
    message.set(upstreamHeader, request.upstream.name);
    message.set(upstreamStartHeader, absl::StrCat(request.upstream.startedAt));
    message.set(callerServiceHeader, request.callerService);
    message.set(routeHeader, request.route);
    message.set(objectiveHeader, absl::StrCat(request.objective.count()));
    message.set(rankHeader, absl::StrCat(request.rank));
    message.set(repeatableHeader, request.repeatable ? "1" : "0");
    if (request.isRetry) {
        message.set(retryHeader, "1");
    }
    if (request.callerAttempt != caller_attempt::Unknown) {
        message.set(callerAttemptHeader, std::string(toString(request.callerAttempt)));
    }
    message.set(deadlineHeader, formatMilliseconds(request.deadline - now));
    message.set(objectiveLeftHeader, formatMilliseconds(request.objectiveEnd - now));
    if (request.key) {
        message.set(shardKeyHeader, absl::StrCat(*request.key));
    }
    if (!request.originZone.empty()) {
        message.set(originZoneHeader, request.originZone);
    }
    if (!request.callerZone.empty()) {
        message.set(callerZoneHeader, request.callerZone);
    }
    if (request.wantsZones) {
        message.set(zonesWantedHeader, "1");
    }
}

// Reads a time in milliseconds. Returns false if it is missing or longer than maxFieldTime, in
// either direction.
bool parseTimeField(const Poco::Net::HTTPMessage &message, const char *name, milliseconds &time)
{
    int64_t value = 0;
    if (!absl::SimpleAtoi(message.get(name, ""), &value) || value > maxFieldTime.count()
        || value < -maxFieldTime.count()) {
        return false;
    }
    time = milliseconds(value);
    return true;
}

// Returns whether the fields that the upstream reads have the values of the request.
bool hasFieldsOfCaller(const proxied_request &request, const exchange_codec &codec)
{
    const caller_fields fields = codec.readCallerFields(request.message);
    return !fields.isMalformed && fields.requestId == request.requestId
        && (!request.key || fields.key == request.key);
}

template <typename Number>
bool parseNumberField(const Poco::Net::HTTPMessage &message, const char *name, Number &value)
{
    return absl::SimpleAtoi(message.get(name, ""), &value);
}

// Returns the reason that daemons of all releases know. Earlier ones take an unknown reason for a
// broken response, which they don't retry.
proxy_reason reasonOnWire(proxy_reason reason)
{
    switch (reason) {
    case proxy_reason::Evacuated:
        return proxy_reason::Draining;
    case proxy_reason::BodyBudget:
        return proxy_reason::LinkBusy;
    default:
        return reason;
    }
}

// Fills `result` from a peer's response to a request for which the peer passes on no upstream
// response.
void readRejection(const Poco::Net::HTTPResponse &head, proxy_result &result)
{
    const std::string outcome = head.get(outcomeHeader, "");
    const proxy_reason reason =
        parseProxyReason(head.get(reasonHeader, "")).value_or(proxy_reason::BrokenResponse);
    result.reason = parseProxyReason(head.get(exactReasonHeader, "")).value_or(reason);
    int64_t retryAfter = 0;
    if (parseNumberField(head, retryAfterHeader, retryAfter)) {
        result.retryAfter = milliseconds(std::clamp<int64_t>(retryAfter, 0, 60'000));
    }
    result.outcome = outcome == toString(request_outcome::NotRun) ? request_outcome::NotRun
                                                                  : request_outcome::Unknown;
    result.hasReachedUpstream = result.outcome == request_outcome::Unknown
        || result.reason == proxy_reason::UpstreamRefused
        || result.reason == proxy_reason::KeyNotHeld;
}

} // namespace

peer_client::peer_client(std::function<bool()> isStopping,
                         std::function<steady_time()> shutdownDeadline, size_t maxUnaskedBodyBytes)
    : m_isStopping(std::move(isStopping))
    , m_shutdownDeadline(std::move(shutdownDeadline))
    , m_maxUnaskedBodyBytes(maxUnaskedBodyBytes)
    , m_pool(std::make_shared<connection_pool>(connection_pool_options{
          maxIdlePerPeer, maxIdleConnections, peerIdleTimeout, peerFreshTime, peerConnectTimeout}))
    , m_probeConnections({0, 0, milliseconds(0), milliseconds(0), probeConnectTimeout})
    , m_client(m_pool)
{ }

bool peer_client::isGivenUp(const proxied_request &request, const std::string &peerAddress,
                            probe_result probed) const
{
    if (probed == probe_result::RequestLost) {
        return true;
    }
    // A request that is not repeatable must not run twice, and a planned stop ends no request
    // early.
    if (probed == probe_result::InFlight || !request.repeatable || m_isStopping()) {
        return false;
    }
    return probed == probe_result::HostUnreachable
        || m_liveness.isUnresponsive(peerAddress, std::chrono::steady_clock::now());
}

proxy_result peer_client::forward(const proxied_request &request, const std::string &peerAddress,
                                  server_exchange &exchange, response_sink &sink)
{
    client_request call;
    call.address = peerAddress;
    call.message = request.message;
    setForwardingFields(call.message, request, std::chrono::steady_clock::now());
    call.body = exchange.framing().type == body_framing::kind::None ? nullptr : &exchange;
    if (call.body != nullptr) {
        const body_framing framing = call.body->framing();
        call.expectContinue =
            framing.type == body_framing::kind::Chunked || framing.length > m_maxUnaskedBodyBytes;
    }
    call.repeatable = request.repeatable;
    call.deadline = request.deadline;
    call.caller = &exchange.connection();
    call.acceptsResponse = [](const Poco::Net::HTTPResponse &head) {
        return head.get(outcomeHeader, "") == toString(request_outcome::Run);
    };
    call.responseFields = &peerFields();
    call.progressTimeout = progressTimeout;
    call.abandonTime = m_shutdownDeadline;
    proxy_result result;
    peer_probe probe(m_probeConnections, peerAddress, request.requestId);
    probe_result probed = probe_result::InFlight;
    call.probe = [&] {
        probed = probe.check(std::chrono::steady_clock::now());
        const steady_time now = std::chrono::steady_clock::now();
        if (probed == probe_result::NoResponse) {
            ++result.unansweredProbes;
            m_liveness.recordNoResponse(peerAddress, probe.sentAt(), now);
        } else if (probed != probe_result::HostUnreachable) {
            m_liveness.recordResponse(peerAddress, now);
        }
        return isGivenUp(request, peerAddress, probed);
    };
    const exchange_result exchanged = m_client.exchange(call, sink);
    if (exchanged.responseStarted || exchanged.state == exchange_state::Complete
        || exchanged.state == exchange_state::Declined) {
        m_liveness.recordResponse(peerAddress, std::chrono::steady_clock::now());
    }
    result.responseStarted = exchanged.responseStarted;
    result.callerDisconnected =
        exchanged.receiverDisconnected || exchanged.state == exchange_state::CallerDisconnected;
    result.outcome = exchanged.hasSentBytes ? request_outcome::Unknown : request_outcome::NotRun;
    result.hasReachedUpstream = exchanged.hasSentBytes;
    result.queue = parseQueueReport(exchanged.head.get(queueHeader, ""));
    result.keyState = parseKeyState(exchanged.head.get(keyStateHeader, ""));
    result.timeSpent = parseTimeSpent(exchanged.head.get(timeSpentHeader, ""));
    result.zones =
        parseZoneSummary(exchanged.head.get(zonesHeader, ""), std::chrono::steady_clock::now());
    switch (exchanged.state) {
    case exchange_state::Complete:
        result.outcome = request_outcome::Run;
        result.status = exchanged.head.getStatus();
        break;
    case exchange_state::Declined:
        readRejection(exchanged.head, result);
        break;
    case exchange_state::NotSent:
        result.reason = exchanged.deadlinePassed ? proxy_reason::DeadlineBeforeSend
            : exchanged.leaseEnding              ? proxy_reason::Stopping
                                                 : proxy_reason::PeerUnreachable;
        break;
    case exchange_state::TimedOut:
        result.reason = proxy_reason::DeadlineExceeded;
        break;
    case exchange_state::Abandoned:
        result.reason = proxy_reason::Stopping;
        break;
    case exchange_state::Unresponsive:
        result.reason = reasonAfterProbe(probed);
        break;
    case exchange_state::Truncated:
    case exchange_state::AmbiguousResponse:
        result.reason = proxy_reason::BrokenResponse;
        break;
    case exchange_state::InvalidResponse:
        result.reason = proxy_reason::InvalidResponse;
        break;
    case exchange_state::CallerDisconnected:
    case exchange_state::MalformedRequestBody:
        result.reason = proxy_reason::CallerDisconnected;
        break;
    default:
        result.reason = proxy_reason::NoResponse;
        break;
    }
    return result;
}

absl::StatusOr<proxied_request> readPeerRequest(const Poco::Net::HTTPRequest &message,
                                                const exchange_codec &codec, steady_time now)
{
    if (const absl::Status status = checkGuardedFields(message, peerFields()); !status.ok()) {
        return status;
    }
    proxied_request request;
    request.message = message;
    request.requestId = message.get(requestIdHeader, "");
    request.service = message.get(serviceHeader, "");
    request.upstream.name = message.get(upstreamHeader, "");
    request.callerService = message.get(callerServiceHeader, "");
    request.repeatable = message.get(repeatableHeader, "") == "1";
    request.isRetry = message.get(retryHeader, "") == "1";
    request.callerAttempt = parseCallerAttempt(message.get(callerAttemptHeader, ""));
    request.route = message.get(routeHeader, "");
    request.originZone = message.get(originZoneHeader, "");
    request.callerZone = message.get(callerZoneHeader, "");
    request.wantsZones = message.get(zonesWantedHeader, "") == "1";
    milliseconds deadlineLeft{0};
    milliseconds objectiveLeft{0};
    if (request.requestId.empty() || request.service.empty() || request.upstream.isEmpty()
        || !parseNumberField(message, upstreamStartHeader, request.upstream.startedAt)
        || !parseNumberField(message, rankHeader, request.rank) || request.rank < 0
        || !parseTimeField(message, objectiveHeader, request.objective)
        || !parseTimeField(message, deadlineHeader, deadlineLeft)
        || !parseTimeField(message, objectiveLeftHeader, objectiveLeft)) {
        return absl::InvalidArgumentError("a header field is missing or malformed");
    }
    request.deadline = now + deadlineLeft;
    request.objectiveEnd = now + objectiveLeft;
    if (message.has(shardKeyHeader)) {
        shard_key key = 0;
        if (!parseNumberField(message, shardKeyHeader, key) || key > lastKey) {
            return absl::InvalidArgumentError("the header field of the shard key is malformed");
        }
        request.key = key;
    }
    if (!hasFieldsOfCaller(request, codec)) {
        return absl::InvalidArgumentError("the fields of the caller have other values");
    }
    removePersimmonrailFields(request.message);
    removeConnectionFields(request.message);
    return request;
}

void respondToPeer(server_exchange &exchange, const proxy_result &result)
{
    Poco::Net::HTTPResponse head(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(statusFor(result.reason, result.outcome)));
    head.set(outcomeHeader, std::string(toString(result.outcome)));
    head.set(reasonHeader, std::string(toString(reasonOnWire(result.reason))));
    if (reasonOnWire(result.reason) != result.reason) {
        head.set(exactReasonHeader, std::string(toString(result.reason)));
    }
    if (result.retryAfter.count() > 0) {
        head.set(retryAfterHeader, absl::StrCat(result.retryAfter.count()));
    }
    if (result.queue) {
        head.set(queueHeader, encodeQueueReport(*result.queue));
    }
    if (result.keyState) {
        head.set(keyStateHeader, std::string(toString(*result.keyState)));
    }
    if (!result.zones.empty()) {
        head.set(zonesHeader, encodeZoneSummary(result.zones, std::chrono::steady_clock::now()));
    }
    exchange.respond(head, "");
}

proxy_sink::proxy_sink(server_exchange &exchange,
                       std::function<void(Poco::Net::HTTPResponse &head)> decorate,
                       outbound_link *outboundLink, std::string route)
    : m_exchange(exchange)
    , m_decorate(std::move(decorate))
    , m_outboundLink(outboundLink)
    , m_route(std::move(route))
{ }

proxy_sink::~proxy_sink()
{
    if (m_unsentBytes > 0) {
        m_outboundLink->pacer.cancelBytes(m_unsentBytes);
    }
}

void proxy_sink::enterQueueIfLarge(size_t bytes)
{
    m_isLarge = m_outboundLink != nullptr && m_outboundLink->queue.isLarge(bytes);
    if (m_isLarge) {
        m_unsentBytes = bytes;
        m_outboundLink->pacer.beginResponse(m_route, bytes);
        m_permit = m_outboundLink->queue.acquire();
    }
}

bool proxy_sink::waitForLink(size_t bytes)
{
    const steady_time now = std::chrono::steady_clock::now();
    const steady_time sendAt = m_outboundLink->pacer.reserve(bytes, now);
    m_unsentBytes -= std::min(m_unsentBytes, bytes);
    if (m_permit != nullptr && m_permit->hasExpired(now)) {
        m_permit.reset();
    }
    return sendAt - now < minPacingDelay || !m_exchange.connection().waitUntilClosed(sendAt);
}

bool proxy_sink::send(std::string_view bytes)
{
    if (m_bodies == nullptr) {
        return sendPaced(bytes);
    }
    m_bodies->addResponseBytes(bytes.size());
    const bool wasSent = sendPaced(bytes);
    m_bodies->removeResponseBytes(bytes.size());
    return wasSent;
}

bool proxy_sink::sendPaced(std::string_view bytes)
{
    m_bodyBytes += bytes.size();
    while (m_isLarge && bytes.size() > pacedChunkBytes) {
        if (!waitForLink(pacedChunkBytes)
            || !m_exchange.writeResponse(bytes.substr(0, pacedChunkBytes))) {
            return false;
        }
        bytes.remove_prefix(pacedChunkBytes);
    }
    return (!m_isLarge || waitForLink(bytes.size())) && m_exchange.writeResponse(bytes);
}

bool proxy_sink::begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
                       std::string_view first, bool isComplete)
{
    Poco::Net::HTTPResponse response(head);
    removePersimmonrailFields(response);
    removeConnectionFields(response);
    if (m_decorate) {
        m_decorate(response);
    }
    const body_framing sent =
        isComplete ? body_framing{body_framing::kind::Length, first.size()} : framing;
    enterQueueIfLarge(sent.type == body_framing::kind::Length ? sent.length : first.size());
    if (isComplete) {
        m_exchange.markResponseReady();
    }
    return m_exchange.beginResponse(response, sent) && send(first) && (!isComplete || finish());
}

bool proxy_sink::write(std::string_view piece)
{
    return send(piece);
}

bool proxy_sink::finish()
{
    const bool ended = m_exchange.endResponse();
    m_permit.reset();
    return ended;
}

} // namespace persimmonrail
