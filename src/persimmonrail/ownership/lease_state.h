#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/ownership/placement_record.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace persimmonrail {

// Phase of an instance's lease of one partition. The rules named here and below, such as H3, are
// those of docs/design.md. A tenure is the time from a won claim to the release of the lease.
enum class lease_phase {
    // The instance neither claims nor holds the lease.
    Idle,
    // The instance has sent claims of `term` to the witnesses.
    Claiming,
    // The instance has won `term`. The lease may have expired; heartbeats can still renew it
    // (rule H3).
    Holding,
    // The instance admits no more requests and releases the lease when the requests in flight have
    // ended.
    Releasing,
};

// The newest message that a witness has acknowledged to the holder under the current term.
struct witness_ack
{
    // Send time of the message, by the holder's clock.
    steady_time sentAt;
    // Record version in the message, which the witness has adopted.
    uint64_t recordVersion = 0;
};

// Newest acknowledgement of each witness.
using ack_map = std::map<instance_id, witness_ack>;

// State of the lease of one partition, as seen by one instance that holds or may claim the lease.
struct lease_state
{
    // Newest placement record that this instance knows.
    versioned_record latest;
    lease_phase phase = lease_phase::Idle;
    // Highest term that this instance has seen in a message or has claimed.
    uint64_t highestTerm = 0;
    // Term that this instance claims, holds or releases.
    uint64_t term = 0;
    // Identifies the current claim or tenure. Replies to messages of another generation are
    // ignored.
    uint64_t generation = 0;
    ack_map acks;
    // Witnesses that rejected the current term because they have granted a higher one.
    std::set<instance_id> higherTermWitnesses;
    // Witnesses that have replied to the current claim.
    std::set<instance_id> repliedWitnesses;
    // Witnesses that rejected the current claim because another instance holds the lease.
    std::set<instance_id> otherHolderWitnesses;
    steady_time leaseEnd = steady_time::min();
    // Time at which the current claim is abandoned.
    steady_time claimDeadline;
    // Time at which the next claim starts, if a claim is planned.
    std::optional<steady_time> nextClaimAt;
    // Number of consecutive failed claims, for the backoff.
    int failedClaimCount = 0;
    // Whether the recorded owner must wait for expiry notices before it claims, because another
    // instance may hold the lease.
    bool isAwaitingNotices = false;
    // Arrival time of the newest expiry notice, by witness.
    std::map<instance_id, steady_time> notices;
    // Whether the local upstream has accepted a grant of `term`.
    bool granted = false;
    // Whether the reply to the first grant of `term` is outstanding.
    bool isGrantPending = false;
    // Whether the instance admits no more requests because the partition moves to `moveTarget` or,
    // if `moveTarget` is null, because the lease is about to be released.
    bool isDraining = false;
    instance_id moveTarget;
    // Time at which this instance detected that its held lease had expired.
    std::optional<steady_time> suspendedAt;
    // Start of the time without an acknowledgement, by witness: the last acknowledgement, or a
    // later time at which the lease was found expired. Unresponsive witnesses are replaced.
    std::map<instance_id, steady_time> unresponsiveSince;
    // Witnesses whose replies say that they run under another incarnation.
    std::set<instance_id> replacedWitnesses;
    // Whether the effect of a record write is still unknown.
    bool isWritePending = false;
    steady_time writeStartedAt;
    // Whether the record must be read back before the next write.
    bool isReadRequired = false;
    bool isReadPending = false;
    steady_time lastReadAt = steady_time::min();
    // Time from which this instance could have recovered the partition without interruption
    // (rule R3).
    std::optional<steady_time> recoverableSince;
};

// Returns the witnesses of both sets of the record, without duplicates.
std::vector<instance_id> allWitnesses(const placement_record &record);
// Returns the witness set of which every holder of the partition has needed a majority so far: the
// previous set during a witness change, otherwise the current set.
const std::vector<instance_id> &establishedWitnesses(const placement_record &record);

// Returns the end of the lease that the acknowledgements support (rule H1), or steady_time::min()
// if a majority of a witness set in force has not acknowledged. The current set is always in force,
// the previous set only during a witness change.
steady_time leaseEndFromAcks(const placement_record &record, const ack_map &acks,
                             milliseconds leaseDuration);
// Returns whether a majority of each witness set in force has adopted the record version.
bool isAdopted(const placement_record &record, const ack_map &acks, uint64_t recordVersion);
// Returns whether a witness set in force cannot form a majority without the witnesses in
// `rejecting`.
bool isMajorityLost(const placement_record &record, const std::set<instance_id> &rejecting);

} // namespace persimmonrail
