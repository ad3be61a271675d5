#pragma once

#include "persimmonrail/balance/placement_plan.h"

#include <optional>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Replaces the standbys of a record that are no longer members and fills up missing ones. Returns
// the new standbys, or nullopt if the record needs no change. `maxStandbys` is the number of
// members of the service that can be standbys of one record.
std::optional<std::vector<instance_id>>
repairedStandbys(const fleet_view &view, std::string_view service, const placement_record &record,
                 size_t maxStandbys, const placement_hooks &hooks);

} // namespace persimmonrail
