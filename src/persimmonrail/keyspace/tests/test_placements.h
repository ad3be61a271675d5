#pragma once

#include "persimmonrail/keyspace/range_lease_manager.h"
#include "persimmonrail/keyspace/range_plan.h"

namespace persimmonrail {

// Upstreams and placements that several tests of the slice use.
inline const upstream_id a{"a", 1};
inline const upstream_id b{"b", 1};
inline const upstream_id c{"c", 1};
inline constexpr boot_time start = std::chrono::seconds(1000);

// Returns a placement in which `a` owns the lower and `b` the upper half of the keys.
inline key_placement twoOwners()
{
    return assignUnowned(emptyPlacement("haulbook"), {{a, 9}, {b, 9}});
}

// Returns the fence of the key's owner.
inline uint64_t fenceOf(const key_placement &placement, shard_key key)
{
    return placement.rangeOf(key).fence;
}

} // namespace persimmonrail
