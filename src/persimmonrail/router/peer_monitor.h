#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/fleet/fleet_directory.h"
#include "persimmonrail/http/http_client.h"
#include "persimmonrail/relay/upstream_picker.h"
#include "persimmonrail/router/range_keeper.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// Path under which a peer port answers with its queue report.
inline constexpr char peerStatusPath[] = "/v1/status";

// What a daemon tells its peers of the upstream beside it.
struct peer_status
{
    queue_report queue;
    upstream_id upstream;
    bool takesWork = false;
};

std::string encodePeerStatus(const peer_status &status);
// Nothing if the text is no status.
std::optional<peer_status> parsePeerStatus(std::string_view text);

struct peer_monitor_options
{
    milliseconds pollInterval{500};
    milliseconds pollTimeout{400};
    // A peer that has not answered for this long is unreachable.
    milliseconds unreachableAfter{1500};
    // If more than half of the peers are unreachable, this daemon is likely the one that is cut
    // off, and it waits this long before it acts on it.
    milliseconds unreachableAfterIfMost{8000};
};

// What this daemon knows of the daemons beside the other upstreams of its service, from asking
// them in turn. No decision reads a clock. Not thread safe.
class peer_health
{
public:
    explicit peer_health(peer_monitor_options options = {});

    void setPeers(const std::vector<const upstream_member *> &peers, steady_time now);
    void onAnswer(const upstream_id &id, const peer_status &status, steady_time now);
    void onSilence(const upstream_id &id, steady_time now);
    bool isUnreachable(const upstream_id &id, steady_time now) const;
    // The view of `self`; null if this daemon has no upstream.
    range_keeper::peers view(const upstream_member *self, steady_time now) const;
    // Mean number of requests per slot that `report` stands for.
    static double utilization(const queue_report &report);

private:
    struct entry
    {
        upstream_member member;
        steady_time answeredAt{};
        bool hasAnswered = false;
        bool isSilent = false;
        // By its own word, which is fresher than the store's.
        bool takesWork = false;
        double utilization = 0;
        std::chrono::microseconds service{0};
    };
    const peer_monitor_options m_options;
    std::map<upstream_id, entry> m_entries;
};

// Polls the peers on a thread of its own and keeps a peer_health on the control thread.
class peer_monitor
{
public:
    peer_monitor(control_loop &loop, peer_monitor_options options = {});
    // To be called about every pollInterval on the control thread.
    void poll(const std::vector<const upstream_member *> &peers, steady_time now);
    peer_health &health() { return m_health; }

private:
    control_loop &m_loop;
    const peer_monitor_options m_options;
    peer_health m_health;
    bool m_pending = false;
    std::shared_ptr<connection_pool> m_pool;
    http_client m_client;
    // Declared last: its thread uses the members above until it has ended.
    background_worker m_worker;
};

} // namespace persimmonrail
