#pragma once

#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/base/key_hash.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// The platform's record of one partition: who owns it, who witnesses the lease and who may stand
// in. Stored as JSON under "placement/<partition>", changed by conditional update only.
struct placement_record
{
    // "<service>/<range>", the range written as 16 hexadecimal digits of its first hash, followed
    // by "-single" for a partition of one hot key.
    std::string partition;
    hash_range range;
    instance_id owner;
    uint64_t term = 0;
    // Three daemons that acknowledge the owner's lease, on three different hosts.
    std::vector<instance_id> witnesses;
    // Set while the witnesses change; a lease then needs a majority of both sets.
    std::vector<instance_id> previousWitnesses;
    // Instances that may claim the partition when the lease expires, in this order.
    std::vector<instance_id> standbys;
    // Target of a planned move; null if none is under way.
    instance_id nextOwner;

    bool operator==(const placement_record &) const = default;
};

// A record together with the platform's version of it.
struct versioned_record
{
    placement_record record;
    uint64_t version = 0;
};

// Returns the service part of a partition name.
std::string_view serviceOfPartition(std::string_view partition);
// Returns the platform key of a partition's record.
std::string placementKey(std::string_view partition);

std::string encodeRecord(const placement_record &record);
// Errors: InvalidArgument if the text is no record or violates one of its invariants.
absl::StatusOr<placement_record> decodeRecord(std::string_view text);

} // namespace persimmonrail
