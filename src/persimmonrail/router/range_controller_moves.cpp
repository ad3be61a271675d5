// Moves of key ranges to other owners: choosing the keys, releasing them, and writing the new
// owners.
#include "persimmonrail/base/text.h"
#include "persimmonrail/keyspace/leave_plan.h"
#include "persimmonrail/router/move_interval.h"
#include "persimmonrail/router/range_controller.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace persimmonrail {
namespace {

// Keys are released only if the store responded within this time, since the move must be written to
// the store.
constexpr milliseconds maxConfirmationAge{4500};
// Least time between two moves, for whatever reason.
constexpr milliseconds moveInterval{1000};
constexpr double overloadUtilization = 1.0;
// Longest time for which the new owners of released keys are written in one go. Giving the keys
// back costs more than a further try: the owner would serve them without the state that the release
// handed over, and would release them again.
constexpr milliseconds moveWriteTimeout{3000};

} // namespace

void range_controller::considerMove(steady_time now)
{
    const milliseconds sincePrevious =
        std::chrono::duration_cast<milliseconds>(now - m_lastMoveEndedAt);
    const milliseconds least = usesPlacementWriter()
        ? std::min(moveInterval, minMoveInterval(m_peers.live.size(), true, true))
        : moveInterval;
    if (m_isMoving || m_isWritePending || (!m_isDraining && sincePrevious < least)
        || m_peers.live.empty() || bootNow() - m_confirmedAt > maxConfirmationAge) {
        return;
    }
    const auto *record = currentRecord();
    if (record == nullptr) {
        return;
    }
    const std::vector<range_candidate> candidates = moveCandidates();
    std::vector<range_candidate> others = candidates;
    std::erase_if(others, [this](const auto &candidate) { return candidate.id == *m_upstream; });
    if (others.empty()) {
        return;
    }
    if (m_isDraining) {
        std::vector<planned_move> moves = planOwnLeave(record->placement, others);
        if (!moves.empty()) {
            startMove(std::move(moves), m_moveReason);
        }
        return;
    }
    const auto share = chooseMoveToEmptyOwner(record->placement, *m_upstream, candidates);
    if (share && sincePrevious >= moveInterval
        && !isSuccessorOfOwner(share->target, record->placement)) {
        startMove({*share}, "newcomer");
        return;
    }
    const owner_load load = ownLoad();
    const bool isOverloaded = load.utilization >= overloadUtilization;
    if (sincePrevious < minMoveInterval(m_peers.live.size(), isOverloaded, usesPlacementWriter())) {
        return;
    }
    const auto rate = [this](shard_key key) { return m_rates.rate(key); };
    std::vector<planned_move> moves;
    if (!usesPlacementWriter()) {
        moves = chooseMoves(ownIntervals(), rate, load, usableLoads());
    } else if (isOverloaded) {
        moves = chooseWorthwhileMoves(ownIntervals(), rate, load, usableLoads());
    }
    if (!moves.empty()) {
        startMove(std::move(moves), "load");
    }
}

std::vector<planned_move>
range_controller::planOwnLeave(const key_placement &placement,
                               const std::vector<range_candidate> &others) const
{
    leave_input input;
    input.self = *m_upstream;
    input.own = ownIntervals();
    input.rate = [this](shard_key key) { return m_rates.rate(key); };
    for (const upstream_member *member : m_directory->membersOf(m_service)) {
        if (member->isDraining && ownedKeys(placement, member->id) > 0) {
            input.leaving.push_back({member->id, member->slots});
        }
    }
    input.targets = weighTargets(others, m_peers.loads);
    return planLeave(input);
}

// With a writer, an owner may move again soon, so the loads of the peers to which it moved keys
// must show that and, at the start of traffic, all loads must show the traffic.
std::vector<owner_load> range_controller::usableLoads() const
{
    std::vector<owner_load> loads = m_peers.loads;
    std::erase_if(loads, [this](const owner_load &other) { return isRecordedAsLeaving(other.id); });
    if (!usesPlacementWriter()) {
        return loads;
    }
    const auto validSince = m_trafficOnset.loadsValidSince();
    return validSince ? m_moveHistory.usableLoads(std::move(loads), *validSince)
                      : std::vector<owner_load>();
}

// A successor gets the keys of the incarnation before it once the end of that one is recorded.
bool range_controller::isSuccessorOfOwner(const upstream_id &id,
                                          const key_placement &placement) const
{
    const auto *known = m_directory->findMember(id.name);
    if (known == nullptr) {
        return false;
    }
    const auto isSuccessorOf = [&](const upstream_id &owner) {
        const auto *other = m_directory->findMember(owner.name);
        return owner != id && other != nullptr
            && other->member.peerAddress == known->member.peerAddress
            && successorOf(*m_directory, owner) == id;
    };
    return std::any_of(placement.ranges.begin(), placement.ranges.end(),
                       [&](const owned_range &range) { return isSuccessorOf(range.owner); });
}

// The view of the peers may be older than the directory by the interval between two polls.
std::vector<range_candidate> range_controller::moveCandidates() const
{
    std::vector<range_candidate> candidates = m_peers.live;
    std::erase_if(candidates, [this](const range_candidate &candidate) {
        return isRecordedAsLeaving(candidate.id);
    });
    return candidates;
}

bool range_controller::isRecordedAsLeaving(const upstream_id &id) const
{
    const auto *known = m_directory->findMember(id.name);
    return known != nullptr && known->member.id == id
        && (known->member.isDraining || known->member.isTerminated);
}

bool range_controller::isEvacuated(const upstream_id &id) const
{
    const auto *known = m_directory->findMember(id.name);
    return known != nullptr && m_directory->isEvacuated(known->member.availabilityZone);
}

// A full queue rejects the requests that it can't hold, so the queue's length alone understates the
// load.
owner_load range_controller::ownLoad() const
{
    double requestsPerSecond = 0;
    for (const key_interval &keys : ownIntervals()) {
        for (shard_key key = keys.first; key <= keys.last; ++key) {
            requestsPerSecond += m_rates.rate(key);
        }
    }
    const int slots = std::max(m_queue.limit, 1);
    const std::chrono::microseconds serviceTime =
        usesPlacementWriter() ? m_meanSlotTime.serviceTime() : m_queue.meanServiceTime;
    const double offeredLoad =
        requestsPerSecond * std::chrono::duration<double>(serviceTime).count() / slots;
    return {*m_upstream, slots, std::max(offeredLoad, m_utilization), serviceTime};
}

void range_controller::startMove(std::vector<planned_move> moves, std::string_view reason)
{
    {
        const std::lock_guard lock(m_mutex);
        std::erase_if(moves, [this](const planned_move &move) {
            return !m_leaseManager.canMove(move.keys, bootNow());
        });
    }
    if (moves.empty()) {
        return;
    }
    m_isMoving = true;
    m_moveBeganAt = std::chrono::steady_clock::now();
    m_moveEpoch = currentEpoch();
    m_moveOwner = *m_upstream;
    std::vector<key_interval> intervals;
    for (const planned_move &move : moves) {
        intervals.push_back(move.keys);
        logRange("give", move.keys, 0, "begun",
                 absl::StrCat(toAbsl(reason), ",to:", move.target.name));
    }
    bool usesHeartbeats = false;
    {
        const std::lock_guard lock(m_mutex);
        usesHeartbeats = m_heartbeats.isActive();
        if (usesHeartbeats) {
            m_heartbeats.beginRelease(std::move(intervals));
        } else {
            m_leaseManager.setMoving(std::move(intervals));
        }
    }
    if (usesHeartbeats) {
        m_heartbeatMoves = std::move(moves);
        checkHeartbeatRelease();
    } else {
        releaseByCalls(moves);
    }
}

void range_controller::releaseByCalls(const std::vector<planned_move> &moves)
{
    std::vector<release_request> requests;
    {
        const std::lock_guard lock(m_mutex);
        for (const planned_move &move : moves) {
            for (const range_grant &grant : m_leaseManager.grantsWithin(move.keys)) {
                const owned_range &range = m_leaseManager.placement().rangeOf(grant.keys.first);
                requests.push_back({grant, move.target, range.fence});
            }
        }
    }
    // A grant of these keys may be in flight; it must not reach the upstream after the release.
    enqueueReleaseAfterGrants(
        [this, requests = std::move(requests), address = m_address]() mutable {
            {
                const std::lock_guard lock(m_mutex);
                std::erase_if(requests, [this](const release_request &request) {
                    return !m_leaseManager.canMove(request.grant.keys, bootNow());
                });
            }
            release_outcome outcome = releaseAll(m_grants, address, requests);
            for (const absl::Status &failure : outcome.failures) {
                m_log.write(log_level::Warn, absl::StrCat("release failed: ", failure.ToString()));
            }
            m_loop.post([this, released = std::move(outcome.released)](steady_time) {
                {
                    const std::lock_guard lock(m_mutex);
                    for (const released_range &range : released) {
                        m_leaseManager.onReleased(range.grant.keys, range.grant.fence);
                    }
                }
                finishMove(released);
            });
        });
}

// Ends the release of a move if a heartbeat shows that the upstream holds the keys no longer, if
// all grants have ended, or if running requests keep the keys for too long.
void range_controller::checkHeartbeatRelease()
{
    if (m_heartbeatMoves.empty()) {
        return;
    }
    std::vector<released_range> released;
    {
        const std::lock_guard lock(m_mutex);
        const auto state = m_heartbeats.releaseState(bootNow());
        if (state == heartbeat_grants::release_state::Pending) {
            return;
        }
        if (state == heartbeat_grants::release_state::Released) {
            std::vector<key_interval> intervals;
            for (const planned_move &move : m_heartbeatMoves) {
                intervals.push_back(move.keys);
            }
            m_leaseManager.setMoving(std::move(intervals));
            released = releasedByHeartbeat(m_heartbeatMoves, m_leaseManager.placement(),
                                           m_heartbeats.handovers());
        }
    }
    m_heartbeatMoves.clear();
    finishMove(released);
}

void range_controller::endMove(std::string_view result)
{
    const steady_time now = std::chrono::steady_clock::now();
    m_isMoving = false;
    m_unconfirmedMove.clear();
    m_isChangeOpen = false;
    m_isWithdrawing = false;
    m_recordAwaitedUntil.reset();
    m_lastMoveEndedAt = std::exchange(m_moveRecordedAt, std::nullopt).value_or(now);
    const auto duration = std::chrono::duration_cast<milliseconds>(now - m_moveBeganAt);
    logRange("give", {}, 0, "ended", absl::StrCat(toAbsl(result), ",took_ms:", duration.count()));
    {
        const std::lock_guard lock(m_mutex);
        if (m_moveEpoch != currentEpoch()) {
            // The move may have been recorded before the restore.
            m_leaseManager.abandon(m_leaseManager.moving());
        }
        m_leaseManager.setMoving({});
        m_heartbeats.endRelease();
    }
    renewGrants();
}

void range_controller::finishMove(const std::vector<released_range> &releasedRanges)
{
    if (currentRecord() == nullptr || releasedRanges.empty() || (!m_upstream && !m_isChangeOpen)) {
        endMove("not-released");
        return;
    }
    const upstream_id owner = m_isChangeOpen ? m_moveOwner : *m_upstream;
    const owner_change move = changeOf(owner, m_moveEpoch, releasedRanges);
    placement_change change = [releasedRanges, owner](const key_placement &current) {
        return recordNewOwners(current, owner, releasedRanges);
    };
    if (m_isWithdrawing) {
        change = [move](const key_placement &current) -> std::optional<key_placement> {
            key_placement next = withdrawChange(current, move);
            return next == current ? std::nullopt : std::optional(std::move(next));
        };
    }
    change_submitter submit;
    if (m_recordAwaitedUntil) {
        m_recordAwaitedUntil.reset();
        submit = alreadySubmitted();
    } else if (m_unconfirmedMove.empty()) {
        submit = makeSubmitter(move);
    }
    updateRecord(
        std::move(change), m_isWithdrawing ? "withdraw" : "give", moveWriteTimeout,
        [this, releasedRanges](const placement_update_result &result) {
            onMoveWritten(releasedRanges, result);
        },
        std::move(submit));
}

change_submitter range_controller::makeSubmitter(const owner_change &change) const
{
    if (!usesPlacementWriter() || change.epoch != currentEpoch()) {
        return {};
    }
    std::vector<std::string> addresses;
    for (const upstream_id &id : m_peers.writers) {
        const auto *known = m_directory->findMember(id.name);
        if (known != nullptr && known->member.id == id) {
            addresses.push_back(known->member.peerAddress);
        }
    }
    return [submit = m_hooks.submitChange, change, addresses = std::move(addresses)] {
        return submit(change, addresses);
    };
}

void range_controller::onMoveWritten(const std::vector<released_range> &releasedRanges,
                                     const placement_update_result &result)
{
    const bool isMoveRecorded = !m_isWithdrawing
        && (result.result == write_result::Written || result.result == write_result::Unneeded);
    if (isMoveRecorded) {
        onMoveRecorded(releasedRanges, result);
    }
    m_isChangeOpen = m_isChangeOpen || result.isChangeOpen;
    if (result.isRecordAwaited) {
        m_unconfirmedMove = releasedRanges;
        m_recordAwaitedUntil = std::chrono::steady_clock::now() + recordWaitTime;
        checkAwaitedRecord();
        return;
    }
    if (m_isChangeOpen) {
        onOpenMoveWritten(releasedRanges, result);
        return;
    }
    if (result.conflicts > 0) {
        // Another writer changed the record that an earlier unconfirmed write expected, and this
        // update saw the change.
        m_unconfirmedMove.clear();
    }
    if (result.result == write_result::Unconfirmed && m_unconfirmedMove.empty()) {
        m_unconfirmedMove = releasedRanges;
    }
    const bool isOutcomeKnown = result.result == write_result::Written
        || result.result == write_result::Unneeded || result.result == write_result::Superseded
        || result.result == write_result::EpochEnded;
    if (m_unconfirmedMove.empty() || isOutcomeKnown) {
        endMove(toString(result.result));
    }
}

void range_controller::onMoveRecorded(const std::vector<released_range> &releasedRanges,
                                      const placement_update_result &result)
{
    if (m_moveRecordedAt) {
        return;
    }
    m_moveRecordedAt = std::chrono::steady_clock::now();
    for (const released_range &released : releasedRanges) {
        m_moveHistory.recordMove(released.newOwner, *m_moveRecordedAt);
    }
    if (m_hooks.onMoveWritten) {
        m_hooks.onMoveWritten(result.isWriterUsed);
    }
}

// A conflict ends an unconfirmed write of the owner, but not an open change: the writer may apply
// it to the record that won. The change ends with a record that the owner knows and on which it has
// no effect: either the keys have moved, or they have a new fence.
void range_controller::onOpenMoveWritten(const std::vector<released_range> &releasedRanges,
                                         const placement_update_result &result)
{
    if (result.result == write_result::Written || result.result == write_result::Unneeded
        || result.result == write_result::EpochEnded) {
        endMove(m_isWithdrawing ? "withdrawn" : toString(result.result));
        return;
    }
    m_unconfirmedMove = releasedRanges;
    m_isWithdrawing = m_isWithdrawing || result.result != write_result::Unconfirmed;
}

// The move must not end before the known record shows it, since the owner would grant the keys
// again by the older record. A record of a later epoch may lack the move; endMove() abandons the
// keys then.
void range_controller::checkAwaitedRecord()
{
    if (!m_recordAwaitedUntil) {
        return;
    }
    const auto *record = currentRecord();
    const bool isEpochEnded = currentEpoch() != m_moveEpoch;
    const bool isShown = !isEpochEnded && record != nullptr
        && isSettled(record->placement, changeOf(m_moveOwner, m_moveEpoch, m_unconfirmedMove));
    if (isEpochEnded || isShown) {
        endMove(isShown ? "written" : "epoch-ended");
    }
}

// Repeats an unconfirmed write until the store decides it, however long that takes, since the write
// may take effect until then. The first of these writes that takes effect makes the others fail,
// since all expect the same version. A store that doesn't respond for long ends the lease as well,
// so granting the keys again meanwhile would gain little time of service.
void range_controller::retryUnconfirmedMove(steady_time now)
{
    if (m_unconfirmedMove.empty() || m_isWritePending || now < m_nextWriteAt
        || (m_recordAwaitedUntil && now < *m_recordAwaitedUntil)) {
        return;
    }
    finishMove(std::vector(m_unconfirmedMove));
}

} // namespace persimmonrail
