#pragma once

#include "persimmonrail/keyspace/key_placement.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/objects/object_version.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string_view>

namespace persimmonrail {

// A write of the service's placement record, conditional on the record's version.
struct placement_write
{
    key_placement placement;
    // 0 if the epoch must not have a record yet.
    uint64_t expectedVersion = 0;
    std::string_view reason;
    // Epoch of the store to which the record belongs.
    uint64_t epoch = baseEpoch;
};

// Result of a write of the placement record.
enum class write_result {
    Written,
    // Nothing had to be written: the record needed no change.
    Unneeded,
    // Another writer changed the record; this write had no effect and can have none later.
    Superseded,
    // Nothing was written.
    NotApplied,
    // The write may still take effect later, unless another writer changes the record first.
    Unconfirmed,
    // The store was restored meanwhile. Whether others saw the write before the restore is unknown;
    // it can have no effect in the present epoch.
    EpochEnded,
};

std::string_view toString(write_result result);
// Determines the result of a write that ended with `status`. `readBack` is what was written, or
// what the store held after a failed write, or the error of reading the record.
write_result classifyWrite(const absl::Status &status, const placement_write &write,
                           const absl::StatusOr<stored_object> &readBack);

} // namespace persimmonrail
