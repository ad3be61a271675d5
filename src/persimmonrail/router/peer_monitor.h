#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/http/http_client.h"
#include "persimmonrail/proxy/upstream_picker.h"
#include "persimmonrail/router/range_controller.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// Path under which a peer port answers with its own status and what it knows of its peers.
inline constexpr char peerStatusesPath[] = "/v1/statuses";

// What a daemon tells its peers of the upstream beside it.
struct peer_status
{
    queue_report queue;
    upstream_id upstream;
    bool acceptsRequests = false;
};

std::string encodePeerStatus(const peer_status &status);
// Nothing if the text is no status.
std::optional<peer_status> parsePeerStatus(std::string_view text);

// What a daemon passes on of a peer that it asked.
struct reported_status
{
    peer_status status;
    // Time since the peer answered.
    milliseconds age{0};
    // Its last answer is missing.
    bool isSilent = false;
};

// One line per status, the own one first.
std::string encodeStatuses(const peer_status &own, const std::vector<reported_status> &others);
// Lines that are no status are left out.
std::vector<reported_status> parseStatuses(std::string_view text);

struct peer_monitor_options
{
    milliseconds pollInterval{500};
    // Between two rounds where a service has more members than `fewMembers`.
    milliseconds largePollInterval{1000};
    size_t fewMembers = 16;
    milliseconds pollTimeout{400};
    // A peer that has not answered for this long is unreachable.
    milliseconds unreachableAfter{1500};
    // If more than half of the peers are unreachable, this daemon is likely the one that is cut
    // off, and it waits this long before it acts on it.
    milliseconds unreachableAfterIfMost{8000};
};

// What this daemon knows of the daemons beside the other upstreams of its service. The first by
// name of those that can be reached asks all others; the others ask only it, and learn from it what
// it knows, so that the number of calls grows with the members and not with their square. No
// decision reads a clock. Not thread safe.
class peer_health
{
public:
    explicit peer_health(peer_monitor_options options = {});

    void setPeers(const std::vector<const upstream_member *> &peers, steady_time now);
    void onResponse(const upstream_id &id, const peer_status &status, steady_time now);
    void onSilence(const upstream_id &id, steady_time now);
    // Takes what the first peer says of another one, unless this daemon knows newer.
    void onReported(const reported_status &reported, steady_time now);
    // The peers to be asked in this round; `self` is null if this daemon has no upstream.
    std::vector<const upstream_member *> targets(const upstream_member *self) const;
    // What is known of all peers, to be passed on.
    std::vector<reported_status> known(steady_time now) const;
    bool isUnreachable(const upstream_id &id, steady_time now) const;
    // Whether its last answer is missing.
    bool isSilent(const upstream_id &id) const;
    // The view of `self`; null if this daemon has no upstream.
    range_controller::peers view(const upstream_member *self, steady_time now) const;
    // Mean number of requests per slot that `report` stands for.
    static double utilization(const queue_report &report);

private:
    struct entry
    {
        upstream_member member;
        steady_time respondedAt{};
        bool hasResponded = false;
        bool isSilent = false;
        // By its own word, which is fresher than the store's.
        bool acceptsRequests = false;
        double utilization = 0;
        queue_report queue;
    };
    const peer_monitor_options m_options;
    std::map<upstream_id, entry> m_entries;
};

// Polls peers on threads of its own and keeps a peer_health on the control thread.
class peer_monitor
{
public:
    peer_monitor(control_loop &loop, peer_monitor_options options = {});
    // To be called about every pollInterval on the control thread; `self` as for targets().
    void poll(const std::vector<const upstream_member *> &peers, const upstream_member *self,
              steady_time now);
    peer_health &health() { return m_health; }

private:
    struct target
    {
        upstream_id id;
        std::string address;
    };
    void ask(background_worker &worker, std::vector<target> targets, bool &pending);
    void askOne(const target &target);

    control_loop &m_loop;
    const peer_monitor_options m_options;
    peer_health m_health;
    steady_time m_lastRound{};
    bool m_soundPending = false;
    bool m_silentPending = false;
    std::shared_ptr<connection_pool> m_pool;
    http_client m_client;
    // Declared last: their threads use the members above until they have ended. Silent peers are
    // asked apart, since each takes the whole timeout.
    background_worker m_soundWorker;
    background_worker m_silentWorker;
};

} // namespace persimmonrail
