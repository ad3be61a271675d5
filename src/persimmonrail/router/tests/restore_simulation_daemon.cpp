// What the simulated daemons do.
#include "restore_simulation.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/keyspace/grant_fence.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

using namespace std::chrono_literals;

namespace persimmonrail {

void restore_simulation::startDaemon(simulated_daemon &daemon)
{
    ++daemon.generation;
    daemon.isUp = true;
    range_lease_timing timing;
    if (m_setup.usesWriter && !m_disabled.changeLifetime) {
        timing.sentMoveLifetime = changeLifetime * 11 / 10;
    }
    daemon.leases = std::make_unique<range_lease_manager>(timing);
    if (!m_disabled.fencesOfStart) {
        daemon.leases->recordDaemonStart(m_now);
    }
    daemon.knownStart = 0;
    daemon.isUpstreamAbsent = false;
    daemon.connectedTo = 0;
    daemon.connection = 0;
    daemon.releasing.clear();
    daemon.released.clear();
    daemon.epoch = baseEpoch;
    daemon.record.reset();
    daemon.recordEpoch = baseEpoch;
    daemon.recordVersion = 0;
    daemon.startedAt = daemon.endedAt = {};
    daemon.isWritePending = false;
    daemon.move.reset();
    daemon.lastReadAt = {};
    daemon.unreachableSince = {};
}

void restore_simulation::stopDaemon(simulated_daemon &daemon, bool isGraceful)
{
    const milliseconds safeHold = daemon.leases->maxSafeHold(m_now);
    if (isGraceful && safeHold >= range_lease_timing().holdTime) {
        for (const range_grant &grant : daemon.leases->grantsWithin({})) {
            sendGrant(daemon, grant, std::min(maxHoldTime, safeHold));
        }
    }
    daemon.isUp = false;
    daemon.unreachableSince = m_now;
    note(absl::StrCat("daemon ", daemon.index, " stops"));
}

void restore_simulation::observe(simulated_daemon &daemon, const observation &seen,
                                 std::optional<boot_time> confirmedAt)
{
    if (seen.epoch < daemon.epoch) {
        return;
    }
    daemon.epoch = seen.epoch;
    daemon.startedAt = seen.content.startedAt;
    daemon.endedAt = seen.content.endedAt;
    const auto newest = std::find_if(seen.content.records.rbegin(), seen.content.records.rend(),
                                     [](const auto &r) { return r.second.revision > 0; });
    uint64_t seenVersion = 0;
    if (newest != seen.content.records.rend()) {
        seenVersion = makeVersion(seen.epoch, newest->second.revision);
        if (std::tie(daemon.recordEpoch, daemon.recordVersion)
            < std::tie(newest->first, seenVersion)) {
            daemon.record = newest->second.placement;
            daemon.recordEpoch = newest->first;
            daemon.recordVersion = seenVersion;
        }
    }
    daemon.leases->onEpoch(daemon.epoch, m_now);
    if (daemon.record && daemon.recordEpoch == daemon.epoch) {
        const bool isConfirmed = confirmedAt && seenVersion == daemon.recordVersion;
        daemon.leases->onPlacement(*daemon.record, isConfirmed ? *confirmedAt : boot_time{}, m_now);
    } else if (!daemon.record && confirmedAt) {
        daemon.leases->onEarlierFences(0);
    }
    checkAwaitedRecord(daemon);
}

void restore_simulation::tick(simulated_daemon &daemon)
{
    renewGrants(daemon);
    for (const range_grant &grant : daemon.leases->dueReleases(m_now)) {
        if (!daemon.move) {
            daemon.leases->onReleased(grant.keys, grant.fence);
            release(daemon.index, grant.keys, fenceOnConnection(grant.fence, grant.connection));
        }
    }
    if (m_now - daemon.lastReadAt >= readInterval) {
        daemon.lastReadAt = m_now;
        read(daemon, [this, &daemon, sentAt = m_now](const std::optional<observation> &seen) {
            if (seen) {
                observe(daemon, *seen, sentAt);
            }
        });
    }
    relay(daemon);
    heartbeat(daemon);
    publish(daemon);
    propose(daemon);
    considerMove(daemon);
}

void restore_simulation::relay(simulated_daemon &daemon)
{
    const simulated_daemon &peer = m_daemons[between(0, daemonCount - 1)];
    if (!percent(10) || !peer.isUp || !peer.record || m_now < daemon.cutFromPeersUntil) {
        return;
    }
    observation seen{peer.epoch, {}};
    seen.content.startedAt = peer.startedAt;
    seen.content.endedAt = peer.endedAt;
    seen.content.records[peer.recordEpoch] = {revisionOf(peer.recordVersion), *peer.record};
    observe(daemon, seen, std::nullopt);
}

void restore_simulation::heartbeat(simulated_daemon &daemon)
{
    simulated_upstream &upstream = m_upstreams[daemon.index];
    if (!upstream.isUp || m_now < upstream.nextHeartbeatAt) {
        return;
    }
    upstream.nextHeartbeatAt = m_now + 900ms;
    if (daemon.knownStart == 0 && upstream.startedAt > 1 && percent(20)) {
        // The first heartbeat after the daemon's start is a late one of an earlier incarnation.
        onHeartbeat(daemon, upstream.startedAt - 1);
        return;
    }
    onHeartbeat(daemon, upstream.startedAt);
}

void restore_simulation::onHeartbeat(simulated_daemon &daemon, int64_t startedAt)
{
    const int64_t published = daemon.startedAt[daemon.index];
    const bool isEnded = startedAt < published || daemon.endedAt[daemon.index] == startedAt;
    const bool isLate = startedAt < daemon.knownStart || (!m_disabled.lateHeartbeats && isEnded);
    if (isLate || startedAt == daemon.knownStart) {
        return;
    }
    note(absl::StrCat("daemon ", daemon.index, " takes upstream ", startedAt));
    daemon.knownStart = startedAt;
    daemon.isUpstreamAbsent = false;
    daemon.connectedTo = 0;
    daemon.leases->setUpstream(idOf(daemon.index));
}

void restore_simulation::publish(simulated_daemon &daemon)
{
    const size_t index = daemon.index;
    const bool isKnownEnded = daemon.knownStart < daemon.startedAt[index]
        || (daemon.knownStart != 0 && daemon.endedAt[index] == daemon.knownStart
            && !daemon.isUpstreamAbsent);
    if (!m_disabled.lateHeartbeats && isKnownEnded) {
        // The heartbeat came before the directory showed that it is late.
        daemon.knownStart = 0;
        daemon.leases->setUpstream(std::nullopt);
    }
    if (!isStoreReachable(daemon) || daemon.knownStart == 0 || daemon.startedAt[index] == 0) {
        return;
    }
    const int64_t published = m_content.startedAt[index];
    const bool isReplaced = published != 0 && published != daemon.knownStart;
    const bool isEnded = daemon.isUpstreamAbsent && m_content.endedAt[index] != published;
    if (published == daemon.knownStart && !isEnded) {
        return;
    }
    if (!m_disabled.releaseEnded && published != 0 && !isReleased(daemon, published)) {
        return;
    }
    // Only a daemon that has taken a late heartbeat publishes the end of a later incarnation.
    const bool endsPublished =
        isReplaced ? published > daemon.knownStart : published == daemon.knownStart;
    if (endsPublished) {
        m_content.endedAt[index] = published;
    } else {
        m_content.startedAt[index] = daemon.knownStart;
    }
    ++m_content.revision;
}

bool restore_simulation::isReleased(simulated_daemon &daemon, int64_t ended)
{
    const upstream_id id = idOf(daemon.index, ended);
    // A write under way may record keys for the ended incarnation.
    if (daemon.releasing.contains(ended) || (daemon.isWritePending && !m_disabled.pendingWrites)) {
        return false;
    }
    if (!daemon.record || daemon.recordEpoch != daemon.epoch
        || daemon.leases->lastGrantsOf(id).empty() || daemon.released.contains(ended)) {
        return true;
    }
    if (needsNewFences(daemon, id)) {
        renewFencesOf(daemon, id);
        return false;
    }
    daemon.releasing.insert(ended);
    after(milliseconds(between(1, 20) * 10), [this, &daemon, id, generation = daemon.generation] {
        if (daemon.generation != generation || !daemon.isUp) {
            return;
        }
        releaseEnded(daemon, daemon.leases->lastGrantsOf(id));
        daemon.releasing.erase(id.startedAt);
        daemon.released.insert(id.startedAt);
    });
    return false;
}

void restore_simulation::releaseEnded(simulated_daemon &daemon,
                                      const std::vector<range_grant> &grants)
{
    simulated_upstream &upstream = m_upstreams[daemon.index];
    for (const range_grant &grant : grants) {
        if (!m_disabled.supersedeEnded && daemon.leases->canSupersede(grant, m_now)) {
            applyGrant(daemon.index, upstream.startedAt, grant, range_lease_timing().holdTime,
                       m_now);
        }
        release(daemon.index, grant.keys, fenceOnConnection(grant.fence, grant.connection));
    }
    daemon.connectedTo = 0;
}

bool restore_simulation::needsNewFences(const simulated_daemon &daemon, const upstream_id &owner)
{
    if (!daemon.isOld || !daemon.leases->areFencesKnown()) {
        return daemon.leases->needsNewFences(owner);
    }
    return std::any_of(daemon.record->ranges.begin(), daemon.record->ranges.end(),
                       [&](const owned_range &range) {
                           return range.owner == owner && range.takeoverDelay.count() == 0
                               && range.fence <= daemon.leases->supersededFence();
                       });
}

bool restore_simulation::isUnknownFence(const simulated_daemon &daemon, const range_grant &grant)
{
    return daemon.isOld && daemon.record
        && daemon.record->rangeOf(grant.keys.first).fence != grant.fence;
}

void restore_simulation::renewFencesOf(simulated_daemon &daemon, const upstream_id &owner)
{
    if (daemon.isWritePending || daemon.move || m_now < daemon.nextWriteAt) {
        return;
    }
    const uint64_t superseded =
        daemon.isOld ? daemon.record->highestFence : daemon.leases->supersededFence();
    write(daemon,
          {renewFences(*daemon.record, owner, superseded), daemon.recordVersion, "renew-fences",
           daemon.epoch},
          [](write_result) {});
}

bool restore_simulation::connect(simulated_daemon &daemon)
{
    const simulated_upstream &upstream = m_upstreams[daemon.index];
    if (upstream.isUp && daemon.connectedTo == upstream.startedAt) {
        return true;
    }
    daemon.connectedTo = 0;
    if (!upstream.isUp) {
        if (!upstream.isDark && !daemon.isUpstreamAbsent) {
            daemon.isUpstreamAbsent = true;
            daemon.leases->setUpstream(std::nullopt);
        }
        return false;
    }
    daemon.connectedTo = upstream.startedAt;
    daemon.connection += m_disabled.connectionFences ? 0 : 1;
    return true;
}

void restore_simulation::renewGrants(simulated_daemon &daemon)
{
    for (const range_grant &grant : daemon.leases->dueGrants(m_now)) {
        if (!isUnknownFence(daemon, grant)) {
            sendGrant(daemon, grant, range_lease_timing().holdTime);
        }
    }
}

void restore_simulation::sendGrant(simulated_daemon &daemon, range_grant grant,
                                   milliseconds holdTime)
{
    if (!daemon.leases->canSend(grant, m_now) || !connect(daemon)) {
        return;
    }
    const size_t index = daemon.index;
    const int64_t startedAt = daemon.connectedTo;
    grant.connection = daemon.connection;
    if (!percent(10)) {
        if (applyGrant(index, startedAt, grant, holdTime, m_now)) {
            daemon.leases->onGranted(grant, m_now);
        } else {
            daemon.leases->onGrantRejected(grant);
        }
        return;
    }
    daemon.leases->onGrantUnconfirmed(grant, holdTime, m_now);
    const boot_time arrivedAt = m_now + milliseconds(between(0, 30) * 10);
    if (percent(70)) {
        const milliseconds delay(percent(50) ? 300 : between(300, 4000));
        after(delay, [=, this] { applyGrant(index, startedAt, grant, holdTime, arrivedAt); });
    }
}

bool restore_simulation::isUnreachable(size_t index) const
{
    const simulated_daemon &daemon = m_daemons[index];
    const bool isGone = !daemon.isUp || m_now < daemon.cutFromPeersUntil;
    return isGone && m_now - daemon.unreachableSince >= 1500ms;
}

proposal_input restore_simulation::inputOf(const simulated_daemon &daemon) const
{
    proposal_input input;
    input.service = std::string("s");
    input.epoch = daemon.epoch;
    input.record = daemon.record ? &*daemon.record : nullptr;
    input.recordEpoch = daemon.recordEpoch;
    if (daemon.knownStart != 0 && !daemon.isUpstreamAbsent) {
        input.upstream = idOf(daemon.index);
    }
    input.isCoordinator = m_now >= daemon.cutFromPeersUntil;
    input.areMembersStable = m_now >= startTime + 1500ms;
    for (size_t i = 0; i < daemonCount; ++i) {
        if (daemon.startedAt[i] == daemon.endedAt[i]) {
            continue;
        }
        if (i == daemon.index || !isUnreachable(i)) {
            input.isCoordinator = input.isCoordinator && i >= daemon.index;
            input.live.push_back({idOf(i, daemon.startedAt[i]), 4});
        } else {
            input.unreachable.push_back(idOf(i, daemon.startedAt[i]));
        }
    }
    input.isTerminated = [&daemon](const upstream_id &id) {
        const auto index = static_cast<size_t>(id.name[0] - 'a');
        return daemon.startedAt[index] > id.startedAt || daemon.endedAt[index] == id.startedAt;
    };
    input.successorOf = [&daemon](const upstream_id &id) -> std::optional<upstream_id> {
        const auto index = static_cast<size_t>(id.name[0] - 'a');
        const int64_t latest = daemon.startedAt[index];
        const bool isLater = latest > id.startedAt && daemon.endedAt[index] != latest;
        return isLater ? std::optional(idOf(index, latest)) : std::nullopt;
    };
    input.takeoverDelay = range_lease_timing().takeoverDelay();
    return input;
}

void restore_simulation::propose(simulated_daemon &daemon)
{
    if (daemon.isWritePending || daemon.move || m_now < daemon.nextWriteAt
        || daemon.startedAt[daemon.index] == 0) {
        return;
    }
    const proposal_input input = inputOf(daemon);
    if (daemon.isOld && input.upstream && daemon.record && daemon.recordEpoch == daemon.epoch
        && needsNewFences(daemon, *input.upstream)) {
        renewFencesOf(daemon, *input.upstream);
        return;
    }
    const auto proposal = proposeChange(input, *daemon.leases, m_now);
    if (!proposal) {
        return;
    }
    const bool isNewEpoch = isInherited(input);
    const key_placement current =
        isNewEpoch || !daemon.record ? emptyPlacement(input.service) : *daemon.record;
    key_placement next = *proposal->change(current);
    if (isNewEpoch) {
        disableMechanisms(next, input);
    }
    write(daemon, {next, isNewEpoch ? 0 : daemon.recordVersion, proposal->reason, daemon.epoch},
          [](write_result) {});
}

void restore_simulation::disableMechanisms(key_placement &placement,
                                           const proposal_input &input) const
{
    for (owned_range &range : placement.ranges) {
        if (!m_disabled.unknownPreviousOwner || input.record == nullptr) {
            break;
        }
        const owned_range &inherited = input.record->rangeOf(range.keys.first);
        if (inherited.takeoverDelay.count() > 0) {
            range.previousOwner = inherited.previousOwner;
        }
    }
    if (m_disabled.carriedOverDelay) {
        placement = clearCarriedOver(placement);
    }
    if (m_disabled.fencesOfEpoch) {
        const uint64_t excess =
            firstFence(input.epoch) - (input.record != nullptr ? input.record->highestFence : 0);
        placement.highestFence -= excess;
        for (owned_range &range : placement.ranges) {
            range.fence -= excess;
        }
    }
}

void restore_simulation::considerMove(simulated_daemon &daemon)
{
    if (daemon.move && daemon.move->awaitedUntil) {
        readAwaitedRecord(daemon);
        return;
    }
    if (daemon.move) {
        retryMove(daemon);
        return;
    }
    if (daemon.isWritePending || m_now < daemon.nextMoveAt || m_now >= startTime + movesEnd
        || !percent(isStoreFailing() ? 40 : 5) || !daemon.record
        || daemon.recordEpoch != daemon.epoch || !daemon.leases->hasLease(m_now + 4s)) {
        return;
    }
    const auto cell = static_cast<shard_key>(between(0, cellCount - 1));
    const size_t target = between(0, daemonCount - 1);
    const auto held = daemon.leases->grantsWithin({cell * cellSize, (cell + 1) * cellSize - 1});
    if (target == daemon.index || isUnreachable(target) || held.empty()
        || daemon.startedAt[target] == daemon.endedAt[target] || !isServing(daemon)
        || !daemon.leases->canMove(held[0].keys, m_now)) {
        return;
    }
    const key_interval keys = held[0].keys;
    daemon.move = pending_move{keys,
                               daemon.record->rangeOf(keys.first).fence,
                               idOf(target, daemon.startedAt[target]),
                               daemon.epoch,
                               false,
                               {}};
    daemon.move->owner = idOf(daemon.index, daemon.knownStart);
    daemon.leases->setMoving({keys});
    release(daemon.index, keys, fenceOnConnection(held[0].fence, held[0].connection));
    daemon.leases->onReleased(keys, held[0].fence);
    if (m_setup.usesWriter && !daemon.isOld && percent(70)) {
        submitMove(daemon);
    } else {
        finishMove(daemon);
    }
}

owner_change restore_simulation::changeOf(const simulated_daemon &daemon)
{
    const pending_move &move = *daemon.move;
    return {move.owner, move.epoch, {{move.keys, move.fence, move.target, ""}}};
}

void restore_simulation::submitMove(simulated_daemon &daemon)
{
    daemon.move->isOpen = true;
    daemon.move->isSubmitted = true;
    daemon.isWritePending = true;
    if (percent(85)) {
        const milliseconds delay(percent(40) ? between(200, 4000) : between(10, 60));
        after(delay,
              [this, &daemon, change = changeOf(daemon), issuedAt = m_now,
               &writer = m_daemons[between(0, daemonCount - 1)]] {
                  receiveChange(writer, daemon, change, issuedAt);
              });
    }
    const milliseconds timeout(percent(50) ? 300 : between(1, 30) * 10);
    after(timeout, [this, &daemon, generation = daemon.generation, change = changeOf(daemon)] {
        if (daemon.generation == generation && daemon.isUp && isSubmitted(daemon, change)) {
            daemon.move->isSubmitted = false;
            daemon.isWritePending = false;
            finishMove(daemon);
        }
    });
    if (percent(30) && m_now < startTime + disruptionsEnd) {
        after(milliseconds(between(1, 10) * 10), [this, &daemon, generation = daemon.generation] {
            if (daemon.generation == generation && daemon.isUp) {
                killDaemon(daemon);
            }
        });
    }
}

bool restore_simulation::isSubmitted(const simulated_daemon &daemon, const owner_change &change)
{
    return daemon.move && daemon.move->isSubmitted && changeOf(daemon) == change;
}

void restore_simulation::respondRecorded(simulated_daemon &owner, const owner_change &change)
{
    if (percent(10)) {
        return;
    }
    const milliseconds delay(percent(10) ? between(100, 1000) : between(1, 4) * 10);
    after(delay, [this, &owner, change, generation = owner.generation] {
        if (owner.generation != generation || !owner.isUp || !isSubmitted(owner, change)) {
            return;
        }
        note(absl::StrCat("daemon ", owner.index, " awaits the record"));
        owner.move->isSubmitted = false;
        owner.isWritePending = false;
        owner.move->awaitedUntil = m_now + recordWaitTime;
        checkAwaitedRecord(owner);
    });
}

void restore_simulation::checkAwaitedRecord(simulated_daemon &daemon)
{
    if (!daemon.move || !daemon.move->awaitedUntil) {
        return;
    }
    const bool isEpochEnded = daemon.epoch != daemon.move->epoch;
    const bool isShown = daemon.record && daemon.recordEpoch == daemon.epoch
        && isSettled(*daemon.record, changeOf(daemon));
    if (isEpochEnded || isShown || m_disabled.awaitedRecords) {
        endMove(daemon);
    }
}

void restore_simulation::receiveChange(const simulated_daemon &writer, simulated_daemon &owner,
                                       const owner_change &change, boot_time issuedAt)
{
    if (!writer.isUp || !isStoreReachable(writer)) {
        return;
    }
    const store_record read = m_content.records[change.epoch];
    if (read.revision == 0) {
        return;
    }
    after(milliseconds(between(0, 10) * 10), [this, &owner, read, change, issuedAt] {
        const bool isExpired = m_now >= issuedAt + changeLifetime;
        const auto next = applyChanges(read.placement, change.epoch, {change});
        if (isSettled(read.placement, change)) {
            respondRecorded(owner, change);
        }
        if (!next || (isExpired && !m_disabled.changeLifetime)) {
            return;
        }
        const placement_write write{*next, makeVersion(m_epoch, read.revision), "writer",
                                    change.epoch};
        const milliseconds delay(percent(30) ? between(100, 3000) : between(10, 40));
        after(delay, [this, &owner, change, write] {
            if (applyWrite(write)) {
                note("a writer moves keys");
                respondRecorded(owner, change);
            }
        });
    });
}

void restore_simulation::readAwaitedRecord(simulated_daemon &daemon)
{
    if (m_now < *daemon.move->awaitedUntil) {
        return;
    }
    daemon.move->awaitedUntil.reset();
    daemon.isWritePending = true;
    read(daemon, [this, &daemon, sentAt = m_now](const std::optional<observation> &seen) {
        daemon.isWritePending = false;
        if (seen) {
            observe(daemon, *seen, sentAt);
        }
        finishMove(daemon);
    });
}

bool restore_simulation::isServing(const simulated_daemon &daemon)
{
    return daemon.knownStart != 0 && !daemon.isUpstreamAbsent;
}

void restore_simulation::endMove(simulated_daemon &daemon)
{
    if (!m_disabled.abandonMoves && daemon.move->epoch != daemon.epoch) {
        daemon.leases->abandon({daemon.move->keys});
    }
    daemon.move.reset();
    daemon.nextMoveAt = m_now + 1s;
    daemon.leases->setMoving({});
}

void restore_simulation::finishMove(simulated_daemon &daemon)
{
    const pending_move &move = *daemon.move;
    if (daemon.recordEpoch != daemon.epoch) {
        endMove(daemon);
        return;
    }
    const key_placement next = move.isWithdrawing ? withdrawChange(*daemon.record, changeOf(daemon))
                                                  : applyChange(*daemon.record, changeOf(daemon));
    if (next == *daemon.record) {
        endMove(daemon);
        return;
    }
    write(daemon, {next, daemon.recordVersion, "give", daemon.epoch},
          [this, &daemon](write_result result) { onMoveWritten(daemon, result); });
}

void restore_simulation::onOpenMoveWritten(simulated_daemon &daemon, write_result result)
{
    const bool isSettled = result == write_result::Written || result == write_result::EpochEnded;
    if (isSettled || (result == write_result::NotApplied && m_disabled.withdrawnFences)) {
        endMove(daemon);
        return;
    }
    daemon.move->isUnconfirmed = true;
    daemon.move->isWithdrawing = daemon.move->isWithdrawing || result == write_result::NotApplied
        || (result == write_result::Superseded && percent(20));
}

void restore_simulation::onMoveWritten(simulated_daemon &daemon, write_result result)
{
    if (daemon.move->isOpen) {
        onOpenMoveWritten(daemon, result);
        return;
    }
    if (result == write_result::Superseded) {
        daemon.move->isUnconfirmed = false;
        finishMove(daemon);
        return;
    }
    if (result == write_result::Unconfirmed && !daemon.move->isUnconfirmed) {
        daemon.move->isUnconfirmed = true;
        daemon.move->expiresAt = m_now + unconfirmedWriteTimeout;
    }
    if (!daemon.move->isUnconfirmed || result == write_result::Written
        || result == write_result::EpochEnded) {
        endMove(daemon);
    }
}

void restore_simulation::retryMove(simulated_daemon &daemon)
{
    if (!daemon.move->isUnconfirmed || daemon.isWritePending || m_now < daemon.nextWriteAt) {
        return;
    }
    if (!daemon.move->isOpen && m_now >= daemon.move->expiresAt) {
        endMove(daemon);
        return;
    }
    finishMove(daemon);
}

} // namespace persimmonrail
