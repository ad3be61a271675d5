#pragma once

#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/sync/fleet_view.h"

#include <string_view>
#include <vector>

namespace persimmonrail {

// Size of a witness set and longest standby list.
inline constexpr size_t witnessCount = 3;
inline constexpr size_t maxStandbys = 3;

// Host of a member: the IP address of its control address.
std::string_view hostOf(const member_record &member);

// Chooses three witnesses in the owner's region by rendezvous weight, the best spread first: on
// hosts other than the owner's and each other's, in three availability zones where the region has
// them. Sites with too few hosts get instances that share a host rather than none. Returns fewer
// than three if the region has fewer other members, and none if the owner is no member; a record
// must not be written then. The choice depends on the owner alone, so that the heartbeats of all
// its partitions share three streams; `partition` is for choices by partition in the future.
std::vector<instance_id> chooseWitnesses(const fleet_view &view, const instance_id &owner,
                                         std::string_view partition);

// Completes `kept` to three witnesses by the rules of chooseWitnesses() without choosing any of
// `avoided`.
std::vector<instance_id> completeWitnesses(const fleet_view &view, const instance_id &owner,
                                           std::vector<instance_id> kept,
                                           const std::vector<instance_id> &avoided);

// Chooses at most three standbys for a partition of `service`: members of the service in the
// owner's region, those in other availability zones and on other hosts first, then by rendezvous
// weight.
std::vector<instance_id> chooseStandbys(const fleet_view &view, std::string_view service,
                                        const instance_id &owner, std::string_view partition);

} // namespace persimmonrail
