#pragma once

#include "persimmonrail/balance/hash_partitioning.h"
#include "persimmonrail/sync/fleet_view.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// A planned conditional write of one placement record.
struct record_change
{
    enum class change_kind { Create, Move, CancelMove, RepairStandbys };

    change_kind kind = change_kind::Create;
    // The record to write.
    placement_record record;
    // Version that the platform must hold for the write to take effect; 0 means that the record
    // must not exist.
    uint64_t expectedVersion = 0;
    // Whether a move balances load, as opposed to partition counts or draining.
    bool isLoadDriven = false;
    // Why the change was planned; written to the decision log.
    std::string reason;
};

// Returns "create", "move", "cancel-move" or "repair-standbys".
std::string_view toString(record_change::change_kind kind);

// State of a member as far as placement is concerned.
enum class member_condition {
    // The member may receive partitions.
    Available,
    // The member's partitions are moved to other members.
    Draining,
    // The member does not reply to pings. Its partitions are not moved, since only their owner can
    // release them for a planned move. The standbys of the partitions claim them instead.
    Unresponsive,
};

// Decisions that planPlacement() leaves to its caller.
struct placement_hooks
{
    // Returns three witnesses for a partition, or fewer if the fleet is too small to place the
    // partition.
    std::function<std::vector<instance_id>(const fleet_view &view, const instance_id &owner,
                                           std::string_view partition)>
        chooseWitnesses;
    // Returns the standbys for a partition, in the order in which they may claim it.
    std::function<std::vector<instance_id>(const fleet_view &view, std::string_view service,
                                           const instance_id &owner, std::string_view partition)>
        chooseStandbys;
    // Returns the condition of a member. If unset, all members are available.
    std::function<member_condition(const member_record &member)> condition;
};

// Limits of planPlacement().
struct placement_options
{
    // Maximum number of planned moves of the service that are in progress at a time.
    size_t maxConcurrentMoves = 2;
    // Maximum number of records that one call creates.
    size_t maxCreations = 64;
    // Maximum number of records whose standbys one call replaces.
    size_t maxStandbyRepairs = 4;
    // Requests per second by partition. If empty, only the numbers of partitions are balanced.
    std::map<std::string, double, std::less<>> requestRates;
    // Load-driven moves take partitions only from members whose load exceeds the mean by more than
    // this share of the mean.
    double minLoadExcess = 0.20;
    // Each load-driven move or exchange must lower the higher load of the two members by at least
    // this share of the mean. This excludes moves that noise in the observed rates would soon undo.
    double minLoadReduction = 0.10;
};

// Returns the record changes that bring a service's placement closer to balance. Returns none if
// the service has no document or is not partitioned.
//
// Repeated calls lead to a placement in which each available member owns an equal share of the
// partitions, rounded down or up. A joining member receives no more partitions than its share, and
// a leaving member gives up no more than it owns. Load is balanced by moves and exchanges that keep
// within these limits. Records whose owner's incarnation is no longer a member are never moved.
//
// The function has no side effects. The same view gives the same plan, so two coordinators that act
// at the same time plan the same writes, and conditional updates let each write take effect once.
std::vector<record_change> planPlacement(const fleet_view &view, std::string_view service,
                                         const placement_hooks &hooks,
                                         const placement_options &options);

} // namespace persimmonrail
