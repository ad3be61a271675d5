#pragma once

#include "persimmonrail/base/request_outcome.h"
#include "persimmonrail/gateway/silent_peers.h"
#include "persimmonrail/http/http_client.h"

#include <string>
#include <string_view>

namespace persimmonrail {

struct forward_result
{
    request_outcome outcome = request_outcome::NotRun;
    std::string reason;
    // The peer does not own the partition or could not be reached; another one may be tried if the
    // request body can be sent again.
    bool tryNext = false;
    // Instance named in a "not owner" answer; empty if none was.
    std::string holder;
    // Whether the sink received the head of the answer.
    bool responseStarted = false;
    bool callerDisconnected = false;
    int status = 0;
    milliseconds retryAfter{0};
};

// Whether a request that was not run for this reason may run elsewhere, or here a little later.
bool isRetryable(std::string_view reason);

// Path under which a peer port tells whether a request is in flight there: 200 or 404.
inline constexpr char inFlightPath[] = "/v1/requests/";

// Forwards requests to the peer ports of other daemons over pooled connections. Thread safe.
class forwarder
{
public:
    forwarder();

    // `request.address` is the peer address, and the message carries the request id;
    // `request.acceptsResponse` and the probe are set by the forwarder. Answers that did not run on
    // the peer are not passed to the sink.
    forward_result forward(client_request request, response_sink &sink);
    // Whether a request is better sent to another peer for now.
    bool isSilent(std::string_view address, steady_time now) const
    {
        return m_silentPeers.contains(address, now);
    }

private:
    std::shared_ptr<connection_pool> m_pool;
    http_client m_client;
    silent_peers m_silentPeers;
};

} // namespace persimmonrail
