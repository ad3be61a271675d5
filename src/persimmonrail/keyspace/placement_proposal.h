#pragma once

#include "persimmonrail/keyspace/range_lease_manager.h"
#include "persimmonrail/keyspace/range_plan.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// What a daemon knows when it looks for a change of the placement record of its service.
struct proposal_input
{
    std::string service;
    // Epoch of the store, at least baseEpoch.
    uint64_t epoch = 0;
    // Placement of the record of the highest epoch, or null if none is known.
    const key_placement *record = nullptr;
    // Epoch of the record.
    uint64_t recordEpoch = 0;
    // The local upstream, or nothing if there is none.
    std::optional<upstream_id> upstream;
    bool isDraining = false;
    // Whether this daemon acts for lost owners and for keys without owner.
    bool isCoordinator = false;
    // Whether the members have been the same for long enough to assign keys without owner.
    bool areMembersStable = false;
    std::vector<range_candidate> live;
    std::vector<upstream_id> unreachable;
    // Must depend only on values that do not change, and be callable on any thread.
    std::function<bool(const upstream_id &id)> isTerminated;
    // Returns the upstream that runs beside the same daemon after `ended`, if there is one; under
    // the same conditions.
    successor_lookup successorOf;
    milliseconds takeoverDelay{0};
};

// Computes the placement that replaces `current`; nullopt if nothing is left to change. Called once
// for each record that is tried, possibly on another thread, so it must depend only on `current`
// and on values that do not change.
using placement_change = std::function<std::optional<key_placement>(const key_placement &current)>;

// A change of the placement record of the current epoch, and the reason for it.
struct placement_proposal
{
    placement_change change;
    std::string_view reason;
};

// Returns whether the record belongs to an older epoch of the store than the present one, or is
// missing in an epoch after the base epoch. Such a record confirms no owner.
bool isInherited(const proposal_input &input);

// Returns the change of the placement that is due at `now`, other than a move; nothing if there is
// none. While the record is inherited, the change makes the first record of the epoch from an empty
// placement, and must be written only if the epoch has no record yet.
std::optional<placement_proposal> proposeChange(const proposal_input &input,
                                                const range_lease_manager &leases, boot_time now);

} // namespace persimmonrail
