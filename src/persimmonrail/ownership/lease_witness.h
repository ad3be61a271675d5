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

// Reports that a lease has expired or was released at this witness. The caller chooses the
// recipients from the newest placement record that it knows.
struct expiry_notice
{
    std::string partition;
    uint64_t recordVersion = 0;
    uint64_t term = 0;
};

// The in-memory lease table of one witness (rules W1 to W5 of docs/design.md).
//
// Invariants: a witness grants a partition to a second holder only after the first holder's lease
// has expired at this witness or was released. Terms and record versions never decrease.
// Not thread safe; used on the control thread.
class lease_witness
{
public:
    explicit lease_witness(instance_id self, lease_timing timing = {});

    // Each handler returns the reply to a message that arrived at `now` from the instance in its
    // first argument. The reply to a heartbeat has one verdict for each lease of the message, in
    // the same order.
    wire::HeartbeatReply onHeartbeat(const instance_id &holder, const wire::Heartbeat &heartbeat,
                                     steady_time now);
    wire::ClaimReply onClaim(const instance_id &claimant, const wire::Claim &claim,
                             steady_time now);
    wire::ReleaseReply onRelease(const instance_id &holder, const wire::Release &release,
                                 steady_time now);

    // Returns the notices due at `now`. A notice is repeated every `noticeInterval` until the
    // partition is granted again or stopNotices() is called.
    std::vector<expiry_notice> takeDueNotices(steady_time now);
    // Starts notices for a partition whose record names this instance as a witness. If no instance
    // claims the partition, the first notice becomes due after `leaseDuration` + `driftMargin`;
    // otherwise no standby would learn that the recorded owner was lost before its first claim.
    void startNotices(const std::string &partition, steady_time now);
    // Stops the notices for a partition that this instance no longer witnesses. The partition's
    // lease state is kept, because a record version, once adopted, must stay adopted.
    void stopNotices(const std::string &partition);

private:
    // Lease of one partition at this witness.
    struct entry
    {
        // Highest record version adopted from a message (rule W2).
        uint64_t recordVersion = 0;
        // Highest term granted.
        uint64_t term = 0;
        instance_id holder;
        bool released = false;
        steady_time expiresAt;
        bool shouldSendNotices = false;
        steady_time nextNoticeAt;
    };

    wire::LeaseVerdict processLease(const instance_id &sender, uint64_t incarnation,
                                    const wire::PartitionLease &lease, bool isClaim,
                                    steady_time now);
    wire::LeaseVerdict applyClaim(entry &entry, const instance_id &claimant, uint64_t term,
                                  steady_time now);
    wire::LeaseVerdict grantLease(entry &entry, steady_time now);
    wire::LeaseVerdict makeVerdict(const entry &entry, wire::LeaseVerdict::Code code,
                                   steady_time now) const;

    instance_id m_self;
    lease_timing m_timing;
    std::map<std::string, entry> m_entries;
};

} // namespace persimmonrail
