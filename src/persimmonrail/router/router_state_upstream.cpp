// The part of router::state that tracks the local upstream and the peers' upstreams, and publishes
// their state to the fleet.
#include "persimmonrail/router/router_state.h"

#include "persimmonrail/base/key_hash.h"
#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

// Part of the drain timeout reserved for a request that is on its way to the upstream.
constexpr milliseconds drainMargin{500};
// An unreachable peer is marked again after this time if it removed the mark but still can't be
// reached.
constexpr milliseconds repeatMarkInterval{10000};
constexpr size_t maxReportBytes = 64 * 1024;
constexpr milliseconds reportTimeout{2000};
// Longest wait for the entry of a shutdown before its announcement is answered. An upstream takes a
// later answer for none.
constexpr milliseconds shutdownEntryTimeout{800};

} // namespace

std::optional<upstream_message> router::state::readReport(server_exchange &exchange)
{
    std::string body;
    const io_status status =
        exchange.readAll(body, maxReportBytes, std::chrono::steady_clock::now() + reportTimeout);
    if (status != io_status::Ok) {
        exchange.closeAfterResponse();
        exchange.respond(400, "", "text/plain");
        return std::nullopt;
    }
    auto message = m_platform.parseReport(exchange.request().getURI(), body);
    if (!message.ok()) {
        m_log.write(log_level::Warn,
                    absl::StrCat("report ignored reason=", message.status().ToString()));
        exchange.respond(400, "{}", "application/json");
        return std::nullopt;
    }
    if (!isFromLocalUpstream(*message)) {
        m_log.write(log_level::Warn,
                    absl::StrCat("report ignored reason=other-upstream upstream=",
                                 toString(message->report.id), " service=", message->report.service,
                                 " address=", message->report.address));
        exchange.respond(400, "{}", "application/json");
        return std::nullopt;
    }
    if (message->holdings && message->holdings->malformedCount > 0) {
        m_log.write(log_level::Warn,
                    absl::StrCat("report holdings malformed=", message->holdings->malformedCount));
    }
    return *std::move(message);
}

void router::state::serveReport(server_exchange &exchange)
{
    std::optional<upstream_message> message = readReport(exchange);
    if (!message) {
        return;
    }
    const boot_time receivedAt = bootNow();
    const steady_time reportedAt = std::chrono::steady_clock::now();
    // The acknowledgement is binding, so the daemon applies the message before it responds.
    const bool isLeaving = message->isDeparture || message->report.isDraining;
    report_effect effect = report_effect::NotApplied;
    std::optional<holdings> holdings;
    m_loop.postAndWait([&](steady_time now) {
        effect = applyReport(*message, reportedAt, now);
        if (!isLeaving) {
            holdings = takeHoldings(*message, effect, receivedAt);
        }
    });
    const bool isApplied = effect != report_effect::NotApplied;
    if (!isApplied || (isLeaving && !awaitShutdownEntry(message->report.id))) {
        m_log.write(log_level::Warn,
                    absl::StrCat("report not-confirmed upstream=", toString(message->report.id),
                                 " reason=", isApplied ? "no-entry" : "not-applied"));
        m_metrics.count("persimmonrail_reports_not_confirmed_total");
        exchange.respond(503, "{}", "application/json");
        return;
    }
    if (isLeaving) {
        // The time of the grants must not begin before the wait for the entry.
        m_loop.postAndWait(
            [&](steady_time) { holdings = takeHoldings(*message, effect, bootNow()); });
    }
    exchange.respond(200, encodeWithinBound(std::move(holdings)), "application/json");
}

router::state::report_effect router::state::applyReport(upstream_message &message,
                                                        steady_time arrivedAt, steady_time now)
{
    if (message.isDeparture && !resolveDeparture(message.report.id)) {
        return report_effect::NotApplied;
    }
    const bool isCurrent = onUpstreamMessage(message, now);
    if (message.isDeparture || message.report.isDraining) {
        publishShutdown(now);
    }
    if (isCurrent && !message.isDeparture) {
        m_coldWatch->onReport(message.report.warmUpRemaining, arrivedAt, now);
    }
    return isCurrent ? report_effect::Current : report_effect::Late;
}

std::optional<holdings> router::state::takeHoldings(const upstream_message &message,
                                                    report_effect effect, boot_time receivedAt)
{
    return effect == report_effect::Current && message.holdings
        ? m_ranges->onHeartbeat(*message.holdings, receivedAt)
        : std::nullopt;
}

bool router::state::resolveDeparture(upstream_id &id) const
{
    if (id.startedAt == 0 && m_upstream.report() && m_upstream.report()->id.name == id.name) {
        id = m_upstream.report()->id;
    }
    if (id.startedAt == 0) {
        const std::lock_guard lock(m_mutex);
        const auto *known = m_directory->findMember(id.name);
        if (known != nullptr && known->member.peerAddress == m_settings.peerAddress) {
            id = known->member.id;
        }
    }
    return id.startedAt != 0;
}

bool router::state::awaitShutdownEntry(const upstream_id &id)
{
    const auto isRecorded = [&] {
        return m_isDirectoryListed
            && findShutdownEntry(*m_directory, m_settings.peerAddress, id)
            == shutdown_entry::Recorded;
    };
    std::unique_lock lock(m_mutex);
    return m_directoryChanged.wait_for(lock, shutdownEntryTimeout, isRecorded);
}

void router::state::takeMemberEntry(const std::string &upstream, steady_time now)
{
    std::shared_ptr<const fleet_directory> directory;
    {
        const std::lock_guard lock(m_mutex);
        directory = m_directory;
    }
    const auto *known = directory->findMember(upstream);
    if (known == nullptr || known->member.peerAddress != m_settings.peerAddress
        || isSuperseded(*directory, m_settings.peerAddress, known->member.id)) {
        return;
    }
    if (m_upstream.onMemberEntry(known->recorded(), m_settings.upstreamAddress, now)
        == local_upstream::verdict::Changed) {
        onUpstreamChanged("member-entry", now);
    }
}

void router::state::publishShutdown(steady_time now)
{
    std::shared_ptr<const fleet_directory> directory;
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isDirectoryListed) {
            return;
        }
        directory = m_directory;
    }
    publishMembers(*directory, now);
}

// The settings name the service and the address of the only upstream on this host, so a report that
// names others is not about that upstream.
bool router::state::isFromLocalUpstream(const upstream_message &message) const
{
    return message.isDeparture
        || (message.report.service == m_settings.service
            && message.report.address == m_settings.upstreamAddress);
}

// An upstream ignores a larger response. Ranges that don't fit are left out, the last ones first,
// so that mostly the same ones are left out each time.
std::string router::state::encodeWithinBound(std::optional<holdings> holdings)
{
    std::string text = m_platform.encodeReportResponse(holdings);
    size_t leftOut = 0;
    while (holdings && !holdings->grants.empty()
           && text.size() > m_platform.maxReportResponseBytes) {
        holdings->grants.pop_back();
        ++leftOut;
        text = m_platform.encodeReportResponse(holdings);
    }
    if (leftOut > 0) {
        m_log.write(log_level::Warn, absl::StrCat("holdings too-long left_out=", leftOut));
    }
    return text;
}

bool router::state::onUpstreamMessage(const upstream_message &message, steady_time now)
{
    if (!message.isDeparture && isKnownToHaveEnded(message.report.id)) {
        m_log.write(log_level::Info,
                    absl::StrCat("report late upstream=", toString(message.report.id)));
        return false;
    }
    takeMemberEntry(message.report.id.name, now);
    const std::optional<upstream_report> before = m_upstream.report();
    const upstream_phase phaseBefore = m_upstream.phase();
    const local_upstream::verdict verdict = message.isDeparture
        ? m_upstream.onShutdownAnnounced(message.report.id, now)
        : m_upstream.onReport(message.report, now);
    if (verdict == local_upstream::verdict::Remembered) {
        m_log.write(log_level::Info,
                    absl::StrCat("shutdown remembered upstream=", toString(message.report.id)));
        return false;
    }
    if (verdict == local_upstream::verdict::Stale) {
        m_log.write(log_level::Info,
                    absl::StrCat("report stale upstream=", toString(message.report.id),
                                 " sequence=", message.report.sequence));
        return false;
    }
    if (before && m_upstream.report() && before->id != m_upstream.report()->id) {
        // The store may not know the earlier incarnation, if a heartbeat of it arrived late. If the
        // store does, its end is published from the directory.
        if (before->id.name != m_upstream.report()->id.name) {
            m_publisher->stopPublishing(before->id.name);
        }
        // The earlier incarnation's process has ended; otherwise its address would still be in use.
        m_dispatcher->closeIdleConnections(before->address);
        if (phaseBefore == upstream_phase::Ready || phaseBefore == upstream_phase::Silent) {
            onUpstreamCrash(before->id, now);
        }
    }
    if (verdict == local_upstream::verdict::Changed) {
        onUpstreamChanged(message.isDeparture ? "departure" : "report", now);
    }
    return true;
}

// A daemon that has restarted doesn't know the incarnations from before, but the directory does.
bool router::state::isKnownToHaveEnded(const upstream_id &id) const
{
    const std::lock_guard lock(m_mutex);
    return isSuperseded(*m_directory, m_settings.peerAddress, id);
}

// Forgets an incarnation whose late report arrived before the directory showed that it has ended.
void router::state::forgetSupersededUpstream()
{
    if (m_upstream.phase() == upstream_phase::Absent
        || !isKnownToHaveEnded(m_upstream.report()->id)) {
        return;
    }
    logEvent("upstream", absl::StrCat("id=", toString(m_upstream.report()->id), " superseded"));
    m_publisher->stopPublishing(m_upstream.report()->id.name);
    m_upstream.forget();
    m_ranges->setUpstream(std::nullopt, m_settings.upstreamAddress, true);
    const std::lock_guard lock(m_mutex);
    m_target = {};
    m_target.rejectReason = proxy_reason::UpstreamUnreachable;
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
    member.host = {m_settings.processorShare * m_settings.processorSpeed, m_settings.linkMbps};
    member.isTerminated = m_upstream.phase() == upstream_phase::Absent;
    member.isDraining = !m_upstream.acceptsRequests() || m_isStopping;
    member.hasAnnouncedShutdown = m_upstream.hasAnnouncedShutdown(report.id);
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
            && m_target.rejectReason != proxy_reason::Draining) {
            m_drainEnd = now + m_settings.drainTimeout - drainMargin;
        }
        m_target.id = report.id;
        m_target.service = m_settings.service;
        m_target.address = m_settings.upstreamAddress;
        m_target.rejectReason = m_upstream.acceptsRequests() ? proxy_reason::None
            : m_upstream.phase() == upstream_phase::Draining ? proxy_reason::Draining
                                                             : proxy_reason::UpstreamUnreachable;
    }
    m_dispatcher->setSlots(std::max(report.slots, 1));
    m_publisher->publish(ownMember());
    updateKeyOwner();
}

void router::state::onConnectionRefused(const upstream_id &id)
{
    if (!m_upstream.report() || m_upstream.report()->id != id) {
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    const upstream_phase before = m_upstream.phase();
    m_coldWatch->onRestartSign(now);
    if (m_upstream.onConnectionRefused(now) == local_upstream::verdict::Changed) {
        onUpstreamChanged("connection-refused", now);
        if (before != upstream_phase::Draining) {
            onUpstreamCrash(id, now);
        }
    }
}

void router::state::onUpstreamCrash(const upstream_id &id, steady_time now)
{
    const size_t suspects = m_quarantine.recordCrash(keyHash(toString(id)), now);
    m_metrics.count("persimmonrail_upstream_crashes_total");
    m_log.write(log_level::Warn,
                absl::StrCat("upstream-crash id=", toString(id), " suspects=", suspects));
    publishQuarantine(now);
}

void router::state::publishQuarantine(steady_time now)
{
    std::shared_ptr<const fleet_directory> directory;
    {
        const std::lock_guard lock(m_mutex);
        directory = m_directory;
    }
    m_quarantinePublisher->tick(*directory, now, std::chrono::system_clock::now());
}

// The other daemons give the keys of an upstream that has ended to others at once, so they learn of
// its end, also by the entry of its successor, only when no process can hold the keys.
void router::state::publishMembers(const fleet_directory &directory, steady_time now)
{
    forgetSupersededUpstream();
    for (const std::string &upstream : m_upstream.names()) {
        takeMemberEntry(upstream, now);
    }
    bool areReleased = true;
    for (const upstream_id &id : endedIncarnations(directory)) {
        areReleased = m_ranges->releaseEnded(id) && areReleased;
    }
    if (areReleased) {
        publishEndedMembers(directory);
        m_publisher->tick(directory, now);
    }
}

std::vector<upstream_id> router::state::endedIncarnations(const fleet_directory &directory) const
{
    if (!m_upstream.report()) {
        return {};
    }
    const upstream_id &present = m_upstream.report()->id;
    std::vector<upstream_id> ended =
        earlierIncarnationsAt(directory, m_settings.peerAddress, present);
    if (m_upstream.phase() == upstream_phase::Absent) {
        ended.push_back(present);
    }
    return ended;
}

// A host has one upstream. Once another incarnation reports, the members that this daemon published
// before its restart have ended, even if their last messages were lost.
void router::state::publishEndedMembers(const fleet_directory &directory)
{
    if (!m_upstream.report()) {
        return;
    }
    for (const upstream_member &member :
         endedMembersAt(directory, m_settings.peerAddress, m_upstream.report()->id)) {
        m_publisher->publish(member);
    }
}

void router::state::expireUpstreamReports(steady_time now)
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
    const bool isUpstreamPresent =
        m_upstream.report() && m_upstream.phase() != upstream_phase::Absent;
    upstream_member own = isUpstreamPresent ? ownMember() : upstream_member();
    own.isDraining = own.isDraining || directory->isEvacuated(m_settings.availabilityZone);
    m_peers->poll(peers, isUpstreamPresent ? &own : nullptr, now);
    {
        const std::lock_guard lock(m_mutex);
        m_peerStatuses = m_peers->health().peerStatuses(now);
        m_peerStatusesAt = now;
    }
    if (m_zoneLoads != nullptr) {
        updateZoneLoads(*directory, now);
    }
    range_controller::peer_view view =
        m_peers->health().view(isUpstreamPresent ? &own : nullptr, now);
    if (view.isCoordinator) {
        markUnreachable(*directory, view.unreachable, now);
    }
    m_ranges->setPeers(std::move(view));
}

void router::state::updateZoneLoads(const fleet_directory &directory, steady_time now)
{
    const local_upstream_state target = localUpstreamState();
    const bool acceptsRequests = target.rejectReason == proxy_reason::None && !m_isStopping;
    m_zoneLoads->update(directory.membersOf(m_settings.service),
                        {m_dispatcher->queue(), target.id, acceptsRequests},
                        m_peers->health().peerStatuses(now), now);
}

// Marks unreachable members in the store as draining, so that other daemons need not detect the
// failure themselves. The daemon of a member that is reachable again removes the mark itself.
void router::state::markUnreachable(const fleet_directory &directory,
                                    const std::vector<upstream_id> &unreachable, steady_time now)
{
    for (auto marked = m_unreachableMarkedAt.begin(); marked != m_unreachableMarkedAt.end();) {
        const auto *known = directory.findMember(marked->first);
        if (known == nullptr || known->member.isDraining) {
            m_publisher->stopPublishing(marked->first);
        }
        marked = now - marked->second >= repeatMarkInterval ? m_unreachableMarkedAt.erase(marked)
                                                            : std::next(marked);
    }
    for (const upstream_id &id : unreachable) {
        const auto *known = directory.findMember(id.name);
        if (known == nullptr || known->member.id != id || known->member.isDraining
            || m_unreachableMarkedAt.contains(id.name)) {
            continue;
        }
        upstream_member member = known->recorded();
        member.isDraining = true;
        m_publisher->publish(member);
        m_unreachableMarkedAt[id.name] = now;
        logEvent("peer-unreachable", absl::StrCat("upstream=", toString(id)));
    }
}

local_upstream_state router::state::localUpstreamState() const
{
    const std::lock_guard lock(m_mutex);
    local_upstream_state target = m_target;
    if (m_isDispatchClosed && target.rejectReason == proxy_reason::None) {
        target.rejectReason = proxy_reason::Stopping;
    }
    const steady_time now = std::chrono::steady_clock::now();
    const bool isOpenForKeys =
        target.rejectReason == proxy_reason::Draining && !m_isDispatchClosed && now < m_drainEnd;
    target.keyedRejectReason = isOpenForKeys ? proxy_reason::None : target.rejectReason;
    restrictToAdmission(target, now);
    return target;
}

} // namespace persimmonrail
