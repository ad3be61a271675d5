#include "persimmonrail/sync/readiness.h"

#include <algorithm>
#include <set>

namespace persimmonrail {

readiness::readiness(std::string selfName)
    : m_selfName(std::move(selfName))
{ }

void readiness::notePlatformRead(uint64_t revision)
{
    m_platformRead = true;
    m_platformRevision = std::max(m_platformRevision, revision);
}

void readiness::notePull(const instance_id &peer, const wire::PullReply &reply)
{
    m_minimumRevision = std::max(m_minimumRevision, reply.floor());
    if (reply.revision() > 0 && peer.name != m_selfName) {
        m_replies.try_emplace(peer.name, reply.revision());
    }
}

bool readiness::evaluate(uint64_t revision, const fleet_view &view)
{
    if (!m_ready && revision >= m_minimumRevision) {
        const bool platformApplied = m_platformRead && revision >= m_platformRevision;
        m_ready = platformApplied || hasCaughtUpWithPeers(revision, view);
    }
    return m_ready;
}

bool readiness::hasCaughtUpWithPeers(uint64_t revision, const fleet_view &view) const
{
    size_t others = 0;
    size_t replied = 0;
    std::set<std::string_view> zones;
    std::set<std::string_view> repliedZones;
    for (const auto &[name, member] : view.members) {
        if (name == m_selfName) {
            continue;
        }
        ++others;
        zones.insert(member.availabilityZone);
        const auto reply = m_replies.find(name);
        if (reply != m_replies.end()) {
            ++replied;
            repliedZones.insert(member.availabilityZone);
        }
    }
    const bool current = std::all_of(m_replies.begin(), m_replies.end(),
                                     [&](const auto &reply) { return revision >= reply.second; });
    return current && others > 0 && replied >= std::min(readinessPeers, others)
        && repliedZones.size() >= std::min(readinessZones, zones.size());
}

} // namespace persimmonrail
