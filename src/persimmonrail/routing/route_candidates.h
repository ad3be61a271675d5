#pragma once

#include "persimmonrail/sync/fleet_view.h"

#include <string_view>
#include <vector>

namespace persimmonrail {

// Returns the members to try for a request with this key hash, in order: the recorded owner, the
// holder named in a "not owner" answer (empty if none), the target of a planned move, the standbys.
// Members that the view does not know under the recorded incarnation are left out; the hint is by
// name, since it may be newer than the view. Empty if no record covers the hash.
//
// The pointers are valid as long as the view.
std::vector<const member_record *> routeCandidates(const fleet_view &view, std::string_view service,
                                                   uint64_t hash, std::string_view hintedHolder);

} // namespace persimmonrail
