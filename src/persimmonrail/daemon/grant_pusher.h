#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/ownership/ownership_engine.h"
#include "persimmonrail/upstream/upstream_client.h"

#include <vector>

namespace persimmonrail {

// Passes lease grants to the upstream on a thread of its own, since the calls block.
class grant_pusher
{
public:
    // The references must outlive the pusher.
    grant_pusher(upstream_client &upstreamClient, control_loop &loop);

    // Called on the control thread, as is the completion. Errors: those of
    // upstream_client::pushGrants; ResourceExhausted if earlier grants are still being passed.
    void apply(std::vector<lease_grant> grants, ownership_hooks::grant_completion done);

private:
    absl::Status push(const std::vector<lease_grant> &grants);

    upstream_client &m_upstreamClient;
    control_loop &m_loop;
    // Declared last: its thread uses the members above until it has ended.
    background_worker m_worker;
};

} // namespace persimmonrail
