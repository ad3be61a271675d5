#include "persimmonrail/proxy/peer_liveness.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Entries of peers that respond are erased when there are more entries than this, since no
// directory may name these peers any more.
constexpr size_t maxEntries = 4096;

} // namespace

peer_liveness::peer_liveness(peer_liveness_options options)
    : m_options(options)
{ }

void peer_liveness::recordResponse(const std::string &address, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    entry &peer = m_peers[address];
    peer.respondedAt = std::max(peer.respondedAt, now);
    peer.unansweredSince.reset();
    if (m_peers.size() > maxEntries) {
        std::erase_if(m_peers, [](const auto &item) { return !item.second.unansweredSince; });
    }
}

void peer_liveness::recordNoResponse(const std::string &address, steady_time probedAt,
                                     steady_time now)
{
    const std::lock_guard lock(m_mutex);
    entry &peer = m_peers[address];
    if (peer.unansweredSince && probedAt - peer.checkedAt >= m_options.memoryTime) {
        peer.unansweredSince.reset();
    }
    const steady_time unansweredSince = std::max(probedAt, peer.respondedAt);
    peer.unansweredSince =
        std::min(peer.unansweredSince.value_or(unansweredSince), unansweredSince);
    peer.checkedAt = now;
}

bool peer_liveness::isUnresponsiveFor(const entry &peer, milliseconds time, steady_time now) const
{
    return peer.unansweredSince && now - *peer.unansweredSince >= time
        && now - peer.checkedAt < m_options.memoryTime;
}

bool peer_liveness::isTestDue(const entry &peer, steady_time now) const
{
    // A probe that waits is a test, too.
    return now - std::max(peer.testedAt, peer.checkedAt) >= m_options.testInterval;
}

bool peer_liveness::mayBegin(const entry &peer, steady_time now) const
{
    return !isUnresponsiveFor(peer, m_options.unresponsiveTimeout, now) || isTestDue(peer, now);
}

bool peer_liveness::mayBegin(std::string_view address, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_peers.find(address);
    return known == m_peers.end() || mayBegin(known->second, now);
}

bool peer_liveness::isUnresponsive(std::string_view address, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_peers.find(address);
    return known != m_peers.end()
        && isUnresponsiveFor(known->second, m_options.unresponsiveTimeout, now);
}

bool peer_liveness::shouldAvoid(std::string_view address, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_peers.find(address);
    return known != m_peers.end()
        && isUnresponsiveFor(known->second, m_options.suspicionTimeout, now)
        && !isTestDue(known->second, now);
}

bool peer_liveness::tryBegin(std::string_view address, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_peers.find(address);
    if (known == m_peers.end() || !known->second.unansweredSince) {
        return true;
    }
    entry &peer = known->second;
    if (!mayBegin(peer, now)) {
        return false;
    }
    peer.testedAt = now;
    return true;
}

} // namespace persimmonrail
