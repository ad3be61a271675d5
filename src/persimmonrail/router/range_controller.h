#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/keyspace/range_lease_manager.h"
#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/proxy/upstream_picker.h"
#include "persimmonrail/router/key_rates.h"
#include "persimmonrail/router/placement_write.h"
#include "persimmonrail/router/range_release.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// Time since boot, which counts suspended time too.
boot_time bootNow();

// Keeps the key ranges of the upstream on this host: grants, renewals, releases and changes of the
// recorded owners. Runs on the control thread, except for mayServe() and countKey(), which are
// thread safe. Calls that block run on workers.
class range_controller
{
public:
    struct hooks
    {
        // Applies an object that was written or read to the directory.
        std::function<void(const stored_object &object)> onObject;
    };
    // The references must outlive the keeper.
    range_controller(std::string service, range_lease_timing timing, object_api store,
                     grant_api grants, control_loop &loop, decision_log &log, hooks hooks);
    ~range_controller();

    // `confirmedAt`: when the store certainly held this.
    void onDirectory(const std::shared_ptr<const fleet_directory> &directory,
                     boot_time confirmedAt);
    void setUpstream(const std::optional<upstream_id> &upstream, const std::string &address,
                     bool isDraining);
    // Upstreams of the service that certainly hold no key any more, or can't be reached.
    struct peers
    {
        std::vector<range_candidate> live;
        std::vector<owner_load> loads;
        std::vector<upstream_id> unreachable;
        // Whether this daemon is the first of the live ones, which acts for lost owners.
        bool isCoordinator = false;
    };
    void setPeers(peers peers);
    // The queue in front of the upstream.
    void setOwnQueue(const queue_report &queue);

    // Acts on what is due; to be called about every 100 ms.
    void tick(steady_time now);

    bool mayServe(shard_key key) const;
    void countKey(shard_key key) { m_rates.count(key); }
    bool isIdle() const { return !m_moving; }
    // Whether the upstream holds no key and is recorded for none.
    bool ownsNothing() const;
    // Whether the recorded ranges of the upstream are all in force.
    bool holdsAll() const;
    // Renews all grants for as long as is safe, at most `maxHold`, so that the keys stay held over
    // a restart of the daemon.
    void extendHolds(milliseconds maxHold);

private:
    void renewGrants();
    void sendGrant(const range_grant &grant, milliseconds holdTime);
    void releaseSurplus();
    void afterGrants(std::function<void()> release);
    void considerRecord();
    void considerMove(steady_time now);
    void startMove(std::vector<planned_move> moves, std::string_view reason);
    // `tries`: writes that may follow if other writers change the record in between.
    void finishMove(const std::vector<released_range> &moved, int tries);
    void endMove();
    owner_load ownLoad() const;
    void write(placement_write change, std::function<void(write_result result)> done);
    void onMoveWritten(const std::vector<released_range> &moved, int tries, write_result result);
    void retryUnconfirmedMove(steady_time now);
    void confirm();
    std::vector<key_interval> ownIntervals() const;
    bool isTerminated(const upstream_id &id) const;
    void logRange(std::string_view kind, key_interval keys, uint64_t fence,
                  std::string_view outcome, std::string_view reason) const;

    const std::string m_service;
    const range_lease_timing m_timing;
    const object_api m_store;
    const grant_api m_grants;
    control_loop &m_loop;
    decision_log &m_log;
    const hooks m_hooks;
    // Guards m_leaseManager, which traffic threads ask.
    mutable std::mutex m_mutex;
    range_lease_manager m_leaseManager;
    key_rates m_rates;
    std::shared_ptr<const fleet_directory> m_directory = std::make_shared<fleet_directory>();
    std::optional<upstream_id> m_upstream;
    std::string m_address;
    bool m_isDraining = false;
    peers m_peers;
    queue_report m_queue;
    // Requests that run or wait per slot, smoothed.
    double m_inUse = 0;
    bool m_writePending = false;
    bool m_moving = false;
    bool m_confirmPending = false;
    bool m_grantsPending = false;
    boot_time m_confirmedAt{};
    boot_time m_confirmSentAt{};
    steady_time m_nextWriteAt{};
    // When the last move ended.
    steady_time m_movedAt{};
    std::optional<steady_time> m_membersStableSince;
    size_t m_membersSeen = 0;
    // Released ranges whose record may or may not be written.
    struct unconfirmed_move
    {
        std::vector<released_range> moved;
        steady_time until;
    };
    std::optional<unconfirmed_move> m_unconfirmedMove;
    // Declared last: their threads use the members above until they have ended.
    std::unique_ptr<background_worker> m_releaseWorker;
    std::unique_ptr<background_worker> m_grantWorker;
    std::unique_ptr<background_worker> m_storeWorker;
};

} // namespace persimmonrail
