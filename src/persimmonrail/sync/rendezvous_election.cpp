#include "persimmonrail/sync/rendezvous_election.h"

#include <algorithm>

namespace persimmonrail {

rendezvous_election::rendezvous_election(std::string selfName, std::string role,
                                         size_t targetHolderCount)
    : m_selfName(std::move(selfName))
    , m_role(std::move(role))
    , m_targetHolderCount(targetHolderCount)
{ }

void rendezvous_election::setMembers(const std::vector<const member_record *> &eligible,
                                     steady_time now)
{
    std::vector<std::pair<uint64_t, const member_record *>> weighted;
    weighted.reserve(eligible.size());
    for (const auto *member : eligible) {
        weighted.emplace_back(rendezvousWeight(member->id.name, m_role), member);
    }
    const size_t count = std::min(maxElectionCandidates, weighted.size());
    std::partial_sort(weighted.begin(), weighted.begin() + static_cast<std::ptrdiff_t>(count),
                      weighted.end(), [](const auto &left, const auto &right) {
                          return left.first != right.first
                              ? left.first > right.first
                              : left.second->id.name < right.second->id.name;
                      });
    m_candidates.clear();
    for (size_t i = 0; i < count; ++i) {
        m_candidates.push_back(*weighted[i].second);
    }
    const bool isSelfCandidate =
        std::any_of(m_candidates.begin(), m_candidates.end(),
                    [&](const member_record &member) { return member.id.name == m_selfName; });
    if (!isSelfCandidate) {
        m_candidateSince.reset();
    } else if (!m_candidateSince) {
        m_candidateSince = now;
    }
    std::erase_if(m_lastReplies, [&](const auto &reply) {
        return std::none_of(
            m_candidates.begin(), m_candidates.end(),
            [&](const member_record &member) { return member.id.name == reply.first; });
    });
}

std::vector<member_record> rendezvous_election::pingTargets() const
{
    std::vector<member_record> targets;
    if (m_candidateSince) {
        std::copy_if(m_candidates.begin(), m_candidates.end(), std::back_inserter(targets),
                     [&](const member_record &member) { return member.id.name != m_selfName; });
    }
    return targets;
}

void rendezvous_election::recordReply(std::string_view name, steady_time now)
{
    const bool isCandidateName =
        std::any_of(m_candidates.begin(), m_candidates.end(),
                    [&](const member_record &member) { return member.id.name == name; });
    if (isCandidateName) {
        m_lastReplies.insert_or_assign(std::string(name), now);
    }
}

bool rendezvous_election::holdsRole(steady_time now) const
{
    if (!m_candidateSince) {
        return false;
    }
    size_t precedingCount = 0;
    size_t responsiveCount = 0;
    for (const auto &member : m_candidates) {
        if (member.id.name == m_selfName) {
            break;
        }
        ++precedingCount;
        const auto reply = m_lastReplies.find(member.id.name);
        if (reply != m_lastReplies.end() && now - reply->second < maxElectionReplyAge) {
            ++responsiveCount;
        }
    }
    return precedingCount < m_targetHolderCount
        || (responsiveCount < m_targetHolderCount
            && now - *m_candidateSince >= electionGracePeriod);
}

std::vector<std::string> rendezvous_election::candidates() const
{
    std::vector<std::string> names;
    names.reserve(m_candidates.size());
    for (const auto &member : m_candidates) {
        names.push_back(member.id.name);
    }
    return names;
}

} // namespace persimmonrail
