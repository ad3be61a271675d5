#include "persimmonrail/ownership/engine_state.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace persimmonrail {
namespace {

// The maximum delay between claims is doubled at most this many times, so that a partition is
// claimed within the objective of 2 s once its witnesses can be reached again.
constexpr int maxClaimBackoffSteps = 3;
// Maximum delay after the first failed claim.
constexpr milliseconds initialClaimBackoff{50};

wire::Request makeClaimRequest(const instance_id &witness, const wire::PartitionLease &lease)
{
    wire::Request request;
    request.mutable_claim()->set_witness_incarnation(witness.incarnation);
    *request.mutable_claim()->mutable_lease() = lease;
    return request;
}

} // namespace

void ownership_engine::state::updateLeases(steady_time now)
{
    for (auto &[partition, lease] : m_leases) {
        switch (lease.phase) {
        case lease_phase::Idle:
            claimIfDue(lease, now);
            break;
        case lease_phase::Claiming:
            if (now >= lease.claimDeadline) {
                abandonClaim(lease, now);
            }
            break;
        case lease_phase::Holding:
            suspendExpired(lease, now);
            break;
        case lease_phase::Releasing:
            finishRelease(lease, now);
            break;
        }
    }
}

void ownership_engine::state::suspendExpired(lease_state &lease, steady_time now)
{
    if (now < lease.leaseEnd) {
        return;
    }
    if (!lease.suspendedAt) {
        lease.suspendedAt = now;
        log(lease, "suspend", "lease expired");
        if (m_hooks.onLeaseExpired) {
            m_hooks.onLeaseExpired(lease.latest.record.partition);
        }
    }
    // If a majority is unreachable, or this process was paused, the missing acknowledgements do not
    // show that any single witness is unresponsive.
    for (auto &[witness, since] : lease.unresponsiveSince) {
        since = now;
    }
    // Heartbeats that only a minority acknowledges would keep that minority from granting the claim
    // of another instance. Heartbeats therefore end as soon as a witness has granted a higher term,
    // or after another lease duration.
    if (!lease.higherTermWitnesses.empty()) {
        stepDown(lease, "expired, and a witness has granted a higher term", now);
    } else if (now - *lease.suspendedAt > m_timing.leaseDuration) {
        stepDown(lease, "expired, and no majority of the witnesses answers", now);
        lease.isAwaitingNotices = true;
    }
}

void ownership_engine::state::claimIfDue(lease_state &lease, steady_time now)
{
    if (!m_isUpstreamUp || m_isShuttingDown) {
        return;
    }
    const auto position = standbyPosition(lease.latest.record);
    const bool canClaimWithoutNotices = isOwner(lease) && !lease.isAwaitingNotices;
    if (!isOwner(lease) && !position) {
        return;
    }
    if (!canClaimWithoutNotices && !hasNoticeMajority(lease, now)) {
        lease.nextClaimAt.reset();
        return;
    }
    if (!lease.nextClaimAt) {
        lease.nextClaimAt = now;
        if (!isOwner(lease)) {
            lease.nextClaimAt = now + m_timing.standbyDelay * static_cast<int>(*position);
            if (lease.highestTerm < lease.latest.record.term) {
                *lease.nextClaimAt += m_timing.unclaimedTermDelay;
            }
        }
    }
    if (now >= *lease.nextClaimAt) {
        startClaim(lease, now);
    }
}

void ownership_engine::state::startClaim(lease_state &lease, steady_time now)
{
    const auto &record = lease.latest.record;
    lease.term = isOwner(lease) ? std::max(record.term, lease.highestTerm + 1)
                                : std::max(record.term, lease.highestTerm) + 1;
    lease.highestTerm = lease.term;
    lease.phase = lease_phase::Claiming;
    lease.generation = ++m_lastGeneration;
    lease.acks.clear();
    lease.higherTermWitnesses.clear();
    lease.repliedWitnesses.clear();
    lease.otherHolderWitnesses.clear();
    lease.leaseEnd = steady_time::min();
    lease.granted = false;
    lease.isGrantPending = false;
    lease.isDraining = false;
    lease.suspendedAt.reset();
    lease.nextClaimAt.reset();
    lease.claimDeadline = now + m_timing.claimTimeout;
    log(lease, "claim", isOwner(lease) ? "recorded owner" : "standby after expiry notices");
    const sent_lease sent{record.partition, lease.generation, lease.latest.version};
    for (const auto &witness : allWitnesses(record)) {
        send(witness, makeClaimRequest(witness, makeLeaseMessage(lease, lease.term)),
             m_timing.claimTimeout,
             [this, sent, term = lease.term, witness, now](const absl::StatusOr<wire::Reply> &reply,
                                                           steady_time repliedAt) {
                 onClaimReply(sent, term, witness, now, reply, repliedAt);
             });
    }
}

void ownership_engine::state::onClaimReply(const sent_lease &sent, uint64_t term,
                                           const instance_id &witness, steady_time sentAt,
                                           const absl::StatusOr<wire::Reply> &reply,
                                           steady_time now)
{
    auto *lease = findCurrent(sent);
    const bool granted = reply.ok() && reply->has_claim()
        && reply->claim().verdict().code() == wire::LeaseVerdict::GRANTED;
    if (lease == nullptr) {
        // The claim had ended when the reply arrived. A grant is released, because it would block
        // other claimants until it expires.
        auto *currentLease = findLease(sent.partition);
        if (granted && currentLease != nullptr && currentLease->term != term) {
            sendRelease(*currentLease, witness, term);
        }
        return;
    }
    if (granted) {
        onGranted(*lease, witness, {sentAt, sent.recordVersion}, now);
    } else if (reply.ok() && reply->has_claim()) {
        onRejected(*lease, witness, reply->claim().verdict(), now);
    }
    lease->repliedWitnesses.insert(witness);
    if (lease->phase == lease_phase::Claiming
        && lease->repliedWitnesses.size() >= allWitnesses(lease->latest.record).size()) {
        abandonClaim(*lease, now);
    }
}

void ownership_engine::state::abandonClaim(lease_state &lease, steady_time now)
{
    // A witness that has not replied may have granted the claim as well.
    for (const auto &witness : allWitnesses(lease.latest.record)) {
        if (lease.acks.contains(witness) || !lease.repliedWitnesses.contains(witness)) {
            sendRelease(lease, witness, lease.term);
        }
    }
    log(lease, "claim-failed",
        absl::StrFormat("%d granted, %d held by others, %d superseded, %d answered of %d",
                        lease.acks.size(), lease.otherHolderWitnesses.size(),
                        lease.higherTermWitnesses.size(), lease.repliedWitnesses.size(),
                        allWitnesses(lease.latest.record).size()));
    lease.phase = lease_phase::Idle;
    lease.generation = ++m_lastGeneration;
    for (const auto &witness : lease.otherHolderWitnesses) {
        lease.notices.erase(witness);
    }
    if (isMajorityLost(lease.latest.record, lease.otherHolderWitnesses)) {
        lease.isAwaitingNotices = true;
        lease.nextClaimAt.reset();
        return;
    }
    const auto step = std::min(lease.failedClaimCount++, maxClaimBackoffSteps);
    const milliseconds maxDelay = initialClaimBackoff * (1 << step);
    lease.nextClaimAt = now + randomDelay(initialClaimBackoff / 4, maxDelay);
}

void ownership_engine::state::sendHeartbeats(steady_time now)
{
    if (now < m_nextHeartbeatAt) {
        return;
    }
    m_nextHeartbeatAt = std::max(m_nextHeartbeatAt + m_timing.heartbeatInterval, now);
    std::map<instance_id, std::pair<wire::Request, std::vector<sent_lease>>> messages;
    for (const auto &[partition, lease] : m_leases) {
        if (lease.phase != lease_phase::Holding) {
            continue;
        }
        for (const auto &witness : allWitnesses(lease.latest.record)) {
            auto &[request, leases] = messages[witness];
            request.mutable_heartbeat()->set_witness_incarnation(witness.incarnation);
            *request.mutable_heartbeat()->add_leases() = makeLeaseMessage(lease, lease.term);
            leases.push_back({partition, lease.generation, lease.latest.version});
        }
    }
    for (auto &[witness, message] : messages) {
        send(witness, std::move(message.first), m_timing.messageTimeout,
             [this, id = witness, leases = std::move(message.second),
              now](const absl::StatusOr<wire::Reply> &reply, steady_time repliedAt) {
                 onHeartbeatReply(leases, id, now, reply, repliedAt);
             });
    }
    sendGrants(now);
}

void ownership_engine::state::onHeartbeatReply(const std::vector<sent_lease> &sent,
                                               const instance_id &witness, steady_time sentAt,
                                               const absl::StatusOr<wire::Reply> &reply,
                                               steady_time now)
{
    if (!reply.ok() || !reply->has_heartbeat()
        || reply->heartbeat().verdicts_size() != static_cast<int>(sent.size())) {
        return;
    }
    for (size_t i = 0; i < sent.size(); ++i) {
        auto *lease = findCurrent(sent[i]);
        if (lease == nullptr) {
            continue;
        }
        const auto &verdict = reply->heartbeat().verdicts(static_cast<int>(i));
        if (verdict.code() == wire::LeaseVerdict::GRANTED) {
            onGranted(*lease, witness, {sentAt, sent[i].recordVersion}, now);
        } else {
            onRejected(*lease, witness, verdict, now);
        }
    }
}

void ownership_engine::state::onGranted(lease_state &lease, const instance_id &witness,
                                        witness_ack ack, steady_time now)
{
    auto &newest = lease.acks[witness];
    newest.sentAt = std::max(newest.sentAt, ack.sentAt);
    newest.recordVersion = std::max(newest.recordVersion, ack.recordVersion);
    lease.unresponsiveSince[witness] = now;
    lease.higherTermWitnesses.erase(witness);
    // A record change does not shorten the lease: until a majority of the established witnesses has
    // adopted the new record, no instance can win a claim without a majority of them.
    const auto end = leaseEndFromAcks(lease.latest.record, lease.acks, m_timing.leaseDuration);
    lease.leaseEnd = std::max(lease.leaseEnd, end);
    if (lease.phase == lease_phase::Claiming && end != steady_time::min()) {
        lease.phase = lease_phase::Holding;
        lease.failedClaimCount = 0;
        lease.isAwaitingNotices = false;
        lease.notices.clear();
        lease.unresponsiveSince.clear();
        for (const auto &id : allWitnesses(lease.latest.record)) {
            lease.unresponsiveSince[id] = now;
        }
        log(lease, "hold", "claim granted by a majority of the witnesses");
    }
    publish(lease, now);
}

void ownership_engine::state::onRejected(lease_state &lease, const instance_id &witness,
                                         const wire::LeaseVerdict &verdict, steady_time now)
{
    lease.highestTerm = std::max(lease.highestTerm, verdict.term());
    switch (verdict.code()) {
    case wire::LeaseVerdict::STALE_INCARNATION:
        lease.replacedWitnesses.insert(witness);
        break;
    case wire::LeaseVerdict::STALE_RECORD:
        lease.isReadRequired = true;
        break;
    case wire::LeaseVerdict::HELD:
        lease.otherHolderWitnesses.insert(witness);
        break;
    case wire::LeaseVerdict::STALE_TERM:
        lease.higherTermWitnesses.insert(witness);
        if (lease.phase == lease_phase::Holding
            && isMajorityLost(lease.latest.record, lease.higherTermWitnesses)) {
            stepDown(lease, "superseded by a higher term", now);
            lease.isAwaitingNotices = true;
        }
        break;
    default:
        break;
    }
}

void ownership_engine::state::stepDown(lease_state &lease, std::string_view reason, steady_time now)
{
    if (lease.phase == lease_phase::Claiming) {
        abandonClaim(lease, now);
        lease.nextClaimAt.reset();
        return;
    }
    if (lease.phase != lease_phase::Holding) {
        return;
    }
    const auto &record = lease.latest.record;
    m_table.stop(record.partition);
    lease.generation = ++m_lastGeneration;
    lease.phase = lease_phase::Releasing;
    lease.isDraining = false;
    lease.suspendedAt.reset();
    lease.nextClaimAt.reset();
    log(lease, "stop", reason);
    finishRelease(lease, now);
}

void ownership_engine::state::finishRelease(lease_state &lease, steady_time now)
{
    if (m_isUpstreamUp && now < lease.leaseEnd && inFlight(lease) > 0) {
        return;
    }
    const auto &record = lease.latest.record;
    if (lease.granted && m_isUpstreamUp) {
        applyGrants({{record.partition, record.range, lease.term, milliseconds(0)}}, {});
    }
    lease.granted = false;
    lease.phase = lease_phase::Idle;
    lease.leaseEnd = steady_time::min();
    // The witnesses that acknowledged the lease may differ from those of the newest record.
    std::set<instance_id> witnesses;
    for (const auto &[witness, ack] : lease.acks) {
        witnesses.insert(witness);
    }
    for (const auto &witness : allWitnesses(record)) {
        witnesses.insert(witness);
    }
    for (const auto &witness : witnesses) {
        sendRelease(lease, witness, lease.term);
    }
    lease.acks.clear();
    log(lease, "release", "stopped serving");
}

void ownership_engine::state::sendRelease(const lease_state &lease, const instance_id &witness,
                                          uint64_t term)
{
    wire::Request request;
    request.mutable_release()->set_witness_incarnation(witness.incarnation);
    *request.mutable_release()->mutable_lease() = makeLeaseMessage(lease, term);
    send(witness, std::move(request), m_timing.messageTimeout, [](const auto &, steady_time) {});
}

void ownership_engine::state::sendNotices(steady_time now)
{
    for (const auto &due : m_witness.takeDueNotices(now)) {
        const auto it = m_view->records.find(due.partition);
        if (it == m_view->records.end()) {
            continue;
        }
        const auto &record = it->second.record;
        const auto witnesses = allWitnesses(record);
        if (std::find(witnesses.begin(), witnesses.end(), m_self) == witnesses.end()) {
            m_witness.stopNotices(due.partition);
            continue;
        }
        auto recipients = record.standbys;
        recipients.push_back(record.owner);
        for (const auto &recipient : recipients) {
            wire::Request request;
            auto *notice = request.mutable_expiry_notice();
            notice->set_partition(due.partition);
            notice->set_record_version(due.recordVersion);
            notice->set_term(due.term);
            send(recipient, std::move(request), m_timing.messageTimeout,
                 [](const auto &, steady_time) {});
        }
    }
}

void ownership_engine::state::onNotice(const instance_id &witness, const wire::ExpiryNotice &notice,
                                       steady_time now)
{
    auto *lease = findLease(notice.partition());
    if (lease == nullptr) {
        return;
    }
    lease->highestTerm = std::max(lease->highestTerm, notice.term());
    lease->isReadRequired |= notice.record_version() > lease->latest.version;
    lease->notices[witness] = now;
}

bool ownership_engine::state::hasNoticeMajority(const lease_state &lease, steady_time now) const
{
    // A single witness that has lost contact with a live holder must not cause a claim: the witness
    // would grant the claim and reject the holder from then on. A notice counts for 3.25 intervals,
    // so that two repetitions may be lost.
    const auto validity = m_timing.noticeInterval * 13 / 4;
    const auto &witnesses = establishedWitnesses(lease.latest.record);
    const auto fresh =
        std::count_if(witnesses.begin(), witnesses.end(), [&](const instance_id &witness) {
            const auto it = lease.notices.find(witness);
            return it != lease.notices.end() && now - it->second <= validity;
        });
    return fresh * 2 > static_cast<std::ptrdiff_t>(witnesses.size());
}

void ownership_engine::state::publish(lease_state &lease, steady_time now)
{
    if (lease.phase != lease_phase::Holding || now >= lease.leaseEnd) {
        return;
    }
    const auto &record = lease.latest.record;
    // Requests in flight continue under the renewed lease while the partition drains.
    m_table.renew(record.partition, lease.term, lease.leaseEnd);
    if (lease.isDraining) {
        return;
    }
    if (lease.granted) {
        m_table.publish(record.partition, record.range, lease.term, lease.leaseEnd, now);
        if (std::exchange(lease.suspendedAt, std::nullopt)) {
            log(lease, "resume", "lease renewed");
        }
    } else if (!lease.isGrantPending) {
        lease.isGrantPending = true;
        const auto validity = std::chrono::floor<milliseconds>(lease.leaseEnd - now);
        applyGrants({{record.partition, record.range, lease.term, validity}},
                    {{record.partition, lease.generation, lease.latest.version}});
    }
}

void ownership_engine::state::sendGrants(steady_time now)
{
    std::vector<lease_grant> grants;
    std::vector<sent_lease> leases;
    for (auto &[partition, lease] : m_leases) {
        if (!isServing(lease, now)) {
            continue;
        }
        const auto validity = std::chrono::floor<milliseconds>(lease.leaseEnd - now);
        if (validity > milliseconds(0)) {
            grants.push_back({partition, lease.latest.record.range, lease.term, validity});
            leases.push_back({partition, lease.generation, lease.latest.version});
        }
    }
    if (!grants.empty()) {
        applyGrants(std::move(grants), std::move(leases));
    }
}

void ownership_engine::state::applyGrants(std::vector<lease_grant> grants,
                                          std::vector<sent_lease> leases)
{
    m_hooks.applyGrants(std::move(grants),
                        [this, lifetime = std::weak_ptr<int>(m_lifetimeToken),
                         leases = std::move(leases)](const absl::Status &status, steady_time now) {
                            if (lifetime.expired()) {
                                return;
                            }
                            for (const auto &sent : leases) {
                                if (auto *lease = findCurrent(sent)) {
                                    lease->isGrantPending = false;
                                    lease->granted |= status.ok();
                                    if (status.ok()) {
                                        publish(*lease, now);
                                    }
                                }
                            }
                        });
}

} // namespace persimmonrail
