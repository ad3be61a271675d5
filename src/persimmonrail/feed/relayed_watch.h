#pragma once

#include "persimmonrail/feed/change_feed.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/objects/object_api.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Path under which a peer port gives out the changes of the fleet's objects.
inline constexpr char changesPath[] = "/v1/changes";

struct relayed_watch_options
{
    // How long a relay may hold an answer back until there is a change. Each wait holds a thread
    // of the relay; the end of a wait shows that the relay is still there.
    milliseconds relayWait{2000};
    // What an answer may take besides; connections between hosts may go silent.
    milliseconds responseSlack{800};
    // A relay that failed is not asked again for this long.
    milliseconds failurePause{5000};
    // Longest wait of a watch of the store itself, so that a relay learns soon that it is cut off.
    milliseconds directWait{5000};
    // Between two watches of the store that were answered with changes, which are gathered
    // meanwhile.
    milliseconds minGap{150};
};

struct relayed_watch_hooks
{
    // Peer ports of the daemons to follow, in the order in which they are to be asked; none if this
    // daemon follows the store itself.
    std::function<std::vector<std::string>()> relays;
    // A watch of the store itself was answered.
    std::function<void(steady_time now)> onDirectResponse;
    // Called when another source is followed: a peer port, or "store".
    std::function<void(std::string_view source, const absl::Status &reason)> onSource;
    std::function<steady_time()> now;
    // Blocks for a time.
    std::function<void(milliseconds time)> pause;
};

// Daemons in the availability zone that follow the store for the others there, as peer ports: the
// first members by name, one for every 64. `ownAddress` starts its followers at different ones.
// Empty if the daemon at `ownAddress` is one of them, or there is none.
std::vector<std::string> relaysFor(const fleet_directory &directory,
                                   std::string_view availabilityZone,
                                   const std::string &ownAddress);

// Replaces the watch of `direct` by one that asks the relays and falls back to the store. For one
// watching thread.
object_api makeRelayedWatch(object_api direct, relayed_watch_hooks hooks,
                            relayed_watch_options options = {});

// Answers a request for changesPath with its query. Blocks as long as the follower asks for, at
// most 10 s.
std::string serveChanges(change_feed &feed, const std::string &uri, steady_time now);

} // namespace persimmonrail
