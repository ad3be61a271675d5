#include "persimmonrail/router/router_state.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/router/store_call_counter.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>
#include <thread>

namespace persimmonrail {
namespace {

// Allows several lines for each request; a daemon serves at most a few hundred requests a second.
constexpr uint64_t maxLogLinesPerSecond = 500;
constexpr milliseconds rangeTickInterval{100};
constexpr milliseconds upstreamCheckInterval{250};
constexpr milliseconds lossLogInterval{1000};
// Lags of the control thread below this are not logged.
constexpr milliseconds minLoggedLag{200};
// Callers check readiness once a second and notice within two checks that the daemon is stopping.
// Other daemons reuse no connection that has been idle for 2 s, so by then they keep none to this
// daemon.
constexpr milliseconds callerDrainDelay{2200};
// Part of the grace period reserved for the end of the process itself.
constexpr milliseconds exitMargin{700};
constexpr milliseconds stopPollInterval{20};
// Part of the grace period in which a stopping daemon only sends the responses to the requests that
// it has abandoned.
constexpr milliseconds lastResponseTime{200};
// A connection that was accepted just before its port was closed may still bring a request. The
// ports keep such connections open for a quarter of a second.
constexpr milliseconds lastRequestTime{300};
// Longer than the idle timeout that the desired state sets for callers, so that the caller closes
// an idle connection first.
constexpr milliseconds callerIdleTimeout{60000};
// Longer than the time for which other daemons keep idle connections, so that the other daemon
// closes the connection first.
constexpr milliseconds peerIdleTimeout{6000};
// Parts of the shared retry budget: for the daemons that route requests, and for those that send
// them to their upstream again. The rest is a margin.
constexpr double routedShareOfRetries = 0.6;
constexpr double resentShareOfRetries = 0.25;
// Share of the memory of the process for responses that wait for earlier ones on their connection.
constexpr double heldResponseShare = 1.0 / 16;
// Share of the memory of the process for request bodies and unread responses.
constexpr double bodyShare = 1.0 / 8;
// Bytes of request bodies at the local upstream, whose memory is unknown.
constexpr uint64_t maxUpstreamBodyBytes = 4'000'000;
constexpr milliseconds storeProxyBodyTimeout{2000};
// Values in the store have at most 1 MB.
constexpr size_t maxStoreProxyBodyBytes = 2 * 1024 * 1024;

random_source makeRandomSource()
{
    return [engine = std::mt19937_64(std::random_device()())]() mutable { return engine(); };
}

uint64_t makeFeedId()
{
    // JSON numbers are exact only below 2^53.
    return (makeRandomSource()() >> 12) + 1;
}

range_lease_timing leaseTiming(const router_settings &settings)
{
    range_lease_timing timing;
    timing.holdTime = std::min(timing.holdTime, settings.maxHold);
    timing.longestGrant = settings.maxHold;
    if (settings.usesPlacementWriter) {
        // The clocks of two hosts may differ in speed.
        timing.sentMoveLifetime = changeLifetime * 11 / 10;
    }
    return timing;
}

body_budget_options bodyBudgets(const router_settings &settings)
{
    body_budget_options options;
    options.isEnabled = settings.limitsBodies;
    options.daemonBytes = static_cast<uint64_t>(settings.memoryMb * 1e6 * bodyShare);
    options.upstreamBytes = maxUpstreamBodyBytes;
    options.linkBytesPerSecond = settings.linkMbps * 1e6 / 8;
    return options;
}

} // namespace

router::state::state(const router_settings &settings, router_platform platform)
    : m_settings(settings)
    , m_platform(withCountedStore(std::move(platform)))
    , m_store(makeProxiedStore(m_platform.store, makeStoreProxyHooks()))
    , m_log({settings.level, "", maxLogLinesPerSecond, true})
    , m_feed(makeFeedId())
    , m_builder([this](const std::string &key, std::string_view reason) {
        m_log.write(log_level::Warn,
                    absl::StrCat("object ignored key=", key, " reason=", toAbsl(reason)));
    })
    , m_upstream({settings.reportInterval, 3})
    , m_directory(std::make_shared<fleet_directory>())
    , m_evacuation(m_platform.evacuationPrefix, settings.evacuationTimeout)
    , m_explainEndpoint(makeExplainHooks())
{
    const auto onObject = [this](const stored_object &object) { applyObject(object); };
    addPlacementWriter();
    m_ranges =
        std::make_unique<range_controller>(m_settings.service, leaseTiming(m_settings), m_store,
                                           m_platform.grants, m_loop, m_log, makeRangeHooks());
    m_publisher = std::make_unique<member_publisher>(m_store, m_loop, m_log, onObject);
    m_quarantinePublisher = std::make_unique<quarantine_publisher>(
        m_settings.service, m_quarantine, m_store, m_loop, m_log, onObject);
    peer_monitor::statuses_hook onStatuses;
    if (m_settings.zoneCrossingCost.count() > 0) {
        m_zoneLoads = std::make_unique<zone_load_monitor>();
        onStatuses = [this](const std::string &body, steady_time now) {
            m_zoneLoads->readArrivals(body, now);
        };
    }
    m_peers = std::make_unique<peer_monitor>(m_loop, peer_monitor_options(), onStatuses);
    slot_queue_options queueOptions;
    queueOptions.schedulesReturns = m_settings.schedulesReturns;
    if (m_settings.zoneCrossingCost.count() > 0) {
        queueOptions.precedingZone = m_settings.availabilityZone;
    }
    m_dispatcher = std::make_unique<upstream_dispatcher>(m_platform.codec, makeDispatcherHooks(),
                                                         m_quarantine, queueOptions);
    m_coldWatch = std::make_unique<cold_watch>(
        cold_watch_options{m_settings.service, m_settings.coldOvershoot, m_settings.coldSlack},
        m_platform.codec, *m_dispatcher, m_loop, m_log, m_metrics);
    request_proxy_options options;
    options.callerService = m_settings.service;
    options.availabilityZone = m_settings.availabilityZone;
    // Daemons share the retry budget without knowing each other's retries, so each daemon allows
    // itself a share of its own requests and a small constant rate.
    options.retries = {m_settings.retryRatio * routedShareOfRetries, 0.2, 2.0};
    options.detectsCallerRetries = m_settings.detectsCallerRetries;
    options.schedulesReturns = m_settings.schedulesReturns;
    options.linkBytesPerSecond = m_settings.linkMbps * 1e6 / 8;
    options.countsTransferTime = m_settings.limitsBodies;
    options.bodies = bodyBudgets(m_settings);
    options.zoneShare.crossingCost = m_settings.zoneCrossingCost;
    options.zoneShare.crossingCostPerKb = m_settings.zoneCrossingCostPerKb;
    m_proxy = std::make_unique<request_proxy>(options, makeProxyHooks(), m_platform.codec,
                                              *m_dispatcher, m_log, m_metrics);
}

router_platform router::state::withCountedStore(router_platform platform)
{
    platform.store =
        countStoreCalls(std::move(platform.store),
                        routerObjects(platform.desiredStatePrefix, platform.evacuationPrefix),
                        [this](std::string_view call, std::string_view object) {
                            m_metrics.count("persimmonrail_store_calls_total",
                                            absl::StrCat("call=\"", toAbsl(call), "\",object=\"",
                                                         toAbsl(object), "\""));
                        });
    return platform;
}

router::state::~state()
{
    m_feed.stop();
    m_metricsServer.reset();
    m_reportServer.reset();
    m_readyServer.reset();
    m_callerServer.reset();
    m_peerServer.reset();
    // The control thread and the watch of the fleet use the other watchers.
    m_loop.stop();
    m_fleetWatcher.reset();
    m_evacuationWatcher.reset();
    m_desiredStateWatcher.reset();
}

absl::Status router::state::start()
{
    logEvent("start",
             absl::StrCat("host=", m_settings.hostName, " service=", m_settings.service,
                          " availability_zone=", m_settings.availabilityZone,
                          " version=" PERSIMMONRAIL_VERSION));
    createWatchers();
    addGauges();
    schedulePeriodicTasks();
    m_loop.start();
    startWatchers();
    return listen();
}

absl::Status router::state::listen()
{
    const auto open = [](std::unique_ptr<http_server> &server, const std::string &address,
                         int connections, milliseconds idleTime, http_server::handler handler,
                         http_server_options options = {}) -> absl::Status {
        options.address = address;
        options.maxConnections = connections;
        options.idleTimeout = idleTime;
        auto opened = http_server::listen(options, std::move(handler));
        if (opened.ok()) {
            server = std::move(*opened);
        }
        return opened.status();
    };
    constexpr int maxAuxiliaryConnections = 32;
    absl::Status status =
        open(m_peerServer, m_settings.peerAddress, m_settings.maxPeerConnections, peerIdleTimeout,
             [this](server_exchange &exchange) { servePeer(exchange); });
    status.Update(open(m_reportServer, m_settings.reportAddress, maxAuxiliaryConnections,
                       callerIdleTimeout,
                       [this](server_exchange &exchange) { serveReport(exchange); }));
    status.Update(open(
        m_callerServer, m_settings.callerAddress, m_settings.maxCallerConnections,
        callerIdleTimeout, [this](server_exchange &exchange) { m_proxy->serveCaller(exchange); },
        pipelineOptions()));
    status.Update(open(m_readyServer, m_settings.readyAddress, maxAuxiliaryConnections,
                       callerIdleTimeout,
                       [this](server_exchange &exchange) { serveReady(exchange); }));
    if (!m_settings.metricsAddress.empty()) {
        status.Update(open(m_metricsServer, m_settings.metricsAddress, maxAuxiliaryConnections,
                           callerIdleTimeout,
                           [this](server_exchange &exchange) { serveMetrics(exchange); }));
    }
    return status;
}

http_server_options router::state::pipelineOptions()
{
    http_server_options options;
    options.maxPipelinedRequests = m_settings.maxPipelinedRequests;
    options.isIdempotent = [this](const Poco::Net::HTTPRequest &request) {
        std::shared_ptr<const route_table> routes;
        {
            const std::lock_guard lock(m_mutex);
            routes = m_routes;
        }
        return routes != nullptr && routes->isRepeatable(request.getHost(), request.getURI());
    };
    options.isStopping = [this] { return m_isStopping.load(); };
    if (m_settings.memoryMb > 0) {
        options.maxHeldBytes = static_cast<size_t>(m_settings.memoryMb * 1e6 * heldResponseShare);
    }
    return options;
}

void router::state::addGauges()
{
    m_metrics.addGauge("persimmonrail_pipelined_total", [this] {
        return m_callerServer ? static_cast<double>(m_callerServer->pipelinedRequests()) : 0.0;
    });
    m_metrics.addGauge("persimmonrail_pipeline_bytes", [this] {
        return m_callerServer ? static_cast<double>(m_callerServer->heldResponseBytes()) : 0.0;
    });
    if (m_settings.schedulesReturns) {
        m_metrics.addGauge("persimmonrail_returns_announced_total", [this] {
            return static_cast<double>(m_dispatcher->returnsAnnounced());
        });
        m_metrics.addGauge("persimmonrail_returns_due", [this] {
            return static_cast<double>(m_dispatcher->returnsDue(std::chrono::steady_clock::now()));
        });
    }
    m_metrics.addGauge("persimmonrail_in_flight",
                       [this] { return static_cast<double>(m_proxy->inFlight()); });
    for (const body_limit limit : {body_limit::Daemon, body_limit::Upstream,
                                   body_limit::OutboundLink, body_limit::InboundLink}) {
        m_metrics.addGauge("persimmonrail_body_bytes",
                           absl::StrCat("budget=\"", toAbsl(toString(limit)), "\""), [this, limit] {
                               return static_cast<double>(m_proxy->bodies().usedBytes(
                                   limit, std::chrono::steady_clock::now()));
                           });
    }
    m_metrics.addGauge("persimmonrail_upstream_running",
                       [this] { return static_cast<double>(m_dispatcher->queue().running); });
    m_metrics.addGauge("persimmonrail_upstream_waiting",
                       [this] { return static_cast<double>(m_dispatcher->queue().waiting); });
    m_metrics.addGauge("persimmonrail_ready", [this] { return isReady() ? 1.0 : 0.0; });
    m_metrics.addGauge("persimmonrail_log_lines_dropped",
                       [this] { return static_cast<double>(m_log.droppedLines()); });
    m_metrics.addGauge("persimmonrail_desired_state_version", [this] {
        const std::lock_guard lock(m_mutex);
        return m_routes == nullptr ? 0.0 : static_cast<double>(m_routes->version());
    });
    m_metrics.addGauge("persimmonrail_fleet_revision", [this] {
        const std::lock_guard lock(m_mutex);
        return static_cast<double>(revisionOf(m_directory->revision()));
    });
    visitFollowedObjects([this](std::string_view name, object_watcher &watcher) {
        m_metrics.addGauge(
            "persimmonrail_watch_age_seconds", absl::StrCat("prefix=\"", toAbsl(name), "\""),
            [&watcher] { return std::chrono::duration<double>(watcher.age(bootNow())).count(); });
    });
    m_metrics.addGauge("persimmonrail_quarantine_entries",
                       [this] { return static_cast<double>(m_quarantine.size()); });
    m_metrics.addGauge("persimmonrail_store_epoch", [this] {
        const std::lock_guard lock(m_mutex);
        return static_cast<double>(m_directory->epoch());
    });
}

void router::state::schedulePeriodicTasks()
{
    m_loop.every(lossLogInterval, [this](steady_time now) { logLosses(now); });
    m_loop.every(rangeTickInterval, [this](steady_time now) {
        recordLag(now);
        visitFollowedObjects([sinceBoot = bootNow()](std::string_view, object_watcher &watcher) {
            watcher.checkIfDoubtful(sinceBoot);
        });
        m_ranges->setLocalQueue(m_dispatcher->queue());
        std::shared_ptr<const route_table> routes;
        std::shared_ptr<const fleet_directory> directory;
        bool isListed = false;
        {
            const std::lock_guard lock(m_mutex);
            routes = m_routes;
            directory = m_directory;
            isListed = m_isDirectoryListed;
        }
        if (!isListed) {
            return;
        }
        publishMembers(*directory, now);
        publishQuarantine(now);
        const service_rule *rule =
            routes != nullptr ? routes->findService(m_settings.service) : nullptr;
        if (rule != nullptr && rule->isKeyed) {
            m_ranges->tick(now);
            logKeysLeft(now);
        }
    });
    m_loop.every(cold_watch_options().interval, [this](steady_time now) {
        std::shared_ptr<const route_table> routes;
        {
            const std::lock_guard lock(m_mutex);
            routes = m_routes;
        }
        m_coldWatch->tick(routes.get(), localUpstreamState(), now);
    });
    m_loop.every(upstreamCheckInterval, [this](steady_time now) { expireUpstreamReports(now); });
    m_loop.every(peer_monitor_options().pollInterval, [this](steady_time now) { pollPeers(now); });
}

// An upstream counts what its daemon sends again like what other daemons retry.
void router::state::shareResendBudget(const fleet_directory &directory, steady_time now)
{
    const shared_retry_budget budget{
        m_settings.retryRatio, static_cast<double>(m_settings.retrySlack), m_settings.retryWindow};
    m_dispatcher->setResendBudget(shareRetryBudget(budget, resentShareOfRetries,
                                                   directory.membersOf(m_settings.service).size()),
                                  now);
}

upstream_dispatcher_hooks router::state::makeDispatcherHooks()
{
    upstream_dispatcher_hooks hooks;
    hooks.local = [this] { return localUpstreamState(); };
    hooks.keyState = [this](shard_key key) { return m_ranges->stateOf(key); };
    hooks.peekKeyState = [this](shard_key key) { return m_ranges->peekState(key); };
    hooks.countKeyRequest = [this](shard_key key) { m_ranges->countKeyRequest(key); };
    hooks.onConnectionRefused = [this](const upstream_id &id) {
        m_loop.post([this, id](steady_time) { onConnectionRefused(id); });
    };
    hooks.onResponse = [this](const upstream_id &id) {
        m_loop.post([this, id](steady_time now) {
            if (!m_upstream.report() || m_upstream.report()->id != id) {
                return;
            }
            const upstream_phase before = m_upstream.phase();
            m_upstream.onResponse(now);
            if (m_upstream.phase() != before) {
                onUpstreamChanged("answer", now);
            }
        });
    };
    return hooks;
}

request_proxy_hooks router::state::makeProxyHooks()
{
    request_proxy_hooks hooks;
    hooks.routes = [this] {
        const std::lock_guard lock(m_mutex);
        return m_routes;
    };
    hooks.directory = [this] {
        const std::lock_guard lock(m_mutex);
        return m_directory;
    };
    hooks.isStopping = [this] { return m_isStopping.load(); };
    hooks.isClosed = [this] { return m_isDispatchClosed.load(); };
    hooks.shutdownDeadline = [this] { return m_shutdownDeadline.load(); };
    hooks.makeRandom = makeRandomSource;
    if (m_zoneLoads != nullptr) {
        hooks.recordZoneArrival = [this](std::string_view zone, steady_time now) {
            m_zoneLoads->recordArrival(zone, now);
        };
        hooks.zoneStates = [this] { return m_zoneLoads->states(); };
    }
    return hooks;
}

void router::state::servePeer(server_exchange &exchange)
{
    if (exchange.request().getURI() == peerStatusesPath) {
        exchange.respond(200, renderStatuses(), "text/plain");
        return;
    }
    if (exchange.request().getURI() == storeProxyPath) {
        std::string body;
        const io_status status = exchange.readAll(
            body, maxStoreProxyBodyBytes, std::chrono::steady_clock::now() + storeProxyBodyTimeout);
        exchange.respond(status == io_status::Ok ? 200 : 400,
                         status == io_status::Ok ? serveStoreProxy(m_platform.store, body) : "",
                         "application/json");
        return;
    }
    if (m_placementWriter != nullptr && exchange.request().getURI() == placementChangesPath) {
        servePlacementChanges(exchange);
        return;
    }
    if (std::string_view(exchange.request().getURI()).starts_with(changesPath)) {
        exchange.respond(200,
                         serveChanges(m_feed, exchange.request().getURI(), bootNow(),
                                      std::chrono::steady_clock::now()),
                         "application/json");
        return;
    }
    m_proxy->servePeer(exchange);
}

std::string router::state::renderStatuses() const
{
    const local_upstream_state target = localUpstreamState();
    const bool acceptsRequests = target.rejectReason == proxy_reason::None && !m_isStopping;
    std::vector<forwarded_status> others;
    {
        const std::lock_guard lock(m_mutex);
        others = m_peerStatuses;
        const auto elapsed = std::chrono::steady_clock::now() - m_peerStatusesAt;
        for (forwarded_status &other : others) {
            other.age += std::chrono::duration_cast<milliseconds>(elapsed);
        }
    }
    std::string text = encodeStatuses({m_dispatcher->queue(), target.id, acceptsRequests}, others);
    if (m_zoneLoads != nullptr) {
        text += m_zoneLoads->encodeArrivals(target.id, std::chrono::steady_clock::now());
    }
    return text;
}

bool router::state::isReady() const
{
    const std::lock_guard lock(m_mutex);
    return m_routes != nullptr && m_isDirectoryListed && m_ownEvacuation.isKnown && !m_isStopping;
}

void router::state::serveReady(server_exchange &exchange)
{
    const bool ready = isReady();
    exchange.respond(ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "text/plain");
}

void router::state::logEvent(std::string_view event, std::string_view detail)
{
    m_log.write(log_level::Info, absl::StrCat(toAbsl(event), " ", toAbsl(detail)));
}

void router::state::logLosses(steady_time now)
{
    for (const loss_summary &sum : m_proxy->takeLosses(now)) {
        m_log.write(log_level::Info,
                    absl::StrCat("keyed-loss service=", sum.service,
                                 " cause=", toAbsl(toString(sum.cause)), " owner=", sum.owner,
                                 " not_served=", sum.notServed, " late=", sum.late,
                                 " keys=", sum.firstKey, "-", sum.lastKeySeen,
                                 " for_ms=", sum.duration.count()));
    }
    if (m_longestLag >= minLoggedLag) {
        logEvent("control-lag", absl::StrCat("longest_ms=", m_longestLag.count()));
    }
    m_longestLag = milliseconds(0);
}

void router::state::recordLag(steady_time now)
{
    const bool isFirst = m_lastRangeTickAt == steady_time{};
    const auto lag =
        std::chrono::duration_cast<milliseconds>(now - m_lastRangeTickAt) - rangeTickInterval;
    m_lastRangeTickAt = now;
    if (!isFirst) {
        m_longestLag = std::max(m_longestLag, lag);
    }
}

void router::state::reload(const router_settings &settings)
{
    const bool needsRestart = settings.callerAddress != m_settings.callerAddress
        || settings.peerAddress != m_settings.peerAddress
        || settings.readyAddress != m_settings.readyAddress
        || settings.reportAddress != m_settings.reportAddress
        || settings.service != m_settings.service;
    logEvent("reload", needsRestart ? "outcome=needs-restart" : "outcome=taken");
}

void router::state::stop()
{
    const steady_time startedAt = std::chrono::steady_clock::now();
    const steady_time deadline = startedAt + m_settings.gracePeriod - exitMargin;
    m_shutdownDeadline = deadline - lastResponseTime;
    m_dispatcher->stopAt(deadline - lastResponseTime);
    m_isStopping = true;
    m_feed.stop();
    logEvent("stop", absl::StrCat("in_flight=", m_proxy->inFlight()));
    m_loop.post([this](steady_time now) {
        if (m_upstream.report()) {
            m_publisher->publish(ownMember());
            std::shared_ptr<const fleet_directory> directory;
            {
                const std::lock_guard lock(m_mutex);
                directory = m_directory;
            }
            publishMembers(*directory, now);
        }
    });
    const auto waitUntil = [&](steady_time until, const std::function<bool()> &condition) {
        while (!condition() && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(stopPollInterval);
        }
    };
    waitUntil(std::min(startedAt + callerDrainDelay, deadline), [] { return false; });
    m_loop.postAndWait([this](steady_time) { m_ranges->extendGrants(m_settings.maxHold); });
    m_isDispatchClosed = true;
    // Closes idle connections at once and the others after their current request. A request sent
    // later would be cut off by the end of the process.
    const auto closePort = [&](http_server &server) {
        server.stopListening();
        const steady_time lastRequestEnd = std::chrono::steady_clock::now() + lastRequestTime;
        waitUntil(deadline, [&] {
            return m_proxy->inFlight() == 0 && std::chrono::steady_clock::now() >= lastRequestEnd;
        });
    };
    closePort(*m_callerServer);
    // The peer port closes last, since other daemons ask there about their requests in flight.
    closePort(*m_peerServer);
    logEvent("stopped", absl::StrCat("in_flight=", m_proxy->inFlight()));
}

} // namespace persimmonrail
