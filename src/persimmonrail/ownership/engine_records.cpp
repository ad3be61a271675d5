#include "persimmonrail/ownership/engine_state.h"
#include "persimmonrail/ownership/witness_choice.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace persimmonrail {
namespace {

// If the platform has not responded to the write of a planned move after this time, the drain is
// cancelled and the partition is served again.
constexpr milliseconds moveWriteTimeout{1000};
// Shortest interval between reads of one record that witnesses report as outdated.
constexpr milliseconds minReadInterval{1000};

bool haveSameWitnesses(const placement_record &a, const placement_record &b)
{
    return a.witnesses == b.witnesses && a.previousWitnesses == b.previousWitnesses;
}

} // namespace

void ownership_engine::state::adoptRecord(lease_state &lease, versioned_record record,
                                          steady_time now)
{
    if (record.version <= lease.latest.version) {
        return;
    }
    const auto old = std::exchange(lease.latest, std::move(record));
    const auto &current = lease.latest.record;
    lease.recoverableSince.reset();
    if (current.owner != old.record.owner) {
        // The notices reported the expiry of the earlier owner's lease.
        lease.notices.clear();
    }
    if (lease.phase == lease_phase::Claiming) {
        stepDown(lease, "record changed", now);
    } else if (lease.phase == lease_phase::Holding) {
        const bool isConfirmed = isOwner(lease) && current.term <= lease.term;
        // A standby may serve before its tenure is recorded. It keeps the lease as long as the new
        // record differs from the one under which it claimed only in the standbys or in the target
        // of a move.
        const bool isStillStandby = current.owner == old.record.owner
            && haveSameWitnesses(current, old.record) && current.term < lease.term
            && standbyPosition(current).has_value();
        if (!isConfirmed && !isStillStandby) {
            stepDown(lease, "record changed", now);
        }
        for (const auto &witness : allWitnesses(current)) {
            lease.unresponsiveSince.try_emplace(witness, now);
        }
    }
    if (lease.phase == lease_phase::Idle) {
        lease.nextClaimAt.reset();
        lease.failedClaimCount = 0;
        lease.isAwaitingNotices = lease.isAwaitingNotices && current.owner == old.record.owner;
    }
}

void ownership_engine::state::applyRecordDeletion(lease_state &lease, steady_time now)
{
    stepDown(lease, "record deleted", now);
    lease.latest.record.owner = {};
    lease.latest.record.standbys.clear();
}

void ownership_engine::state::updateRecords(steady_time now)
{
    std::vector<std::pair<lease_state *, record_change>> changes;
    for (auto &[partition, lease] : m_leases) {
        updateDrain(lease, now);
        if (lease.isWritePending || lease.isReadRequired) {
            continue;
        }
        if (auto change = proposeChange(lease, now)) {
            changes.emplace_back(&lease, *std::move(change));
        }
    }
    // Tenures and moves affect which partitions are served, so they are written first when the rate
    // limiter has few tokens.
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto &a, const auto &b) { return a.second.kind < b.second.kind; });
    for (auto &[lease, change] : changes) {
        // The token for a move was taken when the drain began.
        const bool isMove = change.kind == write_kind::Move;
        const bool isUrgent = change.kind == write_kind::Tenure;
        if (isMove         ? m_writeLimiter.isBackingOff(now)
                : isUrgent ? !m_writeLimiter.canCall(now)
                           : !m_writeLimiter.canCallDeferrable(now)) {
            continue;
        }
        if (!isMove) {
            m_writeLimiter.takeToken(now);
        }
        writeRecord(*lease, std::move(change), now);
    }
    // Reads come after the writes because a drained partition is not served until its write has a
    // token.
    for (auto &[partition, lease] : m_leases) {
        const bool isReadDue = lease.lastReadAt == steady_time::min() || lease.isWritePending
            || now - lease.lastReadAt >= minReadInterval;
        if (lease.isReadRequired && !lease.isReadPending && isReadDue
            && m_writeLimiter.canCall(now)) {
            readBack(lease, now);
        }
    }
}

std::optional<ownership_engine::state::record_change>
ownership_engine::state::proposeChange(lease_state &lease, steady_time now)
{
    if (lease.phase != lease_phase::Holding || now >= lease.leaseEnd) {
        return std::nullopt;
    }
    auto record = lease.latest.record;
    if (!isOwner(lease) || record.term != lease.term) {
        if (m_isShuttingDown) {
            return std::nullopt;
        }
        record.owner = m_self;
        record.term = lease.term;
        if (record.nextOwner == m_self) {
            record.nextOwner = {};
        }
        if (isMember(m_self)) {
            record.standbys = chooseStandbys(*m_view, serviceOfPartition(record.partition), m_self,
                                             record.partition);
        } else {
            std::erase(record.standbys, m_self);
        }
        return record_change{write_kind::Tenure, std::move(record), "tenure won"};
    }
    if (lease.isDraining) {
        if (inFlight(lease) > 0 || lease.moveTarget.isNull()) {
            return std::nullopt;
        }
        return record_change{write_kind::Move, recordAfterMove(lease, lease.moveTarget),
                             "planned move"};
    }
    if (!record.nextOwner.isNull()) {
        if (record.nextOwner != m_self && isMember(record.nextOwner)) {
            return std::nullopt;
        }
        record.nextOwner = {};
        return record_change{write_kind::Standbys, std::move(record), "move target is gone"};
    }
    if (auto change = proposeWitnessChange(lease, now)) {
        return change;
    }
    return proposeStandbys(lease);
}

std::optional<ownership_engine::state::record_change>
ownership_engine::state::proposeWitnessChange(const lease_state &lease, steady_time now) const
{
    auto record = lease.latest.record;
    if (!record.previousWitnesses.empty()) {
        if (!isAdopted(record, lease.acks, lease.latest.version)) {
            return std::nullopt;
        }
        record.previousWitnesses.clear();
        return record_change{write_kind::WitnessChange, std::move(record), "new witnesses adopted"};
    }
    const auto *self = m_view->findMember(m_self);
    if (self == nullptr) {
        return std::nullopt;
    }
    std::vector<instance_id> kept;
    std::vector<instance_id> replaced;
    bool hasUnresponsive = false;
    for (const auto &id : record.witnesses) {
        const auto *member = m_view->findMember(id);
        const auto since = lease.unresponsiveSince.find(id);
        const bool isUnresponsive = since != lease.unresponsiveSince.end()
            && now - since->second > m_timing.unresponsiveWitnessTimeout;
        const bool mustReplace = member == nullptr || id == m_self || isUnresponsive
            || lease.replacedWitnesses.contains(id);
        // A witness on the owner's host stays if the region has no other candidate.
        const bool sharesOwnerHost = !mustReplace && hostOf(*member) == hostOf(*self);
        hasUnresponsive |= isUnresponsive;
        (mustReplace || sharesOwnerHost ? replaced : kept).push_back(id);
    }
    if (replaced.empty() || kept.size() < witnessCount - 1) {
        // If two or three witnesses must be replaced, only the first is replaced in this step,
        // because the lease needs two live witnesses.
        if (kept.size() + 1 < witnessCount && !replaced.empty()) {
            kept.assign(record.witnesses.begin(), record.witnesses.end());
            std::erase(kept, replaced.front());
            replaced.resize(1);
        } else {
            return std::nullopt;
        }
    }
    auto witnesses = completeWitnesses(*m_view, m_self, kept, replaced);
    if (witnesses.size() != witnessCount) {
        return std::nullopt;
    }
    record.previousWitnesses = std::exchange(record.witnesses, std::move(witnesses));
    return record_change{write_kind::WitnessChange, std::move(record),
                         hasUnresponsive ? "witness silent" : "witness replaced"};
}

std::optional<ownership_engine::state::record_change>
ownership_engine::state::proposeStandbys(const lease_state &lease) const
{
    auto record = lease.latest.record;
    auto chosen =
        chooseStandbys(*m_view, serviceOfPartition(record.partition), m_self, record.partition);
    const bool isComplete = record.standbys.size() >= chosen.size()
        && std::all_of(record.standbys.begin(), record.standbys.end(),
                       [&](const instance_id &id) { return id != m_self && isMember(id); });
    if (isComplete || chosen == record.standbys) {
        return std::nullopt;
    }
    record.standbys = std::move(chosen);
    return record_change{write_kind::Standbys, std::move(record), "standbys changed"};
}

void ownership_engine::state::updateDrain(lease_state &lease, steady_time now)
{
    if (lease.phase != lease_phase::Holding) {
        return;
    }
    const auto &record = lease.latest.record;
    const bool isRecorded = isOwner(lease) && record.term == lease.term && now < lease.leaseEnd;
    if (lease.isDraining) {
        const bool isWriteStalled = lease.isWritePending
            ? now - lease.writeStartedAt > moveWriteTimeout
            : m_writeLimiter.isBackingOff(now);
        if (!isRecorded || isWriteStalled || !isMember(lease.moveTarget)) {
            cancelDrain(lease, now);
        }
        return;
    }
    instance_id target = record.nextOwner;
    if (m_isShuttingDown) {
        const auto it = std::find_if(record.standbys.begin(), record.standbys.end(),
                                     [&](const instance_id &id) { return isMember(id); });
        if (!isRecorded || it == record.standbys.end() || !m_writeLimiter.canCall(now)) {
            drainForRelease(lease, "shutdown without a hand-over", now);
            return;
        }
        target = *it;
    } else if (!m_writeLimiter.canCallDeferrable(now) || lease.isWritePending
               || lease.isReadRequired) {
        return;
    }
    if (isRecorded && !target.isNull() && target != m_self && isMember(target)) {
        // The token is taken before the drain, because a drained partition is not served until its
        // record is written.
        m_writeLimiter.takeToken(now);
        lease.isDraining = true;
        lease.moveTarget = target;
        m_table.stop(record.partition);
        log(lease, "drain", m_isShuttingDown ? "shutdown" : "planned move");
    }
}

placement_record ownership_engine::state::recordAfterMove(const lease_state &lease,
                                                          const instance_id &target) const
{
    auto record = lease.latest.record;
    record.owner = target;
    record.term = lease.term + 1;
    record.nextOwner = {};
    record.standbys =
        chooseStandbys(*m_view, serviceOfPartition(record.partition), target, record.partition);
    if (m_isShuttingDown) {
        std::erase(record.standbys, m_self);
    }
    return record;
}

void ownership_engine::state::writeRecord(lease_state &lease, record_change change, steady_time now)
{
    lease.isWritePending = true;
    lease.writeStartedAt = now;
    const auto partition = lease.latest.record.partition;
    auto text = encodeRecord(change.record);
    m_hooks.putRecord(placementKey(partition), lease.latest.version, text,
                      [this, lifetime = std::weak_ptr<int>(m_lifetimeToken), partition,
                       change = std::move(change)](const absl::StatusOr<uint64_t> &version,
                                                   steady_time respondedAt) {
                          if (!lifetime.expired()) {
                              onWritten(partition, change, version, respondedAt);
                              deliverLocalMessages(respondedAt);
                          }
                      });
}

void ownership_engine::state::onWritten(const std::string &partition, const record_change &change,
                                        const absl::StatusOr<uint64_t> &version, steady_time now)
{
    auto *lease = findLease(partition);
    if (lease == nullptr) {
        return;
    }
    if (version.ok()) {
        m_writeLimiter.onResponse();
        lease->isWritePending = false;
        log(*lease, "record", change.reason);
        adoptRecord(*lease, {change.record, *version}, now);
        return;
    }
    log(*lease, "record-failed", absl::StatusCodeToString(version.status().code()));
    if (absl::IsUnavailable(version.status()) || absl::IsResourceExhausted(version.status())) {
        // The platform rejected the write, which therefore had no effect.
        m_writeLimiter.onRejected(now);
        lease->isWritePending = false;
    } else {
        // Another writer has changed the record, or the response to this write was lost and the
        // write may have taken effect.
        lease->isReadRequired = true;
    }
    if (change.kind == write_kind::Move && !absl::IsAborted(version.status())) {
        cancelDrain(*lease, now);
    }
}

// Admits no more requests and releases the lease once the requests in flight have ended. The lease
// is renewed until then: requests at an upstream that does not check grants are cancelled when the
// lease ends (rule H4), which a graceful shutdown must not cause (requirement P7).
void ownership_engine::state::drainForRelease(lease_state &lease, std::string_view reason,
                                              steady_time now)
{
    m_table.stop(lease.latest.record.partition);
    lease.isDraining = true;
    lease.moveTarget = {};
    if (inFlight(lease) == 0 || !isServing(lease, now)) {
        stepDown(lease, reason, now);
    }
}

void ownership_engine::state::cancelDrain(lease_state &lease, steady_time now)
{
    if (m_isShuttingDown) {
        drainForRelease(lease, "shutdown while the platform is unavailable", now);
        return;
    }
    // The partition is served until the platform responds again and the move is retried. If the
    // write takes effect late, the witnesses reject this instance from then on.
    lease.isDraining = false;
    publish(lease, now);
}

void ownership_engine::state::readBack(lease_state &lease, steady_time now)
{
    m_writeLimiter.takeToken(now);
    lease.isReadPending = true;
    lease.lastReadAt = now;
    const auto partition = lease.latest.record.partition;
    m_hooks.getRecord(placementKey(partition),
                      [this, lifetime = std::weak_ptr<int>(m_lifetimeToken),
                       partition](const absl::StatusOr<stored_object> &object, steady_time readAt) {
                          if (!lifetime.expired()) {
                              onRead(partition, object, readAt);
                              deliverLocalMessages(readAt);
                          }
                      });
}

void ownership_engine::state::onRead(const std::string &partition,
                                     const absl::StatusOr<stored_object> &object, steady_time now)
{
    auto *lease = findLease(partition);
    if (lease == nullptr) {
        return;
    }
    lease->isReadPending = false;
    if (!object.ok() && !absl::IsNotFound(object.status())) {
        m_writeLimiter.onRejected(now);
        return;
    }
    m_writeLimiter.onResponse();
    lease->isReadRequired = false;
    lease->isWritePending = false;
    if (!object.ok() || object->deleted) {
        applyRecordDeletion(*lease, now);
        return;
    }
    auto record = decodeRecord(object->value);
    if (record.ok()) {
        adoptRecord(*lease, {*std::move(record), object->version}, now);
    } else {
        log(*lease, "record-invalid", record.status().ToString());
    }
}

void ownership_engine::state::recoverPartitions(steady_time now)
{
    constexpr milliseconds recoveryInterval{1000};
    if (now >= m_nextRecoveryAt && m_isUpstreamUp && !m_isShuttingDown) {
        m_nextRecoveryAt = now + recoveryInterval;
        findAbandonedPartitions();
        for (const auto &[partition, lease] : m_leases) {
            if (!isServing(lease, now) && recoveryDelay(lease.latest.record)) {
                pingMissingWitnesses(lease.latest.record, now);
            }
        }
    }
    for (auto &[partition, lease] : m_leases) {
        const auto delay = recoveryDelay(lease.latest.record);
        if (!m_isUpstreamUp || m_isShuttingDown || isServing(lease, now) || !delay
            || !isMember(m_self)) {
            lease.recoverableSince.reset();
            continue;
        }
        std::string_view reason = "majority of witnesses permanently dead";
        auto record = recoverRecord(lease.latest.record, m_evidence, *m_view, m_self, now);
        if (!record && isAbandoned(lease.latest.record)
            && fallbackOwner(lease.latest.record) == m_self) {
            record = lease.latest.record;
            record->owner = m_self;
            record->term = lease.latest.record.term + 1;
            record->nextOwner = {};
            record->standbys =
                chooseStandbys(*m_view, serviceOfPartition(partition), m_self, partition);
            reason = "owner and standbys are gone";
        }
        if (!record) {
            lease.recoverableSince.reset();
            continue;
        }
        lease.recoverableSince = lease.recoverableSince.value_or(now);
        if (now - *lease.recoverableSince >= *delay && !lease.isWritePending
            && !lease.isReadRequired && m_writeLimiter.canCall(now)) {
            m_writeLimiter.takeToken(now);
            writeRecord(lease, {write_kind::Recovery, *std::move(record), reason}, now);
        }
    }
}

void ownership_engine::state::findAbandonedPartitions()
{
    const auto *self = m_view->findMember(m_self);
    if (self == nullptr || self->service.empty()) {
        return;
    }
    const auto prefix = absl::StrCat(self->service, "/");
    for (auto it = m_view->records.lower_bound(prefix);
         it != m_view->records.end() && it->first.starts_with(prefix); ++it) {
        const auto &record = it->second.record;
        if (!m_leases.contains(it->first) && isAbandoned(record)
            && fallbackOwner(record) == m_self) {
            m_leases[it->first].latest = it->second;
        }
    }
}

// Instances attempt a recovery one after the other in a fixed order, so that they rarely compete
// for one record.
std::optional<milliseconds>
ownership_engine::state::recoveryDelay(const placement_record &record) const
{
    // Delay of a newer incarnation of the owner, and of the fallback owner.
    constexpr milliseconds successorDelay{200};
    constexpr milliseconds initialStandbyDelay{400};
    if (record.owner == m_self) {
        return milliseconds(0);
    }
    if (record.owner.name == m_self.name) {
        return successorDelay;
    }
    if (const auto position = standbyPosition(record)) {
        return initialStandbyDelay + m_timing.standbyDelay * static_cast<int>(*position);
    }
    if (isAbandoned(record) && fallbackOwner(record) == m_self) {
        return successorDelay;
    }
    return std::nullopt;
}

void ownership_engine::state::pingMissingWitnesses(const placement_record &record, steady_time now)
{
    for (const auto &witness : allWitnesses(record)) {
        if (isMember(witness) || witness == m_self) {
            continue;
        }
        if (witness.name == m_self.name) {
            // The witness was an earlier incarnation of this instance, which ended before this one
            // started.
            m_evidence.onPingReply(witness, m_self,
                                   std::chrono::floor<milliseconds>(now - *m_startedAt));
            continue;
        }
        wire::Request request;
        request.mutable_ping();
        send(witness, std::move(request), m_timing.messageTimeout,
             [this, witness](const absl::StatusOr<wire::Reply> &reply, steady_time) {
                 if (reply.ok() && reply->has_ping()) {
                     m_evidence.onPingReply(
                         witness, {reply->sender().name(), reply->sender().incarnation()},
                         milliseconds(static_cast<milliseconds::rep>(reply->ping().uptime_ms())));
                 }
             });
    }
}

bool ownership_engine::state::isMember(const instance_id &id) const
{
    return m_view->findMember(id) != nullptr;
}

bool ownership_engine::state::isAbandoned(const placement_record &record) const
{
    return !isMember(record.owner)
        && std::none_of(record.standbys.begin(), record.standbys.end(),
                        [&](const instance_id &id) { return isMember(id); });
}

// Returns the member that becomes the owner of an abandoned partition: the member of the service
// with the highest rendezvous weight, or a null id if the service has no members. An outdated view
// cannot give the partition two owners, because the record keeps its witnesses.
const instance_id &ownership_engine::state::fallbackOwner(const placement_record &record) const
{
    static const instance_id none;
    const member_record *best = nullptr;
    for (const auto *member : m_view->membersOf(serviceOfPartition(record.partition))) {
        const auto weight = [&](const member_record &m) {
            return rendezvousWeight(m.id.name, record.partition);
        };
        if (best == nullptr || weight(*member) > weight(*best)) {
            best = member;
        }
    }
    return best == nullptr ? none : best->id;
}

} // namespace persimmonrail
