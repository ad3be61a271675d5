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

// Path of the peer port on which a daemon calls the store on behalf of another daemon.
inline constexpr char storeProxyPath[] = "/v1/store";

struct store_proxy_options
{
    // After a failed direct call, calls go through peers for this long before the direct path is
    // tried again.
    milliseconds directRetryDelay{1000};
    // Maximum number of peers tried for one call.
    int maxPeers = 2;
    milliseconds peerTimeout{1200};
};

struct store_proxy_hooks
{
    // Returns the peer ports of other daemons, in the order in which they are tried.
    std::function<std::vector<std::string>()> peers;
    // Called when calls begin to go through peers, and when the direct path works again.
    std::function<void(bool isDirectPathUp, const absl::Status &status)> onPathChange;
    std::function<steady_time()> now;
};

// Returns a store that is called directly, or through another daemon while the direct path is cut
// off or rejects calls. Only reads and conditional writes go through peers; a watch is always
// direct. A write with an unknown outcome is not sent again by another path.
object_api makeProxiedStore(object_api direct, store_proxy_hooks hooks,
                            store_proxy_options options = {});

// Runs one call of a peer on this daemon's direct store and returns the body of the response.
std::string serveStoreProxy(const object_api &direct, std::string_view body);

} // namespace persimmonrail
