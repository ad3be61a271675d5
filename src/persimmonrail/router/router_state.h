#pragma once

#include "persimmonrail/feed/relayed_watch.h"
#include "persimmonrail/fleet/local_upstream.h"
#include "persimmonrail/fleet/zone_evacuation.h"
#include "persimmonrail/proxy/request_proxy.h"
#include "persimmonrail/router/cold_watch.h"
#include "persimmonrail/router/explain_endpoint.h"
#include "persimmonrail/router/member_publisher.h"
#include "persimmonrail/router/object_watcher.h"
#include "persimmonrail/router/peer_monitor.h"
#include "persimmonrail/router/placement_writer.h"
#include "persimmonrail/router/placement_writer_client.h"
#include "persimmonrail/router/quarantine_publisher.h"
#include "persimmonrail/router/range_controller.h"
#include "persimmonrail/router/router.h"
#include "persimmonrail/router/store_proxy.h"
#include "persimmonrail/router/zone_load_monitor.h"

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace persimmonrail {

// The components of one router daemon and the hooks between them. Control state is used only on the
// control thread; data that traffic threads read is published under m_mutex.
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
    // Returns the options with which requests of one caller run side by side.
    http_server_options pipelineOptions();
    void addGauges();
    // The watchers are created before the control thread starts, and started after it.
    void createWatchers();
    void startWatchers();
    // Returns the options for objects that every daemon reads from the store itself.
    object_watcher_options followedObjectOptions() const;
    object_watcher::hooks makeDesiredStateHooks();
    object_watcher::hooks makeFleetHooks();
    // Tells the watchers of such objects what a response of the store shows of them.
    void reportStoreProgress(const object_list &fleetChanges);
    // Takes what a relay knows of objects that this daemon reads from the store itself.
    void onNotice(const change_notice &notice, boot_time sentAt);
    // Calls `visit` with the name and the watcher of each kind of such objects.
    void visitFollowedObjects(
        const std::function<void(std::string_view name, object_watcher &watcher)> &visit);
    store_proxy_hooks makeStoreProxyHooks();
    relayed_watch_hooks makeWatchHooks();
    // Returns the peer addresses of the relays that this daemon follows; empty if the daemon
    // follows the store itself.
    std::vector<std::string> relayAddresses() const;
    void applyObject(const stored_object &object);
    void schedulePeriodicTasks();

    // Store.
    void onDesiredState(const object_list &objects);
    void logRoutes(const route_table &routes);
    void onFleetObjects(const object_list &objects, bool isFullList, boot_time sentAt);
    void publishDirectory(const std::optional<store_confirmation> &confirmation);
    void onStoreReachabilityChange(std::string_view watchName, bool isReachable,
                                   const absl::Status &status);

    // Evacuation of zones.
    bool usesEvacuation() const;
    void createEvacuationWatcher(const object_watcher_options &options);
    void onEvacuations(const object_list &objects, bool isFullList);
    // Makes the directory, the range controller and the log follow the evacuations.
    void showEvacuations(steady_time receivedAt);
    // Logs the evacuations that begin or end for zones that are known now.
    void reportEvacuations(steady_time now);
    void logEvacuation(const zone_change &change);
    // Must be called with m_mutex held.
    zone_set knownZones() const;
    // Tells the range controller which upstream is there and whether its keys are to move.
    void updateKeyOwner();
    // Logs once that the keys of the local upstream have left its evacuated zone.
    void logKeysLeft(steady_time now);
    // Rejects what must not be sent to an upstream in an evacuated zone. Must be called with
    // m_mutex held.
    void restrictToAdmission(local_upstream_state &target, steady_time now) const;

    // Upstream.
    // What became of a message from the local upstream.
    enum class report_effect {
        // It names no known incarnation.
        NotApplied,
        // It is of another incarnation than the present one, or older than its newest message.
        Late,
        Current,
    };
    // Reads a report. If it is malformed or of another upstream, rejects it and returns nullopt.
    std::optional<upstream_message> readReport(server_exchange &exchange);
    void serveReport(server_exchange &exchange);
    // Applies a message, and completes the id of a departure.
    report_effect applyReport(upstream_message &message, steady_time arrivedAt, steady_time now);
    // Returns the keys that the response to a heartbeat grants.
    std::optional<holdings> takeHoldings(const upstream_message &message, report_effect effect,
                                         boot_time receivedAt);
    // Returns whether the message is about the upstream that the settings name. A departure names
    // only an id, which is compared with that of the present incarnation.
    bool isFromLocalUpstream(const upstream_message &message) const;
    // Completes the id of a departure that states no start time. Returns false if it names an
    // incarnation that is unknown.
    bool resolveDeparture(upstream_id &id) const;
    // Waits until the fleet knows that the incarnation shuts down, so that also a daemon that is
    // started later does. Returns false if that takes longer than a confirmation may.
    bool awaitShutdownEntry(const upstream_id &id);
    // Takes what the directory says about an upstream beside this daemon.
    void takeMemberEntry(const std::string &upstream, steady_time now);
    // Publishes an announced shutdown at once, since its sender waits.
    void publishShutdown(steady_time now);
    // Returns whether the message is from the present incarnation and newer than the ones before.
    bool onUpstreamMessage(const upstream_message &message, steady_time now);
    std::string encodeWithinBound(std::optional<holdings> holdings);
    // Returns whether the directory shows that this incarnation beside this daemon has ended.
    bool isKnownToHaveEnded(const upstream_id &id) const;
    // Forgets the local upstream if the directory shows that it has ended.
    void forgetSupersededUpstream();
    void onUpstreamChanged(std::string_view cause, steady_time now);
    // Handles a refused connection to the address of this incarnation of the local upstream.
    void onConnectionRefused(const upstream_id &id);
    // Handles the end of an incarnation of the local upstream that had not announced it.
    void onUpstreamCrash(const upstream_id &id, steady_time now);
    // Writes new evidence about crashing requests to the store, if there is any.
    void publishQuarantine(steady_time now);
    // Gives the dispatcher its share of the retry budget of the local service.
    void shareResendBudget(const fleet_directory &directory, steady_time now);
    // Publishes the local upstream and the ends of earlier ones, once their keys are released.
    void publishMembers(const fleet_directory &directory, steady_time now);
    // Returns the incarnations of the local upstream that have ended and are not published so.
    std::vector<upstream_id> endedIncarnations(const fleet_directory &directory) const;
    void publishEndedMembers(const fleet_directory &directory);
    void expireUpstreamReports(steady_time now);
    upstream_member ownMember() const;
    local_upstream_state localUpstreamState() const;
    void pollPeers(steady_time now);
    void markUnreachable(const fleet_directory &directory,
                         const std::vector<upstream_id> &unreachable, steady_time now);

    // Ports.
    void serveReady(server_exchange &exchange);
    // Serves metrics and explanations.
    void serveMetrics(server_exchange &exchange);
    explain_hooks makeExplainHooks();
    std::string renderStatuses() const;
    void servePeer(server_exchange &exchange);
    // Takes the present members and statuses of the local service into the monitor of its zones.
    void updateZoneLoads(const fleet_directory &directory, steady_time now);
    bool isReady() const;
    request_proxy_hooks makeProxyHooks();
    upstream_dispatcher_hooks makeDispatcherHooks();
    void logEvent(std::string_view event, std::string_view detail);
    // Logs the requests for keys that were not served in time, by cause and owner.
    void logLosses(steady_time now);
    // Counts and logs a batch of placement changes that this daemon wrote for owners.
    void onPlacementBatch(size_t changes, const placement_update_result &result);
    // Returns the platform with a store whose calls are counted. The store may be called only after
    // the construction, since m_metrics is constructed later.
    router_platform withCountedStore(router_platform platform);
    placement_writer_hooks makePlacementWriterHooks();
    placement_writer_client_hooks makeWriterClientHooks();
    range_controller::hooks makeRangeHooks();
    // Creates the placement writer and its client, if the settings switch them on.
    void addPlacementWriter();
    void servePlacementChanges(server_exchange &exchange);
    // Records how late the control thread ran a task that is due at fixed intervals.
    void recordLag(steady_time now);

    const router_settings m_settings;
    const router_platform m_platform;
    // The platform's store, reached directly or through a peer.
    const object_api m_store;
    decision_log m_log;
    metrics m_metrics;
    control_loop m_loop;
    std::atomic<bool> m_isStopping{false};
    // Time by which all requests must have got a response; the maximum while not stopping.
    std::atomic<steady_time> m_shutdownDeadline{steady_time::max()};
    // Requests that were in flight when an upstream crashed.
    crash_quarantine m_quarantine;
    // What is known of the local service in each zone; null without zone-crossing-cost.
    std::unique_ptr<zone_load_monitor> m_zoneLoads;
    // The fleet's objects, for daemons that follow this daemon.
    change_feed m_feed;
    // Set during the shutdown, when the daemon stops dispatching requests to its upstream and
    // accepting requests from callers.
    std::atomic<bool> m_isDispatchClosed{false};

    // Revision of the fleet's objects, used only by the hooks of m_fleetWatcher.
    uint64_t m_fleetRevision = 0;

    // Control state, used only on the control thread.
    fleet_directory_builder m_builder;
    // The evacuated zones that m_builder shows.
    zone_set m_shownEvacuations;
    // When the evacuation of the own zone was seen, until its upstream's keys have moved.
    std::optional<steady_time> m_keysLeaveSince;
    local_upstream m_upstream;
    // When each unreachable peer was last marked, by upstream name.
    std::map<std::string, steady_time> m_unreachableMarkedAt;
    steady_time m_lastRangeTickAt{};
    // Longest lag of the control thread since the last log line.
    milliseconds m_longestLag{0};

    // Published for traffic threads, guarded by m_mutex.
    mutable std::mutex m_mutex;
    std::shared_ptr<const route_table> m_routes;
    std::shared_ptr<const fleet_directory> m_directory;
    // Notified when m_directory changes.
    std::condition_variable m_directoryChanged;
    bool m_isDirectoryListed = false;
    // When m_routes was received, when the store or a relay last confirmed m_directory, and when
    // the evacuations were last received.
    std::optional<steady_time> m_routesReceivedAt;
    std::optional<steady_time> m_directoryConfirmedAt;
    std::optional<steady_time> m_evacuationsReceivedAt;
    local_upstream_state m_target;
    zone_evacuation m_evacuation;
    // Evacuation of the own zone.
    evacuation_state m_ownEvacuation;
    // Statuses of the peers as of m_peerStatusesAt, to be forwarded to the peers.
    std::vector<forwarded_status> m_peerStatuses;
    steady_time m_peerStatusesAt{};
    // When a draining upstream stops receiving requests, also those for keys that it holds.
    steady_time m_drainEnd{};

    // Null unless the settings switch the placement writer on.
    std::unique_ptr<http_client> m_writerHttpClient;
    std::unique_ptr<placement_writer_client> m_writerClient;
    std::unique_ptr<placement_writer> m_placementWriter;
    std::unique_ptr<range_controller> m_ranges;
    std::unique_ptr<member_publisher> m_publisher;
    std::unique_ptr<quarantine_publisher> m_quarantinePublisher;
    std::unique_ptr<peer_monitor> m_peers;
    std::unique_ptr<upstream_dispatcher> m_dispatcher;
    std::unique_ptr<cold_watch> m_coldWatch;
    std::unique_ptr<request_proxy> m_proxy;
    explain_endpoint m_explainEndpoint;
    std::unique_ptr<object_watcher> m_desiredStateWatcher;
    std::unique_ptr<object_watcher> m_fleetWatcher;
    // Null if zones are not evacuated on this platform.
    std::unique_ptr<object_watcher> m_evacuationWatcher;
    std::unique_ptr<http_server> m_callerServer;
    std::unique_ptr<http_server> m_peerServer;
    std::unique_ptr<http_server> m_readyServer;
    std::unique_ptr<http_server> m_reportServer;
    std::unique_ptr<http_server> m_metricsServer;
};

} // namespace persimmonrail
