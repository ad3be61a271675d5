#include "persimmonrail/keyspace/placement_proposal.h"

#include "persimmonrail/objects/object_version.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Time after which any daemon acts on a new epoch, in case the coordinator does not.
constexpr milliseconds coordinatorTimeout{1000};

// Returns the newest placement that is known of the epochs before the present one: what this daemon
// knew before the restore, or what the restored store holds.
key_placement newestInherited(const proposal_input &input, const range_lease_manager &leases)
{
    const key_placement &known = leases.placement();
    if (input.record == nullptr) {
        return known.ranges.empty() ? emptyPlacement(input.service) : known;
    }
    if (known.ranges.empty() || leases.placementEpoch() < input.recordEpoch) {
        return *input.record;
    }
    const bool isKnownOlder = leases.placementEpoch() == input.recordEpoch
        && known.highestFence < input.record->highestFence;
    return isKnownOlder ? *input.record : known;
}

// Returns whether this daemon acts for all at a step of an epoch that was first due at `dueAt`.
bool actsForAll(const proposal_input &input, boot_time dueAt, boot_time now)
{
    return now >= dueAt + (input.isCoordinator ? milliseconds(0) : coordinatorTimeout);
}

std::optional<placement_proposal> proposeOwnChange(const proposal_input &input,
                                                   const range_lease_manager &leases,
                                                   const key_placement &current, boot_time now)
{
    if (!input.isDraining) {
        key_placement reclaimed = reclaimHeld(reclaimRanges(current, *input.upstream),
                                              *input.upstream, leases.reclaimableKeys(now));
        if (reclaimed != current) {
            return placement_proposal{std::move(reclaimed), "reclaim"};
        }
    }
    const std::vector<uint64_t> due = leases.dueTakeovers(now);
    if (!due.empty()) {
        return placement_proposal{activateTakeovers(current, *input.upstream, due),
                                  "activate-takeover"};
    }
    return std::nullopt;
}

std::optional<placement_proposal> proposeCoordinatorChange(const proposal_input &input,
                                                           const key_placement &current)
{
    const bool hasUnownedRange =
        std::any_of(current.ranges.begin(), current.ranges.end(),
                    [](const owned_range &range) { return range.owner.isEmpty(); });
    if (hasUnownedRange) {
        return input.areMembersStable
            ? std::optional(placement_proposal{assignUnowned(current, input.live), "assign"})
            : std::nullopt;
    }
    key_placement withoutTerminated =
        reassignLost(current, input.isTerminated, input.live, milliseconds(0));
    if (withoutTerminated != current) {
        return placement_proposal{std::move(withoutTerminated), "owner-gone"};
    }
    const auto isUnreachable = [&input](const upstream_id &id) {
        return std::find(input.unreachable.begin(), input.unreachable.end(), id)
            != input.unreachable.end();
    };
    key_placement withoutUnreachable =
        reassignLost(current, isUnreachable, input.live, input.takeoverDelay);
    if (withoutUnreachable != current) {
        return placement_proposal{std::move(withoutUnreachable), "owner-unreachable"};
    }
    return std::nullopt;
}

} // namespace

bool isInherited(const proposal_input &input)
{
    return input.record == nullptr ? input.epoch > baseEpoch : input.recordEpoch < input.epoch;
}

std::optional<placement_proposal> proposeChange(const proposal_input &input,
                                                const range_lease_manager &leases, boot_time now)
{
    if (isInherited(input)) {
        if (!input.upstream || !actsForAll(input, leases.epochSeenAt(), now)) {
            return std::nullopt;
        }
        return placement_proposal{
            carryIntoEpoch(newestInherited(input, leases), input.epoch, input.takeoverDelay),
            "new-epoch"};
    }
    const key_placement current =
        input.record != nullptr ? *input.record : emptyPlacement(input.service);
    if (input.upstream) {
        auto change = proposeOwnChange(input, leases, current, now);
        if (change) {
            return change;
        }
        if (leases.isCarryOverEnded(now)
            && actsForAll(input, leases.epochSeenAt() + input.takeoverDelay, now)) {
            return placement_proposal{clearCarriedOver(current), "epoch-settled"};
        }
    }
    if (!input.isCoordinator || input.live.empty()) {
        return std::nullopt;
    }
    return proposeCoordinatorChange(input, current);
}

} // namespace persimmonrail
