#pragma once

#include "persimmonrail/feed/relayed_watch.h"
#include "persimmonrail/fleet/local_upstream.h"
#include "persimmonrail/proxy/request_proxy.h"
#include "persimmonrail/router/member_publisher.h"
#include "persimmonrail/router/object_watcher.h"
#include "persimmonrail/router/peer_monitor.h"
#include "persimmonrail/router/range_controller.h"
#include "persimmonrail/router/router.h"
#include "persimmonrail/router/store_proxy.h"

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace persimmonrail {

// The parts of one router daemon and the hooks between them. Control state belongs to the control
// thread; what traffic threads read is published under m_mutex.
class router::state
{
public:
    state(const router_settings &settings, router_platform platform);
    state(const state &) = delete;
    state &operator=(const state &) = delete;
    ~state();

    absl::Status start();
    void reload(const router_settings &settings);
    void stop();

private:
    absl::Status listen();
    void addGauges();
    void startWatchers();
    store_proxy_hooks makeStoreProxyHooks();
    relayed_watch_hooks makeWatchHooks();
    // Daemons that this one follows; empty if it follows the store itself.
    std::vector<std::string> relays() const;
    void applyObject(const stored_object &object);
    void schedulePeriodicTasks();

    // Store.
    void onDesiredState(const object_list &objects);
    void logRoutes(const route_table &routes);
    void onFleetObjects(const object_list &objects, bool isWhole, steady_time readAt);
    void publishDirectory(boot_time confirmedAt);
    void onReachable(std::string_view what, bool isReachable, const absl::Status &status);

    // Upstream.
    void serveReport(server_exchange &exchange);
    void onUpstreamMessage(const upstream_message &message, steady_time now);
    void onUpstreamChanged(std::string_view cause, steady_time now);
    void publishEarlierIncarnations(const fleet_directory &directory);
    void checkUpstream(steady_time now);
    upstream_member ownMember() const;
    local_target localTarget() const;
    void pollPeers(steady_time now);
    void markUnreachable(const fleet_directory &directory,
                         const std::vector<upstream_id> &unreachable, steady_time now);

    // Ports.
    void serveReady(server_exchange &exchange);
    std::string renderStatuses() const;
    void servePeer(server_exchange &exchange);
    bool isReady() const;
    request_proxy_hooks makeProxyHooks();
    upstream_dispatcher_hooks makeDispatcherHooks();
    void logEvent(std::string_view event, std::string_view detail);

    const router_settings m_settings;
    const router_platform m_platform;
    // The platform's store, directly or through a peer.
    const object_api m_store;
    decision_log m_log;
    metrics m_metrics;
    control_loop m_loop;
    std::atomic<bool> m_stopping{false};
    // The fleet's objects, for daemons that follow this one.
    change_feed m_feed;
    // Set once the daemon hands nothing more to its upstream.
    std::atomic<bool> m_closed{false};

    // Control state.
    fleet_directory_builder m_builder;
    local_upstream m_upstream;
    // When each unreachable peer was marked, by upstream name.
    std::map<std::string, steady_time> m_marked;

    // Published for traffic threads.
    mutable std::mutex m_mutex;
    std::shared_ptr<const route_table> m_routes;
    std::shared_ptr<const fleet_directory> m_directory;
    bool m_directoryListed = false;
    local_target m_target;
    // What this daemon knew of its peers at that moment, to be passed on to them.
    std::vector<reported_status> m_peerStatuses;
    steady_time m_peerStatusesAt{};
    // When a leaving upstream gets no more work, even for keys that it holds.
    steady_time m_drainEnd{};

    std::unique_ptr<range_controller> m_ranges;
    std::unique_ptr<member_publisher> m_publisher;
    std::unique_ptr<peer_monitor> m_peers;
    std::unique_ptr<upstream_dispatcher> m_dispatcher;
    std::unique_ptr<request_proxy> m_proxy;
    std::unique_ptr<object_watcher> m_desiredStateWatcher;
    std::unique_ptr<object_watcher> m_fleetWatcher;
    std::unique_ptr<http_server> m_callerServer;
    std::unique_ptr<http_server> m_peerServer;
    std::unique_ptr<http_server> m_readyServer;
    std::unique_ptr<http_server> m_reportServer;
    std::unique_ptr<http_server> m_metricsServer;
};

} // namespace persimmonrail
