#pragma once

#include "persimmonrail/keyspace/heartbeat_grants.h"
#include "persimmonrail/keyspace/placement_batch.h"
#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/router/router.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// A grant to release, and the upstream that owns its keys next.
struct release_request
{
    range_grant grant;
    upstream_id newOwner;
    // The fence of the keys in the record, which may be lower than that of the grant.
    uint64_t recordedFence = 0;
};

struct released_range
{
    range_grant grant;
    upstream_id newOwner;
    uint64_t recordedFence = 0;
    // Empty if the upstream's process had ended and so returned no handover.
    std::string handover;
};

struct release_outcome
{
    std::vector<released_range> released;
    // Errors of the releases that may not have taken effect.
    std::vector<absl::Status> failures;
};

// Releases grants at one upstream. Each release waits for the running requests on its keys, so
// releases run concurrently, and the call takes as long as the longest of them. Blocks.
release_outcome releaseAll(const grant_api &grants, const std::string &address,
                           const std::vector<release_request> &requests);

// Returns what an upstream has released that holds none of the keys of `moves` any more: the parts
// of the ranges in `placement`, each with its new owner and the handover that the upstream reported
// for its keys.
std::vector<released_range> releasedByHeartbeat(const std::vector<planned_move> &moves,
                                                const key_placement &placement,
                                                const std::vector<released_keys> &handovers);

// Records the new owners of released ranges. Skips the ranges that are no longer recorded for
// `owner` with the fence that was released, since another writer may have changed the record
// meanwhile. Returns nullopt if none is left.
std::optional<key_placement> recordNewOwners(const key_placement &current, const upstream_id &owner,
                                             const std::vector<released_range> &released);

// Returns the same change as a message to the daemon that writes the changes of several owners.
owner_change changeOf(const upstream_id &owner, uint64_t epoch,
                      const std::vector<released_range> &released);

} // namespace persimmonrail
