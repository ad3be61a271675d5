#pragma once

#include "persimmonrail/balance/placement_plan.h"
#include "persimmonrail/platform/object_api.h"
#include "persimmonrail/sync/rank_election.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// A member without an answer for this long is removed, once another daemon confirms it.
inline constexpr std::chrono::seconds memberSilence{60};
// Each member of a coordinated service is pinged once in this time.
inline constexpr std::chrono::seconds memberPingInterval{10};
// A service without records is placed once its members have not changed for this time, so that
// instances that start together share the first placement without moves.
inline constexpr std::chrono::seconds initialSettleTime{2};
// Least time between load-driven plans of one service. It lets the effect of the last move show
// in the observed rates.
inline constexpr std::chrono::seconds loadPlanInterval{30};
// A write, acceptance or confirmation that has shown no effect is tried again after this time.
inline constexpr std::chrono::seconds coordinatorRetryInterval{5};

// The duties of a service's coordinator: placement, acceptance of documents, removal of failed
// members. Every daemon runs one; it acts for the services in whose election it has the highest
// rank among the members that answer. A wrong belief costs only a conflict, since all writes are
// conditional.
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
    // Requests a second by partition of a service, as observed by their owners.
    void setWeights(std::string_view service, std::map<std::string, double, std::less<>> weights);

    // Members that are due for a ping at `now`; to be called every 250 ms or so.
    std::vector<member_record> duePings(steady_time now);
    void noteAnswer(const instance_id &member, steady_time now);
    void noteConfirmation(const instance_id &helper, const instance_id &suspect, bool answered,
                          steady_time now);

    // Acts on everything that is due; to be called about once a second.
    void tick(steady_time now);

    // Services that this daemon coordinates at `now`.
    std::vector<std::string> coordinated(steady_time now) const;

private:
    struct service_state;
    struct member_state;

    bool coordinates(const service_state &service, steady_time now) const;
    void placeService(const std::string &service, service_state &state, steady_time now);
    void acceptDocuments(steady_time now);
    void checkMembers(steady_time now);
    const member_record *chooseHelper(const member_record &suspect) const;

    instance_id m_self;
    std::string m_availabilityZone;
    hooks m_hooks;
    std::shared_ptr<const fleet_view> m_view;
    std::map<std::string, std::shared_ptr<service_state>, std::less<>> m_services;
    std::map<instance_id, std::shared_ptr<member_state>> m_members;
};

} // namespace persimmonrail
