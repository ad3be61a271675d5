#pragma once

#include "persimmonrail/sync/fleet_view.h"

#include <string_view>
#include <vector>

namespace persimmonrail {

// Returns the members to try for a request with this key hash, without duplicates, in this order:
// the recorded owner, the hinted holder, the next owner of a planned move, the standbys. Empty if
// no placement record covers the hash.
//
// Members of the record are skipped if the view does not contain their recorded incarnation.
// `hintedHolder` is the holder named in a "not owner" response (empty if none). The hint is matched
// by name only, since the hint may be newer than the view.
//
// The pointers are valid as long as the view.
std::vector<const member_record *> routeCandidates(const fleet_view &view, std::string_view service,
                                                   uint64_t hash, std::string_view hintedHolder);

} // namespace persimmonrail
