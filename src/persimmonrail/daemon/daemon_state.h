#pragma once

#include "persimmonrail/admission/rank_admission.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/daemon/control_messenger.h"
#include "persimmonrail/daemon/coordinator_driver.h"
#include "persimmonrail/daemon/daemon.h"
#include "persimmonrail/daemon/grant_pusher.h"
#include "persimmonrail/daemon/instance_directory.h"
#include "persimmonrail/daemon/member_record_publisher.h"
#include "persimmonrail/daemon/platform_worker.h"
#include "persimmonrail/daemon/sync_driver.h"
#include "persimmonrail/gateway/servers.h"
#include "persimmonrail/ownership/ownership_engine.h"
#include "persimmonrail/requests/at_most_once_table.h"
#include "persimmonrail/requests/crash_quarantine.h"
#include "persimmonrail/routing/retry_budget.h"
#include "persimmonrail/telemetry/decision_log.h"
#include "persimmonrail/telemetry/metrics.h"

#include <atomic>
#include <optional>
#include <string>

namespace persimmonrail {

// The components of a daemon and the hooks that connect them.
//
// The control state (m_syncDriver, m_engine, m_coordinatorDriver, m_memberPublisher,
// m_controlAddresses) belongs to the control thread once the loop has started. Each component is
// declared after the components that it uses, so that destruction in reverse order ends its threads
// before it destroys what these threads use.
class daemon::state
{
public:
    explicit state(const daemon_settings &settings);
    state(const state &) = delete;
    state &operator=(const state &) = delete;
    ~state();

    // Creates the components, binds the addresses and starts the control thread. Errors:
    // Unavailable if an address can't be bound.
    absl::Status start();
    // Implements daemon::stop().
    bool stop();

    const caller_server &callerServer() const { return *m_callerServer; }
    const peer_server &peerServer() const { return *m_peerServer; }
    const admin_server &adminServer() const { return *m_adminServer; }

private:
    member_record makeMemberRecord() const;
    // Returns a new random source with its own state. A source is not thread safe.
    static random_source makeRandomSource();

    // Binds the control address and creates the components that run on the control thread.
    absl::Status createControlComponents();
    void handleControlRequest(const wire::Request &request,
                              const control_messenger::responder &respond, steady_time now);
    void onView(const std::shared_ptr<const fleet_view> &view, steady_time now);
    void onUpstreamState(upstream_state state, const upstream_announcement &announcement);
    ownership_engine makeOwnershipEngine();
    ownership_hooks makeOwnershipHooks();
    void schedulePeriodicTasks();

    // Starts the HTTP servers for peers, callers and administration.
    absl::Status startServers();
    gateway_hooks makeGatewayHooks();
    admission_source readAdmissionSource() const;
    at_most_once_verdict beginAtMostOnce(std::string_view service, std::string_view idempotencyKey,
                                         const lease_ticket &ticket, steady_time now);
    void endAtMostOnce(std::string_view service, std::string_view idempotencyKey,
                       request_outcome outcome,
                       const std::shared_ptr<const stored_response> &response);
    admin_hooks makeAdminHooks();
    void addGauges();
    // Returns the reason why the daemon is not ready, or an empty string if it is ready.
    std::string notReadyReason() const;
    // Returns the state of this daemon as a JSON object, for the admin server.
    std::string describeState();
    // Returns whether new requests for the local upstream are rejected, because the daemon is
    // stopping or the upstream has been draining for too long.
    bool rejectsNewWork(steady_time now) const;
    // Polls `condition` until it holds. Returns false if it does not hold by `deadline`.
    bool waitUntil(steady_time deadline, const std::function<bool()> &condition);

    const daemon_settings m_settings;
    const instance_id m_self;
    const steady_time m_startedAt;
    decision_log m_log;
    metrics m_metrics;
    object_api m_platformApi;
    control_loop m_loop;
    serving_table m_servingTable;
    crash_quarantine m_quarantine;
    upstream_client m_upstreamClient;
    instance_directory m_instanceDirectory;
    retry_budget m_retryBudget;
    at_most_once_table m_atMostOnce;
    rank_admission m_admission;
    std::atomic<bool> m_isStopping{false};
    // Time from which the daemon rejects new requests for the local upstream, in steady clock
    // ticks.
    std::atomic<steady_time::rep> m_rejectNewWorkAt;
    std::atomic<bool> m_isEngineDrained{false};
    std::atomic<bool> m_isMemberRecordDeleted{false};
    // Control addresses by instance name. Addresses of deleted members are kept, because such a
    // member may still be a witness.
    std::map<std::string, std::string> m_controlAddresses;

    std::optional<platform_worker> m_platformWorker;
    std::optional<grant_pusher> m_grantPusher;
    std::unique_ptr<control_messenger> m_messenger;
    std::optional<sync_driver> m_syncDriver;
    std::optional<coordinator_driver> m_coordinatorDriver;
    std::optional<member_record_publisher> m_memberPublisher;
    std::optional<ownership_engine> m_engine;
    std::optional<request_router> m_requestRouter;
    std::unique_ptr<peer_server> m_peerServer;
    std::unique_ptr<caller_server> m_callerServer;
    std::unique_ptr<admin_server> m_adminServer;
};

} // namespace persimmonrail
