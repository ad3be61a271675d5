#pragma once

#include "persimmonrail/balance/placement_plan.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/sync/rendezvous_election.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// A member without an answer for this long is removed, once another daemon confirms it.
inline constexpr std::chrono::seconds memberSilence{60};
// The coordinator pings each member of its service once per interval. The interval grows with the
// service, so that a coordinator sends at most 100 pings a second up to 1,000 members.
inline constexpr milliseconds memberPingPerMember{10};
inline constexpr milliseconds minMemberPing{1000};
inline constexpr milliseconds maxMemberPing{10000};
// A member whose answer to a ping is late by this time is given no partitions. A failover takes a
// little over 1 s, and the imbalance it leaves must not be evened out by moves back to a member
// that is paused; a wrong belief only delays a placement.
inline constexpr milliseconds lateReply{500};
// A service without records is placed once its members have not changed for this time, so that
// instances that start together share the first placement without moves.
inline constexpr std::chrono::seconds initialSettleTime{2};
// Least time between load-driven plans of one service. It lets the effect of the last move show
// in the observed rates.
inline constexpr std::chrono::seconds loadPlanInterval{30};
// A write, acceptance or confirmation that has shown no effect is tried again after this time.
inline constexpr std::chrono::seconds coordinatorRetryInterval{5};

// The duties of a service's coordinator: placement, acceptance of documents, removal of failed
// members. Every daemon runs one; it acts for its upstream's service while it has the highest rank
// among the service's members that answer. A second election among all members fills the role for
// services without members and for daemons without upstream. A wrong belief costs only a conflict,
// since all writes are conditional.
//
// Pure but for its hooks; belongs to the control thread.
class coordinator
{
public:
    struct hooks
    {
        placement_hooks placement;
        // Writes asynchronously; the result shows in a later view.
        std::function<void(const record_change &change)> writeRecord;
        // Returns the "config/<service>" objects that are newer than what was last evaluated.
        std::function<std::vector<stored_object>()> newerDocuments;
        // Evaluates the document and writes "accepted/<service>" and "status/<service>".
        std::function<void(const std::string &service, const stored_object &config)> acceptDocument;
        // Asks `helper` whether it gets an answer from `suspect`; the result goes to
        // noteConfirmation().
        std::function<void(const member_record &helper, const member_record &suspect)>
            askConfirmation;
        // Deletes the member's record if it still names this incarnation.
        std::function<void(const member_record &member)> removeMember;
    };

    coordinator(instance_id self, std::string availabilityZone, hooks hooks);

    // To be called when the view has changed.
    void setView(std::shared_ptr<const fleet_view> view, steady_time now);
    // Requests a second by partition of the own service, as observed by the owners.
    void setWeights(std::map<std::string, double, std::less<>> weights);

    // Members that are due for a ping at `now`; to be called every 250 ms or so.
    std::vector<member_record> duePings(steady_time now);
    void recordResponse(const instance_id &member, steady_time now);
    void noteConfirmation(const instance_id &helper, const instance_id &suspect, bool answered,
                          steady_time now);

    // Acts on everything that is due; to be called about once a second.
    void tick(steady_time now);

    // Whether this daemon coordinates the service at `now`.
    bool coordinates(std::string_view service, steady_time now) const;

private:
    // What the coordinator knows of a member that it pings.
    struct member_state
    {
        steady_time pingedAt{};
        // Last answer, or the time since when the member has been pinged.
        steady_time heardAt{};
        bool answered = false;
        steady_time askedAt{};
        size_t helpersAsked = 0;
        // Set once a helper confirmed that the member doesn't answer.
        std::optional<steady_time> confirmedAt;
        steady_time removalAt{};
    };
    struct pending_write
    {
        uint64_t version = 0;
        bool isMove = false;
        steady_time at{};
    };

    // Members whose liveness this daemon is responsible for at `now`.
    std::vector<const member_record *> watched(steady_time now) const;
    milliseconds pingInterval(size_t members) const;
    // Time without an answer after which a member is given no partitions.
    milliseconds silenceAllowed() const;
    // Whether each member of the own service has either answered or been silent for long enough.
    bool knowsConditions(steady_time now) const;
    member_condition conditionOf(const member_record &member, steady_time now) const;
    void place(steady_time now);
    placement_options placementOptions(steady_time now) const;
    void acceptDocuments(steady_time now);
    void checkMembers(steady_time now);
    void checkSilentMember(const member_record &member, member_state &state, steady_time now);
    const member_record *chooseHelper(const member_record &suspect, size_t attempt) const;

    instance_id m_self;
    std::string m_availabilityZone;
    hooks m_hooks;
    std::shared_ptr<const fleet_view> m_view;
    std::string m_service;
    std::optional<rendezvous_election> m_election;
    rendezvous_election m_fallback;
    // Members of the own service, to notice a change.
    std::vector<instance_id> m_serviceMembers;
    steady_time m_membersChangedAt{};
    std::map<instance_id, member_state> m_members;
    std::map<std::string, steady_time, std::less<>> m_electionPings;
    // By partition.
    std::map<std::string, pending_write, std::less<>> m_writes;
    // By service.
    std::map<std::string, pending_write, std::less<>> m_acceptances;
    std::map<std::string, double, std::less<>> m_weights;
    steady_time m_loadPlanAt{};
};

} // namespace persimmonrail
