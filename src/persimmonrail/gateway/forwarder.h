#pragma once

#include "persimmonrail/gateway/unresponsive_peers.h"
#include "persimmonrail/http/delivery_result.h"

#include <string>
#include <string_view>

namespace persimmonrail {

// Result of forwarding a request to one peer.
struct forward_result : delivery_result
{
    // Whether the request may be sent to another peer, provided that its body can be sent again:
    // this peer does not own the partition, cannot serve the request now or could not be reached.
    bool canRetry = false;
    // Name of the lease holder according to a "not-owner" response; empty if it names none.
    std::string holder;
};

// Returns whether a request that was not run for this reason may run on another instance, or on the
// same instance after a short wait.
bool isRetryable(std::string_view reason);

// Path prefix on the peer port. For this prefix and a request id, the peer responds with status 200
// if it is serving that request, and with 404 otherwise.
inline constexpr char inFlightPathPrefix[] = "/v1/requests/";

// Forwards requests to the peer ports of other daemons over pooled connections. Thread safe.
class forwarder
{
public:
    forwarder();

    // Forwards a request and streams the response to the sink. Blocks until the response is
    // complete, the request has failed or its deadline has passed. `request.address` is the peer
    // address, and `request.message` carries the request id; the forwarder sets
    // `request.acceptsResponse`, `expectContinue`, `progressTimeout` and `probe`. Only responses
    // with the outcome "run" are passed to the sink.
    forward_result forward(client_request request, response_sink &sink);
    // Returns whether the peer recently did not respond to a probe, so that other peers should be
    // preferred.
    bool isUnresponsive(std::string_view address, steady_time now) const
    {
        return m_unresponsivePeers.contains(address, now);
    }

private:
    std::shared_ptr<connection_pool> m_pool;
    http_client m_client;
    unresponsive_peers m_unresponsivePeers;
};

} // namespace persimmonrail
