#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/ownership/lease_timing.h"

#include <control.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace persimmonrail {

// A lease that expired or was released at this witness. The recipients are decided by the caller
// from the newest record it knows.
struct expiry_notice
{
    std::string partition;
    uint64_t recordVersion = 0;
    uint64_t term = 0;
};

// The volatile lease table of one witness (rules W1 to W5 of docs/design.md).
//
// Invariant: of two holders of one partition, the second is granted only after the lease of the
// first has expired here or was released; terms and record versions never decrease.
// Not thread safe; used on the control thread.
class lease_witness
{
public:
    explicit lease_witness(instance_id self, lease_timing timing = {});

    // Answers each lease of the message in order. `holder` is the sender of the message.
    wire::HeartbeatReply onHeartbeat(const instance_id &holder, const wire::Heartbeat &heartbeat,
                                     steady_time now);
    wire::ClaimReply onClaim(const instance_id &claimant, const wire::Claim &claim,
                             steady_time now);
    wire::ReleaseReply onRelease(const instance_id &holder, const wire::Release &release,
                                 steady_time now);

    // Returns the notices due at `now`. A notice is repeated every `noticeInterval` until the
    // partition is granted again or `stopNotices` is called.
    std::vector<expiry_notice> takeDueNotices(steady_time now);
    // Starts notices for a partition that this instance witnesses according to a record. If nobody
    // ever claims it, a notice becomes due after lease + drift margin; without it no standby would
    // learn that the recorded owner was lost before its first claim.
    void watch(const std::string &partition, steady_time now);
    // Ends the notices for a partition that this instance no longer witnesses. Its state is kept,
    // as an adopted record version stays adopted.
    void stopNotices(const std::string &partition);

private:
    struct entry
    {
        uint64_t recordVersion = 0;
        uint64_t term = 0;
        instance_id holder;
        bool released = false;
        steady_time expiresAt;
        bool noticesWanted = false;
        steady_time noticeAt;
    };

    wire::LeaseVerdict decide(const instance_id &sender, uint64_t incarnation,
                              const wire::PartitionLease &lease, bool isClaim, steady_time now);
    wire::LeaseVerdict claim(entry &entry, const instance_id &claimant, uint64_t term,
                             steady_time now);
    wire::LeaseVerdict grant(entry &entry, steady_time now);
    wire::LeaseVerdict verdict(const entry &entry, wire::LeaseVerdict::Code code,
                               steady_time now) const;

    instance_id m_self;
    lease_timing m_timing;
    std::map<std::string, entry> m_entries;
};

} // namespace persimmonrail
