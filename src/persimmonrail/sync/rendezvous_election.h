#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/sync/fleet_view.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Maximum number of candidates for one role. Bounds the number of pings, because each candidate
// pings all others.
inline constexpr size_t maxElectionCandidates = 6;
// Interval between the pings of one candidate to another.
inline constexpr milliseconds electionPingInterval{1000};
// A candidate counts as responsive until its last reply has this age.
inline constexpr milliseconds maxElectionReplyAge{5000};
// Period in which a new candidate does not replace unresponsive preceding candidates. It gives
// these candidates time to reply to the first pings.
inline constexpr milliseconds electionGracePeriod{2000};

// Assigns a role to the first members in rendezvous order, that is, by descending
// rendezvousWeight() of the instance name for the role. The first maxElectionCandidates eligible
// members are the candidates. The first `targetHolderCount` candidates always hold the role.
// Another candidate holds it while fewer than `targetHolderCount` of the preceding candidates have
// replied to its pings within maxElectionReplyAge, but not before it has been a candidate for
// electionGracePeriod. More than `targetHolderCount` members may consider themselves holders at the
// same time. Additional holders must therefore do no harm, and a holder must write to the store
// only by conditional updates.
//
// Not thread safe; used on the control thread only.
class rendezvous_election
{
public:
    // `role` identifies the role and determines the rendezvous order.
    rendezvous_election(std::string selfName, std::string role, size_t targetHolderCount);

    // Determines the candidates among the eligible members. Must be called whenever the fleet view
    // has changed.
    void setMembers(const std::vector<const member_record *> &eligible, steady_time now);
    // Returns the members to ping every electionPingInterval; empty if this daemon is not a
    // candidate.
    std::vector<member_record> pingTargets() const;
    // Records that a member replied to a ping. Has no effect if the member is not a candidate.
    void recordReply(std::string_view name, steady_time now);
    bool holdsRole(steady_time now) const;
    bool isCandidate() const { return m_candidateSince.has_value(); }
    // Returns the instance names of the candidates in rendezvous order.
    std::vector<std::string> candidates() const;

private:
    std::string m_selfName;
    std::string m_role;
    size_t m_targetHolderCount;
    // In rendezvous order.
    std::vector<member_record> m_candidates;
    // Empty if this daemon is not a candidate.
    std::optional<steady_time> m_candidateSince;
    // Time of the last reply of each candidate, by instance name.
    std::map<std::string, steady_time, std::less<>> m_lastReplies;
};

} // namespace persimmonrail
