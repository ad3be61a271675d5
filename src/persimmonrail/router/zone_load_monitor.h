#pragma once

#include "persimmonrail/router/peer_monitor.h"
#include "persimmonrail/routing/arrival_rates.h"
#include "persimmonrail/routing/zone_share.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// What the daemon beside an upstream knows of its service in each availability zone. Queues come
// from the statuses of the peers. The demand of a zone comes from the first attempts that each
// upstream receives, counted by the zone of the caller; daemons pass these counts on as further
// lines of their statuses, which daemons of earlier releases skip. No messages are added. Functions
// take the time as a parameter and read no clock. Thread safe.
class zone_load_monitor
{
public:
    // Counts a first attempt from a caller in this zone at the local upstream.
    void recordArrival(std::string_view zone, steady_time now);
    // Takes the arrivals from a peer's statuses, unless those known of an upstream are newer.
    void readArrivals(std::string_view statuses, steady_time now);
    // Returns lines to be appended to the statuses, each with a leading line feed:
    // "arrivals;name;start time;zone=rate,...;age in ms". `self` may be empty.
    std::string encodeArrivals(const upstream_id &self, steady_time now) const;
    // Computes the states of the zones. `members` are those of the service, `self` is the status of
    // the local upstream (empty id: none), and `peers` are those of the other upstreams. A zone
    // with an upstream of which there is no status yet has no state.
    void update(const std::vector<const upstream_member *> &members, const peer_status &self,
                const std::vector<forwarded_status> &peers, steady_time now);
    // Returns the states as of the last update().
    std::vector<zone_load> states() const;

private:
    struct upstream_arrivals
    {
        upstream_id id;
        std::map<std::string, double> rates;
        steady_time reportedAt{};
    };
    void readLine(std::string_view line, steady_time now);
    void addUpstream(std::map<std::string, zone_load> &zones, const upstream_member &member,
                     const queue_report &queue, steady_time reportedAt) const;
    void addDemand(std::map<std::string, zone_load> &zones, steady_time now) const;

    mutable std::mutex m_mutex;
    arrival_rates m_own;
    // Whether an arrival was ever counted; services with keys have none, and no lines.
    bool m_hasArrivals = false;
    upstream_id m_self;
    // By upstream name; at most as many as the service has members.
    std::map<std::string, upstream_arrivals, std::less<>> m_arrivals;
    std::vector<zone_load> m_states;
};

} // namespace persimmonrail
