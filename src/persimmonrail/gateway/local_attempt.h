#pragma once

#include "persimmonrail/gateway/attempt_result.h"
#include "persimmonrail/gateway/caller_sink.h"
#include "persimmonrail/gateway/gateway_hooks.h"
#include "persimmonrail/gateway/resolved_request.h"
#include "persimmonrail/upstream/upstream_client.h"

namespace persimmonrail {

// Reason of the rejection of a request whose fingerprint is quarantined.
inline constexpr char quarantinedReason[] = "quarantined";

// One attempt to run a request on the local upstream. Not thread safe; used by the thread of the
// request's connection.
class local_attempt
{
public:
    // All hooks that have a default must be set. All arguments must outlive the object.
    local_attempt(const gateway_hooks &hooks, upstream_client &upstreamClient,
                  server_exchange &exchange, const resolved_request &request);

    // Runs the request if the upstream is up and belongs to the service. Blocks until the response
    // is sent or the attempt has failed. `ticket` is null for a request that any instance may run.
    attempt_result run(const lease_ticket *ticket);

private:
    // Runs a request that is not repeatable, or sends the stored response if it ran before.
    attempt_result runAtMostOnce(const lease_ticket &ticket, steady_time now);
    // Checks the crash quarantine, waits for a slot of the local upstream and dispatches the
    // request. `storeResponse` receives a complete response that is small enough; it may be empty.
    attempt_result admitAndDispatch(const lease_ticket *ticket,
                                    const caller_sink::store_hook &storeResponse);
    // Returns the request as it is dispatched, without its body.
    dispatch_request makeDispatchRequest(const lease_ticket *ticket) const;

    const gateway_hooks &m_hooks;
    upstream_client &m_upstreamClient;
    server_exchange &m_exchange;
    const resolved_request &m_request;
};

} // namespace persimmonrail
