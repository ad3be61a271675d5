#pragma once

#include "persimmonrail/http/http_client.h"
#include "persimmonrail/objects/object_api.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Path of the peer port under which a daemon calls the store for another one.
inline constexpr char storeProxyPath[] = "/v1/store";

struct store_proxy_options
{
    // After a failed direct call, calls go through peers at once for this long; then the direct way
    // is tried again.
    milliseconds directPause{1000};
    // Peers that are asked for one call.
    int maxPeers = 2;
    milliseconds peerTimeout{1200};
};

struct store_proxy_hooks
{
    // Peer ports of other daemons, in the order in which they are to be asked.
    std::function<std::vector<std::string>()> peers;
    // Called when calls begin to go through peers, and when the direct way works again.
    std::function<void(bool isDirect, const absl::Status &status)> onChange;
    std::function<steady_time()> now;
};

// The store by the direct way, or through another daemon while this one is cut off from it or is
// turned away. Reads and conditional writes only; a watch has to be direct. A write whose fate is
// unknown is not sent a second way.
object_api makeProxiedStore(object_api direct, store_proxy_hooks hooks,
                            store_proxy_options options = {});

// Runs one call of a peer on the own, direct store and returns the answer's body.
std::string serveStoreProxy(const object_api &direct, std::string_view body);

} // namespace persimmonrail
