#pragma once

#include "persimmonrail/fleet/upstream_member.h"
#include "persimmonrail/keyspace/heartbeat_grants.h"
#include "persimmonrail/keyspace/range_lease_manager.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/proxy/exchange_codec.h"
#include "persimmonrail/router/router_settings.h"
#include "persimmonrail/routes/route_table.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmonrail {

// Message from an upstream to the daemon beside it.
struct upstream_message
{
    upstream_report report;
    // The upstream departs and sends no further reports; only report.id is set.
    bool isDeparture = false;
    // The keys that the upstream holds; nothing if it takes grants by calls only.
    std::optional<holdings_report> holdings = {};
};

// Calls to an upstream about the key ranges that it holds. Errors: Aborted if the upstream knows a
// higher fence, FailedPrecondition if no process listens at the address, Unavailable or Unknown
// otherwise. connect() and grant() are called on one thread at a time.
struct grant_api
{
    // Opens the connection to the address that the next grants use, in place of the one before.
    std::function<absl::Status(const std::string &address)> connect;
    // Sends a grant on the connection that connect() has opened, and on no other. The fence is
    // fenceOnConnection(). Also returns NotFound if the connection was closed before anything was
    // sent.
    std::function<absl::Status(const std::string &address, const range_grant &grant,
                               milliseconds holdTime)>
        grant;
    // Ends the grants of the keys up to a fence of fenceOnConnection(). Waits until the running
    // requests on the keys have ended, and returns the handover.
    std::function<absl::StatusOr<std::string>(const std::string &address, key_interval keys,
                                              uint64_t fence)>
        release;
};

// Interface to the platform on which the router runs. Hooks block and are thread safe.
struct router_platform
{
    // The platform's object store.
    object_api store;
    exchange_codec codec;
    grant_api grants;
    // Prefix that holds the operators' desired state, and the key of the object under the prefix.
    std::string desiredStatePrefix;
    std::string desiredStateKey;
    // Prefix of the objects whose names are the zones to be evacuated, with "/" at the end.
    std::string evacuationPrefix;
    // Bounds the wait of one watch of the store. The destruction of a router may take as long.
    milliseconds maxWatchWait{20000};
    // Errors: InvalidArgument.
    std::function<absl::StatusOr<std::shared_ptr<const route_table>>(std::string_view value)>
        parseDesiredState;
    // Parses a request to the report address. Errors: InvalidArgument.
    std::function<absl::StatusOr<upstream_message>(const std::string &uri, std::string_view body)>
        parseReport;
    // Encodes the response to a report. `holdings` is what the upstream is to hold; nothing if the
    // response is to leave its grants as they are.
    std::function<std::string(const std::optional<holdings> &holdings)> encodeReportResponse;
    // Size up to which an upstream accepts the response to a report, in bytes.
    size_t maxReportResponseBytes = 4096;
};

// A running router daemon. Thread safe.
class router
{
public:
    // Errors: Unavailable if an address can't be bound.
    static absl::StatusOr<std::unique_ptr<router>> start(const router_settings &settings,
                                                         router_platform platform);
    router(const router &) = delete;
    router &operator=(const router &) = delete;
    ~router();

    // Compares new settings with the current ones and logs whether the change needs a restart. No
    // setting changes while the router runs.
    void reload(const router_settings &settings);
    // Shuts down gracefully within the grace period: stops accepting requests and waits for the
    // running ones.
    void stop();

private:
    class state;
    explicit router(std::unique_ptr<state> state);
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
