#pragma once

#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/proxy/overload_throttle.h"
#include "persimmonrail/proxy/proxy_types.h"
#include "persimmonrail/routes/route_table.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Decisions of the caller's daemon that depend only on their arguments. proxied_call and
// request_explainer both use them, so that an explanation can't differ from what happens.
namespace persimmonrail {

// The route of a caller's request, or why the request is rejected.
struct route_decision
{
    // None if the request may be sent.
    proxy_reason reason = proxy_reason::None;
    // Time after which a rejected request may be retried; 0 if unknown.
    milliseconds retryAfter{0};
    // Null if no route matches.
    const route *found = nullptr;
};

// `table` is null while no desired state is known. `isMalformed` tells whether a field of the head
// can't be used, `isClosed` whether the daemon rejects new requests.
route_decision decideRoute(const route_table *table, const std::string &host,
                           const std::string &uri, bool isMalformed, bool isClosed);
// Sets the fields of the request that follow from its route.
void applyRoute(proxied_request &request, const route &route);
// Returns the time until which the caller waits; `timeout` is nullopt if the caller states none.
steady_time callDeadline(const std::optional<milliseconds> &timeout, const route &route,
                         steady_time startedAt, steady_time shutdownDeadline);

// Returns the owner of the key; null if the owner is unknown or does not serve the key yet. The
// pointer is valid for the lifetime of the directory.
const upstream_member *findServingOwner(const fleet_directory &directory, std::string_view service,
                                        shard_key key);
// Returns the members that accept requests. The pointers are valid for the lifetime of the
// directory.
std::vector<const upstream_member *> openMembers(const fleet_directory &directory,
                                                 std::string_view service);
// Returns the rejection of a request for which there is no member. The request is not tried again
// if the reason is Evacuated.
proxy_result missingMemberResult(const fleet_directory &directory, std::string_view service,
                                 const std::optional<shard_key> &key);
// Returns the rejection of a request while all upstreams of its service are in evacuated zones.
proxy_result serviceEvacuatedResult();

// Requests with a key are throttled per owner. Other requests may go to any upstream, and a daemon
// with many upstreams contacts each too seldom to learn its load, so all upstreams of the service
// are counted together.
overload_throttle::request_class throttleClassOf(const proxied_request &request,
                                                 const upstream_id &upstream);

// Returns whether another attempt is useful after one that failed for this reason. Whether the
// reason permits one is up to isRetryable(). A key has one owner. Waiting for the owner helps only
// while the key moves; a full queue, a lost host or a restart takes longer than a caller should
// wait.
bool mayHelpToRetry(proxy_reason reason, bool hasKey);

// Returns the Retry-After of a rejection. `defaultRetryAfter` applies if the time is unknown.
milliseconds statedRetryAfter(milliseconds retryAfter, milliseconds defaultRetryAfter);

} // namespace persimmonrail
