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

// Keeps this daemon's copy of the fleet's state current: pulls from peers, watches the platform
// while elected as relay, and publishes views.
//
// Used on the control thread, except for view() and isReady(), which are thread safe.
class sync_driver
{
public:
    struct options
    {
        pull_peer_selector::location self;
        std::vector<std::string> seeds;
        object_api platform;
        random_source random;
        // Takes what an answer carries besides the fleet's state. Optional.
        std::function<void(const wire::PullReply &reply, steady_time now)> onPullReply;
    };
    using view_listener =
        std::function<void(const std::shared_ptr<const fleet_view> &view, steady_time now)>;

    // The references must outlive the driver. `onView` runs for each new view.
    sync_driver(const options &options, control_loop &loop, control_messenger &messenger,
                decision_log &log, view_listener onView, steady_time now);
    sync_driver(const sync_driver &) = delete;
    sync_driver &operator=(const sync_driver &) = delete;

    // Pulls from one peer; to be called each pullInterval.
    void pull(steady_time now);
    // Pings election candidates and takes up or gives up the relay role; to be called each
    // electionPingInterval.
    void runElection(steady_time now);
    wire::PullReply respondToPull(const wire::Pull &pull, const instance_id &asking);

    const object_replica &store() const { return m_store; }
    std::shared_ptr<const fleet_view> view() const;
    bool isReady() const { return m_ready; }
    bool isRelay() const { return m_watch.isActive(); }
    uint64_t revision() const { return m_publishedRevision; }

private:
    void pullFrom(const std::string &controlAddress);
    void onPullReply(const std::string &controlAddress, uint64_t afterRevision,
                     const wire::Reply &reply, steady_time now);
    relay_watch::hooks watchHooks();
    void publish(steady_time now);
    // Returns true once, when the daemon becomes ready.
    bool updateReadiness();

    control_loop &m_loop;
    control_messenger &m_messenger;
    decision_log &m_log;
    view_listener m_onView;
    std::function<void(const wire::PullReply &reply, steady_time now)> m_takePullReply;
    object_replica m_store;
    pull_peer_selector m_schedule;
    readiness m_readiness;
    relay_election m_election;
    std::atomic<bool> m_ready{false};
    std::atomic<uint64_t> m_publishedRevision{0};
    mutable std::mutex m_viewMutex;
    std::shared_ptr<const fleet_view> m_view;
    // Declared last: its thread posts to members above until it has ended.
    relay_watch m_watch;
};

} // namespace persimmonrail
