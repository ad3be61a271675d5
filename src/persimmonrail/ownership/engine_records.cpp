#include "persimmonrail/ownership/engine_state.h"
#include "persimmonrail/ownership/witness_choice.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace persimmonrail {
namespace {

// A hand-over whose write is not answered by then is suspended, and the partition served again.
constexpr milliseconds moveWriteTimeout{1000};
// A record that witnesses report as outdated is read at most this often.
constexpr milliseconds readInterval{1000};

bool haveSameWitnesses(const placement_record &a, const placement_record &b)
{
    return a.witnesses == b.witnesses && a.previousWitnesses == b.previousWitnesses;
}

} // namespace

void ownership_engine::state::adoptRecord(lease_state &lease, versioned_record record,
                                          steady_time now)
{
    if (record.version <= lease.known.version) {
        return;
    }
    const auto old = std::exchange(lease.known, std::move(record));
    const auto &current = lease.known.record;
    lease.recoverableSince.reset();
    if (current.owner != old.record.owner) {
        // The notices were about the lease of the earlier owner.
        lease.notices.clear();
    }
    if (lease.phase == lease_phase::Claiming) {
        stepDown(lease, "record changed", now);
    } else if (lease.phase == lease_phase::Holding) {
        const bool isConfirmed = isOwner(lease) && current.term <= lease.term;
        // A standby that serves before its tenure is recorded keeps its authority as long as the
        // record it claimed under differs only in the standbys or the target of a move.
        const bool isStillStandby = current.owner == old.record.owner
            && haveSameWitnesses(current, old.record) && current.term < lease.term
            && standbyPosition(current).has_value();
        if (!isConfirmed && !isStillStandby) {
            stepDown(lease, "record changed", now);
        }
        for (const auto &witness : allWitnesses(current)) {
            lease.silentSince.try_emplace(witness, now);
        }
    }
    if (lease.phase == lease_phase::Idle) {
        lease.claimAt.reset();
        lease.failedClaims = 0;
        lease.awaitNotices = lease.awaitNotices && current.owner == old.record.owner;
    }
}

void ownership_engine::state::dropRecord(lease_state &lease, steady_time now)
{
    stepDown(lease, "record deleted", now);
    lease.known.record.owner = {};
    lease.known.record.standbys.clear();
}

void ownership_engine::state::changeRecords(steady_time now)
{
    std::vector<std::pair<lease_state *, record_change>> changes;
    for (auto &[partition, lease] : m_leases) {
        considerDrain(lease, now);
        if (lease.writePending || lease.readWanted) {
            continue;
        }
        if (auto change = proposeChange(lease, now)) {
            changes.emplace_back(&lease, *std::move(change));
        }
    }
    // Tenures and moves affect serving, so they go first when tokens are short.
    std::stable_sort(changes.begin(), changes.end(),
                     [](const auto &a, const auto &b) { return a.second.kind < b.second.kind; });
    for (auto &[lease, change] : changes) {
        // The token of a move was taken when the drain began.
        const bool isMove = change.kind == write_kind::Move;
        const bool isUrgent = change.kind == write_kind::Tenure;
        if (isMove         ? m_writeLimiter.isBackingOff(now)
                : isUrgent ? !m_writeLimiter.isReady(now)
                           : !m_writeLimiter.isReadyForDeferrable(now)) {
            continue;
        }
        if (!isMove) {
            m_writeLimiter.take(now);
        }
        writeRecord(*lease, std::move(change), now);
    }
    // After the writes: a drained partition that waits for a token is not served.
    for (auto &[partition, lease] : m_leases) {
        const bool isDue = lease.lastRead == steady_time::min() || lease.writePending
            || now - lease.lastRead >= readInterval;
        if (lease.readWanted && !lease.readPending && isDue && m_writeLimiter.isReady(now)) {
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
    auto record = lease.known.record;
    if (!isOwner(lease) || record.term != lease.term) {
        if (m_shuttingDown) {
            return std::nullopt;
        }
        record.owner = m_self;
        record.term = lease.term;
        if (record.nextOwner == m_self) {
            record.nextOwner = {};
        }
        if (isLive(m_self)) {
            record.standbys = chooseStandbys(*m_view, serviceOfPartition(record.partition), m_self,
                                             record.partition);
        } else {
            std::erase(record.standbys, m_self);
        }
        return record_change{write_kind::Tenure, std::move(record), "tenure won"};
    }
    if (lease.draining) {
        if (inFlight(lease) > 0 || lease.moveTarget.isNull()) {
            return std::nullopt;
        }
        return record_change{write_kind::Move, moveRecord(lease, lease.moveTarget), "planned move"};
    }
    if (!record.nextOwner.isNull()) {
        if (record.nextOwner != m_self && isLive(record.nextOwner)) {
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
    auto record = lease.known.record;
    if (!record.previousWitnesses.empty()) {
        if (!isAdopted(record, lease.acks, lease.known.version)) {
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
    std::vector<instance_id> bad;
    bool isSilent = false;
    for (const auto &id : record.witnesses) {
        const auto *member = m_view->findMember(id);
        const auto silent = lease.silentSince.find(id);
        const bool silentTooLong =
            silent != lease.silentSince.end() && now - silent->second > m_timing.witnessSilence;
        const bool isBad = member == nullptr || id == m_self || silentTooLong
            || lease.replacedWitnesses.contains(id);
        // A witness on the owner's host may stay if the region has no better one.
        const bool isPoor = !isBad && hostOf(*member) == hostOf(*self);
        isSilent |= silentTooLong;
        (isBad || isPoor ? bad : kept).push_back(id);
    }
    if (bad.empty() || kept.size() < witnessCount - 1) {
        // Replacing two at a time is left to a second step; a lease needs two live witnesses.
        if (kept.size() + 1 < witnessCount && !bad.empty()) {
            kept.assign(record.witnesses.begin(), record.witnesses.end());
            std::erase(kept, bad.front());
            bad.resize(1);
        } else {
            return std::nullopt;
        }
    }
    auto witnesses = completeWitnesses(*m_view, m_self, kept, bad);
    if (witnesses.size() != witnessCount) {
        return std::nullopt;
    }
    record.previousWitnesses = std::exchange(record.witnesses, std::move(witnesses));
    return record_change{write_kind::WitnessChange, std::move(record),
                         isSilent ? "witness silent" : "witness replaced"};
}

std::optional<ownership_engine::state::record_change>
ownership_engine::state::proposeStandbys(const lease_state &lease) const
{
    auto record = lease.known.record;
    auto chosen =
        chooseStandbys(*m_view, serviceOfPartition(record.partition), m_self, record.partition);
    const bool complete = record.standbys.size() >= chosen.size()
        && std::all_of(record.standbys.begin(), record.standbys.end(),
                       [&](const instance_id &id) { return id != m_self && isLive(id); });
    if (complete || chosen == record.standbys) {
        return std::nullopt;
    }
    record.standbys = std::move(chosen);
    return record_change{write_kind::Standbys, std::move(record), "standbys changed"};
}

void ownership_engine::state::considerDrain(lease_state &lease, steady_time now)
{
    if (lease.phase != lease_phase::Holding) {
        return;
    }
    const auto &record = lease.known.record;
    const bool isRecorded = isOwner(lease) && record.term == lease.term && now < lease.leaseEnd;
    if (lease.draining) {
        const bool isStuck = lease.writePending ? now - lease.writtenAt > moveWriteTimeout
                                                : m_writeLimiter.isBackingOff(now);
        if (!isRecorded || isStuck || !isLive(lease.moveTarget)) {
            suspendDrain(lease, now);
        }
        return;
    }
    instance_id target = record.nextOwner;
    if (m_shuttingDown) {
        const auto it = std::find_if(record.standbys.begin(), record.standbys.end(),
                                     [&](const instance_id &id) { return isLive(id); });
        if (!isRecorded || it == record.standbys.end() || !m_writeLimiter.isReady(now)) {
            drainForRelease(lease, "shutdown without a hand-over", now);
            return;
        }
        target = *it;
    } else if (!m_writeLimiter.isReadyForDeferrable(now) || lease.writePending
               || lease.readWanted) {
        return;
    }
    if (isRecorded && !target.isNull() && target != m_self && isLive(target)) {
        // A partition drained without a token would wait for its write unserved.
        m_writeLimiter.take(now);
        lease.draining = true;
        lease.moveTarget = target;
        m_table.stop(record.partition);
        log(lease, "drain", m_shuttingDown ? "shutdown" : "planned move");
    }
}

placement_record ownership_engine::state::moveRecord(const lease_state &lease,
                                                     const instance_id &target) const
{
    auto record = lease.known.record;
    record.owner = target;
    record.term = lease.term + 1;
    record.nextOwner = {};
    record.standbys =
        chooseStandbys(*m_view, serviceOfPartition(record.partition), target, record.partition);
    if (m_shuttingDown) {
        std::erase(record.standbys, m_self);
    }
    return record;
}

void ownership_engine::state::writeRecord(lease_state &lease, record_change change, steady_time now)
{
    lease.writePending = true;
    lease.writtenAt = now;
    const auto partition = lease.known.record.partition;
    auto text = encodeRecord(change.record);
    m_hooks.putRecord(placementKey(partition), lease.known.version, text,
                      [this, alive = std::weak_ptr<int>(m_alive), partition,
                       change = std::move(change)](const absl::StatusOr<uint64_t> &version,
                                                   steady_time respondedAt) {
                          if (!alive.expired()) {
                              onWritten(partition, change, version, respondedAt);
                              deliverLocal(respondedAt);
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
        lease->writePending = false;
        log(*lease, "record", change.reason);
        adoptRecord(*lease, {change.record, *version}, now);
        return;
    }
    log(*lease, "record-failed", absl::StatusCodeToString(version.status().code()));
    if (absl::IsUnavailable(version.status()) || absl::IsResourceExhausted(version.status())) {
        // The write had no effect.
        m_writeLimiter.onRefused(now);
        lease->writePending = false;
    } else {
        // Another writer was first, or the write may have taken effect although its answer is lost.
        lease->readWanted = true;
    }
    if (change.kind == write_kind::Move && !absl::IsAborted(version.status())) {
        suspendDrain(*lease, now);
    }
}

// Stops serving and releases the lease once the requests in flight have ended. The lease is renewed
// until then: an upstream that does not check grants has its requests cancelled when the lease ends
// (H4), which a graceful shutdown must not cause (P7).
void ownership_engine::state::drainForRelease(lease_state &lease, std::string_view reason,
                                              steady_time now)
{
    m_table.stop(lease.known.record.partition);
    lease.draining = true;
    lease.moveTarget = {};
    if (inFlight(lease) == 0 || !isServing(lease, now)) {
        stepDown(lease, reason, now);
    }
}

void ownership_engine::state::suspendDrain(lease_state &lease, steady_time now)
{
    if (m_shuttingDown) {
        drainForRelease(lease, "shutdown while the platform is unavailable", now);
        return;
    }
    // The move is tried again when the platform answers; until then the partition is served. If the
    // write takes effect late, the witnesses refuse this instance from then on.
    lease.draining = false;
    publish(lease, now);
}

void ownership_engine::state::readBack(lease_state &lease, steady_time now)
{
    m_writeLimiter.take(now);
    lease.readPending = true;
    lease.lastRead = now;
    const auto partition = lease.known.record.partition;
    m_hooks.getRecord(placementKey(partition),
                      [this, alive = std::weak_ptr<int>(m_alive),
                       partition](const absl::StatusOr<stored_object> &object, steady_time readAt) {
                          if (!alive.expired()) {
                              onRead(partition, object, readAt);
                              deliverLocal(readAt);
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
    lease->readPending = false;
    if (!object.ok() && !absl::IsNotFound(object.status())) {
        m_writeLimiter.onRefused(now);
        return;
    }
    m_writeLimiter.onResponse();
    lease->readWanted = false;
    lease->writePending = false;
    if (!object.ok() || object->deleted) {
        dropRecord(*lease, now);
        return;
    }
    auto record = decodeRecord(object->value);
    if (record.ok()) {
        adoptRecord(*lease, {*std::move(record), object->version}, now);
    } else {
        log(*lease, "record-invalid", record.status().ToString());
    }
}

void ownership_engine::state::considerRecovery(steady_time now)
{
    constexpr milliseconds recoveryInterval{1000};
    if (now >= m_recoveryAt && m_upstreamUp && !m_shuttingDown) {
        m_recoveryAt = now + recoveryInterval;
        findAbandonedPartitions();
        for (const auto &[partition, lease] : m_leases) {
            if (!isServing(lease, now) && recoveryDelay(lease.known.record)) {
                pingMissingWitnesses(lease.known.record, now);
            }
        }
    }
    for (auto &[partition, lease] : m_leases) {
        const auto delay = recoveryDelay(lease.known.record);
        if (!m_upstreamUp || m_shuttingDown || isServing(lease, now) || !delay || !isLive(m_self)) {
            lease.recoverableSince.reset();
            continue;
        }
        std::string_view reason = "majority of witnesses permanently dead";
        auto record = recoverRecord(lease.known.record, m_evidence, *m_view, m_self, now);
        if (!record && isAbandoned(lease.known.record)
            && fallbackOwner(lease.known.record) == m_self) {
            record = lease.known.record;
            record->owner = m_self;
            record->term = lease.known.record.term + 1;
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
        if (now - *lease.recoverableSince >= *delay && !lease.writePending && !lease.readWanted
            && m_writeLimiter.isReady(now)) {
            m_writeLimiter.take(now);
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
            m_leases[it->first].known = it->second;
        }
    }
}

// Instances write a recovery in a fixed order, so that they rarely compete for one record.
std::optional<milliseconds>
ownership_engine::state::recoveryDelay(const placement_record &record) const
{
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
        if (isLive(witness) || witness == m_self) {
            continue;
        }
        if (witness.name == m_self.name) {
            // An earlier run of this instance; it ended before this one started.
            m_evidence.onPing(witness, m_self,
                              std::chrono::floor<milliseconds>(now - *m_startedAt));
            continue;
        }
        wire::Request request;
        request.mutable_ping();
        send(witness, std::move(request), m_timing.messageTimeout,
             [this, witness](const absl::StatusOr<wire::Reply> &reply, steady_time) {
                 if (reply.ok() && reply->has_ping()) {
                     m_evidence.onPing(
                         witness, {reply->sender().name(), reply->sender().incarnation()},
                         milliseconds(static_cast<milliseconds::rep>(reply->ping().uptime_ms())));
                 }
             });
    }
}

bool ownership_engine::state::isLive(const instance_id &id) const
{
    return m_view->findMember(id) != nullptr;
}

bool ownership_engine::state::isAbandoned(const placement_record &record) const
{
    return !isLive(record.owner)
        && std::none_of(record.standbys.begin(), record.standbys.end(),
                        [&](const instance_id &id) { return isLive(id); });
}

// The member that takes over a partition whose recorded owner and standbys are no members any
// more. The record's witnesses stay, so a wrong belief about it can't give two owners.
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
