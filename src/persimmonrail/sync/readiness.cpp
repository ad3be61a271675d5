#include "persimmonrail/sync/readiness.h"

#include <algorithm>
#include <set>

namespace persimmonrail {

readiness::readiness(std::string selfName)
    : m_selfName(std::move(selfName))
{ }

void readiness::recordPlatformRead(uint64_t revision)
{
    m_hasReadPlatform = true;
    m_platformRevision = std::max(m_platformRevision, revision);
}

void readiness::recordPullReply(const instance_id &peer, const wire::PullReply &reply)
{
    m_minimumRevision = std::max(m_minimumRevision, reply.floor());
    if (reply.revision() > 0 && peer.name != m_selfName) {
        m_firstRevisions.try_emplace(peer.name, reply.revision());
    }
}

bool readiness::evaluate(uint64_t revision, const fleet_view &view)
{
    if (!m_isReady && revision >= m_minimumRevision) {
        const bool hasAppliedPlatformRead = m_hasReadPlatform && revision >= m_platformRevision;
        m_isReady = hasAppliedPlatformRead || hasCaughtUpWithPeers(revision, view);
    }
    return m_isReady;
}

bool readiness::hasCaughtUpWithPeers(uint64_t revision, const fleet_view &view) const
{
    size_t peerCount = 0;
    size_t repliedPeerCount = 0;
    std::set<std::string_view> zones;
    std::set<std::string_view> repliedZones;
    for (const auto &[name, member] : view.members) {
        if (name == m_selfName) {
            continue;
        }
        ++peerCount;
        zones.insert(member.availabilityZone);
        const auto reply = m_firstRevisions.find(name);
        if (reply != m_firstRevisions.end()) {
            ++repliedPeerCount;
            repliedZones.insert(member.availabilityZone);
        }
    }
    const bool isUpToDate =
        std::all_of(m_firstRevisions.begin(), m_firstRevisions.end(),
                    [&](const auto &reply) { return revision >= reply.second; });
    return isUpToDate && peerCount > 0 && repliedPeerCount >= std::min(minReadinessPeers, peerCount)
        && repliedZones.size() >= std::min(minReadinessZones, zones.size());
}

} // namespace persimmonrail
