#pragma once

#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/sync/fleet_view.h"

#include <string_view>
#include <vector>

namespace persimmonrail {

// Number of witnesses in a witness set.
inline constexpr size_t witnessCount = 3;
// Maximum number of standbys of a partition.
inline constexpr size_t maxStandbys = 3;

// Returns the host of a member, which is the IP address in its control address. The result points
// into `member`.
std::string_view hostOf(const member_record &member);

// Chooses three witnesses in the owner's region. The witnesses are on hosts other than the owner's
// and each other's, and in three availability zones if the region has them; among equally good
// candidates the highest rendezvous weight wins. If the region has too few hosts, witnesses share a
// host. Returns fewer than three witnesses if the region has fewer other members, and none if the
// owner is not a member; no record may be written in these cases.
//
// The choice depends on the owner alone, so that all heartbeats of the owner go to the same three
// witnesses. `partition` is unused; the parameter allows choices by partition in the future.
std::vector<instance_id> chooseWitnesses(const fleet_view &view, const instance_id &owner,
                                         std::string_view partition);

// Returns `kept`, completed to three witnesses by the rules of chooseWitnesses(). Chooses none of
// the instances in `avoided`.
std::vector<instance_id> completeWitnesses(const fleet_view &view, const instance_id &owner,
                                           std::vector<instance_id> kept,
                                           const std::vector<instance_id> &avoided);

// Chooses at most three standbys for a partition among the members of `service` in the owner's
// region. Members in other availability zones come first, then members on other hosts; members that
// are equal in both respects are ordered by descending rendezvous weight. Returns none if the owner
// is not a member.
std::vector<instance_id> chooseStandbys(const fleet_view &view, std::string_view service,
                                        const instance_id &owner, std::string_view partition);

} // namespace persimmonrail
