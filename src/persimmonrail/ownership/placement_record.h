#pragma once

#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/base/key_hash.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// The placement record of one partition: its owner, the witnesses of the owner's lease, and the
// standbys. The platform stores the record as JSON under "placement/<partition>". Records are
// changed only by conditional update.
struct placement_record
{
    // Name of the partition, "<service>/<range>". The range is written as the first hash in 16
    // hexadecimal digits, followed by "-single" for a partition of one hot key.
    std::string partition;
    // Hashes of the partition's keys, both ends included.
    hash_range range;
    instance_id owner;
    // Fencing token. The term never decreases, and increases whenever the owner changes.
    uint64_t term = 0;
    // Three daemons that acknowledge the owner's lease, on three different hosts where the region
    // has them.
    std::vector<instance_id> witnesses;
    // The witnesses before the change during a witness change, otherwise empty. If set, a lease
    // needs a majority of each set.
    std::vector<instance_id> previousWitnesses;
    // Instances that may claim the partition when the lease expires, in this order.
    std::vector<instance_id> standbys;
    // Target of the planned move; null if no move is planned.
    instance_id nextOwner;

    bool operator==(const placement_record &) const = default;
};

// A placement record with its version at the platform.
struct versioned_record
{
    placement_record record;
    uint64_t version = 0;
};

// Returns the service in a partition name, which is the part before the first "/".
std::string_view serviceOfPartition(std::string_view partition);
// Returns the platform key of a partition's record.
std::string placementKey(std::string_view partition);

// Returns the record as JSON text.
std::string encodeRecord(const placement_record &record);
// Parses a record from JSON text. Returns InvalidArgument if the text is not a placement record, or
// if the record has no partition name, an empty range, no owner, or a witness set that does not
// have three members.
absl::StatusOr<placement_record> decodeRecord(std::string_view text);

} // namespace persimmonrail
