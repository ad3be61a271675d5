#include "persimmonrail/ownership/engine_state.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <utility>

namespace persimmonrail {
namespace {

// Limits the delay between claims that fall short, so that a partition is claimed within the 2 s
// target once its witnesses can be reached again.
constexpr int maxBackoffSteps = 3;
constexpr milliseconds claimBackoff{50};

wire::Request claimRequest(const instance_id &witness, const wire::PartitionLease &lease)
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
            considerClaim(lease, now);
            break;
        case lease_phase::Claiming:
            if (now >= lease.claimDeadline) {
                giveUpClaim(lease, now);
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
        if (m_hooks.leaseExpired) {
            m_hooks.leaseExpired(lease.known.record.partition);
        }
    }
    // Without a majority, or after a pause, the silence says nothing about a single witness.
    for (auto &[witness, since] : lease.silentSince) {
        since = now;
    }
    // Heartbeats that only a minority acknowledges would keep that minority from granting a claim,
    // so they end when another witness has moved on or after one more lease.
    if (!lease.superseded.empty()) {
        stepDown(lease, "expired, and a witness has granted a higher term", now);
    } else if (now - *lease.suspendedAt > m_timing.lease) {
        stepDown(lease, "expired, and no majority of the witnesses answers", now);
        lease.awaitNotices = true;
    }
}

void ownership_engine::state::considerClaim(lease_state &lease, steady_time now)
{
    if (!m_upstreamUp || m_shuttingDown) {
        return;
    }
    const auto position = standbyPosition(lease.known.record);
    const bool mayClaimUnasked = isOwner(lease) && !lease.awaitNotices;
    if (!isOwner(lease) && !position) {
        return;
    }
    if (!mayClaimUnasked && !hasNoticeMajority(lease, now)) {
        lease.claimAt.reset();
        return;
    }
    if (!lease.claimAt) {
        lease.claimAt = now;
        if (!isOwner(lease)) {
            lease.claimAt = now + m_timing.standbyDelay * static_cast<int>(*position);
            if (lease.highestTerm < lease.known.record.term) {
                *lease.claimAt += m_timing.recordedOwnerHeadStart;
            }
        }
    }
    if (now >= *lease.claimAt) {
        startClaim(lease, now);
    }
}

void ownership_engine::state::startClaim(lease_state &lease, steady_time now)
{
    const auto &record = lease.known.record;
    lease.term = isOwner(lease) ? std::max(record.term, lease.highestTerm + 1)
                                : std::max(record.term, lease.highestTerm) + 1;
    lease.highestTerm = lease.term;
    lease.phase = lease_phase::Claiming;
    lease.attempt = ++m_lastAttempt;
    lease.acks.clear();
    lease.superseded.clear();
    lease.replied.clear();
    lease.heldByOther.clear();
    lease.leaseEnd = steady_time::min();
    lease.granted = false;
    lease.grantPending = false;
    lease.draining = false;
    lease.suspendedAt.reset();
    lease.claimAt.reset();
    lease.claimDeadline = now + m_timing.claimTimeout;
    log(lease, "claim", isOwner(lease) ? "recorded owner" : "standby after expiry notices");
    const sent_lease sent{record.partition, lease.attempt, lease.known.version};
    for (const auto &witness : allWitnesses(record)) {
        send(witness, claimRequest(witness, leaseMessage(lease, lease.term)), m_timing.claimTimeout,
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
        // A grant that arrives after the claim was given up would block others until it expires.
        auto *known = findLease(sent.partition);
        if (granted && known != nullptr && known->term != term) {
            sendRelease(*known, witness, term);
        }
        return;
    }
    if (granted) {
        onGranted(*lease, witness, {sentAt, sent.recordVersion}, now);
    } else if (reply.ok() && reply->has_claim()) {
        onRefused(*lease, witness, reply->claim().verdict(), now);
    }
    lease->replied.insert(witness);
    if (lease->phase == lease_phase::Claiming
        && lease->replied.size() >= allWitnesses(lease->known.record).size()) {
        giveUpClaim(*lease, now);
    }
}

void ownership_engine::state::giveUpClaim(lease_state &lease, steady_time now)
{
    // Witnesses whose answer is lost may have granted the claim too.
    for (const auto &witness : allWitnesses(lease.known.record)) {
        if (lease.acks.contains(witness) || !lease.replied.contains(witness)) {
            sendRelease(lease, witness, lease.term);
        }
    }
    log(lease, "claim-failed",
        absl::StrFormat("%d granted, %d held by others, %d superseded, %d answered of %d",
                        lease.acks.size(), lease.heldByOther.size(), lease.superseded.size(),
                        lease.replied.size(), allWitnesses(lease.known.record).size()));
    lease.phase = lease_phase::Idle;
    lease.attempt = ++m_lastAttempt;
    for (const auto &witness : lease.heldByOther) {
        lease.notices.erase(witness);
    }
    if (isMajorityLost(lease.known.record, lease.heldByOther)) {
        lease.awaitNotices = true;
        lease.claimAt.reset();
        return;
    }
    const auto step = std::min(lease.failedClaims++, maxBackoffSteps);
    const milliseconds longest = claimBackoff * (1 << step);
    lease.claimAt = now + jitter(claimBackoff / 4, longest);
}

void ownership_engine::state::sendHeartbeats(steady_time now)
{
    if (now < m_heartbeatAt) {
        return;
    }
    m_heartbeatAt = std::max(m_heartbeatAt + m_timing.heartbeatInterval, now);
    std::map<instance_id, std::pair<wire::Request, std::vector<sent_lease>>> messages;
    for (const auto &[partition, lease] : m_leases) {
        if (lease.phase != lease_phase::Holding) {
            continue;
        }
        for (const auto &witness : allWitnesses(lease.known.record)) {
            auto &[request, leases] = messages[witness];
            request.mutable_heartbeat()->set_witness_incarnation(witness.incarnation);
            *request.mutable_heartbeat()->add_leases() = leaseMessage(lease, lease.term);
            leases.push_back({partition, lease.attempt, lease.known.version});
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
            onRefused(*lease, witness, verdict, now);
        }
    }
}

void ownership_engine::state::onGranted(lease_state &lease, const instance_id &witness,
                                        witness_ack ack, steady_time now)
{
    auto &newest = lease.acks[witness];
    newest.sentAt = std::max(newest.sentAt, ack.sentAt);
    newest.recordVersion = std::max(newest.recordVersion, ack.recordVersion);
    lease.silentSince[witness] = now;
    lease.superseded.erase(witness);
    // A lease end, once reached, stays valid when the record changes: until the new record is
    // adopted by a majority of the established witnesses, nobody can win a claim without them.
    const auto end = leaseEndFromAcks(lease.known.record, lease.acks, m_timing.lease);
    lease.leaseEnd = std::max(lease.leaseEnd, end);
    if (lease.phase == lease_phase::Claiming && end != steady_time::min()) {
        lease.phase = lease_phase::Holding;
        lease.failedClaims = 0;
        lease.awaitNotices = false;
        lease.notices.clear();
        lease.silentSince.clear();
        for (const auto &id : allWitnesses(lease.known.record)) {
            lease.silentSince[id] = now;
        }
        log(lease, "hold", "claim granted by a majority of the witnesses");
    }
    publish(lease, now);
}

void ownership_engine::state::onRefused(lease_state &lease, const instance_id &witness,
                                        const wire::LeaseVerdict &verdict, steady_time now)
{
    lease.highestTerm = std::max(lease.highestTerm, verdict.term());
    switch (verdict.code()) {
    case wire::LeaseVerdict::STALE_INCARNATION:
        lease.replacedWitnesses.insert(witness);
        break;
    case wire::LeaseVerdict::STALE_RECORD:
        lease.readWanted = true;
        break;
    case wire::LeaseVerdict::HELD:
        lease.heldByOther.insert(witness);
        break;
    case wire::LeaseVerdict::STALE_TERM:
        lease.superseded.insert(witness);
        if (lease.phase == lease_phase::Holding
            && isMajorityLost(lease.known.record, lease.superseded)) {
            stepDown(lease, "superseded by a higher term", now);
            lease.awaitNotices = true;
        }
        break;
    default:
        break;
    }
}

void ownership_engine::state::stepDown(lease_state &lease, std::string_view reason, steady_time now)
{
    if (lease.phase == lease_phase::Claiming) {
        giveUpClaim(lease, now);
        lease.claimAt.reset();
        return;
    }
    if (lease.phase != lease_phase::Holding) {
        return;
    }
    const auto &record = lease.known.record;
    m_table.stop(record.partition);
    lease.attempt = ++m_lastAttempt;
    lease.phase = lease_phase::Releasing;
    lease.draining = false;
    lease.suspendedAt.reset();
    lease.claimAt.reset();
    log(lease, "stop", reason);
    finishRelease(lease, now);
}

void ownership_engine::state::finishRelease(lease_state &lease, steady_time now)
{
    if (m_upstreamUp && now < lease.leaseEnd && inFlight(lease) > 0) {
        return;
    }
    const auto &record = lease.known.record;
    if (lease.granted && m_upstreamUp) {
        applyGrants({{record.partition, record.range, lease.term, milliseconds(0)}}, {});
    }
    lease.granted = false;
    lease.phase = lease_phase::Idle;
    lease.leaseEnd = steady_time::min();
    // The witnesses of the tenure may differ from those of the newest record.
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
    *request.mutable_release()->mutable_lease() = leaseMessage(lease, term);
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
    lease->readWanted |= notice.record_version() > lease->known.version;
    lease->notices[witness] = now;
}

bool ownership_engine::state::hasNoticeMajority(const lease_state &lease, steady_time now) const
{
    // One witness that lost contact with a live holder must not start a claim: its partial grant
    // would make that witness refuse the holder from then on. Two repetitions may be lost.
    const auto validity = m_timing.noticeInterval * 13 / 4;
    const auto &witnesses = establishedWitnesses(lease.known.record);
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
    const auto &record = lease.known.record;
    // Requests in flight run on under the renewed lease while the partition drains.
    m_table.renew(record.partition, lease.term, lease.leaseEnd);
    if (lease.draining) {
        return;
    }
    if (lease.granted) {
        m_table.publish(record.partition, record.range, lease.term, lease.leaseEnd, now);
        if (std::exchange(lease.suspendedAt, std::nullopt)) {
            log(lease, "resume", "lease renewed");
        }
    } else if (!lease.grantPending) {
        lease.grantPending = true;
        const auto validity = std::chrono::floor<milliseconds>(lease.leaseEnd - now);
        applyGrants({{record.partition, record.range, lease.term, validity}},
                    {{record.partition, lease.attempt, lease.known.version}});
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
            grants.push_back({partition, lease.known.record.range, lease.term, validity});
            leases.push_back({partition, lease.attempt, lease.known.version});
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
                        [this, alive = std::weak_ptr<int>(m_alive),
                         leases = std::move(leases)](const absl::Status &status, steady_time now) {
                            if (alive.expired()) {
                                return;
                            }
                            for (const auto &sent : leases) {
                                if (auto *lease = findCurrent(sent)) {
                                    lease->grantPending = false;
                                    lease->granted |= status.ok();
                                    if (status.ok()) {
                                        publish(*lease, now);
                                    }
                                }
                            }
                        });
}

} // namespace persimmonrail
