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

// Returns a proposal of the change that `plan` makes, or nothing if it changes nothing now.
std::optional<placement_proposal>
proposeIfNeeded(const key_placement &current, std::string_view reason,
                std::function<key_placement(const key_placement &latest)> plan)
{
    if (plan(current) == current) {
        return std::nullopt;
    }
    const auto change =
        [plan = std::move(plan)](const key_placement &latest) -> std::optional<key_placement> {
        key_placement next = plan(latest);
        return next == latest ? std::nullopt : std::optional(std::move(next));
    };
    return placement_proposal{change, reason};
}

std::optional<placement_proposal> proposeOwnChange(const proposal_input &input,
                                                   const range_lease_manager &leases,
                                                   const key_placement &current, boot_time now)
{
    const upstream_id id = *input.upstream;
    if (leases.needsNewFences()) {
        return proposeIfNeeded(
            current, "renew-fences",
            [id, superseded = leases.supersededFence()](const key_placement &latest) {
                return renewFences(latest, id, superseded);
            });
    }
    if (!input.isDraining) {
        auto reclaim =
            proposeIfNeeded(current, "reclaim",
                            [id, held = leases.reclaimableKeys(now)](const key_placement &latest) {
                                return reclaimHeld(reclaimRanges(latest, id), id, held);
                            });
        if (reclaim) {
            return reclaim;
        }
    }
    return proposeIfNeeded(current, "activate-takeover",
                           [id, due = leases.dueTakeovers(now)](const key_placement &latest) {
                               return activateTakeovers(latest, id, due);
                           });
}

// Returns the lookup of the reachable successors, for owners that have ended. Keys stay at their
// host then, where a restart of many hosts would else give all keys to the first few that are back.
// A successor need not be among the live ones: it is known from the store before a peer reports it.
successor_lookup reachableSuccessors(const proposal_input &input)
{
    return [isTerminated = input.isTerminated, successorOf = input.successorOf,
            unreachable = input.unreachable](const upstream_id &id) -> std::optional<upstream_id> {
        const auto successor =
            isTerminated(id) && successorOf ? successorOf(id) : std::optional<upstream_id>();
        const bool isReachable = successor
            && std::find(unreachable.begin(), unreachable.end(), *successor) == unreachable.end();
        return isReachable ? successor : std::nullopt;
    };
}

std::optional<placement_proposal> proposeCoordinatorChange(const proposal_input &input,
                                                           const key_placement &current)
{
    const bool hasUnownedRange =
        std::any_of(current.ranges.begin(), current.ranges.end(),
                    [](const owned_range &range) { return range.owner.isEmpty(); });
    if (hasUnownedRange) {
        return !input.areMembersStable
            ? std::nullopt
            : proposeIfNeeded(current, "assign", [live = input.live](const key_placement &latest) {
                  return assignUnowned(latest, live);
              });
    }
    auto withoutTerminated =
        proposeIfNeeded(current, "owner-gone",
                        [isTerminated = input.isTerminated, live = input.live,
                         successorOf = reachableSuccessors(input)](const key_placement &latest) {
                            return reassignLost(passToSuccessors(latest, successorOf), isTerminated,
                                                live, milliseconds(0));
                        });
    if (withoutTerminated) {
        return withoutTerminated;
    }
    return proposeIfNeeded(current, "owner-unreachable",
                           [unreachable = input.unreachable, live = input.live,
                            delay = input.takeoverDelay](const key_placement &latest) {
                               const auto isUnreachable = [&unreachable](const upstream_id &id) {
                                   return std::find(unreachable.begin(), unreachable.end(), id)
                                       != unreachable.end();
                               };
                               return reassignLost(latest, isUnreachable, live, delay);
                           });
}

// Returns the proposal of the first record of the epoch, which changes no record of the epoch that
// another daemon has written.
placement_proposal proposeFirstRecord(const proposal_input &input,
                                      const range_lease_manager &leases)
{
    const auto change =
        [epoch = input.epoch,
         first = carryIntoEpoch(newestInherited(input, leases), input.epoch, input.takeoverDelay)](
            const key_placement &latest) -> std::optional<key_placement> {
        return latest.highestFence >= firstFence(epoch) ? std::nullopt : std::optional(first);
    };
    return {change, "new-epoch"};
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
        return proposeFirstRecord(input, leases);
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
            return proposeIfNeeded(current, "epoch-settled", clearCarriedOver);
        }
    }
    if (!input.isCoordinator || input.live.empty()) {
        return std::nullopt;
    }
    return proposeCoordinatorChange(input, current);
}

} // namespace persimmonrail
