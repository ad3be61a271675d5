#include "persimmonrail/proxy/peer_client.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/gateway/caller_sink.h"
#include "persimmonrail/proxy/peer_fields.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Each connection between daemons carries one request at a time and holds a thread at its peer, so
// those that a burst needed are given up soon.
constexpr size_t maxIdlePerPeer = 8;
constexpr size_t maxIdleInAll = 64;
constexpr milliseconds peerIdleTime{2000};
// Between hosts a connection may go silent at any moment, and only a probe shows it. A daemon
// closes idle connections of its peers late enough for this.
constexpr milliseconds peerFreshTime{2000};
// A crossing of availability zones takes a few milliseconds, and the kernel accepts connections
// even of a busy process. Calls that running requests wait for have a quarter of a second in all.
constexpr milliseconds peerConnectTime{120};
// After this time without progress, the peer is asked on a new connection whether it still has the
// request.
constexpr milliseconds progressTimeout{700};
constexpr milliseconds probeTimeout{400};
// Large answers leave in pieces of this size, so that a small one waits for one piece at most.
constexpr size_t pacedBytes = 16 * 1024;
// Shorter pauses are not worth waking up for; a fast link needs none.
constexpr milliseconds minPause{2};

enum class probe_result { InFlight, Lost, Silent };

probe_result probePeer(const std::string &address, const std::string &requestId)
{
    connection_pool_options options;
    options.connectTime = probeTimeout;
    http_client fresh(std::make_shared<connection_pool>(options));
    const auto response = simpleRequest(fresh, address, "GET", proxyInFlightPath + requestId, "",
                                        std::chrono::steady_clock::now() + probeTimeout);
    if (!response.ok()) {
        return probe_result::Silent;
    }
    return response->status == 404 ? probe_result::Lost : probe_result::InFlight;
}

std::string milliText(std::chrono::nanoseconds time)
{
    return absl::StrCat(std::chrono::duration_cast<milliseconds>(time).count());
}

void writeFields(Poco::Net::HTTPRequest &message, const proxied_request &request, steady_time now)
{
    removeOwnFields(message);
    message.set(requestIdHeader, request.requestId);
    message.set(serviceHeader, request.service);
    message.set(upstreamHeader, request.upstream.name);
    message.set(upstreamStartHeader, absl::StrCat(request.upstream.startedAt));
    message.set(callerServiceHeader, request.callerService);
    message.set(routeHeader, request.route);
    message.set(objectiveHeader, absl::StrCat(request.objective.count()));
    message.set(rankHeader, absl::StrCat(request.rank));
    message.set(repeatableHeader, request.repeatable ? "1" : "0");
    message.set(deadlineHeader, milliText(request.deadline - now));
    message.set(targetLeftHeader, milliText(request.objectiveEnd - now));
    if (request.key) {
        message.set(shardKeyHeader, absl::StrCat(*request.key));
    }
}

template <typename Number>
bool readNumber(const Poco::Net::HTTPMessage &message, const char *name, Number &value)
{
    return absl::SimpleAtoi(message.get(name, ""), &value);
}

// Reads what a peer says of a request that no upstream answered.
void readRefusal(const Poco::Net::HTTPResponse &head, proxy_result &result)
{
    const std::string outcome = head.get(outcomeHeader, "");
    result.reason =
        parseProxyReason(head.get(reasonHeader, "")).value_or(proxy_reason::BrokenResponse);
    int64_t retryAfter = 0;
    if (readNumber(head, retryAfterHeader, retryAfter)) {
        result.retryAfter = milliseconds(std::clamp<int64_t>(retryAfter, 0, 60'000));
    }
    result.outcome = outcome == toString(request_outcome::NotRun) ? request_outcome::NotRun
                                                                  : request_outcome::Unknown;
    result.hasArrived = result.outcome == request_outcome::Unknown
        || result.reason == proxy_reason::UpstreamRefused
        || result.reason == proxy_reason::KeyNotHeld;
}

} // namespace

peer_client::peer_client()
    : m_pool(std::make_shared<connection_pool>(connection_pool_options{
        maxIdlePerPeer, maxIdleInAll, peerIdleTime, peerFreshTime, peerConnectTime}))
    , m_client(m_pool)
{ }

proxy_result peer_client::forward(const proxied_request &request, const std::string &peerAddress,
                                  server_exchange &exchange, response_sink &sink)
{
    client_request call;
    call.address = peerAddress;
    call.message = request.message;
    writeFields(call.message, request, std::chrono::steady_clock::now());
    call.body = exchange.framing().type == body_framing::kind::None ? nullptr : &exchange;
    if (call.body != nullptr) {
        const body_framing framing = call.body->framing();
        call.expectContinue =
            framing.type == body_framing::kind::Chunked || framing.length > bodyPieceBytes;
    }
    call.repeatable = request.repeatable;
    call.deadline = request.deadline;
    call.caller = &exchange.connection();
    call.acceptsResponse = [](const Poco::Net::HTTPResponse &head) {
        return head.get(outcomeHeader, "") == toString(request_outcome::Run);
    };
    call.progressTimeout = progressTimeout;
    call.probe = [&] {
        const probe_result probed = probePeer(peerAddress, request.requestId);
        if (probed == probe_result::Silent) {
            m_silentPeers.mark(peerAddress, std::chrono::steady_clock::now());
        }
        // A request that must not run twice waits for a silent peer until its deadline.
        return probed == probe_result::Lost
            || (probed == probe_result::Silent && request.repeatable);
    };
    const exchange_result exchanged = m_client.exchange(call, sink);
    proxy_result result;
    result.responseStarted = exchanged.responseStarted;
    result.callerDisconnected =
        exchanged.sinkGone || exchanged.state == exchange_state::CallerDisconnected;
    result.outcome = exchanged.anySent ? request_outcome::Unknown : request_outcome::NotRun;
    result.hasArrived = exchanged.anySent;
    result.queue = parseQueueReport(exchanged.head.get(queueHeader, ""));
    switch (exchanged.state) {
    case exchange_state::Complete:
        result.outcome = request_outcome::Run;
        result.status = exchanged.head.getStatus();
        break;
    case exchange_state::Declined:
        readRefusal(exchanged.head, result);
        break;
    case exchange_state::NotSent:
        result.reason = exchanged.deadlinePassed ? proxy_reason::DeadlineBeforeSend
                                                 : proxy_reason::PeerUnreachable;
        break;
    case exchange_state::TimedOut:
        result.reason = proxy_reason::DeadlineExceeded;
        break;
    case exchange_state::Silent:
        result.reason = proxy_reason::SilentConnection;
        break;
    case exchange_state::Truncated:
        result.reason = proxy_reason::BrokenResponse;
        break;
    case exchange_state::CallerDisconnected:
    case exchange_state::BadRequestBody:
        result.reason = proxy_reason::CallerDisconnected;
        break;
    default:
        result.reason = proxy_reason::NoResponse;
        break;
    }
    return result;
}

absl::StatusOr<proxied_request> readPeerRequest(const Poco::Net::HTTPRequest &message,
                                                steady_time now)
{
    proxied_request request;
    request.message = message;
    request.requestId = message.get(requestIdHeader, "");
    request.service = message.get(serviceHeader, "");
    request.upstream.name = message.get(upstreamHeader, "");
    request.callerService = message.get(callerServiceHeader, "");
    request.repeatable = message.get(repeatableHeader, "") == "1";
    request.route = message.get(routeHeader, "");
    int64_t objective = 0;
    int64_t deadlineLeft = 0;
    int64_t targetLeft = 0;
    if (request.requestId.empty() || request.service.empty() || request.upstream.isEmpty()
        || !readNumber(message, upstreamStartHeader, request.upstream.startedAt)
        || !readNumber(message, rankHeader, request.rank) || request.rank < 0
        || !readNumber(message, objectiveHeader, objective)
        || !readNumber(message, deadlineHeader, deadlineLeft)
        || !readNumber(message, targetLeftHeader, targetLeft)) {
        return absl::InvalidArgumentError("a field is missing or malformed");
    }
    request.objective = milliseconds(objective);
    request.deadline = now + milliseconds(deadlineLeft);
    request.objectiveEnd = now + milliseconds(targetLeft);
    if (message.has(shardKeyHeader)) {
        shard_key key = 0;
        if (!readNumber(message, shardKeyHeader, key) || key > lastKey) {
            return absl::InvalidArgumentError("malformed key");
        }
        request.key = key;
    }
    removeOwnFields(request.message);
    removeConnectionFields(request.message);
    return request;
}

void respondToPeer(server_exchange &exchange, const proxy_result &result)
{
    Poco::Net::HTTPResponse head(
        static_cast<Poco::Net::HTTPResponse::HTTPStatus>(statusFor(result.reason, result.outcome)));
    head.set(outcomeHeader, std::string(toString(result.outcome)));
    head.set(reasonHeader, std::string(toString(result.reason)));
    if (result.retryAfter.count() > 0) {
        head.set(retryAfterHeader, absl::StrCat(result.retryAfter.count()));
    }
    if (result.queue) {
        head.set(queueHeader, encodeQueueReport(*result.queue));
    }
    exchange.respond(head, "");
}

proxy_sink::proxy_sink(server_exchange &exchange,
                       std::function<void(Poco::Net::HTTPResponse &head)> decorate,
                       outbound_link *outbound, std::string route)
    : m_exchange(exchange)
    , m_decorate(std::move(decorate))
    , m_outbound(outbound)
    , m_route(std::move(route))
{ }

proxy_sink::~proxy_sink()
{
    if (m_left > 0) {
        m_outbound->pacer.abandon(m_left);
    }
}

void proxy_sink::announce(size_t bytes)
{
    m_isLarge = m_outbound != nullptr && m_outbound->queue.isLarge(bytes);
    if (m_isLarge) {
        m_left = bytes;
        m_outbound->pacer.begin(m_route, bytes);
        m_permit = m_outbound->queue.enter();
    }
}

bool proxy_sink::awaitLink(size_t bytes)
{
    const steady_time now = std::chrono::steady_clock::now();
    const steady_time start = m_outbound->pacer.reserve(bytes, now);
    m_left -= std::min(m_left, bytes);
    if (m_permit != nullptr && m_permit->isOver(now)) {
        m_permit.reset();
    }
    return start - now < minPause || !m_exchange.connection().waitClosed(start);
}

bool proxy_sink::send(std::string_view bytes)
{
    while (m_isLarge && bytes.size() > pacedBytes) {
        if (!awaitLink(pacedBytes) || !m_exchange.writeResponse(bytes.substr(0, pacedBytes))) {
            return false;
        }
        bytes.remove_prefix(pacedBytes);
    }
    return (!m_isLarge || awaitLink(bytes.size())) && m_exchange.writeResponse(bytes);
}

bool proxy_sink::begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
                       std::string_view first, bool isComplete)
{
    Poco::Net::HTTPResponse response(head);
    removeOwnFields(response);
    removeConnectionFields(response);
    if (m_decorate) {
        m_decorate(response);
    }
    const body_framing sent =
        isComplete ? body_framing{body_framing::kind::Length, first.size()} : framing;
    announce(sent.type == body_framing::kind::Length ? sent.length : first.size());
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
