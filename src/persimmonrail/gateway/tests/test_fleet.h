#pragma once

#include "persimmonrail/gateway/servers.h"
#include "standins/upstream_standin.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// Bounds the waits of the tests, so that no test hangs. Long enough for any machine.
inline constexpr milliseconds testTimeout{60'000};

// Gateways of several daemons with their upstreams, all of which share one view of the fleet. The
// service "standin" is partitioned by key and has one partition, "standin/all". Any instance of the
// service "photos" may run its requests.
class test_fleet
{
public:
    struct daemon
    {
        std::string name;
        // Whether this daemon holds the lease of the partition.
        std::atomic<bool> holdsLease = false;
        // Called before each lookup of the lease.
        std::function<void()> onLeaseLookup;
        std::string holderHint;
        gateway_hooks hooks;
        request_router_options options;
        std::unique_ptr<upstream_standin> standin;
        upstream_client upstreamClient{{}};
        decision_log log{{log_level::Off, ""}};
        metrics counters;
        std::unique_ptr<request_router> router;
        std::unique_ptr<caller_server> callerServer;
        std::unique_ptr<peer_server> peerServer;
    };

    test_fleet();

    // Adds a daemon and starts its servers. If `service` is empty, the daemon has no upstream.
    // `configure` is called before the start and may change the daemon, such as its hooks.
    daemon &add(const std::string &name, const std::string &service = "standin",
                const std::function<void(daemon &)> &configure = {});
    // Sets the owner and the standbys in the placement record of the partition.
    void setPlacement(const std::string &owner, const std::vector<std::string> &standbys = {});
    // Replaces the peer address that the fleet view contains for this daemon.
    void setPeerAddress(const std::string &name, const std::string &address);
    // Sets the timeout of all operations. Takes effect at the next publication of the view.
    void setTimeout(milliseconds timeout) { m_timeout = timeout; }

private:
    // Makes a new view from the members and the record available to all daemons.
    void publish();
    std::shared_ptr<const service_document> makeDocument(const std::string &service) const;

    milliseconds m_timeout = testTimeout;
    std::map<std::string, member_record, std::less<>> m_members;
    versioned_record m_record;
    std::atomic<std::shared_ptr<const fleet_view>> m_view;
    std::vector<std::unique_ptr<daemon>> m_daemons;
};

// Response as a caller receives it.
struct caller_response
{
    int status = 0;
    std::string outcome;
    std::string reason;
    std::string body;
    Poco::Net::HTTPResponse head;
    // Whether the length of the body equals the Content-Length of the response.
    bool isComplete = false;
};

// Sends a request with Poco's HTTP client instead of the project's own, and returns the response.
// Each header field has the form "Name: value".
caller_response call(const std::string &address, const std::string &method, const std::string &uri,
                     const std::string &body = {}, const std::vector<std::string> &fields = {});

inline constexpr char idempotencyField[] = "Idempotency-Key: 019345ab-cdef-7123-8456-0123456789ab";

} // namespace persimmonrail
