#pragma once

#include "persimmonrail/daemon/control_messenger.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/sync/object_replica.h"
#include "persimmonrail/sync/pull_peer_selector.h"
#include "persimmonrail/sync/readiness.h"
#include "persimmonrail/sync/relay_election.h"
#include "persimmonrail/sync/relay_watch.h"
#include "persimmonrail/telemetry/decision_log.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace persimmonrail {

// Keeps this daemon's replica of the platform's objects up to date: pulls from peers, watches the
// platform's store while this daemon is elected as a relay, and publishes views of the fleet.
//
// Used on the control thread, except for view(), isReady(), isRelay() and revision(), which are
// thread safe.
class sync_driver
{
public:
    struct options
    {
        pull_peer_selector::location self;
        // Control addresses to pull from while no other member is known.
        std::vector<std::string> seeds;
        object_api platform;
        random_source random;
        // Receives each pull reply, for the contents other than platform objects. Optional.
        std::function<void(const wire::PullReply &reply, steady_time now)> onPullReply;
    };
    using view_listener =
        std::function<void(const std::shared_ptr<const fleet_view> &view, steady_time now)>;

    // The references must outlive the driver. `onView` runs on the control thread for each new
    // view, and once when the daemon becomes ready.
    sync_driver(const options &options, control_loop &loop, control_messenger &messenger,
                decision_log &log, view_listener onView, steady_time now);
    sync_driver(const sync_driver &) = delete;
    sync_driver &operator=(const sync_driver &) = delete;

    // Pulls changes from one peer. Call once per pullInterval.
    void pull(steady_time now);
    // Pings the election candidates, and starts or stops the watch of the platform according to the
    // result of the election. Call once per electionPingInterval.
    void runElection(steady_time now);
    // Returns the reply to a pull by the peer `requester`.
    wire::PullReply respondToPull(const wire::Pull &pull, const instance_id &requester);

    const object_replica &replica() const { return m_replica; }
    // Returns the view published last.
    std::shared_ptr<const fleet_view> view() const;
    // Whether the replica is complete enough to serve requests. Never becomes false again.
    bool isReady() const { return m_isReady; }
    // Whether this daemon watches the platform, as a relay or because it is not ready yet.
    bool isRelay() const { return m_watch.isActive(); }
    // Revision of the platform's store that the published view reflects.
    uint64_t revision() const { return m_publishedRevision; }

private:
    void pullFrom(const std::string &controlAddress);
    void onPullReply(const std::string &controlAddress, uint64_t afterRevision,
                     const wire::Reply &reply, steady_time now);
    relay_watch::hooks makeWatchHooks();
    // Publishes a new view of the replica if its contents have changed.
    void publishView(steady_time now);
    // Returns true if the daemon becomes ready by this call.
    bool updateReadiness();

    control_loop &m_loop;
    control_messenger &m_messenger;
    decision_log &m_log;
    view_listener m_onView;
    std::function<void(const wire::PullReply &reply, steady_time now)> m_onPullReply;
    object_replica m_replica;
    pull_peer_selector m_schedule;
    readiness m_readiness;
    relay_election m_election;
    std::atomic<bool> m_isReady{false};
    std::atomic<uint64_t> m_publishedRevision{0};
    mutable std::mutex m_viewMutex;
    std::shared_ptr<const fleet_view> m_view;
    // Must be the last member: its thread uses the members above until the watch is destroyed.
    relay_watch m_watch;
};

} // namespace persimmonrail
