#pragma once

#include "persimmonrail/admission/rank_admission.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/daemon/control_messenger.h"
#include "persimmonrail/daemon/coordinator_driver.h"
#include "persimmonrail/daemon/daemon.h"
#include "persimmonrail/daemon/grant_pusher.h"
#include "persimmonrail/daemon/instance_directory.h"
#include "persimmonrail/daemon/member_announcer.h"
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

// The parts of one daemon and the hooks between them.
//
// Control state (m_sync, m_engine, m_coordinator, m_announcer) belongs to the control thread once
// the loop has started. Parts are declared in the order in which they depend on each other, so
// that destruction ends the threads of the later ones first.
class daemon::state
{
public:
    explicit state(const daemon_settings &settings);
    state(const state &) = delete;
    state &operator=(const state &) = delete;
    ~state();

    absl::Status start();
    bool stop();

    const caller_server &callers() const { return *m_callers; }
    const peer_server &peers() const { return *m_peers; }
    const admin_server &admin() const { return *m_admin; }

private:
    member_record makeMember() const;
    // Each call returns a source with a state of its own; a source is not thread safe.
    static random_source makeRandom();

    absl::Status createControl();
    void handleControl(const wire::Request &request, const control_messenger::responder &respond,
                       steady_time now);
    void onView(const std::shared_ptr<const fleet_view> &view, steady_time now);
    void onUpstreamState(upstream_state state, const upstream_announcement &announcement);
    ownership_engine makeEngine();
    ownership_hooks makeOwnershipHooks();
    void schedulePeriodicTasks();

    absl::Status startTraffic();
    gateway_hooks makeGatewayHooks();
    admission_source readAdmissionSource() const;
    at_most_once_verdict beginAtMostOnce(std::string_view service, std::string_view idempotencyKey,
                                         const lease_ticket &ticket, steady_time now);
    void endAtMostOnce(std::string_view service, std::string_view idempotencyKey,
                       request_outcome outcome,
                       const std::shared_ptr<const stored_response> &response);
    admin_hooks makeAdminHooks();
    void addGauges();
    std::string notReadyReason() const;
    std::string describeState();
    bool rejectsNewRequests(steady_time now) const;
    bool waitUntil(steady_time deadline, const std::function<bool()> &condition);

    const daemon_settings m_settings;
    const instance_id m_self;
    const steady_time m_started;
    decision_log m_log;
    metrics m_metrics;
    object_api m_api;
    control_loop m_loop;
    serving_table m_serving;
    crash_quarantine m_quarantine;
    upstream_client m_upstreamClient;
    instance_directory m_instances;
    retry_budget m_retries;
    at_most_once_table m_atMostOnce;
    rank_admission m_admission;
    std::atomic<bool> m_stopping{false};
    // When the daemon stops accepting work for the local upstream, in steady clock ticks.
    std::atomic<steady_time::rep> m_noNewWorkAt;
    std::atomic<bool> m_engineDrained{false};
    std::atomic<bool> m_withdrawn{false};
    // Control addresses by instance name; those of deleted members are remembered, since they may
    // still be witnesses.
    std::map<std::string, std::string> m_controlAddresses;

    std::optional<platform_worker> m_platform;
    std::optional<grant_pusher> m_grants;
    std::unique_ptr<control_messenger> m_messenger;
    std::optional<sync_driver> m_sync;
    std::optional<coordinator_driver> m_coordinator;
    std::optional<member_announcer> m_announcer;
    std::optional<ownership_engine> m_engine;
    std::optional<request_router> m_requestRouter;
    std::unique_ptr<peer_server> m_peers;
    std::unique_ptr<caller_server> m_callers;
    std::unique_ptr<admin_server> m_admin;
};

} // namespace persimmonrail
