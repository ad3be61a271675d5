#include "persimmonrail/router/range_controller.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/keyspace/grant_fence.h"
#include "persimmonrail/router/move_interval.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace persimmonrail {
namespace {

// Unowned keys are assigned only after membership was unchanged for this long, since all upstreams
// of a site start together.
constexpr milliseconds initialAssignmentDelay{1500};
// Age of the last confirmation from which the owner reads the record itself. Confirmations come
// with the changes of the fleet at a higher rate, unless the relay fails. Several reads fit into
// the rest of the lease, so that one lost response does not matter.
constexpr milliseconds maxRelayedAge{4000};
constexpr milliseconds confirmRetryInterval{500};
constexpr milliseconds writeRetryDelay{300};
constexpr milliseconds unservedLogInterval{1000};
// Weight of one sample in the exponentially weighted moving average. One sample is taken per tick,
// so the last second makes up most of the average.
constexpr double utilizationSmoothingWeight = 0.2;

} // namespace

range_controller::range_controller(std::string service, range_lease_timing timing, object_api store,
                                   grant_api grants, control_loop &loop, decision_log &log,
                                   hooks hooks)
    : m_service(std::move(service))
    , m_timing(timing)
    , m_store(std::move(store))
    , m_grants(std::move(grants))
    , m_loop(loop)
    , m_log(log)
    , m_hooks(std::move(hooks))
    , m_leaseManager(timing)
    , m_heartbeats(m_leaseManager, timing)
    , m_random(std::random_device()())
    , m_grantConnection(m_grants)
    , m_releaseWorker(std::make_unique<background_worker>())
    , m_grantWorker(std::make_unique<background_worker>())
    , m_storeWorker(std::make_unique<background_worker>())
{
    m_leaseManager.recordDaemonStart(bootNow());
}

range_controller::~range_controller()
{
    m_isStopping = true;
}

void range_controller::logRange(std::string_view kind, key_interval keys, uint64_t fence,
                                std::string_view outcome, std::string_view reason) const
{
    decision entry;
    entry.kind = kind;
    entry.service = m_service;
    const std::string partition = absl::StrCat(keys.first, "-", keys.last);
    entry.partition = partition;
    entry.term = fence;
    const std::string instance = m_upstream ? toString(*m_upstream) : std::string();
    entry.instance = instance;
    entry.outcome = outcome;
    entry.reason = reason;
    m_log.write(entry);
}

void range_controller::onDirectory(const std::shared_ptr<const fleet_directory> &directory,
                                   const std::optional<store_confirmation> &confirmation)
{
    const bool changed = directory != m_directory;
    const uint64_t epochBefore = currentEpoch();
    m_directory = directory;
    if (currentEpoch() != epochBefore) {
        onEpochChanged();
    }
    const auto *record = currentRecord();
    bool isNewRecord = false;
    {
        const std::lock_guard lock(m_mutex);
        m_leaseManager.onEpoch(currentEpoch(), bootNow());
        if (record != nullptr) {
            isNewRecord = m_leaseManager.placementEpoch() != record->epoch;
            const bool isConfirmed = confirmation && !record->isOutdated
                && record->version <= confirmation->revision
                && record->epoch == std::max(baseEpoch, epochOf(confirmation->revision));
            const boot_time confirmedAt = isConfirmed ? confirmation->at : boot_time{};
            m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
            m_leaseManager.onPlacement(record->placement, confirmedAt, bootNow());
        } else if (m_directory->findPlacement(m_service) == nullptr && confirmation) {
            m_leaseManager.onEarlierFences(0);
        }
    }
    if (isNewRecord) {
        logCarriedOver(*record);
    }
    checkAwaitedRecord();
    if (changed) {
        renewGrants();
        releaseUnownedRanges();
    }
}

uint64_t range_controller::currentEpoch() const
{
    return std::max(baseEpoch, m_directory->epoch());
}

const fleet_directory::versioned_placement *range_controller::currentRecord() const
{
    const auto *record = m_directory->findPlacement(m_service);
    return record != nullptr && record->epoch == currentEpoch() ? record : nullptr;
}

void range_controller::onEpochChanged()
{
    const auto *record = m_directory->findPlacement(m_service);
    logRange("epoch", {}, currentEpoch(), "learned",
             absl::StrCat("record-epoch:", record != nullptr ? record->epoch : 0));
}

// Logs which ranges the local upstream goes on with, waits for or reclaims in a new epoch.
void range_controller::logCarriedOver(const fleet_directory::versioned_placement &record) const
{
    if (!m_upstream || record.epoch == baseEpoch) {
        return;
    }
    uint32_t grantedKeys = 0;
    uint32_t reclaimableKeys = 0;
    {
        const std::lock_guard lock(m_mutex);
        const boot_time now = bootNow();
        for (const range_grant &grant : m_leaseManager.dueGrants(now)) {
            grantedKeys += grant.keys.count();
        }
        for (const key_interval &keys : m_leaseManager.reclaimableKeys(now)) {
            reclaimableKeys += keys.count();
        }
    }
    const uint32_t recordedKeys = ownedKeys(record.placement, *m_upstream);
    logRange("epoch", {}, record.epoch, "record-taken",
             absl::StrCat("recorded:", recordedKeys, ",continued:", grantedKeys,
                          ",reclaimed:", reclaimableKeys));
}

void range_controller::setUpstream(const std::optional<upstream_id> &upstream,
                                   const std::string &address, bool isDraining,
                                   std::string_view moveReason)
{
    const bool isReplaced = upstream != m_upstream;
    m_upstream = upstream;
    m_address = address;
    m_isDraining = isDraining;
    m_moveReason = moveReason;
    if (isReplaced) {
        m_grantWorker->enqueue([this] { m_grantConnection.close(); });
    }
    const std::lock_guard lock(m_mutex);
    if (isReplaced) {
        m_heartbeats.onUpstreamReplaced();
    }
    m_leaseManager.setUpstream(upstream);
}

void range_controller::setPeers(peer_view peers)
{
    m_peers = std::move(peers);
}

void range_controller::setLocalQueue(const queue_report &queue)
{
    m_queue = queue;
    const double utilization =
        static_cast<double>(queue.running + queue.waiting) / std::max(queue.limit, 1);
    m_utilization += (utilization - m_utilization) * utilizationSmoothingWeight;
    m_meanSlotTime.update(queue.meanServiceTime, queue.limit);
    m_trafficOnset.update(queue.running + queue.waiting > 0, std::chrono::steady_clock::now());
}

key_state range_controller::stateOf(shard_key key)
{
    const std::lock_guard lock(m_mutex);
    if (m_leaseManager.canServe(key, bootNow())) {
        return key_state::Served;
    }
    const key_state state = unservedState(key);
    m_unserved.moving += state == key_state::Moving ? 1 : 0;
    m_unserved.notRecorded += state == key_state::NotRecorded ? 1 : 0;
    m_unserved.notGranted += state == key_state::NotGranted ? 1 : 0;
    return state;
}

key_state range_controller::peekState(shard_key key) const
{
    const std::lock_guard lock(m_mutex);
    return m_leaseManager.canServe(key, bootNow()) ? key_state::Served : unservedState(key);
}

key_state range_controller::unservedState(shard_key key) const
{
    const auto &moving = m_leaseManager.moving();
    const auto &ranges = m_leaseManager.placement().ranges;
    const auto hasKey = [key](key_interval keys) { return keys.contains(key); };
    if (std::any_of(moving.begin(), moving.end(), hasKey)) {
        return key_state::Moving;
    }
    const bool isOwn = std::any_of(ranges.begin(), ranges.end(), [&](const owned_range &range) {
        return range.keys.contains(key) && m_leaseManager.isOwn(range);
    });
    return isOwn ? key_state::NotGranted : key_state::NotRecorded;
}

void range_controller::logUnserved(steady_time now)
{
    if (now - m_unservedLoggedAt < unservedLogInterval) {
        return;
    }
    m_unservedLoggedAt = now;
    unserved_counts counts;
    {
        const std::lock_guard lock(m_mutex);
        counts = std::exchange(m_unserved, {});
    }
    if (counts.moving + counts.notRecorded + counts.notGranted > 0) {
        m_log.write(log_level::Info,
                    absl::StrCat("keys not-served service=", m_service, " moving=", counts.moving,
                                 " not_recorded=", counts.notRecorded,
                                 " not_granted=", counts.notGranted));
    }
}

bool range_controller::ownsNoKeys() const
{
    const auto *record = currentRecord();
    return !m_upstream || record == nullptr || ownedKeys(record->placement, *m_upstream) == 0;
}

std::vector<key_interval> range_controller::ownIntervals() const
{
    std::vector<key_interval> own;
    const auto *record = currentRecord();
    if (record != nullptr && m_upstream) {
        for (const owned_range &range : record->placement.ranges) {
            if (range.owner == *m_upstream
                && (range.takeoverDelay.count() == 0 || range.isCarriedOver())) {
                own.push_back(range.keys);
            }
        }
    }
    return own;
}

void range_controller::tick(steady_time now)
{
    logUnserved(now);
    checkHeartbeatRelease();
    if (!m_upstream) {
        // Another daemon, or the upstream's next incarnation, acts for the keys that the upstream
        // owned.
        if (m_isChangeOpen) {
            retryUnconfirmedMove(now);
        }
        proposePlacementChange();
        return;
    }
    m_rates.update(now);
    retryUnconfirmedMove(now);
    renewGrants();
    releaseUnownedRanges();
    confirmPlacement();
    proposePlacementChange();
    considerMove(now);
}

void range_controller::renewGrants()
{
    if (m_areGrantsPending || !m_upstream) {
        return;
    }
    std::vector<range_grant> due;
    {
        const std::lock_guard lock(m_mutex);
        if (m_heartbeats.isActive()) {
            return;
        }
        due = m_leaseManager.dueGrants(bootNow());
    }
    for (const range_grant &grant : due) {
        sendGrant(grant, m_timing.holdTime);
    }
    if (!due.empty()) {
        m_areGrantsPending = true;
        m_grantWorker->enqueue(
            [this] { m_loop.post([this](steady_time) { m_areGrantsPending = false; }); });
    }
}

void range_controller::sendGrant(const range_grant &grant, milliseconds holdTime)
{
    m_grantWorker->enqueue([this, grant, holdTime, address = m_address, id = *m_upstream] {
        const auto canSend = [&](boot_time now) {
            const std::lock_guard lock(m_mutex);
            return m_leaseManager.canSend(grant, now);
        };
        const grant_connection::attempt attempt =
            m_grantConnection.send(address, grant, holdTime, canSend);
        if (absl::IsCancelled(attempt.status)) {
            return;
        }
        recordGrantAttempt(attempt, holdTime);
        m_loop.post([this, attempt, id](steady_time) {
            logGrantAttempt(attempt);
            if (absl::IsFailedPrecondition(attempt.status)) {
                m_hooks.onConnectionRefused(id);
            }
        });
    });
}

// Must be called on the grant worker.
void range_controller::recordGrantAttempt(const grant_connection::attempt &attempt,
                                          milliseconds holdTime)
{
    const std::lock_guard lock(m_mutex);
    switch (attempt.status.code()) {
    case absl::StatusCode::kOk:
        m_leaseManager.onGranted(attempt.grant, attempt.sentAt);
        break;
    case absl::StatusCode::kAborted:
        m_leaseManager.onGrantRejected(attempt.grant);
        break;
    case absl::StatusCode::kResourceExhausted:
        m_leaseManager.requireNewFences();
        m_grantConnection.restartNumbers();
        break;
    case absl::StatusCode::kUnavailable:
    case absl::StatusCode::kFailedPrecondition:
        break;
    default:
        m_leaseManager.onGrantUnconfirmed(attempt.grant, holdTime, attempt.sentAt);
    }
}

void range_controller::logGrantAttempt(const grant_connection::attempt &attempt) const
{
    const range_grant &grant = attempt.grant;
    if (!attempt.status.ok()) {
        logRange("grant", grant.keys, grant.fence, "failed", attempt.status.ToString());
    } else if (m_log.isEnabled(log_level::Debug)) {
        logRange("grant", grant.keys, grant.fence, "granted",
                 absl::StrCat("connection:", grant.connection));
    }
}

void range_controller::extendGrants(milliseconds maxHold)
{
    std::vector<range_grant> held;
    milliseconds holdTime{0};
    {
        const std::lock_guard lock(m_mutex);
        m_extendedHold = maxHold;
        if (m_heartbeats.isActive()) {
            return;
        }
        held = m_leaseManager.grantsWithin({});
        holdTime = currentHoldTime();
    }
    for (const range_grant &grant : held) {
        sendGrant(grant, holdTime);
    }
}

milliseconds range_controller::currentHoldTime() const
{
    return std::max(m_timing.holdTime,
                    std::min(m_extendedHold, m_leaseManager.maxSafeHold(bootNow())));
}

std::optional<holdings> range_controller::onHeartbeat(const holdings_report &report,
                                                      boot_time receivedAt)
{
    std::optional<holdings> response;
    {
        const std::lock_guard lock(m_mutex);
        response = m_heartbeats.onHeartbeat(report, currentHoldTime(), receivedAt);
    }
    checkHeartbeatRelease();
    return response;
}

void range_controller::releaseUnownedRanges()
{
    if (m_isMoving || !m_upstream) {
        return;
    }
    std::vector<range_grant> due;
    {
        const std::lock_guard lock(m_mutex);
        if (m_heartbeats.isActive()) {
            return;
        }
        due = m_leaseManager.dueReleases(bootNow());
        for (const range_grant &grant : due) {
            // The keys are no longer served from here, whether or not the release succeeds.
            m_leaseManager.onReleased(grant.keys, grant.fence);
        }
    }
    for (const range_grant &grant : due) {
        logRange("release", grant.keys, grant.fence, "sent", "recorded for another owner");
        enqueueReleaseAfterGrants([this, grant, address = m_address] {
            const auto handover = m_grants.release(
                address, grant.keys, fenceOnConnection(grant.fence, grant.connection));
            if (!handover.ok()) {
                m_log.write(log_level::Warn,
                            absl::StrCat("release failed: ", handover.status().ToString()));
            }
        });
    }
}

// Runs `release` on the release worker after the grants that were enqueued before have been sent
// and the upstream has responded to them.
void range_controller::enqueueReleaseAfterGrants(std::function<void()> release)
{
    m_grantWorker->enqueue([this, release = std::move(release)]() mutable {
        m_releaseWorker->enqueue(std::move(release));
    });
}

void range_controller::confirmPlacement()
{
    const boot_time now = bootNow();
    if (m_isConfirmationPending || now - m_confirmationSentAt < confirmRetryInterval) {
        return;
    }
    bool isFirstReadDue = false;
    {
        const std::lock_guard lock(m_mutex);
        isFirstReadDue = currentRecord() != nullptr && m_leaseManager.isFirstReadDue(now);
    }
    if (!isFirstReadDue && (now - m_confirmedAt < maxRelayedAge || ownsNoKeys())) {
        return;
    }
    m_isConfirmationPending = true;
    m_confirmationSentAt = now;
    m_storeWorker->enqueue([this, epoch = currentEpoch()] {
        const boot_time sentAt = bootNow();
        auto object = m_store.get(placementKey(m_service, epoch));
        m_loop.post([this, sentAt, object = std::move(object)](steady_time) {
            m_isConfirmationPending = false;
            if (!object.ok()) {
                return;
            }
            m_hooks.onObject(*object);
            confirmLease(*object, sentAt);
        });
    });
}

void range_controller::confirmLease(const stored_object &object, boot_time confirmedAt)
{
    const auto *record = currentRecord();
    if (record != nullptr && record->version == object.version) {
        m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
        const std::lock_guard lock(m_mutex);
        if (m_leaseManager.isFirstReadDue(confirmedAt)) {
            m_leaseManager.onPlacement(record->placement, confirmedAt, bootNow());
        }
        m_leaseManager.onConfirmed(confirmedAt);
    }
}

fleet_directory::versioned_placement range_controller::knownRecord() const
{
    const auto *record = currentRecord();
    return record != nullptr
        ? *record
        : fleet_directory::versioned_placement{emptyPlacement(m_service), 0, currentEpoch()};
}

void range_controller::updateRecord(placement_change change, std::string_view reason,
                                    milliseconds timeLimit,
                                    std::function<void(const placement_update_result &result)> done,
                                    change_submitter submit)
{
    enqueueUpdate({std::move(change), reason, bootNow() + timeLimit}, std::move(done),
                  std::move(submit));
}

// Many owners propose changes at the same moment, such as the activation of the ranges of a lost
// owner, and all but one of their writes for a version of the record are rejected. If
// each owner read the record and tried again at once, the calls would double. If the watch does not
// show a newer record, the owner reads it at the next try.
void range_controller::updateRecordOnce(placement_change change, std::string_view reason)
{
    const uint64_t version = knownRecord().version;
    placement_update update{std::move(change), reason, bootNow() + updateTimeout};
    update.endsAtConflict = usesPlacementWriter() && version != 0 && version != m_rejectedVersion;
    enqueueUpdate(std::move(update),
                  [this, version](const placement_update_result &result) {
                      if (result.result == write_result::Superseded && !result.object) {
                          m_rejectedVersion = version;
                          m_nextWriteAt = std::chrono::steady_clock::now()
                              + delayAfterConflict(m_peers.live.size(), std::random_device()());
                      }
                  },
                  {});
}

void range_controller::enqueueUpdate(
    placement_update update, std::function<void(const placement_update_result &result)> done,
    change_submitter submit)
{
    m_isWritePending = true;
    m_storeWorker->enqueue([this, base = knownRecord(), update = std::move(update),
                            done = std::move(done), submit = std::move(submit)] {
        const placement_update_hooks hooks{
            bootNow, [](milliseconds time) { std::this_thread::sleep_for(time); },
            [this] { return m_random(); }};
        const placement_update_result result = submit
            ? updateThroughWriter(m_store, m_service, base, update, submit, hooks)
            : updatePlacement(m_store, m_service, base, update, hooks);
        m_loop.post([this, result, reason = update.reason, done](steady_time now) {
            m_isWritePending = false;
            logRange("place", {}, result.fence, toString(result.result),
                     absl::StrCat(toAbsl(reason), ",conflicts:", result.conflicts, ",",
                                  result.status.ToString()));
            if (result.result != write_result::Written && result.result != write_result::Unneeded) {
                m_nextWriteAt = now + writeRetryDelay;
            }
            if (result.object) {
                m_hooks.onObject(*result.object);
                confirmLease(*result.object, result.confirmedAt);
            }
            done(result);
        });
    });
}

void range_controller::proposePlacementChange()
{
    const steady_time now = std::chrono::steady_clock::now();
    if (m_isWritePending || m_isMoving || now < m_nextWriteAt) {
        return;
    }
    if (m_peers.live.size() != m_lastMemberCount) {
        m_lastMemberCount = m_peers.live.size();
        m_membersStableSince = now;
    }
    const proposal_input input = proposalInput(now);
    std::optional<placement_proposal> proposal;
    {
        const std::lock_guard lock(m_mutex);
        proposal = proposeChange(input, m_leaseManager, bootNow());
    }
    if (proposal) {
        updateRecordOnce(std::move(proposal->change), proposal->reason);
    }
}

proposal_input range_controller::proposalInput(steady_time now) const
{
    const auto *record = m_directory->findPlacement(m_service);
    proposal_input input;
    input.service = m_service;
    input.epoch = currentEpoch();
    if (record != nullptr) {
        input.record = &record->placement;
        input.recordEpoch = record->epoch;
    }
    input.upstream = m_upstream;
    input.isDraining = m_isDraining;
    input.isCoordinator = m_peers.isCoordinator;
    input.areMembersStable =
        m_membersStableSince && now - *m_membersStableSince >= initialAssignmentDelay;
    input.live = m_peers.live;
    // The view of the peers may be older than the directory.
    std::erase_if(input.live,
                  [this](const range_candidate &candidate) { return isEvacuated(candidate.id); });
    input.unreachable = m_peers.unreachable;
    input.isTerminated = [directory = m_directory](const upstream_id &id) {
        return hasEnded(*directory, id);
    };
    input.successorOf = [directory = m_directory](const upstream_id &id) {
        return successorOf(*directory, id);
    };
    input.takeoverDelay = m_timing.takeoverDelay();
    return input;
}

} // namespace persimmonrail
