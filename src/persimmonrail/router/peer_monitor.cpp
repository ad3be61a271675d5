#include "persimmonrail/router/peer_monitor.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Weight of the newest report in the mean; three polls make most of it.
constexpr double loadSmoothing = 0.4;

} // namespace

std::string encodePeerStatus(const peer_status &status)
{
    return absl::StrCat(encodeQueueReport(status.queue), ";", status.upstream.name, ";",
                        status.upstream.startedAt, ";", status.acceptsRequests ? 1 : 0);
}

std::optional<peer_status> parsePeerStatus(std::string_view text)
{
    const std::vector<std::string> parts = absl::StrSplit(toAbsl(text), ';');
    if (parts.size() != 4) {
        return std::nullopt;
    }
    const auto queue = parseQueueReport(parts[0]);
    peer_status status;
    status.upstream.name = parts[1];
    status.acceptsRequests = parts[3] == "1";
    if (!queue || !absl::SimpleAtoi(parts[2], &status.upstream.startedAt)) {
        return std::nullopt;
    }
    status.queue = *queue;
    return status;
}

std::string encodeStatuses(const peer_status &own, const std::vector<reported_status> &others)
{
    std::string text = absl::StrCat(encodePeerStatus(own), ";0;0");
    for (const reported_status &other : others) {
        absl::StrAppend(&text, "\n", encodePeerStatus(other.status), ";", other.age.count(), ";",
                        other.isSilent ? 1 : 0);
    }
    return text;
}

std::vector<reported_status> parseStatuses(std::string_view text)
{
    std::vector<reported_status> statuses;
    for (const absl::string_view line : absl::StrSplit(toAbsl(text), '\n')) {
        const size_t lastField = line.rfind(';');
        const size_t ageField = lastField == absl::string_view::npos || lastField == 0
            ? absl::string_view::npos
            : line.rfind(';', lastField - 1);
        if (ageField == absl::string_view::npos) {
            continue;
        }
        const absl::string_view head = line.substr(0, ageField);
        const auto status = parsePeerStatus(std::string_view(head.data(), head.size()));
        int64_t age = 0;
        if (!status || !absl::SimpleAtoi(line.substr(ageField + 1, lastField - ageField - 1), &age)
            || age < 0) {
            continue;
        }
        statuses.push_back({*status, milliseconds(age), line.substr(lastField + 1) == "1"});
    }
    return statuses;
}

peer_health::peer_health(peer_monitor_options options)
    : m_options(options)
{ }

double peer_health::utilization(const queue_report &report)
{
    return static_cast<double>(report.running + report.waiting) / std::max(report.limit, 1);
}

void peer_health::setPeers(const std::vector<const upstream_member *> &peers, steady_time now)
{
    std::map<upstream_id, entry> entries;
    for (const upstream_member *peer : peers) {
        const auto known = m_entries.find(peer->id);
        entry &kept = entries[peer->id];
        if (known != m_entries.end()) {
            kept = known->second;
        } else {
            kept.respondedAt = now;
        }
        kept.member = *peer;
    }
    m_entries = std::move(entries);
}

void peer_health::onResponse(const upstream_id &id, const peer_status &status, steady_time now)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        return;
    }
    entry &peer = known->second;
    const double load = utilization(status.queue);
    peer.acceptsRequests = status.acceptsRequests && status.upstream == id;
    peer.utilization =
        peer.hasResponded ? peer.utilization + (load - peer.utilization) * loadSmoothing : load;
    peer.queue = status.queue;
    peer.hasResponded = true;
    peer.isSilent = false;
    peer.respondedAt = now;
}

void peer_health::onSilence(const upstream_id &id, steady_time)
{
    const auto known = m_entries.find(id);
    if (known != m_entries.end()) {
        known->second.isSilent = true;
    }
}

void peer_health::onReported(const reported_status &reported, steady_time now)
{
    const upstream_id &id = reported.status.upstream;
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        return;
    }
    if (reported.isSilent) {
        known->second.isSilent = true;
    } else if (now - reported.age > known->second.respondedAt) {
        onResponse(id, reported.status, now - reported.age);
    }
}

std::vector<const upstream_member *> peer_health::targets(const upstream_member *self) const
{
    std::vector<const entry *> ordered;
    for (const auto &[id, peer] : m_entries) {
        ordered.push_back(&peer);
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const entry *a, const entry *b) { return hasMoreCapacity(a->member, b->member); });
    std::vector<const upstream_member *> asked;
    for (const entry *peer : ordered) {
        asked.push_back(&peer->member);
        const bool asksForOthers = self == nullptr || hasMoreCapacity(peer->member, *self);
        if (asksForOthers && !peer->isSilent) {
            return asked;
        }
    }
    return asked;
}

std::vector<reported_status> peer_health::known(steady_time now) const
{
    std::vector<reported_status> statuses;
    for (const auto &[id, peer] : m_entries) {
        if (peer.hasResponded || peer.isSilent) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - peer.respondedAt);
            queue_report queue = peer.queue;
            queue.limit = std::max({queue.limit, peer.member.slots, 1});
            statuses.push_back({{queue, id, peer.acceptsRequests}, age, peer.isSilent});
        }
    }
    return statuses;
}

bool peer_health::isSilent(const upstream_id &id) const
{
    const auto known = m_entries.find(id);
    return known != m_entries.end() && known->second.isSilent;
}

bool peer_health::isUnreachable(const upstream_id &id, steady_time now) const
{
    const auto known = m_entries.find(id);
    return known != m_entries.end() && known->second.isSilent
        && now - known->second.respondedAt >= m_options.unreachableAfter;
}

range_controller::peers peer_health::view(const upstream_member *self, steady_time now) const
{
    range_controller::peers view;
    const bool takesPart = self != nullptr && !self->isDraining;
    if (takesPart) {
        view.live.push_back({self->id, self->slots});
    }
    view.isCoordinator = self != nullptr;
    std::vector<const entry *> unreachable;
    for (const auto &[id, peer] : m_entries) {
        if (isUnreachable(id, now)) {
            unreachable.push_back(&peer);
            continue;
        }
        if (self != nullptr && id < self->id) {
            view.isCoordinator = false;
        }
        // A member that was just written is believed until it could be asked.
        const bool isLive = peer.hasResponded ? peer.acceptsRequests : !peer.isSilent;
        if (!peer.member.isDraining && isLive) {
            view.live.push_back({id, peer.member.slots});
        }
        if (!peer.member.isDraining && peer.hasResponded && peer.acceptsRequests) {
            view.loads.push_back(
                {id, peer.member.slots, peer.utilization, peer.queue.meanServiceTime});
        }
    }
    const bool mostAreUnreachable = unreachable.size() * 2 > m_entries.size();
    for (const entry *peer : unreachable) {
        if (!mostAreUnreachable || now - peer->respondedAt >= m_options.unreachableAfterIfMost) {
            view.unreachable.push_back(peer->member.id);
        }
    }
    return view;
}

peer_monitor::peer_monitor(control_loop &loop, peer_monitor_options options)
    : m_loop(loop)
    , m_options(options)
    , m_health(options)
    , m_pool(std::make_shared<connection_pool>(connection_pool_options{
          1, 64, milliseconds(5000), milliseconds(5000), options.pollTimeout, false}))
    , m_client(m_pool)
{ }

void peer_monitor::poll(const std::vector<const upstream_member *> &peers,
                        const upstream_member *self, steady_time now)
{
    m_health.setPeers(peers, now);
    const milliseconds interval =
        peers.size() > m_options.fewMembers ? m_options.largePollInterval : m_options.pollInterval;
    // The caller's own interval is not exact.
    if (now - m_lastRound < interval * 9 / 10) {
        return;
    }
    m_lastRound = now;
    std::vector<target> sound;
    std::vector<target> silent;
    for (const upstream_member *peer : m_health.targets(self)) {
        (m_health.isSilent(peer->id) ? silent : sound).push_back({peer->id, peer->peerAddress});
    }
    ask(m_soundWorker, std::move(sound), m_soundPending);
    ask(m_silentWorker, std::move(silent), m_silentPending);
}

void peer_monitor::ask(background_worker &worker, std::vector<target> targets, bool &pending)
{
    if (pending || targets.empty()) {
        return;
    }
    pending = true;
    worker.enqueue([this, targets = std::move(targets), &pending] {
        for (const target &target : targets) {
            askOne(target);
        }
        m_loop.post([&pending](steady_time) { pending = false; });
    });
}

void peer_monitor::askOne(const target &target)
{
    const auto response = simpleRequest(m_client, target.address, "GET", peerStatusesPath, "",
                                        std::chrono::steady_clock::now() + m_options.pollTimeout);
    auto statuses = response.ok() ? parseStatuses(response->body) : std::vector<reported_status>();
    m_loop.post([this, id = target.id, statuses = std::move(statuses)](steady_time respondedAt) {
        if (statuses.empty()) {
            m_health.onSilence(id, respondedAt);
            return;
        }
        m_health.onResponse(id, statuses.front().status, respondedAt);
        for (size_t i = 1; i < statuses.size(); ++i) {
            m_health.onReported(statuses[i], respondedAt);
        }
    });
}

} // namespace persimmonrail
