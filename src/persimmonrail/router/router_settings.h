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
    // The addresses have the form "ip:port".
    std::string callerAddress;
    std::string peerAddress;
    std::string readyAddress;
    std::string reportAddress;
    std::string metricsAddress;
    std::string storeAddress;
    std::string upstreamAddress;
    // Interval between two reports of the upstream.
    milliseconds reportInterval{1000};
    // Longest hold time that upstreams accept.
    milliseconds maxHold{10000};
    // Bounds how long a draining upstream may receive requests after its departure was
    // acknowledged.
    milliseconds drainTimeout{2000};
    // Time from the stop signal until the process is ended by force.
    milliseconds gracePeriod{6000};
    // All daemons together may retry this share of a service's requests within the window, plus
    // `retrySlack` requests.
    double retryRatio = 0.2;
    int retrySlack = 0;
    milliseconds retryWindow{10000};
    // Bandwidth of this host's link, in 10^6 bits per second; 0 if unknown.
    double linkMbps = 0;
    // Share of a processor that this daemon may use (0 if unknown), and the speed of the processor
    // as a multiple of the usual processor's speed.
    double processorShare = 0;
    double processorSpeed = 1;
    // Memory that this process may use, in 10^6 bytes; 0 if unknown.
    double memoryMb = 0;
    // All senders together may exceed the rate that a cold upstream tolerates by this factor, plus
    // `coldSlack` requests in any second.
    double coldOvershoot = 1;
    int coldSlack = 0;
    // Time from the confirmation of a zone's evacuation until the last request may reach an
    // upstream of the zone; 0 if zones are not evacuated on this platform.
    milliseconds evacuationTimeout{0};
    // Requests of one connection of a caller that are served side by side; 1 serves one after the
    // other.
    int maxPipelinedRequests = 1;
    // Whether the latency objective of a caller's retry counts from the caller's first attempt.
    bool detectsCallerRetries = false;
    // Whether owners pass the changes of their key ranges to one daemon, which writes them
    // together.
    bool usesPlacementWriter = false;
    // Waiting time that costs as much as sending a small request to another availability zone, and
    // the milliseconds that each 1,000 bytes of a request and its response add to it. A cost of 0
    // selects a fixed factor instead.
    milliseconds zoneCrossingCost{0};
    double zoneCrossingCostPerKb = 0;
    // Whether requests are rejected, with their body unread, if too many bytes are in flight, and
    // the time to transfer a body counts in the choice of an upstream.
    bool limitsBodies = false;
    // Whether rejected callers are told to return at different times, when capacity for them is
    // expected, and their retries wait behind first attempts.
    bool schedulesReturns = false;
    int maxCallerConnections = 512;
    int maxPeerConnections = 1024;
    log_level level = log_level::Info;
};

// Parses "name = value" lines; skips empty lines and lines that begin with #. routerHelp() lists
// the names. Errors: InvalidArgument with all errors found.
absl::StatusOr<router_settings> parseRouterSettings(std::string_view text);
// Returns one line of help per setting.
std::string routerHelp();

} // namespace persimmonrail
