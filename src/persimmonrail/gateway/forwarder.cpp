#include "persimmonrail/gateway/forwarder.h"

#include "persimmonrail/base/header_names.h"

#include <absl/strings/numbers.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Idle connections kept to each peer. A daemon has about 33 requests in flight in all.
constexpr size_t maxIdleConnections = 16;

// After this time without progress, the peer is asked whether it still has the request. Most
// requests are answered within 14 ms.
constexpr milliseconds progressTimeout{500};
// Together with the progress timeout less than the time in which a standby takes over (1.2 s), so
// that a request to a frozen daemon reaches the standby within the 2 s target.
constexpr milliseconds probeTimeout{400};

// What a peer says of a request, asked on a new connection.
enum class probe_result {
    InFlight,
    // Its answer, or the request, was lost on the connection used.
    Lost,
    // No answer: the peer is frozen, cut off or overloaded.
    Silent,
};

probe_result probePeer(const std::string &address, const std::string &requestId)
{
    http_client fresh(std::make_shared<connection_pool>());
    const auto response = simpleRequest(fresh, address, "GET", inFlightPath + requestId, "",
                                        std::chrono::steady_clock::now() + probeTimeout);
    if (!response.ok()) {
        return probe_result::Silent;
    }
    return response->status == 404 ? probe_result::Lost : probe_result::InFlight;
}

bool hasRun(const Poco::Net::HTTPResponse &head)
{
    return head.get(outcomeHeader, "") == toString(request_outcome::Run);
}

void readDeclined(const Poco::Net::HTTPResponse &head, forward_result &result)
{
    const std::string outcome = head.get(outcomeHeader, "");
    result.reason = head.get(reasonHeader, "");
    result.status = head.getStatus();
    result.holder = head.get(holderHeader, "");
    int seconds = 0;
    if (absl::SimpleAtoi(head.get("Retry-After", "0"), &seconds)) {
        result.retryAfter = milliseconds(std::clamp(seconds, 0, 3600) * 1000);
    }
    if (outcome == toString(request_outcome::NotRun)) {
        result.outcome = request_outcome::NotRun;
        result.tryNext = isRetryable(result.reason);
        return;
    }
    result.outcome = request_outcome::Unknown;
    if (outcome != toString(request_outcome::Unknown)) {
        result.reason = "peer-answer-without-outcome";
    }
}

} // namespace

bool isRetryable(std::string_view reason)
{
    // Reasons that end when the partition has moved or the upstream has been granted it.
    static constexpr std::string_view passing[] = {"not-owner",
                                                   "peer-refused-connection",
                                                   "upstream-refused-connection",
                                                   "upstream-down",
                                                   "draining",
                                                   "lease-ending",
                                                   "stale-grant",
                                                   "too-many-connections"};
    return std::find(std::begin(passing), std::end(passing), reason) != std::end(passing);
}

forwarder::forwarder()
    : m_pool(std::make_shared<connection_pool>(connection_pool_options{maxIdleConnections}))
    , m_client(m_pool)
{ }

forward_result forwarder::forward(client_request request, response_sink &sink)
{
    request.acceptsResponse = hasRun;
    // A body that is too large to be kept for another attempt is sent only once the peer has
    // accepted the request.
    if (request.body != nullptr) {
        const body_framing framing = request.body->framing();
        request.expectContinue =
            framing.type == body_framing::kind::Chunked || framing.length > bodyPieceBytes;
    }
    request.progressTimeout = progressTimeout;
    request.probe = [this, address = request.address, repeatable = request.repeatable,
                     id = request.message.get(requestIdHeader, "")] {
        const probe_result probed = probePeer(address, id);
        if (probed == probe_result::Silent) {
            m_silentPeers.mark(address, std::chrono::steady_clock::now());
        }
        // A request that must not run twice waits for a silent peer until its deadline.
        return probed == probe_result::Lost || (probed == probe_result::Silent && repeatable);
    };
    const exchange_result exchange = m_client.exchange(request, sink);
    forward_result result;
    result.responseStarted = exchange.responseStarted;
    result.callerDisconnected = exchange.sinkGone;
    result.reason = toString(exchange.state);
    result.outcome = exchange.anySent ? request_outcome::Unknown : request_outcome::NotRun;
    switch (exchange.state) {
    case exchange_state::Complete:
        result.outcome = request_outcome::Run;
        result.status = exchange.head.getStatus();
        result.reason = "answered";
        break;
    case exchange_state::Declined:
        readDeclined(exchange.head, result);
        break;
    case exchange_state::NotSent:
        result.outcome = request_outcome::NotRun;
        result.reason = exchange.deadlinePassed ? "deadline-exceeded" : "peer-refused-connection";
        result.tryNext = !exchange.deadlinePassed;
        break;
    case exchange_state::CallerDisconnected:
        result.callerDisconnected = true;
        break;
    default:
        break;
    }
    return result;
}

} // namespace persimmonrail
