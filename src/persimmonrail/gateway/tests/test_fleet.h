#pragma once

#include "persimmonrail/gateway/servers.h"
#include "standins/upstream_standin.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// Long enough for any machine; ends a test that would otherwise hang.
inline constexpr milliseconds generous{60'000};

// Daemons with their upstreams, which share one view of the fleet. Service "standin" is divided by
// key and has one partition, "standin/all"; any instance runs requests of service "photos".
class test_fleet
{
public:
    struct daemon
    {
        std::string name;
        std::atomic<bool> holdsLease = false;
        // Called for each lookup of the lease.
        std::function<void()> onLookup;
        std::string holderHint;
        gateway_hooks hooks;
        request_router_options options;
        std::unique_ptr<upstream_standin> standin;
        upstream_client upstreamClient{{}};
        decision_log log{{log_level::Off, ""}};
        metrics counters;
        std::unique_ptr<request_router> path;
        std::unique_ptr<caller_server> callers;
        std::unique_ptr<peer_server> peers;
    };

    test_fleet();

    // Adds a daemon; an empty service adds one without an upstream. `change` sees its hooks before
    // it starts.
    daemon &add(const std::string &name, const std::string &service = "standin",
                const std::function<void(daemon &)> &change = {});
    // Records the owner and the standbys of the partition.
    void place(const std::string &owner, const std::vector<std::string> &standbys = {});
    // Replaces the address under which other daemons know this one.
    void setPeerAddress(const std::string &name, const std::string &address);
    void setTimeout(milliseconds timeout) { m_timeout = timeout; }

private:
    void publish();
    std::shared_ptr<const service_document> document(const std::string &service) const;

    milliseconds m_timeout = generous;
    std::map<std::string, member_record, std::less<>> m_members;
    versioned_record m_record;
    std::atomic<std::shared_ptr<const fleet_view>> m_view;
    std::vector<std::unique_ptr<daemon>> m_daemons;
};

struct caller_response
{
    int status = 0;
    std::string outcome;
    std::string reason;
    std::string body;
    Poco::Net::HTTPResponse head;
    // Whether the body ended where its framing says.
    bool whole = false;
};

// Sends a request with Poco's own HTTP client, as a caller would. Fields are "Name: value".
caller_response call(const std::string &address, const std::string &method, const std::string &uri,
                     const std::string &body = {}, const std::vector<std::string> &fields = {});

inline constexpr char idempotencyField[] = "Idempotency-Key: 019345ab-cdef-7123-8456-0123456789ab";

} // namespace persimmonrail
