#pragma once

#include "persimmonrail/gateway/silent_peers.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/relay/link_pacer.h"
#include "persimmonrail/relay/relay_types.h"
#include "persimmonrail/relay/transfer_turns.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace persimmonrail {

// Path under which a peer port tells whether a request is in flight there: 200 or 404.
inline constexpr char relayInFlightPath[] = "/v1/requests/";

// Passes requests to the peer ports of other daemons, and decodes them there. Thread safe.
class peer_link
{
public:
    peer_link();

    relay_result forward(const relay_request &request, const std::string &peerAddress,
                         server_exchange &exchange, answer_sink &sink);
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
absl::StatusOr<relay_request> readPeerRequest(const Poco::Net::HTTPRequest &message,
                                              steady_time now);
// Answers a request of another daemon that got no answer from the upstream.
void answerPeer(server_exchange &exchange, const relay_result &result);

// What large answers share on their way out of this host.
struct link_outlet
{
    transfer_turns turns;
    link_pacer pacer;
};

// Passes an answer on to a requester. Used by one thread.
class relay_sink : public answer_sink
{
public:
    // `decorate` may set fields of the head before it is sent; may be empty. With `outlet`, which
    // must outlive the object, a large answer of `route` waits for its turn and is paced.
    relay_sink(server_exchange &exchange,
               std::function<void(Poco::Net::HTTPResponse &head)> decorate,
               link_outlet *outlet = nullptr, std::string route = {});
    relay_sink(const relay_sink &) = delete;
    relay_sink &operator=(const relay_sink &) = delete;
    ~relay_sink() override;

    bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
               std::string_view first, bool whole) override;
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
    link_outlet *m_outlet;
    const std::string m_route;
    std::unique_ptr<transfer_turns::turn> m_turn;
    bool m_isLarge = false;
    // Announced to the outlet and not sent yet.
    size_t m_left = 0;
};

} // namespace persimmonrail
