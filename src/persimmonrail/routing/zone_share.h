#pragma once

#include "persimmonrail/base/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// What is known of one service in one availability zone.
struct zone_load
{
    std::string zone;
    // Upstreams that accept requests.
    int upstreams = 0;
    int slots = 0;
    int running = 0;
    int waiting = 0;
    // Requests a second that the upstreams can serve: the sum of slots over mean service time. A
    // cold upstream reports a limit and a service time whose quotient is its permitted rate.
    double capacity = 0;
    // First attempts a second from callers in this zone, wherever they are sent.
    double demand = 0;
    // When the oldest of the reports was made.
    steady_time reportedAt{};
    // What a request of this daemon to the zone costs in addition to the crossing cost, by its own
    // measurements; not part of reports.
    std::chrono::microseconds linkExcess{0};
};

struct zone_share_options
{
    // Waiting time that costs as much as one crossing of a small request; 0 switches the decision
    // off.
    milliseconds crossingCost{0};
    // What each 1,000 bytes add to that cost, in milliseconds.
    double crossingCostPerKb = 0;
    // A zone takes requests of other zones up to this share of its capacity. The rest covers the
    // growth of its own demand until the others learn of it.
    double maxHelpUtilization = 0.88;
    // Time in which the waiting requests of a zone should be served.
    milliseconds backlogTime{2000};
    // Time constant with which the share follows the plan; about the interval of reports, so that
    // one deviating report does not decide alone.
    milliseconds smoothingTime{400};
    // The same while the share falls; shorter, since a zone with spare capacity should serve its
    // own callers.
    milliseconds fallingSmoothingTime{150};
    // Reports count in full up to the first age and not at all from the second. Reports travel
    // over two polls of up to 1 s and one response.
    milliseconds fullReportAge{3000};
    milliseconds maxReportAge{6000};
    // The share becomes 0 below the first value and leaves 0 above the second.
    double minShare = 0.01;
    double firstShare = 0.03;
};

// Why a share leaves the zone or does not.
enum class share_reason {
    // The zone serves its callers itself.
    Spare,
    // Waiting in the zone costs more than crossing.
    Overload,
    // Crossing would pay off, but the other zones need their capacity.
    OthersFull,
    // The zone has no upstream that accepts requests.
    NoUpstream,
    // There is no recent report of the own zone or of any other.
    NoReports,
};

std::string_view toString(share_reason reason);

// Where the requests of one zone go.
struct zone_split
{
    // Share of the requests for each other zone; the rest stays.
    std::map<std::string, double> shares;
    share_reason reason = share_reason::NoReports;
    // Requests a second that each other zone may still take, after its own and those of the plan.
    std::map<std::string, double> room;

    // Returns the share that leaves the zone.
    double leaving() const;
};

// Plans for all zones and returns the part of `ownZone`. Requests move from the zone in which they
// wait longest to the one in which they wait least, until crossing costs more than it saves or the
// others are filled to maxHelpUtilization. All daemons with the same reports get the same plan, in
// which a zone either sends or receives. What a zone takes falls with the age of its report. A
// crossing costs as much as that of a request with `bytes`, body and response together.
zone_split planZoneSplit(const std::vector<zone_load> &zones, std::string_view ownZone,
                         const zone_share_options &options, steady_time now, double bytes = 0);

// A change of the decision that is worth a log line.
struct share_change
{
    double from = 0;
    double to = 0;
    share_reason reason = share_reason::NoReports;
    // What the decision rests on.
    double ownDemand = 0;
    double ownCapacity = 0;
    double otherDemand = 0;
    double otherCapacity = 0;
    milliseconds oldestReport{0};
    // Share for each other zone that is known, 0 included, and what the most expensive link adds.
    std::map<std::string, double> shares = {};
    std::chrono::microseconds largestLinkExcess{0};
};

// Decides which share of a service's requests leaves the own availability zone, and for where. The
// plan follows from the demand, which does not depend on the split, so that old reports cause no
// feedback. Deterministic; not thread safe.
class zone_share
{
public:
    zone_share(std::string ownZone, zone_share_options options);

    // Takes the reports that are known at `now` and moves the share towards the plan.
    void update(const std::vector<zone_load> &zones, steady_time now);
    // Returns the zone for a request; `fraction` is a random number in [0, 1) and `bytes` the
    // expected size of the request and its response. Requests with more bytes leave less often and
    // others more often, so that the share stays the same.
    const std::string &choose(double fraction, double bytes);
    // Returns the probability of each other zone with which choose() would return it now.
    std::map<std::string, double> chances(double bytes) const;
    // Returns the zone for another attempt at a request that a full upstream of the own zone has
    // rejected: another zone that may take more, by how much more, or the own zone if there is
    // none. `fraction` is a random number in [0, 1).
    const std::string &chooseAfterRejection(double fraction) const;
    const zone_split &split() const { return m_split; }
    // Returns the last change of the decision that was not returned yet; there is at most one in a
    // second.
    std::optional<share_change> takeChange();

private:
    // Moves the share towards the plan, at once if `hasCollapsed`: the capacity of the own zone has
    // fallen by more than half since the last update.
    void follow(const zone_split &plan, steady_time now, bool hasCollapsed);
    void noteChange(const std::vector<zone_load> &zones, steady_time now);
    // Returns the factor on the share for a request of this size.
    double sizeFactor(double bytes);
    // Returns the probability with which a request with this factor leaves the zone.
    double leavingChance(double factor) const;
    // Returns the size of a request whose crossing costs the harmonic mean over all requests. It
    // gives small requests more weight, since they leave first.
    double meanBytes() const;

    const std::string m_ownZone;
    const zone_share_options m_options;
    zone_split m_split;
    steady_time m_updatedAt{};
    // Capacity of the own zone at the last update.
    double m_ownCapacity = 0;
    // Moving average of the inverse cost of crossing over all requests.
    double m_meanInverseCost = 0;
    steady_time m_loggedAt{};
    double m_loggedShare = 0;
    share_reason m_loggedReason = share_reason::NoReports;
    std::optional<share_change> m_change;
};

} // namespace persimmonrail
