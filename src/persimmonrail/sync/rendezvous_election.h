#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/sync/fleet_view.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Members that ping each other to fill one role.
inline constexpr size_t electionCandidates = 6;
inline constexpr milliseconds electionPingInterval{1000};
// A member counts as alive for this time after an answer.
inline constexpr milliseconds electionResponseAge{5000};
// Time that a new candidate gives higher-ranked members to answer before it takes the role.
inline constexpr milliseconds electionGrace{2000};

// Fills a role by rendezvous rank: a candidate holds it while fewer than `holders` higher-ranked
// members answered its pings of late. Two members that both believe they hold the role must do no
// harm; whatever the role writes is written by conditional update.
//
// Belongs to the control thread.
class rendezvous_election
{
public:
    rendezvous_election(std::string selfName, std::string subject, size_t holders);

    // Ranks the eligible members anew; to be called when the view has changed.
    void setMembers(const std::vector<const member_record *> &eligible, steady_time now);
    // Members to ping each electionPingInterval; empty if this daemon is no candidate.
    std::vector<member_record> pingTargets() const;
    void recordResponse(std::string_view name, steady_time now);
    bool holdsRole(steady_time now) const;
    bool isCandidate() const { return m_candidateSince.has_value(); }
    // Names of the candidates, the highest rank first.
    std::vector<std::string> candidates() const;

private:
    std::string m_selfName;
    std::string m_subject;
    size_t m_holders;
    std::vector<member_record> m_candidates;
    std::optional<steady_time> m_candidateSince;
    std::map<std::string, steady_time, std::less<>> m_responses;
};

} // namespace persimmonrail
