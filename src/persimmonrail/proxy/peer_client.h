#pragma once

#include "persimmonrail/gateway/silent_peers.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/proxy/large_response_queue.h"
#include "persimmonrail/proxy/link_pacer.h"
#include "persimmonrail/proxy/proxy_types.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace persimmonrail {

// Path under which a peer port tells whether a request is in flight there: 200 or 404.
inline constexpr char proxyInFlightPath[] = "/v1/requests/";

// Passes requests to the peer ports of other daemons, and decodes them there. Thread safe.
class peer_client
{
public:
    peer_client();

    proxy_result forward(const proxied_request &request, const std::string &peerAddress,
                         server_exchange &exchange, response_sink &sink);
    bool isSilent(std::string_view address, steady_time now) const
    {
        return m_silentPeers.contains(address, now);
    }

private:
    std::shared_ptr<connection_pool> m_pool;
    http_client m_client;
    silent_peers m_silentPeers;
};

// Decodes the fields that forward() has set. Errors: InvalidArgument.
absl::StatusOr<proxied_request> readPeerRequest(const Poco::Net::HTTPRequest &message,
                                                steady_time now);
// Answers a request of another daemon that got no answer from the upstream.
void respondToPeer(server_exchange &exchange, const proxy_result &result);

// What large answers share on their way out of this host.
struct outbound_link
{
    large_response_queue queue;
    link_pacer pacer;
};

// Passes an answer on to a requester. Used by one thread.
class proxy_sink : public response_sink
{
public:
    // `decorate` may set fields of the head before it is sent; may be empty. With `outbound`, which
    // must outlive the object, a large answer of `route` waits for its turn and is paced.
    proxy_sink(server_exchange &exchange,
               std::function<void(Poco::Net::HTTPResponse &head)> decorate,
               outbound_link *outbound = nullptr, std::string route = {});
    proxy_sink(const proxy_sink &) = delete;
    proxy_sink &operator=(const proxy_sink &) = delete;
    ~proxy_sink() override;

    bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
               std::string_view first, bool isComplete) override;
    bool write(std::string_view piece) override;
    bool finish() override;

private:
    // Takes a turn if the answer is large.
    void announce(size_t bytes);
    bool send(std::string_view bytes);
    // Waits until the link may take the bytes; false if the requester left meanwhile.
    bool awaitLink(size_t bytes);

    server_exchange &m_exchange;
    const std::function<void(Poco::Net::HTTPResponse &head)> m_decorate;
    outbound_link *m_outbound;
    const std::string m_route;
    std::unique_ptr<large_response_queue::permit> m_permit;
    bool m_isLarge = false;
    // Announced to the outlet and not sent yet.
    size_t m_left = 0;
};

} // namespace persimmonrail
