// How the router follows the store: the desired state, the fleet, and ways around a cut.
#include "persimmonrail/router/router_state.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>
#include <thread>

namespace persimmonrail {

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

store_proxy_hooks router::state::makeStoreProxyHooks()
{
    store_proxy_hooks hooks;
    hooks.peers = [this] {
        std::vector<std::string> addresses;
        {
            const std::lock_guard lock(m_mutex);
            for (const auto &[name, known] : m_directory->members()) {
                if (!known.member.isTerminated
                    && known.member.peerAddress != m_settings.peerAddress) {
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
    hooks.onDirectResponse = [this](steady_time now) { m_feed.confirm(now); };
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
        for (const traffic_share &part : route.trafficShares) {
            absl::StrAppend(&parts, parts.empty() ? "" : ",", part.service, ":", part.weight);
        }
        m_log.write(log_level::Debug,
                    absl::StrCat("route name=", route.name, " host=", route.host,
                                 " prefix=", route.pathPrefix, " rank=", route.rank, " repeatable=",
                                 route.repeatable, " target_ms=", route.objective.count(),
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

} // namespace persimmonrail
