#pragma once

#include "persimmonrail/feed/change_feed.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/objects/object_api.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Path on the peer port under which a daemon serves the changes of the fleet's objects.
inline constexpr char changesPath[] = "/v1/changes";

struct relayed_watch_options
{
    // How long a relay waits for a change before it responds. Each wait occupies a thread of the
    // relay. A response without changes shows that the relay is still reachable.
    milliseconds relayWaitTimeout{2000};
    // Time allowed for the response in addition to `relayWaitTimeout`, since connections between
    // hosts can become unresponsive.
    milliseconds responseTimeout{800};
    // Time after a failed request during which a relay is not asked again.
    milliseconds relayRetryDelay{5000};
    // Maximum time for which a watch of the store itself waits for a change. Each response shows
    // that what the daemon and its followers know was current when the watch was sent, which renews
    // their leases, so the wait is short.
    milliseconds storeWaitTimeout{1500};
    // Minimum time between a response of the store with changes and the next watch of the store.
    // Changes made in this time arrive together in one response.
    milliseconds minStoreWatchInterval{150};
};

// Name of the store as a source of changes.
inline constexpr char storeSource[] = "store";

struct relayed_watch_hooks
{
    // Returns the addresses of the relays' peer ports in the order in which the relays are asked;
    // empty if this daemon watches the store itself.
    std::function<std::vector<std::string>()> relays;
    // Called when the source of changes differs from the previous one. `source` is the address of a
    // relay's peer port, or storeSource. `reason` is the error of the last relay that failed, or
    // OK.
    std::function<void(std::string_view source, const absl::Status &reason)> onSourceChanged;
    // Called for each notice in the response of a relay to a request that was sent at `sentAt`.
    // Optional.
    std::function<void(const change_notice &notice, boot_time sentAt)> onNotice;
    std::function<steady_time()> now;
    // Blocks for `time`.
    std::function<void(milliseconds time)> pause;
};

// Returns the addresses of the peer ports of the relays in the availability zone, or no address if
// there is no relay or the daemon at `ownAddress` is one. A relay watches the store on behalf of
// the other daemons in its zone. There is one relay for every 64 members or part thereof; the
// members that come first in the order of hasMoreCapacity() are chosen. The list starts at a relay
// that depends on `ownAddress`, so that daemons spread over the relays.
std::vector<std::string> selectRelayAddresses(const fleet_directory &directory,
                                              std::string_view availabilityZone,
                                              const std::string &ownAddress);

// Returns a copy of `store` in which `watch` reads changes from a relay, or from `store` itself if
// no relay responds. The returned `watch` must be called by one thread at a time.
object_api makeRelayedWatch(object_api store, relayed_watch_hooks hooks,
                            relayed_watch_options options = {});

// Returns the body of the response to a request for changesPath; errors are encoded in the body.
// `uri` includes the query. The call arrived at `arrivedAt`, by the steady clock `now`. Blocks for
// as long as the query asks, at most 10 s.
std::string serveChanges(change_feed &feed, const std::string &uri, boot_time arrivedAt,
                         steady_time now);

} // namespace persimmonrail
