// The part of router::state that follows the evacuations of zones and keeps requests away from an
// upstream in an evacuated zone.
#include "persimmonrail/router/router_state.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

constexpr char zoneGauge[] = "persimmonrail_zone_evacuated";

} // namespace

bool router::state::usesEvacuation() const
{
    return m_settings.evacuationTimeout.count() > 0 && !m_platform.evacuationPrefix.empty();
}

void router::state::createEvacuationWatcher(const object_watcher_options &options)
{
    if (!usesEvacuation()) {
        const std::lock_guard lock(m_mutex);
        m_ownEvacuation.isKnown = true;
        return;
    }
    object_watcher::hooks hooks;
    hooks.onList = [this](const object_list &list, boot_time) { onEvacuations(list, true); };
    hooks.onChanges = [this](const object_list &changes, boot_time) {
        onEvacuations(changes, false);
    };
    hooks.onEvent = [this](std::string_view event) {
        logEvent("watch", absl::StrCat("prefix=evacuations event=", toAbsl(event)));
    };
    hooks.onReachabilityChange = [this](bool isReachable, const absl::Status &status) {
        onStoreReachabilityChange("evacuations", isReachable, status);
    };
    hooks.onConfirmed = [this](uint64_t newestChange, boot_time confirmedAt) {
        m_feed.notice(m_platform.evacuationPrefix, newestChange, confirmedAt);
    };
    m_evacuationWatcher = std::make_unique<object_watcher>(m_store, m_platform.evacuationPrefix,
                                                           std::move(hooks), options);
}

// Runs on the watcher's thread, so that a late control thread does not delay the admission that
// applies from now on.
void router::state::onEvacuations(const object_list &objects, bool isFullList)
{
    const steady_time receivedAt = std::chrono::steady_clock::now();
    {
        const std::lock_guard lock(m_mutex);
        if (isFullList) {
            m_evacuation.reset(objects, receivedAt);
        } else {
            m_evacuation.apply(objects, receivedAt);
        }
        m_ownEvacuation = m_evacuation.stateOf(m_settings.availabilityZone);
        m_evacuationsReceivedAt = receivedAt;
    }
    m_loop.post([this, receivedAt](steady_time) { showEvacuations(receivedAt); });
}

void router::state::showEvacuations(steady_time receivedAt)
{
    zone_set zones;
    bool isOwnEvacuated = false;
    {
        const std::lock_guard lock(m_mutex);
        zones = m_evacuation.zones();
        isOwnEvacuated = m_ownEvacuation.isEvacuated;
    }
    if (zones == m_shownEvacuations) {
        return;
    }
    if (isOwnEvacuated != m_shownEvacuations.contains(m_settings.availabilityZone)) {
        m_keysLeaveSince = isOwnEvacuated ? std::optional(receivedAt) : std::nullopt;
    }
    m_shownEvacuations = zones;
    reportEvacuations(receivedAt);
    m_builder.setEvacuatedZones(std::move(zones));
    updateKeyOwner();
    publishDirectory({});
}

void router::state::reportEvacuations(steady_time now)
{
    std::vector<zone_change> changes;
    {
        const std::lock_guard lock(m_mutex);
        changes = m_evacuation.takeChanges(knownZones(), now);
    }
    for (const zone_change &change : changes) {
        logEvacuation(change);
    }
}

void router::state::logEvacuation(const zone_change &change)
{
    const bool isUnknown = change.type == zone_change::kind::UnknownZone;
    m_log.write(isUnknown ? log_level::Warn : log_level::Info,
                absl::StrCat("evacuation zone=", change.zone,
                             " state=", toAbsl(toString(change.type)),
                             " store_epoch=", epochOf(change.version),
                             " store_revision=", revisionOf(change.version),
                             " since_seen_ms=", change.sinceSeen.count()));
    if (isUnknown) {
        return;
    }
    m_metrics.addGauge(zoneGauge, absl::StrCat("zone=\"", escapeLabel(change.zone), "\""),
                       [this, zone = change.zone] {
                           const std::lock_guard lock(m_mutex);
                           return m_evacuation.zones().contains(zone) ? 1.0 : 0.0;
                       });
}

zone_set router::state::knownZones() const
{
    zone_set zones{m_settings.availabilityZone};
    for (const auto &[name, entry] : m_directory->members()) {
        zones.insert(entry.member.availabilityZone);
    }
    return zones;
}

void router::state::updateKeyOwner()
{
    if (!m_upstream.report()) {
        return;
    }
    const bool isPresent = m_upstream.phase() != upstream_phase::Absent;
    const bool isEvacuated = m_shownEvacuations.contains(m_settings.availabilityZone);
    const bool isLeaving = !m_upstream.acceptsRequests();
    m_ranges->setUpstream(isPresent ? std::optional(m_upstream.report()->id) : std::nullopt,
                          m_settings.upstreamAddress, isLeaving || isEvacuated,
                          isLeaving ? "leaving" : "evacuated");
}

void router::state::logKeysLeft(steady_time now)
{
    if (!m_keysLeaveSince || !m_upstream.report() || !m_ranges->ownsNoKeys()) {
        return;
    }
    const auto took = std::chrono::duration_cast<milliseconds>(now - *m_keysLeaveSince);
    m_keysLeaveSince.reset();
    logEvent("evacuation",
             absl::StrCat("zone=", m_settings.availabilityZone, " state=keys-left upstream=",
                          toString(m_upstream.report()->id), " since_seen_ms=", took.count()));
}

void router::state::restrictToAdmission(local_upstream_state &target, steady_time now) const
{
    const zone_admission admission = m_ownEvacuation.admissionAt(now);
    const proxy_reason reason =
        m_ownEvacuation.isKnown ? proxy_reason::Evacuated : proxy_reason::UpstreamUnreachable;
    if (target.rejectReason == proxy_reason::None && admission != zone_admission::All) {
        target.rejectReason = reason;
    }
    if (target.keyedRejectReason == proxy_reason::None && admission == zone_admission::Nothing) {
        target.keyedRejectReason = reason;
    }
}

} // namespace persimmonrail
