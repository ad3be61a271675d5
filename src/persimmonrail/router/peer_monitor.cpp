#include "persimmonrail/router/peer_monitor.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// Weight of the newest report in the exponentially weighted moving average; the last three polls
// make up most of the average.
constexpr double utilizationSmoothingWeight = 0.4;
// The second one is asked while the first one is avoided.
constexpr size_t maxPlacementWriters = 2;

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

std::string encodeStatuses(const peer_status &own, const std::vector<forwarded_status> &others)
{
    std::string text = absl::StrCat(encodePeerStatus(own), ";0;0");
    for (const forwarded_status &other : others) {
        absl::StrAppend(&text, "\n", encodePeerStatus(other.status), ";", other.age.count(), ";",
                        other.isUnresponsive ? 1 : 0);
    }
    return text;
}

std::vector<forwarded_status> parseStatuses(std::string_view text)
{
    std::vector<forwarded_status> statuses;
    for (const absl::string_view line : absl::StrSplit(toAbsl(text), '\n')) {
        const size_t lastSeparator = line.rfind(';');
        const size_t ageSeparator = lastSeparator == absl::string_view::npos || lastSeparator == 0
            ? absl::string_view::npos
            : line.rfind(';', lastSeparator - 1);
        if (ageSeparator == absl::string_view::npos) {
            continue;
        }
        const absl::string_view statusText = line.substr(0, ageSeparator);
        const auto status = parsePeerStatus(std::string_view(statusText.data(), statusText.size()));
        int64_t age = 0;
        if (!status
            || !absl::SimpleAtoi(line.substr(ageSeparator + 1, lastSeparator - ageSeparator - 1),
                                 &age)
            || age < 0) {
            continue;
        }
        statuses.push_back({*status, milliseconds(age), line.substr(lastSeparator + 1) == "1"});
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
        entry &updated = entries[peer->id];
        if (known != m_entries.end()) {
            updated = known->second;
        } else {
            updated.respondedAt = now;
        }
        updated.member = *peer;
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
    peer.utilization = peer.hasResponded
        ? peer.utilization + (load - peer.utilization) * utilizationSmoothingWeight
        : load;
    peer.queue = status.queue;
    peer.hasResponded = true;
    peer.isUnresponsive = false;
    peer.respondedAt = now;
}

void peer_health::onNoResponse(const upstream_id &id, steady_time)
{
    const auto known = m_entries.find(id);
    if (known != m_entries.end()) {
        known->second.isUnresponsive = true;
    }
}

void peer_health::onForwardedStatus(const forwarded_status &forwarded, steady_time now)
{
    const upstream_id &id = forwarded.status.upstream;
    const auto known = m_entries.find(id);
    if (known == m_entries.end()) {
        return;
    }
    if (forwarded.isUnresponsive) {
        known->second.isUnresponsive = true;
    } else if (now - forwarded.age > known->second.respondedAt) {
        onResponse(id, forwarded.status, now - forwarded.age);
    }
}

std::vector<const upstream_member *> peer_health::pollTargets(const upstream_member *self) const
{
    std::vector<const entry *> ordered;
    for (const auto &[id, peer] : m_entries) {
        ordered.push_back(&peer);
    }
    std::sort(ordered.begin(), ordered.end(),
              [](const entry *a, const entry *b) { return hasMoreCapacity(a->member, b->member); });
    std::vector<const upstream_member *> targets;
    for (const entry *peer : ordered) {
        targets.push_back(&peer->member);
        const bool pollsAllPeers = self == nullptr || hasMoreCapacity(peer->member, *self);
        if (pollsAllPeers && !peer->isUnresponsive) {
            return targets;
        }
    }
    return targets;
}

std::vector<forwarded_status> peer_health::peerStatuses(steady_time now) const
{
    std::vector<forwarded_status> statuses;
    for (const auto &[id, peer] : m_entries) {
        if (peer.hasResponded || peer.isUnresponsive) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - peer.respondedAt);
            queue_report queue = peer.queue;
            queue.limit = std::max({queue.limit, peer.member.slots, 1});
            statuses.push_back({{queue, id, peer.acceptsRequests}, age, peer.isUnresponsive});
        }
    }
    return statuses;
}

bool peer_health::isUnresponsive(const upstream_id &id) const
{
    const auto known = m_entries.find(id);
    return known != m_entries.end() && known->second.isUnresponsive;
}

bool peer_health::isUnreachable(const upstream_id &id, steady_time now) const
{
    const auto known = m_entries.find(id);
    return known != m_entries.end() && known->second.isUnresponsive
        && now - known->second.respondedAt >= m_options.unreachableTimeout;
}

range_controller::peer_view peer_health::view(const upstream_member *self, steady_time now) const
{
    range_controller::peer_view view;
    const bool acceptsKeys = self != nullptr && !self->isDraining;
    if (acceptsKeys) {
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
        // A member that has not been polled yet counts as live, on the word of the store.
        const bool isLive = peer.hasResponded ? peer.acceptsRequests : !peer.isUnresponsive;
        if (!peer.member.isDraining && isLive) {
            view.live.push_back({id, peer.member.slots});
        }
        if (!peer.member.isDraining && peer.hasResponded && peer.acceptsRequests) {
            view.loads.push_back({id, peer.member.slots, peer.utilization,
                                  peer.queue.meanServiceTime, peer.respondedAt});
        }
    }
    view.writers = placementWriters(self, now);
    const bool mostAreUnreachable = unreachable.size() * 2 > m_entries.size();
    for (const entry *peer : unreachable) {
        if (!mostAreUnreachable
            || now - peer->respondedAt >= m_options.majorityUnreachableTimeout) {
            view.unreachable.push_back(peer->member.id);
        }
    }
    return view;
}

std::vector<upstream_id> peer_health::placementWriters(const upstream_member *self,
                                                       steady_time now) const
{
    std::vector<const upstream_member *> reachable;
    if (self != nullptr) {
        reachable.push_back(self);
    }
    for (const auto &[id, peer] : m_entries) {
        if (!isUnreachable(id, now) && !peer.isUnresponsive) {
            reachable.push_back(&peer.member);
        }
    }
    std::sort(reachable.begin(), reachable.end(),
              [](const auto *a, const auto *b) { return hasMoreCapacity(*a, *b); });
    std::vector<upstream_id> writers;
    for (size_t i = 0; i < std::min(reachable.size(), maxPlacementWriters); ++i) {
        writers.push_back(reachable[i]->id);
    }
    return writers;
}

peer_monitor::peer_monitor(control_loop &loop, peer_monitor_options options,
                           statuses_hook onStatuses)
    : m_loop(loop)
    , m_options(options)
    , m_onStatuses(std::move(onStatuses))
    , m_health(options)
    , m_pool(std::make_shared<connection_pool>(connection_pool_options{
          1, 64, milliseconds(5000), milliseconds(5000), options.pollTimeout, false}))
    , m_client(m_pool)
{ }

void peer_monitor::poll(const std::vector<const upstream_member *> &peers,
                        const upstream_member *self, steady_time now)
{
    m_health.setPeers(peers, now);
    const milliseconds interval = peers.size() > m_options.maxSmallServiceMembers
        ? m_options.largeServicePollInterval
        : m_options.pollInterval;
    // poll() is not called at exact intervals, so a deviation of 10 % is tolerated.
    if (now - m_lastPollAt < interval * 9 / 10) {
        return;
    }
    m_lastPollAt = now;
    std::vector<poll_target> responsive;
    std::vector<poll_target> unresponsive;
    for (const upstream_member *peer : m_health.pollTargets(self)) {
        (m_health.isUnresponsive(peer->id) ? unresponsive : responsive)
            .push_back({peer->id, peer->peerAddress});
    }
    enqueuePolls(m_responsiveWorker, std::move(responsive), m_isResponsivePollPending);
    enqueuePolls(m_unresponsiveWorker, std::move(unresponsive), m_isUnresponsivePollPending);
}

void peer_monitor::enqueuePolls(background_worker &worker, std::vector<poll_target> targets,
                                bool &pending)
{
    if (pending || targets.empty()) {
        return;
    }
    pending = true;
    worker.enqueue([this, targets = std::move(targets), &pending] {
        for (const poll_target &target : targets) {
            pollPeer(target);
        }
        m_loop.post([&pending](steady_time) { pending = false; });
    });
}

void peer_monitor::pollPeer(const poll_target &target)
{
    const auto response = simpleRequest(m_client, target.address, "GET", peerStatusesPath, "",
                                        std::chrono::steady_clock::now() + m_options.pollTimeout);
    auto statuses = response.ok() ? parseStatuses(response->body) : std::vector<forwarded_status>();
    const std::string body = response.ok() ? response->body : std::string();
    m_loop.post(
        [this, id = target.id, statuses = std::move(statuses), body](steady_time respondedAt) {
            if (statuses.empty()) {
                m_health.onNoResponse(id, respondedAt);
                return;
            }
            m_health.onResponse(id, statuses.front().status, respondedAt);
            for (size_t i = 1; i < statuses.size(); ++i) {
                m_health.onForwardedStatus(statuses[i], respondedAt);
            }
            if (m_onStatuses) {
                m_onStatuses(body, respondedAt);
            }
        });
}

} // namespace persimmonrail
