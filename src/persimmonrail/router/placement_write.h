#pragma once

#include "persimmonrail/keyspace/key_placement.h"
#include "persimmonrail/objects/object_api.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string_view>

namespace persimmonrail {

// A conditional write of the service's placement.
struct placement_write
{
    key_placement placement;
    uint64_t expectedVersion = 0;
    std::string_view reason;
};

// What a write of the placement came to.
enum class write_result {
    Written,
    // Another writer changed the record; this write did not and can't take effect any more.
    Lost,
    // Nothing was written.
    Undone,
    // It may take effect later, as long as nobody else changes the record.
    Open,
};

std::string_view toString(write_result result);
// `readBack`: what the store held after the write failed, if it could be read.
write_result judgeWrite(const absl::Status &status, const placement_write &write,
                        const absl::StatusOr<stored_object> &readBack);

} // namespace persimmonrail
