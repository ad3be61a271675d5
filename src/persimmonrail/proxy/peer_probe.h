#pragma once

#include "persimmonrail/http/http_client.h"

#include <memory>
#include <string>

namespace persimmonrail {

// Path on the peer port under which a daemon reports whether it runs a request for a peer: 200 if
// it does, 404 if not.
inline constexpr char proxyInFlightPath[] = "/v1/requests/";

// What a probe of a peer has shown about a request.
enum class probe_result {
    // The peer has the request, or responded that it can't tell now.
    InFlight,
    // The peer responded that it doesn't have the request, so the request or its response is lost.
    RequestLost,
    // No connection to the peer could be established.
    HostUnreachable,
    // The host accepted the connection, but the daemon has not responded yet. The daemon may be
    // overloaded, so this is no proof of a failure.
    NoResponse,
};

// Asks a peer over a connection of its own whether a request is in flight there. A probe without a
// response stays open, so that a late response counts and an overloaded peer gets one probe for a
// request. Not thread safe.
class peer_probe
{
public:
    // `pool` establishes the connections and must outlive the probe.
    peer_probe(connection_pool &pool, std::string address, const std::string &requestId);

    // Sends a probe unless one is open, and waits a short time for its response.
    probe_result check(steady_time now);
    // Returns when the open or last probe was sent.
    steady_time sentAt() const { return m_sentAt; }

private:
    // Connects and sends the probe. Returns false if the host can't be reached.
    bool open(steady_time now);
    probe_result readResult(steady_time until);

    connection_pool &m_pool;
    const std::string m_address;
    const std::string m_request;
    std::unique_ptr<http_stream> m_stream;
    steady_time m_sentAt{};
};

} // namespace persimmonrail
