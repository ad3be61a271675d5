#pragma once

#include "persimmonrail/http/http_server.h"
#include "persimmonrail/proxy/body_budget.h"
#include "persimmonrail/proxy/exchange_codec.h"
#include "persimmonrail/proxy/large_response_queue.h"
#include "persimmonrail/proxy/link_pacer.h"
#include "persimmonrail/proxy/peer_liveness.h"
#include "persimmonrail/proxy/peer_probe.h"
#include "persimmonrail/proxy/proxy_types.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace persimmonrail {

// Forwards requests to the peer ports of other daemons. Thread safe.
class peer_client
{
public:
    // `isStopping` returns whether this daemon is stopping. `shutdownDeadline` returns the time at
    // which requests in flight are abandoned, as in request_proxy_hooks. Both must be thread safe.
    // Bodies longer than `maxUnaskedBodyBytes`, and chunked ones, are sent only after the peer has
    // asked for them with "100 Continue".
    peer_client(std::function<bool()> isStopping, std::function<steady_time()> shutdownDeadline,
                size_t maxUnaskedBodyBytes = maxBodyPieceBytes);

    // Sends the request to the peer and passes the response of its upstream on to `sink`.
    // `exchange` supplies the request body and is watched for the caller's disconnection. Blocks
    // until the response has ended or the attempt has failed. If there is no progress, probes the
    // peer, and gives the request up only if the probes prove that no response will follow.
    proxy_result forward(const proxied_request &request, const std::string &peerAddress,
                         server_exchange &exchange, response_sink &sink);
    // Returns which peers have not responded to probes.
    peer_liveness &liveness() { return m_liveness; }
    const peer_liveness &liveness() const { return m_liveness; }

private:
    // Returns whether a request without progress is given up after this result of a probe.
    bool isGivenUp(const proxied_request &request, const std::string &peerAddress,
                   probe_result probed) const;

    const std::function<bool()> m_isStopping;
    const std::function<steady_time()> m_shutdownDeadline;
    const size_t m_maxUnaskedBodyBytes;
    std::shared_ptr<connection_pool> m_pool;
    // Establishes the connections of probes.
    connection_pool m_probeConnections;
    http_client m_client;
    peer_liveness m_liveness;
};

// Decodes a request that forward() has sent, and removes the fields that forward() has set. Times
// left in the fields count from `now`. Returns InvalidArgument if a field is missing, repeated, out
// of its range or says otherwise than the caller's fields, which the upstream reads.
absl::StatusOr<proxied_request> readPeerRequest(const Poco::Net::HTTPRequest &message,
                                                const exchange_codec &codec, steady_time now);
// Responds to another daemon's request for which there is no upstream response to pass on.
void respondToPeer(server_exchange &exchange, const proxy_result &result);

// State shared by all large responses that leave this host.
struct outbound_link
{
    large_response_queue queue;
    link_pacer pacer;
};

// Passes a response on to the requester. Used by one thread.
class proxy_sink : public response_sink
{
public:
    // `decorate` may set fields of the head before it is sent; it may be empty. With
    // `outboundLink`, which must outlive the object, a large response of `route` waits for a permit
    // and is paced.
    proxy_sink(server_exchange &exchange,
               std::function<void(Poco::Net::HTTPResponse &head)> decorate,
               outbound_link *outboundLink = nullptr, std::string route = {});
    proxy_sink(const proxy_sink &) = delete;
    proxy_sink &operator=(const proxy_sink &) = delete;
    ~proxy_sink() override;

    bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
               std::string_view first, bool isComplete) override;
    bool write(std::string_view piece) override;
    bool finish() override;
    // Counts response bytes that wait for the requester in `bodies`, which must outlive the object.
    void countUnreadBytes(body_budget &bodies) { m_bodies = &bodies; }
    // Returns the number of body bytes that were passed on.
    size_t bodyBytes() const { return m_bodyBytes; }

private:
    // Registers the response with the link and waits for a permit if `bytes` make the response
    // large.
    void enterQueueIfLarge(size_t bytes);
    // Sends body bytes, and counts them until they are sent. Returns false if the requester has
    // disconnected.
    bool send(std::string_view bytes);
    // The same without counting; paced if the response is large.
    bool sendPaced(std::string_view bytes);
    // Waits until the link may take `bytes`. Returns false if the requester disconnects first.
    bool waitForLink(size_t bytes);

    server_exchange &m_exchange;
    const std::function<void(Poco::Net::HTTPResponse &head)> m_decorate;
    outbound_link *m_outboundLink;
    const std::string m_route;
    std::unique_ptr<large_response_queue::permit> m_permit;
    // Null if unread bytes are not counted.
    body_budget *m_bodies = nullptr;
    bool m_isLarge = false;
    size_t m_bodyBytes = 0;
    // Bytes that were announced to the pacer and for which no link time is reserved yet.
    size_t m_unsentBytes = 0;
};

} // namespace persimmonrail
