// The part of router::state that follows the store: the desired state, the fleet, and the other
// paths used while the direct path to the store fails.
#include "persimmonrail/router/router_state.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/objects/object_version.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <random>
#include <thread>

namespace persimmonrail {

object_watcher_options router::state::followedObjectOptions() const
{
    object_watcher_options options;
    options.freshness = watch_freshness_options();
    options.freshness->informedWait = m_platform.maxWatchWait;
    return options;
}

void router::state::createWatchers()
{
    m_desiredStateWatcher = std::make_unique<object_watcher>(
        m_store, m_platform.desiredStatePrefix, makeDesiredStateHooks(), followedObjectOptions());
    createEvacuationWatcher(followedObjectOptions());
    object_watcher_options fleetOptions;
    fleetOptions.maxWatchWait = m_platform.maxWatchWait;
    m_fleetWatcher = std::make_unique<object_watcher>(makeRelayedWatch(m_store, makeWatchHooks()),
                                                      fleetPrefix, makeFleetHooks(), fleetOptions);
}

void router::state::startWatchers()
{
    m_desiredStateWatcher->start();
    if (m_evacuationWatcher != nullptr) {
        m_evacuationWatcher->start();
    }
    m_fleetWatcher->start();
}

object_watcher::hooks router::state::makeDesiredStateHooks()
{
    object_watcher::hooks hooks;
    hooks.onList = hooks.onChanges = [this](const object_list &objects, boot_time) {
        onDesiredState(objects);
    };
    hooks.onEvent = [this](std::string_view event) {
        logEvent("watch", absl::StrCat("prefix=desired-state event=", toAbsl(event)));
    };
    hooks.onReachabilityChange = [this](bool isReachable, const absl::Status &status) {
        onStoreReachabilityChange("desired-state", isReachable, status);
    };
    hooks.onConfirmed = [this](uint64_t newestChange, boot_time confirmedAt) {
        m_feed.notice(m_platform.desiredStatePrefix, newestChange, confirmedAt);
    };
    return hooks;
}

object_watcher::hooks router::state::makeFleetHooks()
{
    object_watcher::hooks hooks;
    hooks.onList = [this](const object_list &objects, boot_time sentAt) {
        m_fleetRevision = objects.revision;
        m_feed.reset(objects);
        if (relayAddresses().empty()) {
            m_feed.confirm(sentAt);
        }
        m_loop.post(
            [this, objects, sentAt](steady_time) { onFleetObjects(objects, true, sentAt); });
    };
    hooks.onChanges = [this](const object_list &objects, boot_time sentAt) {
        m_feed.apply(objects);
        // Daemons whose views differ may follow each other, so only the store confirms a feed.
        if (objects.age == milliseconds(0)) {
            m_feed.confirm(sentAt);
            reportStoreProgress(objects);
        }
        m_fleetRevision = std::max(m_fleetRevision, objects.revision);
        m_loop.post(
            [this, objects, sentAt](steady_time) { onFleetObjects(objects, false, sentAt); });
    };
    hooks.onEvent = [this](std::string_view event) {
        logEvent("watch", absl::StrCat("prefix=fleet event=", toAbsl(event)));
    };
    hooks.onReachabilityChange = [this](bool isReachable, const absl::Status &status) {
        onStoreReachabilityChange("fleet", isReachable, status);
    };
    return hooks;
}

void router::state::visitFollowedObjects(
    const std::function<void(std::string_view name, object_watcher &watcher)> &visit)
{
    visit("desired-state", *m_desiredStateWatcher);
    if (m_evacuationWatcher != nullptr) {
        visit("evacuations", *m_evacuationWatcher);
    }
}

void router::state::reportStoreProgress(const object_list &fleetChanges)
{
    const store_progress progress = progressOf(m_fleetRevision, fleetChanges);
    visitFollowedObjects([&](std::string_view, object_watcher &watcher) {
        watcher.onStoreProgress(progress, bootNow());
    });
}

void router::state::onNotice(const change_notice &notice, boot_time sentAt)
{
    const boot_time confirmedAt = sentAt - notice.age;
    if (notice.prefix == m_platform.desiredStatePrefix) {
        m_desiredStateWatcher->onNotice(notice.version, confirmedAt, bootNow());
    } else if (m_evacuationWatcher != nullptr && notice.prefix == m_platform.evacuationPrefix) {
        m_evacuationWatcher->onNotice(notice.version, confirmedAt, bootNow());
    }
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
    hooks.onPathChange = [this](bool isDirectPathUp, const absl::Status &status) {
        logEvent(isDirectPathUp ? "store-direct" : "store-through-peers",
                 absl::StrCat("reason=", status.ToString()));
    };
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    return hooks;
}

std::vector<std::string> router::state::relayAddresses() const
{
    const std::lock_guard lock(m_mutex);
    return selectRelayAddresses(*m_directory, m_settings.availabilityZone, m_settings.peerAddress);
}

relayed_watch_hooks router::state::makeWatchHooks()
{
    relayed_watch_hooks hooks;
    hooks.relays = [this] { return relayAddresses(); };
    hooks.onSourceChanged = [this](std::string_view source, const absl::Status &reason) {
        logEvent("follow", absl::StrCat("source=", toAbsl(source), " reason=", reason.ToString()));
        if (source == storeSource) {
            visitFollowedObjects(
                [](std::string_view, object_watcher &watcher) { watcher.onNoticesEnded(); });
        }
    };
    hooks.onNotice = [this](const change_notice &notice, boot_time sentAt) {
        onNotice(notice, sentAt);
    };
    hooks.now = [] { return std::chrono::steady_clock::now(); };
    hooks.pause = [](milliseconds time) { std::this_thread::sleep_for(time); };
    return hooks;
}

void router::state::applyObject(const stored_object &object)
{
    m_builder.applyObject(object);
    m_feed.applyObject(object);
    publishDirectory({});
}

void router::state::onDesiredState(const object_list &objects)
{
    if (m_log.isEnabled(log_level::Debug)) {
        m_log.write(log_level::Debug,
                    absl::StrCat("watch prefix=desired-state epoch=", epochOf(objects.revision),
                                 " revision=", revisionOf(objects.revision),
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
        // An older version never replaces the version in force while the process runs.
        if (m_routes != nullptr && (*table)->version() < m_routes->version()) {
            m_log.write(
                log_level::Warn,
                absl::StrCat("desired-state ignored reason=older version=", (*table)->version()));
            continue;
        }
        m_routes = *table;
        m_routesReceivedAt = std::chrono::steady_clock::now();
        m_log.write(log_level::Info,
                    absl::StrCat("desired-state in force version=", m_routes->version(),
                                 " store_epoch=", epochOf(object.version),
                                 " store_revision=", revisionOf(object.version),
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
        std::string shares;
        for (const traffic_share &share : route.trafficShares) {
            absl::StrAppend(&shares, shares.empty() ? "" : ",", share.service, ":", share.weight);
        }
        m_log.write(log_level::Debug,
                    absl::StrCat("route name=", route.name, " host=", route.host,
                                 " prefix=", route.pathPrefix, " rank=", route.rank, " repeatable=",
                                 route.repeatable, " target_ms=", route.objective.count(),
                                 " timeout_ms=", route.timeout.count(),
                                 " attempts=", route.maxAttempts, " parts=", shares));
    }
}

void router::state::onFleetObjects(const object_list &objects, bool isFullList, boot_time sentAt)
{
    if (isFullList) {
        m_builder.reset(objects);
    } else {
        m_builder.apply(objects);
    }
    {
        const std::lock_guard lock(m_mutex);
        m_isDirectoryListed = true;
        // What a relay passes on without knowing its age counts from its arrival.
        m_directoryConfirmedAt = std::chrono::steady_clock::now() - (bootNow() - sentAt)
            - objects.age.value_or(milliseconds(0));
    }
    publishDirectory(
        objects.age ? std::optional(store_confirmation{objects.revision, sentAt - *objects.age})
                    : std::nullopt);
}

void router::state::publishDirectory(const std::optional<store_confirmation> &confirmation)
{
    const auto directory = m_builder.build();
    uint64_t previousEpoch = 0;
    bool hasUnknownZones = false;
    {
        const std::lock_guard lock(m_mutex);
        previousEpoch = m_directory->epoch();
        m_directory = directory;
        hasUnknownZones = m_evacuation.hasUnknownZones();
    }
    m_directoryChanged.notify_all();
    if (directory->epoch() != previousEpoch) {
        logEvent("store-epoch",
                 absl::StrCat("epoch=", directory->epoch(), " previous=", previousEpoch));
    }
    shareResendBudget(*directory, std::chrono::steady_clock::now());
    m_quarantinePublisher->onDirectory(*directory, std::chrono::steady_clock::now(),
                                       std::chrono::system_clock::now());
    m_ranges->onDirectory(directory, confirmation);
    if (hasUnknownZones) {
        reportEvacuations(std::chrono::steady_clock::now());
    }
}

void router::state::onStoreReachabilityChange(std::string_view watchName, bool isReachable,
                                              const absl::Status &status)
{
    logEvent(isReachable ? "store-regained" : "store-lost",
             absl::StrCat("watch=", toAbsl(watchName),
                          isReachable ? "" : " reason=", isReachable ? "" : status.ToString()));
    m_metrics.count("persimmonrail_store_changes_total",
                    isReachable ? "state=\"regained\"" : "state=\"lost\"");
}

} // namespace persimmonrail
