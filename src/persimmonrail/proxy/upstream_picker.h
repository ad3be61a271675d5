#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/random_source.h"
#include "persimmonrail/fleet/upstream_member.h"
#include "persimmonrail/routing/zone_share.h"

#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// State of the queue for one upstream, as reported by the daemon beside the upstream.
struct queue_report
{
    int running = 0;
    int waiting = 0;
    // Number of requests that may run at the same time.
    int limit = 0;
    // Mean service time of a request.
    std::chrono::microseconds meanServiceTime{0};
};

// Encodes a report for the header field between daemons.
std::string encodeQueueReport(const queue_report &report);
// Returns nullopt if the text is not a valid report.
std::optional<queue_report> parseQueueReport(std::string_view text);

// What the time to transfer a request body to an upstream on another host depends on.
struct body_transfer
{
    // Length of the body; 0 if it is unknown or does not count.
    double bytes = 0;
    // Bandwidth of the link of this host; 0 if unknown.
    double ownLinkBytesPerSecond = 0;
    // The upstream on this host, to which nothing is transferred; empty if there is none.
    upstream_id local = {};
};

// Returns the time in seconds that the body needs on the links of this host and of the host of
// `member`, one after the other. Links of unknown bandwidth take no time.
double transferTime(const body_transfer &body, const upstream_member &member);

struct upstream_picker_options
{
    // Penalty after the first failed attempt; it doubles with each further failure.
    milliseconds initialPenalty{250};
    milliseconds maxPenalty{4000};
    // Time over which the weight of a report falls linearly to 0.
    milliseconds reportLifetime{500};
    // Factor on the expected time at an upstream in another availability zone. Two crossings
    // between zones add a few percent to a request, and traffic between zones costs money.
    double crossZoneFactor = 1.15;
    // Without a crossing cost, only crossZoneFactor applies.
    zone_share_options zoneShare = {};
    // Age of the knowledge of the zones from which on responses are asked for newer.
    milliseconds zonesWantedAge{250};
    // Interval at which the share is decided anew. Reports change more slowly than requests arrive,
    // so a plan for each request would only cost processor time.
    milliseconds zoneShareInterval{200};
    // Returns what crossing to other zones costs in addition, by measurements of the links. Called
    // with the mutex of the picker held. May be empty.
    std::function<std::map<std::string, std::chrono::microseconds>(steady_time now)> linkExcess =
        {};
};

// The expected time of a request at one upstream, and what it follows from.
struct expected_time
{
    double serviceSeconds = 0;
    // Requests at the upstream, this one included, as far as this daemon knows.
    double outstanding = 1;
    double limit = 1;
    double zoneFactor = 1;
    // Requests that this daemon has in flight there.
    int inFlight = 0;
    // Latest report of the upstream's queue, and its age.
    std::optional<queue_report> report;
    std::chrono::nanoseconds reportAge{0};
    // Time to transfer the body of the request.
    double transferSeconds = 0;

    // Returns the time in seconds, weighted by the zone factor.
    double seconds() const
    {
        const double load = outstanding / limit;
        return zoneFactor * serviceSeconds * (1 + load * load) + transferSeconds;
    }
};

// What upstream_picker knows of one member.
struct member_assessment
{
    const upstream_member *member = nullptr;
    expected_time time;
    // Consecutive failed attempts, and the remaining time of the penalty for them.
    int failures = 0;
    std::chrono::nanoseconds penaltyLeft{0};
    // Probability with which pick() chooses the member for a first attempt.
    double chance = 0;
};

struct picker_assessment
{
    std::vector<member_assessment> members;
    // What leaves the zone, and why; NoReports if a fixed factor decides.
    zone_split split;
    // Age of the oldest report of a zone.
    std::chrono::nanoseconds zonesAge{0};
};

// Chooses among the upstreams of one service by the expected time of a request there. Thread safe.
class upstream_picker
{
public:
    upstream_picker(std::string availabilityZone, random_source random,
                    upstream_picker_options options = {});

    // Draws two random members that are not in `tried`, chooses the one with the shorter expected
    // time (power of two choices), and counts a request on it until finish(). Members under a
    // penalty are chosen only if no other is left. Returns null if no member is left. With a
    // crossing cost, the share that leaves the zone first decides the zone, by the expected size of
    // the request and its response in bytes; members of other zones are chosen if that zone has
    // none that is healthy. The time to transfer `body` adds to the expected time. If it is
    // considerable, the upstream on this host is compared as well.
    const upstream_member *pick(const std::vector<const upstream_member *> &members,
                                const std::vector<upstream_id> &tried, steady_time now,
                                double bytes = 0, const body_transfer &body = {});
    // Returns what pick() would choose from for a first attempt among `candidates`, and changes
    // nothing. Draws no random numbers. `members` holds the candidates and may hold others, whose
    // chance is 0. The excess of links is that of the last decision about the share.
    picker_assessment assess(const std::vector<const upstream_member *> &members,
                             const std::vector<const upstream_member *> &candidates,
                             steady_time now, double bytes = 0,
                             const body_transfer &body = {}) const;
    // Takes reports of the service's zones, unless those known of a zone are newer.
    void learnZones(const std::vector<zone_load> &zones, steady_time now);
    // Returns whether the share that leaves the zone is decided by reports of the zones.
    bool usesZoneShare() const { return m_options.zoneShare.crossingCost.count() > 0; }
    // Returns whether responses should tell about the zones.
    bool wantsZones(steady_time now) const;
    // Returns the last change of the share that was not returned yet.
    std::optional<share_change> takeShareChange();
    // Returns why the present share leaves the zone or does not.
    share_reason shareReason() const;
    // Counts a request on a member that was not chosen by pick().
    void begin(const upstream_id &id);

    enum class result {
        // The upstream responded, or its daemon rejected the request.
        Reached,
        // The upstream could not be reached or was unresponsive.
        Failed,
        // The attempt says nothing about the upstream.
        Neutral,
    };
    // Ends a request counted by pick() or begin(). `report` is the latest report of the upstream's
    // queue, if there is one. A failure puts the upstream under a penalty and a success ends its
    // penalty.
    void finish(const upstream_id &id, result outcome, const std::optional<queue_report> &report,
                steady_time now);
    // Returns whether the upstream is under a penalty.
    bool isPenalized(const upstream_id &id, steady_time now) const;

private:
    struct upstream_load
    {
        int inFlight = 0;
        std::optional<queue_report> report;
        steady_time reportedAt{};
        // Consecutive failed attempts.
        int failures = 0;
        steady_time penaltyEnd{};
    };
    struct member_choice
    {
        std::vector<const upstream_member *> healthy;
        // Chosen only if no other member is left.
        std::vector<const upstream_member *> penalized;
    };
    // Returns the members that are not in `tried`. Must be called with the mutex held.
    member_choice untriedMembers(const std::vector<const upstream_member *> &members,
                                 const std::vector<upstream_id> &tried, steady_time now) const;
    bool isShareDue(steady_time now) const
    {
        return usesZoneShare() && now - m_shareUpdatedAt >= m_options.zoneShareInterval;
    }
    // Removes what is too old from the reports of the zones, and returns those that decide the
    // share. `reports` and `ownZoneEmptyAt` are m_zones and m_ownZoneEmptyAt, or copies.
    std::vector<zone_load> recentZones(std::map<std::string, zone_load> &reports,
                                       std::optional<steady_time> &ownZoneEmptyAt,
                                       const std::vector<const upstream_member *> &members,
                                       steady_time now) const;
    // Decides the share anew if it is due.
    void updateShare(const std::vector<const upstream_member *> &members, steady_time now);
    // Sets the capacity of the own zone to 0 if the directory shows no upstream there, or showed
    // none after the last report of the zone: upstreams that have returned may be cold.
    void leaveEmptyOwnZone(std::vector<zone_load> &zones,
                           const std::optional<steady_time> &ownZoneEmptyAt, steady_time now) const;
    // Returns the capacity of a zone as far as failed attempts and responses show sooner than the
    // reports of the zones that upstreams are lost or cold. `healthy` are its members under no
    // penalty.
    double presentCapacity(const zone_load &zone,
                           const std::vector<const upstream_member *> &healthy) const;
    // Removes the members outside the zone chosen for a request of this size, unless none is left.
    void keepChosenZone(std::vector<const upstream_member *> &healthy, double bytes,
                        bool wasRejected);
    // Returns whether the upstream is under no penalty. Must be called with the mutex held.
    bool isHealthy(const upstream_id &id, steady_time now) const;
    // Returns whether an upstream of the own zone that was tried is full.
    bool wasRejectedByOwnZone(const std::vector<const upstream_member *> &members,
                              const std::vector<upstream_id> &tried) const;
    // Returns the one of two random candidates with the shorter time, or the upstream on this host.
    // There must be a candidate.
    const upstream_member *chooseByTime(std::vector<const upstream_member *> &candidates,
                                        const body_transfer &body, steady_time now);
    // Must be called with the mutex held.
    expected_time expectedTime(const upstream_member &member, steady_time now) const;
    // Returns what is known of a member, with a chance of 0. Must be called with the mutex held.
    member_assessment assessMember(const upstream_member &member, steady_time now) const;

    const std::string m_availabilityZone;
    const upstream_picker_options m_options;
    mutable std::mutex m_mutex;
    random_source m_random;
    std::map<upstream_id, upstream_load> m_entries;
    zone_share m_share;
    steady_time m_shareUpdatedAt{};
    std::map<std::string, zone_load> m_zones;
    // As of the last decision about the share.
    std::map<std::string, std::chrono::microseconds> m_linkExcess;
    steady_time m_zonesLearnedAt{};
    // When the directory showed no upstream in the own zone last.
    std::optional<steady_time> m_ownZoneEmptyAt;
};

} // namespace persimmonrail
