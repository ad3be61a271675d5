#pragma once

#include "persimmonrail/balance/hash_division.h"
#include "persimmonrail/sync/fleet_view.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// A conditional write of one placement record.
struct record_change
{
    enum class change_kind { Create, Move, CancelMove, RepairStandbys };

    change_kind kind = change_kind::Create;
    placement_record record;
    // Version that the platform must hold for the write to take effect; 0 creates the record.
    uint64_t expectedVersion = 0;
    // Whether a move evens out load rather than numbers.
    bool loadDriven = false;
    // For the decision log.
    std::string reason;
};

// Returns "create", "move", "cancel-move" or "repair-standbys".
std::string_view toString(record_change::change_kind kind);

// What is known of a member beyond its record.
enum class member_condition {
    // May be given partitions.
    Available,
    // Gives up its partitions by planned moves.
    Draining,
    // Doesn't answer. Its partitions are not moved, since only their owner can hand them over; the
    // standbys claim them.
    Silent,
};

struct placement_hooks
{
    // Returns three instances, or fewer if the fleet is too small to place the partition.
    std::function<std::vector<instance_id>(const fleet_view &view, const instance_id &owner,
                                           std::string_view partition)>
        chooseWitnesses;
    std::function<std::vector<instance_id>(const fleet_view &view, std::string_view service,
                                           const instance_id &owner, std::string_view partition)>
        chooseStandbys;
    // Unset if all members are available.
    std::function<member_condition(const member_record &member)> condition;
};

struct placement_options
{
    // Planned moves under way per service.
    size_t movesUnderWay = 2;
    // New records per call.
    size_t creations = 64;
    // Standby repairs per call.
    size_t repairs = 4;
    // Requests a second by partition; empty balances by number alone.
    std::map<std::string, double, std::less<>> weights;
    // Load moves start when an instance has this share of load above the mean ...
    double loadTrigger = 0.20;
    // ... and each must lower the load of the busier instance by at least this share of the mean.
    // A move that would soon be undone gains less.
    double loadGain = 0.10;
};

// Plans the record changes that bring a service's placement nearer to balance. Each instance ends
// with its share of the partitions, rounded down or up; a joining instance receives and a leaving
// one gives up no more than its share. Load differences are evened out by exchanges and moves that
// keep to those bounds. Records whose owner's incarnation is gone are never moved.
//
// Pure: the same view gives the same plan, so two coordinators that act at once plan the same
// writes, and conditional updates let each take effect once.
std::vector<record_change> planPlacement(const fleet_view &view, std::string_view service,
                                         const placement_hooks &hooks,
                                         const placement_options &options);

} // namespace persimmonrail
