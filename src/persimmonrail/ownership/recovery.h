#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/ownership/lease_timing.h"
#include "persimmonrail/ownership/placement_record.h"
#include "persimmonrail/sync/fleet_view.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace persimmonrail {

// Added to the term of a record when its partition is recovered. The step exceeds the number of
// failovers that can occur without being recorded.
inline constexpr uint64_t recoveryTermStep = uint64_t{1} << 20;

// Collects the evidence that incarnations of witnesses are permanently dead, as rule R3 of
// docs/design.md requires for a recovery. Not thread safe.
class witness_evidence
{
public:
    explicit witness_evidence(lease_timing timing = {});

    // Records the reply to a ping that was sent to the address of `witness`. A reply from another
    // incarnation of the same name that has run for longer than `leaseDuration` + `driftMargin`
    // proves that `witness` is dead and that every lease it acknowledged has expired.
    void onPingReply(const instance_id &witness, const instance_id &repliedBy, milliseconds uptime);
    // Records the instances that a document lists as `retired`. Each of them counts as dead once
    // more than `leaseDuration` + `driftMargin` has passed since this instance first saw its entry.
    void onDocument(const service_document &document, steady_time now);
    // Returns whether `witness` is known to be permanently dead at `now`.
    bool isDead(const instance_id &witness, steady_time now) const;

private:
    lease_timing m_timing;
    // Time after which an instance counts as dead, by the text form of its id.
    std::map<std::string, steady_time> m_deadFrom;
};

// Returns the record that recovers a partition whose witnesses can no longer form a majority.
// Returns nothing if a majority is still possible or the region has too few members for a new
// witness set.
//
// If a majority of the deciding witness set is dead, `owner` becomes the owner under a term that no
// earlier holder can have reached. The deciding set is the current set, or the previous set during
// a witness change: as long as the previous set can form a majority, an instance that knows only
// the record before the change can still hold or win the lease. If only the new set has lost its
// majority, the new set alone is replaced; the previous set, the owner and the term are kept.
std::optional<placement_record> recoverRecord(const placement_record &record,
                                              const witness_evidence &evidence,
                                              const fleet_view &view, const instance_id &owner,
                                              steady_time now);

} // namespace persimmonrail
