#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/sync/fleet_view.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Maximum number of candidates for one role. The candidates ping each other.
inline constexpr size_t maxElectionCandidates = 6;
// Interval between the pings of one candidate to another.
inline constexpr milliseconds electionPingInterval{1000};
// A candidate counts as responsive until its last response has this age.
inline constexpr milliseconds maxElectionResponseAge{5000};
// Delay before a new candidate may replace unresponsive preceding candidates. The delay gives these
// candidates time to respond to the first pings.
inline constexpr milliseconds electionGraceDelay{2000};

// Assigns a role to the first members in rendezvous order. A candidate holds the role while fewer
// than `maxHolders` of the preceding candidates have responded to the candidate's pings within
// maxElectionResponseAge. More than `maxHolders` members may consider themselves holders at the
// same time. Additional holders must therefore do no harm, and a holder must write to the store
// only by conditional updates.
//
// Not thread safe; used on the control thread only.
class rendezvous_election
{
public:
    // `role` identifies the role and determines the rendezvous order.
    rendezvous_election(std::string selfName, std::string role, size_t maxHolders);

    // Determines the candidates among the eligible members. Must be called whenever the fleet view
    // has changed.
    void setMembers(const std::vector<const member_record *> &eligible, steady_time now);
    // Returns the members to ping every electionPingInterval; empty if this daemon is not a
    // candidate.
    std::vector<member_record> pingTargets() const;
    // Records that a member responded to a ping. Has no effect if the member is not a candidate.
    void recordResponse(std::string_view name, steady_time now);
    bool holdsRole(steady_time now) const;
    bool isCandidate() const { return m_candidateSince.has_value(); }
    // Returns the instance names of the candidates in rendezvous order.
    std::vector<std::string> candidates() const;

private:
    std::string m_selfName;
    std::string m_role;
    size_t m_maxHolders;
    // In rendezvous order.
    std::vector<member_record> m_candidates;
    // Empty if this daemon is not a candidate.
    std::optional<steady_time> m_candidateSince;
    // Time of the last response of each candidate, by instance name.
    std::map<std::string, steady_time, std::less<>> m_responses;
};

} // namespace persimmonrail
