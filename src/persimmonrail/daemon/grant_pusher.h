#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/ownership/ownership_engine.h"
#include "persimmonrail/upstream/upstream_client.h"

#include <vector>

namespace persimmonrail {

// Sends lease grants to the local upstream. The calls block, so they run on a dedicated thread.
//
// Not thread safe; used on the control thread.
class grant_pusher
{
public:
    // The references must outlive the pusher.
    grant_pusher(upstream_client &upstreamClient, control_loop &loop);

    // Enqueues the grants and returns at once. `done` is called on the control thread: with OK and
    // without a call if the upstream doesn't check grants, otherwise with the result of the call.
    //
    // Errors: those of upstream_client::pushGrants(); ResourceExhausted if too many earlier calls
    // are pending.
    void enqueue(std::vector<lease_grant> grants, ownership_hooks::grant_completion done);

private:
    absl::Status sendToUpstream(const std::vector<lease_grant> &grants);

    upstream_client &m_upstreamClient;
    control_loop &m_loop;
    // Must be the last member: its thread uses the members above until the worker is destroyed.
    background_worker m_worker;
};

} // namespace persimmonrail
