#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/http/http_client.h"
#include "persimmonrail/proxy/upstream_picker.h"
#include "persimmonrail/router/range_controller.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// Path on which a daemon's peer port returns its own status and the statuses of its peers.
inline constexpr char peerStatusesPath[] = "/v1/statuses";

// Status of one upstream, as the daemon beside the upstream reports it to its peers.
struct peer_status
{
    queue_report queue;
    upstream_id upstream;
    bool acceptsRequests = false;
};

std::string encodePeerStatus(const peer_status &status);
// Returns nullopt if the text is malformed.
std::optional<peer_status> parsePeerStatus(std::string_view text);

// Status of a peer that a daemon has polled, as the daemon forwards it to other peers.
struct forwarded_status
{
    peer_status status;
    // Time since the peer's last response.
    milliseconds age{0};
    // Whether the peer did not respond to the last poll.
    bool isUnresponsive = false;
};

// Encodes one status per line, with this daemon's own status first.
std::string encodeStatuses(const peer_status &own, const std::vector<forwarded_status> &others);
// Skips malformed lines.
std::vector<forwarded_status> parseStatuses(std::string_view text);

struct peer_monitor_options
{
    milliseconds pollInterval{500};
    // Replaces pollInterval for a service with more than `maxSmallServiceMembers` peers.
    milliseconds largeServicePollInterval{1000};
    size_t maxSmallServiceMembers = 16;
    milliseconds pollTimeout{400};
    // A peer is unreachable if it did not respond to the last poll and has not responded for this
    // long.
    milliseconds unreachableTimeout{1500};
    // Replaces unreachableTimeout while more than half of the peers are unreachable, since this
    // daemon is then likely the one that is cut off.
    milliseconds majorityUnreachableTimeout{8000};
};

// What this daemon knows of the daemons beside the other upstreams of its service. The reachable
// member with the most capacity polls all others; the others poll only this member and learn the
// other statuses from its response. The number of calls thus grows linearly with the members, not
// with their square. Functions take the time as a parameter and read no clock. Not thread safe.
class peer_health
{
public:
    explicit peer_health(peer_monitor_options options = {});

    void setPeers(const std::vector<const upstream_member *> &peers, steady_time now);
    void onResponse(const upstream_id &id, const peer_status &status, steady_time now);
    void onNoResponse(const upstream_id &id, steady_time now);
    // Applies a status that another peer forwarded, unless this daemon has a newer one.
    void onForwardedStatus(const forwarded_status &forwarded, steady_time now);
    // Returns the peers to poll in this round; `self` is null if this daemon has no upstream.
    std::vector<const upstream_member *> pollTargets(const upstream_member *self) const;
    // Returns the statuses of all polled peers, to be forwarded to other daemons.
    std::vector<forwarded_status> peerStatuses(steady_time now) const;
    bool isUnreachable(const upstream_id &id, steady_time now) const;
    // Whether the peer did not respond to the last poll.
    bool isUnresponsive(const upstream_id &id) const;
    // Returns the input of range_controller as `self` sees it; `self` is null if this daemon has no
    // upstream.
    range_controller::peer_view view(const upstream_member *self, steady_time now) const;
    // Returns the first reachable members by id, this daemon's own included, whose daemons are
    // asked to write changes of the placement.
    std::vector<upstream_id> placementWriters(const upstream_member *self, steady_time now) const;
    // Returns the number of running and waiting requests per slot.
    static double utilization(const queue_report &report);

private:
    struct entry
    {
        upstream_member member;
        steady_time respondedAt{};
        bool hasResponded = false;
        bool isUnresponsive = false;
        // As the peer itself reported, which is newer than the member in the store.
        bool acceptsRequests = false;
        double utilization = 0;
        queue_report queue;
    };
    const peer_monitor_options m_options;
    std::map<upstream_id, entry> m_entries;
};

// Polls peers on threads of its own and updates a peer_health on the control thread.
class peer_monitor
{
public:
    // `onStatuses` receives each response of a peer on the control thread; it may be empty.
    using statuses_hook = std::function<void(const std::string &body, steady_time now)>;
    explicit peer_monitor(control_loop &loop, peer_monitor_options options = {},
                          statuses_hook onStatuses = {});
    // Must be called about every pollInterval on the control thread; `self` as for pollTargets().
    void poll(const std::vector<const upstream_member *> &peers, const upstream_member *self,
              steady_time now);
    peer_health &health() { return m_health; }

private:
    struct poll_target
    {
        upstream_id id;
        std::string address;
    };
    void enqueuePolls(background_worker &worker, std::vector<poll_target> targets, bool &pending);
    void pollPeer(const poll_target &target);

    control_loop &m_loop;
    const peer_monitor_options m_options;
    const statuses_hook m_onStatuses;
    peer_health m_health;
    steady_time m_lastPollAt{};
    bool m_isResponsivePollPending = false;
    bool m_isUnresponsivePollPending = false;
    std::shared_ptr<connection_pool> m_pool;
    http_client m_client;
    // Declared last, because the workers' threads use the members above until the threads have
    // ended. Unresponsive peers have a worker of their own, since a poll of each takes the whole
    // timeout.
    background_worker m_responsiveWorker;
    background_worker m_unresponsiveWorker;
};

} // namespace persimmonrail
