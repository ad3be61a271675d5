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

// Added to the term at a recovery; exceeds any number of failovers that can occur unrecorded.
inline constexpr uint64_t recoveryTermStep = uint64_t{1} << 20;

// Proof that incarnations of witnesses are permanently dead (rule R3). Not thread safe.
class witness_evidence
{
public:
    explicit witness_evidence(lease_timing timing = {});

    // Takes the answer to a ping sent to the address of `witness`. An answer of another incarnation
    // that has run for longer than lease + drift margin proves that `witness` is dead and that
    // every lease it acknowledged has expired.
    void onPing(const instance_id &witness, const instance_id &repliedBy, milliseconds uptime);
    // Takes the `retired` entries of a document; they count after lease + drift margin.
    void onDocument(const service_document &document, steady_time now);
    bool isDead(const instance_id &witness, steady_time now) const;

private:
    lease_timing m_timing;
    // Time from which the evidence counts, by instance as text.
    std::map<std::string, steady_time> m_deadFrom;
};

// Returns the record that recovers a partition whose witnesses can no longer form a majority, or
// nothing if a majority remains possible or no new witness set is available.
//
// During a witness change the decision depends on the previous set alone. While it has a majority,
// an instance that knows only the record before the change can still hold or win the lease there,
// so the previous set stays in force, only the new set is replaced, and owner and term are kept.
// With the majority of the set in force dead, `owner` becomes the owner with a term that no
// earlier holder can have reached.
std::optional<placement_record> recoverRecord(const placement_record &record,
                                              const witness_evidence &evidence,
                                              const fleet_view &view, const instance_id &owner,
                                              steady_time now);

} // namespace persimmonrail
