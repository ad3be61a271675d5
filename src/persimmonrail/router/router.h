#pragma once

#include "persimmonrail/fleet/upstream_member.h"
#include "persimmonrail/keyspace/range_lease_manager.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/proxy/exchange_codec.h"
#include "persimmonrail/router/router_settings.h"
#include "persimmonrail/routes/route_table.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// What an upstream told the daemon beside it.
struct upstream_message
{
    upstream_report report;
    // The upstream leaves and sends no further reports; only report.id is set.
    bool isDeparture = false;
};

// Calls to an upstream about the key ranges that it holds. Errors: Aborted if it knows a higher
// fence, FailedPrecondition if no process listens there, Unavailable or Unknown otherwise.
struct grant_api
{
    std::function<absl::Status(const std::string &address, const range_grant &grant,
                               milliseconds holdTime)>
        grant;
    // Returns the handover; waits until the work that runs on the keys has ended.
    std::function<absl::StatusOr<std::string>(const std::string &address, key_interval keys,
                                              uint64_t fence)>
        release;
};

// How the router meets the platform on which it runs. Hooks block and are thread safe.
struct router_platform
{
    // `storeAddress` is called by the transport at each new connection, so that a reload counts.
    object_api store;
    exchange_codec codec;
    grant_api grants;
    // Prefix that holds the operators' desired state, and the key of the object in it.
    std::string desiredStatePrefix;
    std::string desiredStateKey;
    // Longest time that one watch of the store waits; the end of a router may take as long.
    milliseconds watchWait{20000};
    // Errors: InvalidArgument.
    std::function<absl::StatusOr<std::shared_ptr<const route_table>>(std::string_view value)>
        parseDesiredState;
    // Reads a request to the report address. Errors: InvalidArgument.
    std::function<absl::StatusOr<upstream_message>(const std::string &uri, std::string_view body)>
        parseReport;
};

// One running router daemon. Thread safe.
class router
{
public:
    // Errors: Unavailable if an address can't be bound.
    static absl::StatusOr<std::unique_ptr<router>> start(const router_settings &settings,
                                                         router_platform platform);
    router(const router &) = delete;
    router &operator=(const router &) = delete;
    ~router();

    // Takes new settings; those that need a restart keep their old value and are logged.
    void reload(const router_settings &settings);
    // Graceful shutdown: takes no new work, ends what runs, within the grace period.
    void stop();

private:
    class state;
    explicit router(std::unique_ptr<state> state);
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
