#include "persimmonrail/router/router_state.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>
#include <thread>

namespace persimmonrail {
namespace {

// Several lines for each of the few hundred requests a second that a daemon takes at most.
constexpr uint64_t logLinesPerSecond = 500;
constexpr milliseconds rangeInterval{100};
constexpr milliseconds upstreamCheckInterval{250};
// Callers notice within two checks of readiness, a second apart, that a daemon stops.
constexpr milliseconds callersLeaveTime{2200};
// Left of the grace period for the end of the process itself.
constexpr milliseconds exitReserve{700};
constexpr milliseconds stopPoll{20};
// Left of the drain timeout for a request on its way to the upstream.
constexpr milliseconds drainReserve{500};
// After this time a peer is marked again that took itself back but still can't be reached.
constexpr milliseconds markInterval{10000};
// A caller's connection outlives the idle time of the desired state, so that the caller closes it.
constexpr milliseconds callerIdleTime{60000};
// Longer than daemons keep idle connections, so that they close first.
constexpr milliseconds peerIdleTime{6000};
constexpr size_t maxReportBytes = 64 * 1024;
constexpr milliseconds reportTimeout{2000};
// Values of the store are at most 1 MB.
constexpr size_t maxRelayBytes = 2 * 1024 * 1024;

random_source makeRandomSource()
{
    return [engine = std::mt19937_64(std::random_device()())]() mutable { return engine(); };
}

uint64_t makeFeedId()
{
    // JSON numbers are exact below 2^53.
    return (makeRandomSource()() >> 12) + 1;
}

range_lease_timing leaseTiming(const router_settings &settings)
{
    range_lease_timing timing;
    timing.holdTime = std::min(timing.holdTime, settings.maxHold);
    return timing;
}

} // namespace

router::state::state(const router_settings &settings, router_platform platform)
    : m_settings(settings)
    , m_platform(std::move(platform))
    , m_store(makeRelayedStore(m_platform.store, makeRelayHooks()))
    , m_log({settings.level, "", logLinesPerSecond, true})
    , m_feed(makeFeedId())
    , m_builder([this](const std::string &key, std::string_view reason) {
        m_log.write(log_level::Warn,
                    absl::StrCat("object ignored key=", key, " reason=", toAbsl(reason)));
    })
    , m_upstream({settings.reportInterval, 3})
    , m_directory(std::make_shared<fleet_directory>())
{
    const auto onObject = [this](const stored_object &object) { applyObject(object); };
    m_ranges = std::make_unique<range_keeper>(m_settings.service, leaseTiming(m_settings), m_store,
                                              m_platform.grants, m_loop, m_log,
                                              range_keeper::hooks{onObject});
    m_publisher = std::make_unique<member_publisher>(m_store, m_loop, m_log, onObject);
    m_peers = std::make_unique<peer_monitor>(m_loop);
    m_runner = std::make_unique<upstream_runner>(m_platform.codec, makeRunnerHooks());
    relay_path_options options;
    options.callerService = m_settings.service;
    options.availabilityZone = m_settings.availabilityZone;
    // The budget is shared by daemons that do not know each other's use of it, so each takes a
    // share of its own requests only, and a little for itself.
    options.retries = {m_settings.retryRatio * 0.6, 0.2, 2.0};
    m_path = std::make_unique<relay_path>(options, makePathHooks(), m_platform.codec, *m_runner,
                                          m_log, m_metrics);
}

router::state::~state()
{
    m_feed.stop();
    m_metricsServer.reset();
    m_reportServer.reset();
    m_readyServer.reset();
    m_callerServer.reset();
    m_peerServer.reset();
    m_fleetWatcher.reset();
    m_desiredStateWatcher.reset();
    m_loop.stop();
}

absl::Status router::state::start()
{
    logEvent("start",
             absl::StrCat("host=", m_settings.hostName, " service=", m_settings.service,
                          " availability_zone=", m_settings.availabilityZone,
                          " version=" PERSIMMONRAIL_VERSION));
    addGauges();
    schedulePeriodicTasks();
    m_loop.start();
    startWatchers();
    return listen();
}

absl::Status router::state::listen()
{
    const auto open = [](std::unique_ptr<http_server> &server, const std::string &address,
                         int connections, milliseconds idleTime,
                         http_server::handler handler) -> absl::Status {
        http_server_options options;
        options.address = address;
        options.maxConnections = connections;
        options.idleTimeout = idleTime;
        auto opened = http_server::listen(options, std::move(handler));
        if (opened.ok()) {
            server = std::move(*opened);
        }
        return opened.status();
    };
    constexpr int fewConnections = 32;
    absl::Status status =
        open(m_peerServer, m_settings.peerAddress, m_settings.maxPeerConnections, peerIdleTime,
             [this](server_exchange &exchange) { servePeer(exchange); });
    status.Update(open(m_reportServer, m_settings.reportAddress, fewConnections, callerIdleTime,
                       [this](server_exchange &exchange) { serveReport(exchange); }));
    status.Update(open(m_callerServer, m_settings.callerAddress, m_settings.maxCallerConnections,
                       callerIdleTime,
                       [this](server_exchange &exchange) { m_path->serveCaller(exchange); }));
    status.Update(open(m_readyServer, m_settings.readyAddress, fewConnections, callerIdleTime,
                       [this](server_exchange &exchange) { serveReady(exchange); }));
    if (!m_settings.metricsAddress.empty()) {
        status.Update(open(m_metricsServer, m_settings.metricsAddress, fewConnections,
                           callerIdleTime, [this](server_exchange &exchange) {
                               exchange.answer(200, m_metrics.renderText(), "text/plain");
                           }));
    }
    return status;
}

void router::state::addGauges()
{
    m_metrics.addGauge("persimmonrail_in_flight",
                       [this] { return static_cast<double>(m_path->inFlight()); });
    m_metrics.addGauge("persimmonrail_upstream_running",
                       [this] { return static_cast<double>(m_runner->queue().running); });
    m_metrics.addGauge("persimmonrail_upstream_waiting",
                       [this] { return static_cast<double>(m_runner->queue().waiting); });
    m_metrics.addGauge("persimmonrail_ready", [this] { return isReady() ? 1.0 : 0.0; });
    m_metrics.addGauge("persimmonrail_log_lines_dropped",
                       [this] { return static_cast<double>(m_log.droppedLines()); });
    m_metrics.addGauge("persimmonrail_desired_state_version", [this] {
        const std::lock_guard lock(m_mutex);
        return m_routes == nullptr ? 0.0 : static_cast<double>(m_routes->version());
    });
    m_metrics.addGauge("persimmonrail_fleet_revision", [this] {
        const std::lock_guard lock(m_mutex);
        return static_cast<double>(m_directory->revision());
    });
}

void router::state::startWatchers()
{
    object_watcher_options watchOptions;
    watchOptions.wait = m_platform.watchWait;
    object_watcher::hooks desired;
    desired.onList = desired.onChanges = [this](const object_list &objects, steady_time) {
        onDesiredState(objects);
    };
    desired.onEvent = [this](std::string_view event) {
        logEvent("watch", absl::StrCat("prefix=desired-state event=", toAbsl(event)));
    };
    desired.onReachable = [this](bool isReachable, const absl::Status &status) {
        onReachable("desired-state", isReachable, status);
    };
    m_desiredStateWatcher = std::make_unique<object_watcher>(m_store, m_platform.desiredStatePrefix,
                                                             desired, watchOptions);
    object_watcher::hooks fleet;
    fleet.onList = [this](const object_list &objects, steady_time readAt) {
        m_feed.reset(objects);
        if (relays().empty()) {
            m_feed.confirm(readAt);
        }
        m_loop.post(
            [this, objects, readAt](steady_time) { onFleetObjects(objects, true, readAt); });
    };
    fleet.onChanges = [this](const object_list &objects, steady_time readAt) {
        m_feed.apply(objects);
        m_loop.post(
            [this, objects, readAt](steady_time) { onFleetObjects(objects, false, readAt); });
    };
    fleet.onEvent = [this](std::string_view event) {
        logEvent("watch", absl::StrCat("prefix=fleet event=", toAbsl(event)));
    };
    fleet.onReachable = [this](bool isReachable, const absl::Status &status) {
        onReachable("fleet", isReachable, status);
    };
    m_fleetWatcher = std::make_unique<object_watcher>(makeRelayedWatch(m_store, makeWatchHooks()),
                                                      fleetPrefix, fleet, watchOptions);
    m_desiredStateWatcher->start();
    m_fleetWatcher->start();
}

store_relay_hooks router::state::makeRelayHooks()
{
    store_relay_hooks hooks;
    hooks.peers = [this] {
        std::vector<std::string> addresses;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[name, known] : m_directory->members()) {
                if (!known.member.isGone && known.member.peerAddress != m_settings.peerAddress) {
                    addresses.push_back(known.member.peerAddress);
                }
            }
        }
        const auto now = std::chrono::steady_clock::now().time_since_epoch().count();
        std::shuffle(addresses.begin(), addresses.end(),
                     std::minstd_rand(static_cast<unsigned>(now)));
        return addresses;
    };
    hooks.onChange = [this](bool isDirect, const absl::Status &status) {
        logEvent(isDirect ? "store-direct" : "store-through-peers",
                 absl::StrCat("reason=", status.ToString()));
    };
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    return hooks;
}

std::vector<std::string> router::state::relays() const
{
    const std::lock_guard lock(m_mutex);
    return relaysFor(*m_directory, m_settings.availabilityZone, m_settings.peerAddress);
}

relayed_watch_hooks router::state::makeWatchHooks()
{
    relayed_watch_hooks hooks;
    hooks.relays = [this] { return relays(); };
    hooks.onDirectAnswer = [this](steady_time now) { m_feed.confirm(now); };
    hooks.onSource = [this](std::string_view source, const absl::Status &reason) {
        logEvent("follow", absl::StrCat("source=", toAbsl(source), " reason=", reason.ToString()));
    };
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.pause = [](milliseconds time) { std::this_thread::sleep_for(time); };
    return hooks;
}

void router::state::applyObject(const stored_object &object)
{
    m_builder.applyOne(object);
    m_feed.applyOne(object);
    publishDirectory({});
}

void router::state::schedulePeriodicTasks()
{
    m_loop.every(rangeInterval, [this](steady_time now) {
        m_ranges->setOwnQueue(m_runner->queue());
        std::shared_ptr<const route_table> routes;
        std::shared_ptr<const fleet_directory> directory;
        bool listed = false;
        {
            const std::lock_guard lock(m_mutex);
            routes = m_routes;
            directory = m_directory;
            listed = m_directoryListed;
        }
        if (!listed) {
            return;
        }
        publishEarlierLives(*directory);
        m_publisher->tick(*directory, now);
        const service_rule *rule =
            routes != nullptr ? routes->findService(m_settings.service) : nullptr;
        if (rule != nullptr && rule->isKeyed) {
            m_ranges->tick(now);
        }
    });
    m_loop.every(upstreamCheckInterval, [this](steady_time now) { checkUpstream(now); });
    m_loop.every(peer_monitor_options().pollInterval, [this](steady_time now) { pollPeers(now); });
}

void router::state::onDesiredState(const object_list &objects)
{
    if (m_log.isEnabled(log_level::Debug)) {
        m_log.write(log_level::Debug,
                    absl::StrCat("watch prefix=desired-state revision=", objects.revision,
                                 " objects=", objects.objects.size()));
    }
    for (const stored_object &object : objects.objects) {
        if (object.key != m_platform.desiredStateKey || object.deleted) {
            continue;
        }
        const auto table = m_platform.parseDesiredState(object.value);
        if (!table.ok()) {
            m_log.write(log_level::Error,
                        absl::StrCat("desired-state ignored reason=", table.status().ToString()));
            m_metrics.count("persimmonrail_desired_state_total", "outcome=\"invalid\"");
            continue;
        }
        const std::lock_guard lock(m_mutex);
        // What was in force never goes back within one run of the process.
        if (m_routes != nullptr && (*table)->version() < m_routes->version()) {
            m_log.write(
                log_level::Warn,
                absl::StrCat("desired-state ignored reason=older version=", (*table)->version()));
            continue;
        }
        m_routes = *table;
        m_log.write(log_level::Info,
                    absl::StrCat("desired-state in force version=", m_routes->version(),
                                 " store_version=", object.version,
                                 " routes=", m_routes->routes().size()));
        m_metrics.count("persimmonrail_desired_state_total", "outcome=\"in-force\"");
        logRoutes(*m_routes);
    }
}

void router::state::logRoutes(const route_table &routes)
{
    if (!m_log.isEnabled(log_level::Debug)) {
        return;
    }
    for (const route &route : routes.routes()) {
        std::string parts;
        for (const route_part &part : route.parts) {
            absl::StrAppend(&parts, parts.empty() ? "" : ",", part.service, ":", part.weight);
        }
        m_log.write(log_level::Debug,
                    absl::StrCat("route name=", route.name, " host=", route.host,
                                 " prefix=", route.pathPrefix, " rank=", route.rank, " repeatable=",
                                 route.repeatable, " target_ms=", route.target.count(),
                                 " timeout_ms=", route.timeout.count(),
                                 " attempts=", route.maxAttempts, " parts=", parts));
    }
}

void router::state::onFleetObjects(const object_list &objects, bool isWhole, steady_time readAt)
{
    if (isWhole) {
        m_builder.reset(objects);
    } else {
        m_builder.apply(objects);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_directoryListed = true;
    }
    const auto age = std::chrono::steady_clock::now() - readAt;
    publishDirectory(isWhole ? bootNow() - age : boot_time{});
}

void router::state::publishDirectory(boot_time confirmedAt)
{
    const auto directory = m_builder.build();
    {
        const std::lock_guard lock(m_mutex);
        m_directory = directory;
    }
    m_ranges->onDirectory(directory, confirmedAt);
}

void router::state::onReachable(std::string_view what, bool isReachable, const absl::Status &status)
{
    logEvent(isReachable ? "store-regained" : "store-lost",
             absl::StrCat("watch=", toAbsl(what),
                          isReachable ? "" : " reason=", isReachable ? "" : status.ToString()));
    m_metrics.count("persimmonrail_store_changes_total",
                    isReachable ? "state=\"regained\"" : "state=\"lost\"");
}

void router::state::serveReport(server_exchange &exchange)
{
    std::string body;
    const io_status status =
        exchange.readAll(body, maxReportBytes, std::chrono::steady_clock::now() + reportTimeout);
    if (status != io_status::Ok) {
        exchange.closeAfterAnswer();
        exchange.answer(400, "", "text/plain");
        return;
    }
    const auto message = m_platform.parseReport(exchange.request().getURI(), body);
    if (!message.ok()) {
        m_log.write(log_level::Warn,
                    absl::StrCat("report ignored reason=", message.status().ToString()));
        exchange.answer(400, "{}", "application/json");
        return;
    }
    // The acknowledgement binds, so the daemon acts before it answers.
    m_loop.postAndWait([this, &message](steady_time now) { onUpstreamMessage(*message, now); });
    exchange.answer(200, "{}", "application/json");
}

void router::state::onUpstreamMessage(const upstream_message &message, steady_time now)
{
    const std::optional<upstream_report> before = m_upstream.report();
    const local_upstream::verdict verdict = message.isDeparture
        ? m_upstream.onDeparture(message.report.id, now)
        : m_upstream.onReport(message.report, now);
    if (verdict == local_upstream::verdict::Stale) {
        m_log.write(log_level::Info,
                    absl::StrCat("report stale upstream=", toString(message.report.id),
                                 " sequence=", message.report.sequence));
        return;
    }
    if (before && m_upstream.report() && before->id != m_upstream.report()->id) {
        // The process of the earlier life has ended, or its address would not be free.
        m_runner->dropConnections(before->address);
    }
    if (verdict == local_upstream::verdict::Changed) {
        onUpstreamChanged(message.isDeparture ? "departure" : "report", now);
    }
}

upstream_member router::state::ownMember() const
{
    const upstream_report &report = *m_upstream.report();
    upstream_member member;
    member.id = report.id;
    member.service = m_settings.service;
    member.availabilityZone = m_settings.availabilityZone;
    member.peerAddress = m_settings.peerAddress;
    member.slots = std::max(report.slots, 1);
    member.isGone = m_upstream.phase() == upstream_phase::Absent;
    member.isLeaving = !m_upstream.takesWork() || m_stopping;
    return member;
}

void router::state::onUpstreamChanged(std::string_view cause, steady_time now)
{
    const upstream_report &report = *m_upstream.report();
    logEvent("upstream",
             absl::StrCat("id=", toString(report.id),
                          " phase=", toAbsl(toString(m_upstream.phase())), " slots=", report.slots,
                          " sequence=", report.sequence, " cause=", toAbsl(cause)));
    {
        const std::lock_guard lock(m_mutex);
        if (m_upstream.phase() == upstream_phase::Draining
            && m_target.closed != relay_reason::Draining) {
            m_drainEnd = now + m_settings.drainTimeout - drainReserve;
        }
        m_target.id = report.id;
        m_target.service = m_settings.service;
        m_target.address = m_settings.upstreamAddress;
        m_target.closed = m_upstream.takesWork()             ? relay_reason::None
            : m_upstream.phase() == upstream_phase::Draining ? relay_reason::Draining
                                                             : relay_reason::UpstreamUnreachable;
    }
    m_runner->setSlots(std::max(report.slots, 1));
    m_publisher->want(ownMember());
    const bool isThere = m_upstream.phase() != upstream_phase::Absent;
    m_ranges->setUpstream(isThere ? std::optional(report.id) : std::nullopt,
                          m_settings.upstreamAddress, !m_upstream.takesWork());
}

// A host has one upstream. Once another one reports, the members that this daemon published before
// it restarted have ended, whatever became of their last messages.
void router::state::publishEarlierLives(const fleet_directory &directory)
{
    if (!m_upstream.report()) {
        return;
    }
    for (const upstream_member &member :
         earlierLives(directory, m_settings.peerAddress, m_upstream.report()->id)) {
        m_publisher->want(member);
    }
}

void router::state::checkUpstream(steady_time now)
{
    if (m_upstream.expire(now)) {
        onUpstreamChanged("reports-overdue", now);
    }
}

void router::state::pollPeers(steady_time now)
{
    std::shared_ptr<const fleet_directory> directory;
    {
        const std::lock_guard lock(m_mutex);
        directory = m_directory;
    }
    std::vector<const upstream_member *> peers = directory->membersOf(m_settings.service);
    std::erase_if(peers, [this](const upstream_member *member) {
        return member->peerAddress == m_settings.peerAddress;
    });
    const bool isThere = m_upstream.report() && m_upstream.phase() != upstream_phase::Absent;
    const upstream_member own = isThere ? ownMember() : upstream_member();
    m_peers->poll(peers, isThere ? &own : nullptr, now);
    {
        const std::lock_guard lock(m_mutex);
        m_peerStatuses = m_peers->health().known(now);
        m_peerStatusesAt = now;
    }
    range_keeper::peers view = m_peers->health().view(isThere ? &own : nullptr, now);
    if (view.isCoordinator) {
        markUnreachable(*directory, view.unreachable, now);
    }
    m_ranges->setPeers(std::move(view));
}

// Tells the fleet of members that can't be reached, so that no daemon has to find out by itself. A
// member that is back takes the mark away by itself.
void router::state::markUnreachable(const fleet_directory &directory,
                                    const std::vector<upstream_id> &unreachable, steady_time now)
{
    for (auto marked = m_marked.begin(); marked != m_marked.end();) {
        const auto *known = directory.findMember(marked->first);
        if (known == nullptr || known->member.isLeaving) {
            m_publisher->forget(marked->first);
        }
        marked = now - marked->second >= markInterval ? m_marked.erase(marked) : std::next(marked);
    }
    for (const upstream_id &id : unreachable) {
        const auto *known = directory.findMember(id.name);
        if (known == nullptr || known->member.id != id || known->member.isLeaving
            || m_marked.contains(id.name)) {
            continue;
        }
        upstream_member member = known->member;
        member.isLeaving = true;
        m_publisher->want(member);
        m_marked[id.name] = now;
        logEvent("peer-unreachable", absl::StrCat("upstream=", toString(id)));
    }
}

local_target router::state::localTarget() const
{
    const std::lock_guard lock(m_mutex);
    local_target target = m_target;
    if (m_closed && target.closed == relay_reason::None) {
        target.closed = relay_reason::Stopping;
    }
    const bool servesKeys = target.closed == relay_reason::Draining && !m_closed
        && std::chrono::steady_clock::now() < m_drainEnd;
    target.closedForKeys = servesKeys ? relay_reason::None : target.closed;
    return target;
}

upstream_runner_hooks router::state::makeRunnerHooks()
{
    upstream_runner_hooks hooks;
    hooks.local = [this] { return localTarget(); };
    hooks.mayServe = [this](shard_key key) { return m_ranges->mayServe(key); };
    hooks.countKey = [this](shard_key key) { m_ranges->countKey(key); };
    hooks.onRefusedConnection = [this](const upstream_id &id) {
        m_loop.post([this, id](steady_time now) {
            if (m_upstream.report() && m_upstream.report()->id == id
                && m_upstream.onRefusedConnection(now) == local_upstream::verdict::Changed) {
                onUpstreamChanged("connection-refused", now);
            }
        });
    };
    hooks.onAnswer = [this](const upstream_id &id) {
        m_loop.post([this, id](steady_time now) {
            if (!m_upstream.report() || m_upstream.report()->id != id) {
                return;
            }
            const upstream_phase before = m_upstream.phase();
            m_upstream.onAnswer(now);
            if (m_upstream.phase() != before) {
                onUpstreamChanged("answer", now);
            }
        });
    };
    return hooks;
}

relay_path_hooks router::state::makePathHooks()
{
    relay_path_hooks hooks;
    hooks.routes = [this] {
        const std::lock_guard lock(m_mutex);
        return m_routes;
    };
    hooks.directory = [this] {
        const std::lock_guard lock(m_mutex);
        return m_directory;
    };
    hooks.isStopping = [this] { return m_stopping.load(); };
    hooks.makeRandom = makeRandomSource;
    return hooks;
}

void router::state::servePeer(server_exchange &exchange)
{
    if (exchange.request().getURI() == peerStatusesPath) {
        exchange.answer(200, renderStatuses(), "text/plain");
        return;
    }
    if (exchange.request().getURI() == storeRelayPath) {
        std::string body;
        const io_status status =
            exchange.readAll(body, maxRelayBytes, std::chrono::steady_clock::now() + reportTimeout);
        exchange.answer(status == io_status::Ok ? 200 : 400,
                        status == io_status::Ok ? serveStoreRelay(m_platform.store, body) : "",
                        "application/json");
        return;
    }
    if (std::string_view(exchange.request().getURI()).starts_with(changesPath)) {
        exchange.answer(
            200,
            serveChanges(m_feed, exchange.request().getURI(), std::chrono::steady_clock::now()),
            "application/json");
        return;
    }
    m_path->servePeer(exchange);
}

std::string router::state::renderStatuses() const
{
    const local_target target = localTarget();
    const bool takesWork = target.closed == relay_reason::None && !m_stopping;
    std::vector<reported_status> others;
    {
        const std::lock_guard lock(m_mutex);
        others = m_peerStatuses;
        const auto passed = std::chrono::steady_clock::now() - m_peerStatusesAt;
        for (reported_status &other : others) {
            other.age += std::chrono::duration_cast<milliseconds>(passed);
        }
    }
    return encodeStatuses({m_runner->queue(), target.id, takesWork}, others);
}

bool router::state::isReady() const
{
    const std::lock_guard lock(m_mutex);
    return m_routes != nullptr && m_directoryListed && !m_stopping;
}

void router::state::serveReady(server_exchange &exchange)
{
    const bool ready = isReady();
    exchange.answer(ready ? 200 : 503, ready ? "ready\n" : "not ready\n", "text/plain");
}

void router::state::logEvent(std::string_view event, std::string_view detail)
{
    m_log.write(log_level::Info, absl::StrCat(toAbsl(event), " ", toAbsl(detail)));
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
    const steady_time begun = std::chrono::steady_clock::now();
    const steady_time end = begun + m_settings.gracePeriod - exitReserve;
    m_stopping = true;
    m_feed.stop();
    logEvent("stop", absl::StrCat("in_flight=", m_path->inFlight()));
    m_loop.post([this](steady_time now) {
        if (m_upstream.report()) {
            m_publisher->want(ownMember());
            std::shared_ptr<const fleet_directory> directory;
            {
                const std::lock_guard lock(m_mutex);
                directory = m_directory;
            }
            m_publisher->tick(*directory, now);
        }
    });
    const auto waitUntil = [&](steady_time until, const std::function<bool()> &condition) {
        while (!condition() && std::chrono::steady_clock::now() < until) {
            std::this_thread::sleep_for(stopPoll);
        }
    };
    waitUntil(std::min(begun + callersLeaveTime, end), [] { return false; });
    m_loop.postAndWait([this](steady_time) { m_ranges->extendHolds(m_settings.maxHold); });
    m_closed = true;
    // Ends idle connections, and the others after the request in progress; a request that is sent
    // later would be cut off by the end of the process.
    m_callerServer->stopListening();
    waitUntil(end, [this] { return m_path->inFlight() == 0; });
    logEvent("stopped", absl::StrCat("in_flight=", m_path->inFlight()));
}

} // namespace persimmonrail
