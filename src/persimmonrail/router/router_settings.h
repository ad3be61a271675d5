#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <absl/status/statusor.h>

#include <map>
#include <string>
#include <vector>

namespace persimmonrail {

// Settings of the router daemon beside one upstream.
struct router_settings
{
    std::string hostName;
    std::string availabilityZone;
    // Service of the upstream on this host.
    std::string service;
    // "ip:port" each.
    std::string callerAddress;
    std::string peerAddress;
    std::string readyAddress;
    std::string reportAddress;
    std::string metricsAddress;
    std::string storeAddress;
    std::string upstreamAddress;
    // Time between two reports of the upstream.
    milliseconds reportInterval{1000};
    // Longest hold time that upstreams accept.
    milliseconds maxHold{10000};
    // Longest time for which a leaving upstream may get work after its leaving was acknowledged.
    milliseconds drainTimeout{2000};
    // Time between the stop signal and the end of the process, by force.
    milliseconds gracePeriod{6000};
    // All daemons together may repeat this share of a service's requests within the window, and
    // this many more.
    double retryRatio = 0.2;
    int retrySlack = 0;
    milliseconds retryWindow{10000};
    // What the link of this host carries, in 10^6 bits a second; 0 if unknown.
    double linkMbps = 0;
    // Part of a processor that this daemon may use, and the speed of that processor as a multiple
    // of the usual one; 0 if unknown.
    double processorShare = 0;
    double processorSpeed = 1;
    int maxCallerConnections = 512;
    int maxPeerConnections = 1024;
    log_level level = log_level::Info;
};

// Reads "name = value" lines; empty lines and those that begin with # are skipped. Names are those
// of routerHelp(). Errors: InvalidArgument with all faults.
absl::StatusOr<router_settings> parseRouterSettings(std::string_view text);
// One line per setting.
std::string routerHelp();

} // namespace persimmonrail
