#include "persimmonrail/gateway/forwarder.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/gateway/gateway_fields.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Idle connections kept to each peer. A daemon has about 33 requests in flight in total.
constexpr size_t maxIdleConnections = 16;

// After this time without progress, the peer is asked whether it is still serving the request. Most
// requests complete within 14 ms.
constexpr milliseconds progressTimeout{500};
// The progress timeout and the probe timeout add up to less than the time in which a standby takes
// over (1.2 s), so that a request to a frozen daemon reaches the standby within the objective of
// 2 s.
constexpr milliseconds probeTimeout{400};

// Result of asking a peer about a request on a new connection.
enum class probe_result {
    // The peer is serving the request.
    InFlight,
    // The peer is not serving the request: the request or its response was lost on the connection
    // that carried it.
    Lost,
    // The peer did not respond: it is frozen, unreachable or overloaded.
    Unresponsive,
};

// Asks the peer on a new connection whether it is serving the request.
probe_result probePeer(const std::string &address, const std::string &requestId)
{
    http_client client(std::make_shared<connection_pool>());
    const auto response = simpleRequest(client, address, "GET", inFlightPathPrefix + requestId, "",
                                        std::chrono::steady_clock::now() + probeTimeout);
    if (!response.ok()) {
        return probe_result::Unresponsive;
    }
    return response->status == 404 ? probe_result::Lost : probe_result::InFlight;
}

// Returns whether the response states the outcome "run".
bool reportsRun(const Poco::Net::HTTPResponse &head)
{
    return head.get(outcomeHeader, "") == toString(request_outcome::Run);
}

// Completes `result` from a response that states another outcome than "run", or none.
void parseDeclinedResponse(const Poco::Net::HTTPResponse &head, forward_result &result)
{
    const std::string outcome = head.get(outcomeHeader, "");
    result.reason = head.get(reasonHeader, "");
    result.holder = head.get(holderHeader, "");
    if (outcome == toString(request_outcome::NotRun)) {
        result.outcome = request_outcome::NotRun;
        result.canRetry = isRetryable(result.reason);
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
    // These conditions end once the partition has moved or the upstream has received its grant.
    static constexpr std::string_view retryableReasons[] = {"not-owner",
                                                            "peer-refused-connection",
                                                            "upstream-refused-connection",
                                                            "upstream-down",
                                                            "draining",
                                                            "lease-ending",
                                                            "stale-grant",
                                                            "too-many-connections"};
    return std::find(std::begin(retryableReasons), std::end(retryableReasons), reason)
        != std::end(retryableReasons);
}

forwarder::forwarder()
    : m_pool(std::make_shared<connection_pool>(connection_pool_options{maxIdleConnections}))
    , m_client(m_pool)
{ }

forward_result forwarder::forward(client_request request, response_sink &sink)
{
    request.acceptsResponse = reportsRun;
    request.responseFields = &forwardedFields();
    // A body that is too large to be buffered for another attempt is sent only after the peer has
    // accepted the request.
    if (request.body != nullptr) {
        const body_framing framing = request.body->framing();
        request.expectContinue =
            framing.type == body_framing::kind::Chunked || framing.length > maxBodyPieceBytes;
    }
    request.progressTimeout = progressTimeout;
    request.probe = [this, address = request.address, repeatable = request.repeatable,
                     id = request.message.get(requestIdHeader, "")] {
        const probe_result probeResult = probePeer(address, id);
        if (probeResult == probe_result::Unresponsive) {
            m_unresponsivePeers.mark(address, std::chrono::steady_clock::now());
        }
        // A request that is not repeatable waits for an unresponsive peer until its deadline, since
        // it must not run twice.
        return probeResult == probe_result::Lost
            || (probeResult == probe_result::Unresponsive && repeatable);
    };
    const exchange_result exchange = m_client.exchange(request, sink);
    forward_result result{toDeliveryResult(exchange, "peer-refused-connection"), false, {}};
    if (exchange.state == exchange_state::Declined) {
        parseDeclinedResponse(exchange.head, result);
    } else if (exchange.state == exchange_state::NotSent) {
        result.canRetry = !exchange.deadlinePassed;
    }
    return result;
}

} // namespace persimmonrail
