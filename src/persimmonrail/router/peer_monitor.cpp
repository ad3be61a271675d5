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
                        status.upstream.startedAt, ";", status.takesWork ? 1 : 0);
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
    status.takesWork = parts[3] == "1";
    if (!queue || !absl::SimpleAtoi(parts[2], &status.upstream.startedAt)) {
        return std::nullopt;
    }
    status.queue = *queue;
    return status;
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
            kept.answeredAt = now;
        }
        kept.member = *peer;
    }
    m_entries = std::move(entries);
}

void peer_health::onAnswer(const upstream_id &id, const peer_status &status, steady_time now)
{
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        return;
    }
    entry &peer = known->second;
    const double load = utilization(status.queue);
    peer.takesWork = status.takesWork && status.upstream == id;
    peer.utilization =
        peer.hasAnswered ? peer.utilization + (load - peer.utilization) * loadSmoothing : load;
    peer.service = status.queue.service;
    peer.hasAnswered = true;
    peer.isSilent = false;
    peer.answeredAt = now;
}

void peer_health::onSilence(const upstream_id &id, steady_time)
{
    const auto known = m_entries.find(id);
    if (known != m_entries.end()) {
        known->second.isSilent = true;
    }
}

bool peer_health::isUnreachable(const upstream_id &id, steady_time now) const
{
    const auto known = m_entries.find(id);
    return known != m_entries.end() && known->second.isSilent
        && now - known->second.answeredAt >= m_options.unreachableAfter;
}

range_keeper::peers peer_health::view(const upstream_member *self, steady_time now) const
{
    range_keeper::peers view;
    const bool takesPart = self != nullptr && !self->isLeaving;
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
        const bool isLive = peer.hasAnswered ? peer.takesWork : !peer.isSilent;
        if (!peer.member.isLeaving && isLive) {
            view.live.push_back({id, peer.member.slots});
        }
        if (!peer.member.isLeaving && peer.hasAnswered && peer.takesWork) {
            view.loads.push_back({id, peer.member.slots, peer.utilization, peer.service});
        }
    }
    const bool mostAreUnreachable = unreachable.size() * 2 > m_entries.size();
    for (const entry *peer : unreachable) {
        if (!mostAreUnreachable || now - peer->answeredAt >= m_options.unreachableAfterIfMost) {
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

void peer_monitor::poll(const std::vector<const upstream_member *> &peers, steady_time now)
{
    m_health.setPeers(peers, now);
    if (m_pending) {
        return;
    }
    m_pending = true;
    std::vector<std::pair<upstream_id, std::string>> targets;
    targets.reserve(peers.size());
    for (const upstream_member *peer : peers) {
        targets.emplace_back(peer->id, peer->peerAddress);
    }
    m_worker.enqueue([this, targets = std::move(targets)] {
        for (const auto &[id, address] : targets) {
            const auto answer =
                simpleRequest(m_client, address, "GET", peerStatusPath, "",
                              std::chrono::steady_clock::now() + m_options.pollTimeout);
            const auto status = answer.ok() ? parsePeerStatus(answer->body) : std::nullopt;
            m_loop.post([this, id = id, status](steady_time answered) {
                if (status) {
                    m_health.onAnswer(id, *status, answered);
                } else {
                    m_health.onSilence(id, answered);
                }
            });
        }
        m_loop.post([this](steady_time) { m_pending = false; });
    });
}

} // namespace persimmonrail
