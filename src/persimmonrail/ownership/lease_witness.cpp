#include "persimmonrail/ownership/lease_witness.h"

#include <algorithm>
#include <utility>

namespace persimmonrail {

lease_witness::lease_witness(instance_id self, lease_timing timing)
    : m_self(std::move(self))
    , m_timing(timing)
{ }

wire::HeartbeatReply lease_witness::onHeartbeat(const instance_id &holder,
                                                const wire::Heartbeat &heartbeat, steady_time now)
{
    wire::HeartbeatReply reply;
    for (const auto &lease : heartbeat.leases()) {
        *reply.add_verdicts() =
            processLease(holder, heartbeat.witness_incarnation(), lease, false, now);
    }
    return reply;
}

wire::ClaimReply lease_witness::onClaim(const instance_id &claimant, const wire::Claim &claim,
                                        steady_time now)
{
    wire::ClaimReply reply;
    *reply.mutable_verdict() =
        processLease(claimant, claim.witness_incarnation(), claim.lease(), true, now);
    return reply;
}

wire::ReleaseReply lease_witness::onRelease(const instance_id &holder, const wire::Release &release,
                                            steady_time now)
{
    const auto &lease = release.lease();
    if (release.witness_incarnation() != m_self.incarnation) {
        return {};
    }
    auto &entry = m_entries[lease.partition()];
    if (lease.record_version() < entry.recordVersion) {
        return {};
    }
    entry.recordVersion = lease.record_version();
    // Messages may arrive out of order: a release of an earlier term must not end the current lease
    // of the same holder.
    if (entry.holder == holder && entry.term == lease.term() && !entry.released) {
        entry.released = true;
        entry.shouldSendNotices = true;
        entry.nextNoticeAt = now;
    }
    return {};
}

std::vector<expiry_notice> lease_witness::takeDueNotices(steady_time now)
{
    std::vector<expiry_notice> due;
    for (auto &[partition, entry] : m_entries) {
        const bool hasEnded = entry.released || now >= entry.expiresAt;
        if (!entry.shouldSendNotices || !hasEnded || now < entry.nextNoticeAt) {
            continue;
        }
        entry.nextNoticeAt = now + m_timing.noticeInterval;
        due.push_back({partition, entry.recordVersion, entry.term});
    }
    return due;
}

void lease_witness::startNotices(const std::string &partition, steady_time now)
{
    auto &entry = m_entries[partition];
    if (!entry.shouldSendNotices) {
        entry.shouldSendNotices = true;
        entry.nextNoticeAt =
            std::max(entry.expiresAt, now + m_timing.leaseDuration + m_timing.driftMargin);
    }
}

void lease_witness::stopNotices(const std::string &partition)
{
    if (const auto it = m_entries.find(partition); it != m_entries.end()) {
        it->second.shouldSendNotices = false;
    }
}

wire::LeaseVerdict lease_witness::processLease(const instance_id &sender, uint64_t incarnation,
                                               const wire::PartitionLease &lease, bool isClaim,
                                               steady_time now)
{
    if (incarnation != m_self.incarnation) {
        wire::LeaseVerdict stale;
        stale.set_code(wire::LeaseVerdict::STALE_INCARNATION);
        return stale;
    }
    auto &entry = m_entries[lease.partition()];
    if (lease.record_version() < entry.recordVersion) {
        return makeVerdict(entry, wire::LeaseVerdict::STALE_RECORD, now);
    }
    // The version is adopted even if the request is rejected below, so that messages with an older
    // record are rejected from then on.
    entry.recordVersion = lease.record_version();
    if (isClaim || lease.term() > entry.term) {
        return applyClaim(entry, sender, lease.term(), now);
    }
    if (lease.term() < entry.term || entry.released || entry.holder != sender) {
        return makeVerdict(entry, wire::LeaseVerdict::STALE_TERM, now);
    }
    return grantLease(entry, now);
}

wire::LeaseVerdict lease_witness::applyClaim(entry &entry, const instance_id &claimant,
                                             uint64_t term, steady_time now)
{
    if (term <= entry.term) {
        return makeVerdict(entry, wire::LeaseVerdict::STALE_TERM, now);
    }
    // A claimant may replace a lower term of its own, which an earlier claim without a majority may
    // have left at this witness.
    const bool isGrantable = entry.released || now >= entry.expiresAt || entry.holder == claimant;
    if (!isGrantable) {
        return makeVerdict(entry, wire::LeaseVerdict::HELD, now);
    }
    entry.term = term;
    entry.holder = claimant;
    entry.released = false;
    return grantLease(entry, now);
}

wire::LeaseVerdict lease_witness::grantLease(entry &entry, steady_time now)
{
    entry.expiresAt =
        std::max(entry.expiresAt, now + m_timing.leaseDuration + m_timing.driftMargin);
    entry.shouldSendNotices = true;
    entry.nextNoticeAt = entry.expiresAt;
    return makeVerdict(entry, wire::LeaseVerdict::GRANTED, now);
}

wire::LeaseVerdict lease_witness::makeVerdict(const entry &entry, wire::LeaseVerdict::Code code,
                                              steady_time now) const
{
    wire::LeaseVerdict verdict;
    verdict.set_code(code);
    verdict.set_record_version(entry.recordVersion);
    verdict.set_term(entry.term);
    verdict.mutable_holder()->set_name(entry.holder.name);
    verdict.mutable_holder()->set_incarnation(entry.holder.incarnation);
    if (!entry.released && entry.expiresAt > now) {
        const auto remaining = std::chrono::ceil<milliseconds>(entry.expiresAt - now);
        verdict.set_remaining_ms(static_cast<uint64_t>(remaining.count()));
    }
    return verdict;
}

} // namespace persimmonrail
