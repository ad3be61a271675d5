#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/keyspace/heartbeat_grants.h"
#include "persimmonrail/keyspace/key_state.h"
#include "persimmonrail/keyspace/placement_proposal.h"
#include "persimmonrail/keyspace/range_lease_manager.h"
#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/proxy/upstream_picker.h"
#include "persimmonrail/router/grant_connection.h"
#include "persimmonrail/router/key_rates.h"
#include "persimmonrail/router/load_age.h"
#include "persimmonrail/router/overload_moves.h"
#include "persimmonrail/router/placement_update.h"
#include "persimmonrail/router/range_release.h"
#include "persimmonrail/router/submitted_update.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// A moment at which the store certainly held all writes up to a revision, and none after it to the
// objects that the daemon knows.
struct store_confirmation
{
    uint64_t revision = 0;
    boot_time at{};
};

// Controls the key ranges of the local upstream: grants, renewals, releases and changes of the
// recorded owners. All functions must be called on the control thread, except for stateOf(),
// peekState(), canServe() and countKeyRequest(), which are thread safe. Blocking calls run on
// workers.
class range_controller
{
public:
    struct hooks
    {
        // Applies an object that was written or read to the directory.
        std::function<void(const stored_object &object)> onObject;
        // Called when the upstream's address refuses a connection, so its process has ended.
        std::function<void(const upstream_id &id)> onConnectionRefused = {};
        // Passes a change to one of the daemons at the peer addresses, which writes it together
        // with those of other owners. Blocks, and must be thread safe. Empty if each owner writes
        // its changes itself.
        std::function<change_submission(const owner_change &change,
                                        const std::vector<std::string> &writers)>
            submitChange = {};
        // Called on the control thread when a move was written, with whether another daemon wrote
        // it.
        std::function<void(bool isWriterUsed)> onMoveWritten = {};
    };
    // The referenced objects must outlive the controller.
    range_controller(std::string service, range_lease_timing timing, object_api store,
                     grant_api grants, control_loop &loop, decision_log &log, hooks hooks);
    ~range_controller();

    // Applies a new directory. `confirmation` tells when the store certainly held its content, as
    // far as it is no newer than the confirmed revision; nothing if that is unknown.
    void onDirectory(const std::shared_ptr<const fleet_directory> &directory,
                     const std::optional<store_confirmation> &confirmation);
    // Sets the local upstream; nullopt while there is none. The keys of a draining upstream move to
    // others; `moveReason` tells why in the log.
    void setUpstream(const std::optional<upstream_id> &upstream, const std::string &address,
                     bool isDraining, std::string_view moveReason = "leaving");
    // Makes sure that no process at the local upstream's address holds keys that are recorded for
    // `ended`, an incarnation that has ended there: the next one may have taken a grant that was
    // meant for it. Returns true once that is so, and until then releases the keys. Others may be
    // told of the end only afterwards, since they are given the keys at once. Must be called
    // repeatedly until it returns true.
    bool releaseEnded(const upstream_id &ended);
    // What this daemon knows of the upstreams of its service: the live ones that accept keys, with
    // the local one; the loads that peers reported; and the ones that can't be reached.
    struct peer_view
    {
        std::vector<range_candidate> live;
        std::vector<owner_load> loads;
        std::vector<upstream_id> unreachable;
        // Whether this daemon is the first of the reachable ones by id, which reassigns the keys of
        // lost owners.
        bool isCoordinator = false;
        // The upstreams whose daemons may be asked to write changes of the placement, in the order
        // in which they are asked.
        std::vector<upstream_id> writers = {};
    };
    void setPeers(peer_view peers);
    // Sets the current state of the queue in front of the local upstream.
    void setLocalQueue(const queue_report &queue);

    // Performs all actions that are due. Must be called about every 100 ms.
    void tick(steady_time now);

    // Returns whether the local upstream may serve requests for this key now, and counts the
    // request if it may not.
    key_state stateOf(shard_key key);
    // Returns what stateOf() would return, and counts nothing.
    key_state peekState(shard_key key) const;
    bool canServe(shard_key key) { return stateOf(key) == key_state::Served; }
    // Counts one request for this key, for the rates from which moves are chosen.
    void countKeyRequest(shard_key key) { m_rates.count(key); }
    bool isIdle() const { return !m_isMoving; }
    // Whether no key is recorded for the upstream.
    bool ownsNoKeys() const;
    // Handles a heartbeat of the local upstream, which takes its grants with the responses to its
    // heartbeats. Returns what it is to hold, or nothing if its grants stay as they are.
    std::optional<holdings> onHeartbeat(const holdings_report &report, boot_time receivedAt);
    // Renews all grants, from now on, for as long as is safe, at most `maxHold`, so that the
    // upstream keeps the keys during a restart of the daemon.
    void extendGrants(milliseconds maxHold);

private:
    // Longest time for which an update of the record that is not part of a move is tried in one go.
    static constexpr milliseconds updateTimeout{1000};

    void renewGrants();
    void sendGrant(const range_grant &grant, milliseconds holdTime);
    void recordGrantAttempt(const grant_connection::attempt &attempt, milliseconds holdTime);
    void logGrantAttempt(const grant_connection::attempt &attempt) const;
    // Writes new fences for the recorded ranges of an incarnation of the local upstream, unless
    // another daemon has changed the record meanwhile.
    void renewFencesOf(const upstream_id &owner);
    // Supersedes and releases grants at the address, until that has taken effect or the grants have
    // ended at `until`. Must be called on the grant worker.
    void releaseUntil(const std::vector<range_grant> &grants, const std::string &address,
                      boot_time until);
    // Returns whether no earlier grant can take effect any more.
    bool supersedeGrants(const std::vector<range_grant> &grants, const std::string &address);
    void releaseUnownedRanges();
    void enqueueReleaseAfterGrants(std::function<void()> release);
    void proposePlacementChange();
    proposal_input proposalInput(steady_time now) const;
    // Returns the epoch of the store, at least baseEpoch.
    uint64_t currentEpoch() const;
    // Returns the placement record of the current epoch; null if none is known.
    const fleet_directory::versioned_placement *currentRecord() const;
    void onEpochChanged();
    void logCarriedOver(const fleet_directory::versioned_placement &record) const;
    // Renews the lease if the object, which the store contained at `confirmedAt`, is the known
    // record of the current epoch.
    void confirmLease(const stored_object &object, boot_time confirmedAt);
    void considerMove(steady_time now);
    // Returns the live upstreams, with the local one, that are not recorded as leaving.
    std::vector<range_candidate> moveCandidates() const;
    bool isRecordedAsLeaving(const upstream_id &id) const;
    // Returns whether the upstream's zone is evacuated.
    bool isEvacuated(const upstream_id &id) const;
    // Plans the moves of all keys of the local upstream to `others`.
    std::vector<planned_move> planOwnLeave(const key_placement &placement,
                                           const std::vector<range_candidate> &others) const;
    // Returns whether `id` runs beside the daemon of an ended upstream that the placement still
    // names as an owner.
    bool isSuccessorOfOwner(const upstream_id &id, const key_placement &placement) const;
    void startMove(std::vector<planned_move> moves, std::string_view reason);
    void releaseByCalls(const std::vector<planned_move> &moves);
    void checkHeartbeatRelease();
    // Returns the hold time of a grant that is sent now. Must be called with m_mutex held.
    milliseconds currentHoldTime() const;
    void finishMove(const std::vector<released_range> &releasedRanges);
    bool usesPlacementWriter() const { return static_cast<bool>(m_hooks.submitChange); }
    // Returns what passes a change to a writer; empty if the change is to be written here.
    change_submitter makeSubmitter(const owner_change &change) const;
    void onMoveRecorded(const std::vector<released_range> &releasedRanges,
                        const placement_update_result &result);
    // Handles a write of a move whose change another daemon may still write as well.
    void onOpenMoveWritten(const std::vector<released_range> &releasedRanges,
                           const placement_update_result &result);
    // Ends a move that a writer has recorded once the known record shows it.
    void checkAwaitedRecord();
    // Returns the loads of peers from which keys to be moved are chosen.
    std::vector<owner_load> usableLoads() const;
    // `result` tells how the move ended, for the log.
    void endMove(std::string_view result);
    // Returns why a key is not served. Must be called with m_mutex held.
    key_state unservedState(shard_key key) const;
    void logUnserved(steady_time now);
    owner_load ownLoad() const;
    // Changes the record of the current epoch on the store worker, and calls `done` on the control
    // thread. Passes the change to a writer first if `submit` is not empty.
    void updateRecord(placement_change change, std::string_view reason, milliseconds timeLimit,
                      std::function<void(const placement_update_result &result)> done,
                      change_submitter submit = {});
    // The same for a change that is no move. After a conflict it is proposed again, if it is still
    // needed, once the watch of the relay has had time to show the record that won.
    void updateRecordOnce(placement_change change, std::string_view reason);
    void enqueueUpdate(placement_update update,
                       std::function<void(const placement_update_result &result)> done,
                       change_submitter submit);
    void onMoveWritten(const std::vector<released_range> &releasedRanges,
                       const placement_update_result &result);
    fleet_directory::versioned_placement knownRecord() const;
    void retryUnconfirmedMove(steady_time now);
    void confirmPlacement();
    std::vector<key_interval> ownIntervals() const;
    void logRange(std::string_view kind, key_interval keys, uint64_t fence,
                  std::string_view outcome, std::string_view reason) const;

    const std::string m_service;
    const range_lease_timing m_timing;
    const object_api m_store;
    const grant_api m_grants;
    control_loop &m_loop;
    decision_log &m_log;
    const hooks m_hooks;
    // Requests for keys that could not be served, by cause.
    struct unserved_counts
    {
        uint64_t moving = 0;
        uint64_t notRecorded = 0;
        uint64_t notGranted = 0;
    };
    // Guards m_leaseManager, which traffic threads read through canServe(), and m_unserved.
    mutable std::mutex m_mutex;
    range_lease_manager m_leaseManager;
    heartbeat_grants m_heartbeats;
    // Hold time up to which grants are extended; 0 unless the daemon stops.
    milliseconds m_extendedHold{0};
    unserved_counts m_unserved;
    steady_time m_unservedLoggedAt{};
    key_rates m_rates;
    // Used only by the store worker.
    std::mt19937_64 m_random;
    // Used only by the grant worker.
    grant_connection m_grantConnection;
    std::shared_ptr<const fleet_directory> m_directory = std::make_shared<fleet_directory>();
    std::optional<upstream_id> m_upstream;
    std::string m_address;
    bool m_isDraining = false;
    std::string m_moveReason;
    peer_view m_peers;
    queue_report m_queue;
    // Exponentially weighted moving average of running and waiting requests per slot.
    double m_utilization = 0;
    bool m_isWritePending = false;
    // Whether the release or the write of a move is in progress.
    bool m_isMoving = false;
    // The move whose keys the upstream is to release with its heartbeats; empty otherwise.
    std::vector<planned_move> m_heartbeatMoves;
    // Epoch of the store in which the move began.
    uint64_t m_moveEpoch = 0;
    bool m_isConfirmationPending = false;
    bool m_areGrantsPending = false;
    std::atomic<bool> m_isStopping{false};
    // Incarnations that have ended, while releaseEnded() releases their keys, and after that until
    // no key is recorded for them.
    std::set<upstream_id> m_endedReleases;
    std::set<upstream_id> m_releasedEnded;
    boot_time m_confirmedAt{};
    boot_time m_confirmationSentAt{};
    steady_time m_nextWriteAt{};
    // Version of the known record when a write of updateRecordOnce() was last rejected.
    uint64_t m_rejectedVersion = 0;
    // When the current move began. Its keys are served no longer from then on, or from the response
    // to the next heartbeat.
    steady_time m_moveBeganAt{};
    // When the last move was recorded or abandoned.
    steady_time m_lastMoveEndedAt{};
    std::optional<steady_time> m_membersStableSince;
    size_t m_lastMemberCount = 0;
    // Released ranges for which the write of the new owner is unconfirmed; empty if there are none.
    std::vector<released_range> m_unconfirmedMove;
    // Upstream that has released the keys of the current move.
    upstream_id m_moveOwner;
    // Whether another daemon may write the change of the current move, also after other changes of
    // the record. Until a record shows that the change has no effect any more, the keys are not
    // granted again.
    bool m_isChangeOpen = false;
    // Whether the current move was given up while its change is open: its keys get a new fence, and
    // the owner keeps them.
    bool m_isWithdrawing = false;
    // Until when the owner waits to learn of the record with the current move, which a writer has
    // reported; nothing if it does not wait.
    std::optional<steady_time> m_recordAwaitedUntil;
    // When the current move was recorded, as far as this daemon knows.
    std::optional<steady_time> m_moveRecordedAt;
    traffic_onset m_trafficOnset;
    move_history m_moveHistory;
    mean_slot_time m_meanSlotTime;
    // Declared last, because the workers' threads use the members above until the threads have
    // ended.
    std::unique_ptr<background_worker> m_releaseWorker;
    std::unique_ptr<background_worker> m_grantWorker;
    std::unique_ptr<background_worker> m_storeWorker;
};

} // namespace persimmonrail
