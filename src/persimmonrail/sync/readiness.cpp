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
    m_floor = std::max(m_floor, reply.floor());
    if (reply.revision() > 0 && peer.name != m_selfName) {
        m_answers.try_emplace(peer.name, reply.revision());
    }
}

bool readiness::evaluate(uint64_t revision, const fleet_view &view)
{
    if (!m_ready && revision >= m_floor) {
        const bool platformApplied = m_platformRead && revision >= m_platformRevision;
        m_ready = platformApplied || hasCaughtUpWithPeers(revision, view);
    }
    return m_ready;
}

bool readiness::hasCaughtUpWithPeers(uint64_t revision, const fleet_view &view) const
{
    size_t others = 0;
    size_t answered = 0;
    std::set<std::string_view> zones;
    std::set<std::string_view> answeredZones;
    for (const auto &[name, member] : view.members) {
        if (name == m_selfName) {
            continue;
        }
        ++others;
        zones.insert(member.availabilityZone);
        const auto answer = m_answers.find(name);
        if (answer != m_answers.end()) {
            ++answered;
            answeredZones.insert(member.availabilityZone);
        }
    }
    const bool current = std::all_of(m_answers.begin(), m_answers.end(),
                                     [&](const auto &answer) { return revision >= answer.second; });
    return current && others > 0 && answered >= std::min(readinessPeers, others)
        && answeredZones.size() >= std::min(readinessZones, zones.size());
}

} // namespace persimmonrail
