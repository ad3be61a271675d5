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

enum class lease_phase {
    Idle,
    // Claims of `term` are under way.
    Claiming,
    // `term` was won. The lease may have expired; heartbeats renew it (rule H3).
    Holding,
    // No longer serving; the lease is released when the requests in flight have ended.
    Releasing,
};

// The newest message of the holder that a witness acknowledged under the current term.
struct witness_ack
{
    steady_time sentAt;
    // Record version of that message, which the witness has adopted.
    uint64_t recordVersion = 0;
};

using ack_map = std::map<instance_id, witness_ack>;

// What one instance knows of its lease of one partition.
struct lease_state
{
    // Newest record known.
    versioned_record known;
    lease_phase phase = lease_phase::Idle;
    // Highest term seen in any message or used by this instance.
    uint64_t highestTerm = 0;
    // Term being claimed, held or released.
    uint64_t term = 0;
    // Number of the current tenure or claim; replies to messages of earlier ones are ignored.
    uint64_t attempt = 0;
    ack_map acks;
    // Witnesses that refused the current term because a higher one exists.
    std::set<instance_id> superseded;
    // Witnesses that answered the current claim.
    std::set<instance_id> replied;
    // Witnesses that refused the current claim because of another holder's lease.
    std::set<instance_id> heldByOther;
    steady_time leaseEnd = steady_time::min();
    steady_time claimDeadline;
    // Due time of the next claim, if one is planned.
    std::optional<steady_time> claimAt;
    int failedClaims = 0;
    // Set on the recorded owner while another instance holds the lease.
    bool awaitNotices = false;
    // Arrival time of the newest expiry notice, by witness.
    std::map<instance_id, steady_time> notices;
    // The upstream accepted a grant of `term`.
    bool granted = false;
    bool grantPending = false;
    // Admits no new requests, as the partition moves to `moveTarget`.
    bool draining = false;
    instance_id moveTarget;
    // Time at which the expiry of a held lease was noticed.
    std::optional<steady_time> suspendedAt;
    // Time since which each witness has not acknowledged, for the replacement of witnesses.
    std::map<instance_id, steady_time> silentSince;
    // Witnesses that run under another incarnation by their own answer.
    std::set<instance_id> replacedWitnesses;
    // A record write whose effect is not known yet.
    bool writePending = false;
    steady_time writtenAt;
    // The record must be read back before the next write.
    bool readWanted = false;
    bool readPending = false;
    steady_time lastRead = steady_time::min();
    // Time since which the partition has been recoverable by rule R3.
    std::optional<steady_time> recoverableSince;
};

// Both witness sets of a record without duplicates.
std::vector<instance_id> allWitnesses(const placement_record &record);
// The set whose majority every holder of the record's partition has needed so far: the previous
// set during a witness change.
const std::vector<instance_id> &establishedWitnesses(const placement_record &record);

// Returns the end of the lease that the acknowledgements support (rule H1), or the minimum if a
// majority of a set in force is missing.
steady_time leaseEndFromAcks(const placement_record &record, const ack_map &acks,
                             milliseconds lease);
// Whether a majority of each set in force has adopted the record version.
bool isAdopted(const placement_record &record, const ack_map &acks, uint64_t recordVersion);
// Whether so many members of a set in force are in `refusing` that no majority remains.
bool isMajorityLost(const placement_record &record, const std::set<instance_id> &refusing);

} // namespace persimmonrail
