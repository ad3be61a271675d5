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

// A member that has not replied to pings for this time is removed once another daemon confirms that
// the member is unresponsive.
inline constexpr std::chrono::seconds memberRemovalTimeout{60};
// The coordinator pings each member of its service once per interval. The interval grows with the
// number of members, so that a coordinator of up to 1,000 members sends at most 100 pings a second.
inline constexpr milliseconds pingIntervalPerMember{10};
inline constexpr milliseconds minMemberPingInterval{1000};
inline constexpr milliseconds maxMemberPingInterval{10000};
// Time allowed for the reply to a ping. A member without a reply for a ping interval plus this time
// receives no partitions. A failover takes a little over 1 s and leaves an imbalance, and the
// coordinator must not correct it by moving partitions back to a member that failed because it is
// paused. If a responsive member is wrongly considered unresponsive, only the assignment of
// partitions to it is delayed.
inline constexpr milliseconds pingReplyTimeout{500};
// The partitions of a service without placement records are placed once the service's members have
// not changed for this time. Instances that start together then share the first placement without
// moves.
inline constexpr std::chrono::seconds initialPlacementDelay{2};
// Minimum interval between load-driven plans for one service. The observed request rates need this
// time to show the effect of the last move.
inline constexpr std::chrono::seconds minLoadPlanInterval{30};
// A write of a placement record, evaluation of a document, probe or member removal is repeated
// after this time if its effect is not visible: the write in the view, the evaluation in the
// result of unevaluatedDocuments(). A probe or a removal is repeated if the member is still
// monitored and unresponsive.
inline constexpr std::chrono::seconds coordinatorRetryInterval{5};

// Coordinates a service: places its partitions, evaluates new service documents and removes failed
// members. A member is a daemon, with its upstream if it has one, that has published a member
// record. Every daemon runs a coordinator. The coordinator acts for the service of the local
// upstream while its daemon comes first in rendezvous order among the responsive members of the
// service. A second election among all members chooses the coordinator for services without members
// and for daemons without an upstream. If two daemons both act as coordinator, their writes may
// conflict but do no harm, since all writes are conditional.
//
// A coordinator reads no clock and has no side effects other than calls of its hooks. Not thread
// safe; used on the control thread only.
class coordinator
{
public:
    // Access to the platform and to other daemons. All hooks are called from tick().
    struct hooks
    {
        placement_hooks placement;
        // Starts the conditional write of a placement record. The result becomes visible in a later
        // view.
        std::function<void(const record_change &change)> writeRecord;
        // Returns the "config/<service>" objects whose version has not been evaluated yet.
        std::function<std::vector<stored_object>()> unevaluatedDocuments;
        // Evaluates the document and writes "accepted/<service>" and "status/<service>".
        std::function<void(const std::string &service, const stored_object &config)>
            evaluateDocument;
        // Asks `helper` to ping `suspect`. The result is passed to recordProbeResult().
        std::function<void(const member_record &helper, const member_record &suspect)> requestProbe;
        // Deletes the member's object if the object still names this incarnation.
        std::function<void(const member_record &member)> removeMember;
    };

    coordinator(instance_id self, std::string availabilityZone, hooks hooks);

    // Sets the view of the fleet and updates the elections. To be called for each new view.
    void setView(std::shared_ptr<const fleet_view> view, steady_time now);
    // Sets the requests per second by partition of the local upstream's service, as observed by the
    // owners of the partitions.
    void setRequestRates(std::map<std::string, double, std::less<>> requestRates);

    // Returns the members to be pinged now and records the pings as sent. To be called every
    // memberPingInterval of the daemon (250 ms), well below minMemberPingInterval.
    std::vector<member_record> takeDuePings(steady_time now);
    // Records that a member replied to a ping.
    void recordReply(const instance_id &member, steady_time now);
    // Records whether `suspect` replied to a ping of `helper`. A result from the suspect or from
    // this daemon is ignored.
    void recordProbeResult(const instance_id &helper, const instance_id &suspect, bool hasReplied,
                           steady_time now);

    // Performs the work that is due: placement, evaluation of documents and removal of failed
    // members. To be called about once a second.
    void tick(steady_time now);

    // Returns whether this daemon is the coordinator of the service at `now`. The empty name stands
    // for daemons without an upstream. The fleet-wide election decides for this name and for
    // services without members.
    bool isCoordinatorOf(std::string_view service, steady_time now) const;

private:
    // Failure detection state of a member that the coordinator pings.
    struct member_state
    {
        steady_time lastPingAt{};
        // When the member was last known to be alive: the time of the last reply to this daemon or
        // to a helper, or the time at which this daemon began to ping the member.
        steady_time lastAliveAt{};
        bool hasReplied = false;
        steady_time lastProbeAt{};
        // Number of probes requested of helpers since the last reply to this daemon.
        size_t probeCount = 0;
        // Time at which a helper last reported that the member does not reply; unset if the member
        // has replied to this daemon or to a helper since.
        std::optional<steady_time> unresponsiveConfirmedAt;
        steady_time lastRemovalAttemptAt{};
    };
    // A write of a placement record or an evaluation of a document whose effect is not visible yet.
    struct pending_write
    {
        // Version of the placement record that the write expects, or of the document to be
        // evaluated.
        uint64_t version = 0;
        // Whether the write plans a move of a partition.
        bool isMove = false;
        steady_time startedAt{};
    };

    // Returns the members whose failures this daemon must detect at `now`.
    std::vector<const member_record *> monitoredMembers(steady_time now) const;
    // Returns the interval between pings of one member if `memberCount` members are pinged.
    milliseconds pingInterval(size_t memberCount) const;
    // Returns the time without reply after which a member receives no partitions.
    milliseconds unresponsiveTimeout() const;
    // Returns whether each member of the local upstream's service has either replied or been
    // unresponsive for unresponsiveTimeout().
    bool areConditionsKnown(steady_time now) const;
    member_condition conditionOf(const member_record &member, steady_time now) const;
    // Plans the changes that the service's placement needs and starts the writes.
    void updatePlacement(steady_time now);
    placement_options placementOptions(steady_time now) const;
    // Starts the evaluation of new documents of the services that this daemon coordinates.
    void evaluateDocuments(steady_time now);
    // Calls removeOrProbe() for each monitored member that was last known to be alive
    // memberRemovalTimeout ago or earlier.
    void checkUnresponsiveMembers(steady_time now);
    // Removes the member if a helper has confirmed that the member is unresponsive. Otherwise asks
    // a helper to probe the member.
    void removeOrProbe(const member_record &member, member_state &state, steady_time now);
    // Returns the helper for attempt number `attempt`, counted from 0, to confirm that `suspect` is
    // unresponsive, or null if there is no other daemon. Chooses among the daemons outside this
    // daemon's availability zone, or among those inside it if there are no others. Each daemon is
    // asked twice before the next one is asked, so that one lost message does not pass over it.
    const member_record *chooseHelper(const member_record &suspect, size_t attempt) const;

    instance_id m_self;
    std::string m_availabilityZone;
    hooks m_hooks;
    std::shared_ptr<const fleet_view> m_view;
    // Service of the local upstream; empty without an upstream.
    std::string m_service;
    // Election among the members of the local upstream's service; unset without an upstream.
    std::optional<rendezvous_election> m_serviceElection;
    // Election among all members of the fleet.
    rendezvous_election m_fleetElection;
    // Members of the local upstream's service in the current view, to detect changes.
    std::vector<instance_id> m_serviceMembers;
    steady_time m_membersChangedAt{};
    std::map<instance_id, member_state> m_memberStates;
    // Times of the last election pings, by instance name.
    std::map<std::string, steady_time, std::less<>> m_lastElectionPings;
    // Writes of placement records, by partition.
    std::map<std::string, pending_write, std::less<>> m_pendingWrites;
    // Evaluations of documents, by service.
    std::map<std::string, pending_write, std::less<>> m_pendingEvaluations;
    // Requests per second, by partition.
    std::map<std::string, double, std::less<>> m_requestRates;
    steady_time m_lastLoadPlanAt{};
};

} // namespace persimmonrail
