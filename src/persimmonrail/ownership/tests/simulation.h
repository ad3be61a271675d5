#pragma once

#include "persimmonrail/ownership/ownership_engine.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace persimmonrail {

// Mechanisms of the protocol that a simulation disables, to show that the checker detects the
// missing mechanism. True disables the mechanism.
struct disabled_mechanisms
{
    // Witnesses treat a lease as expired 600 ms before the holder does.
    bool waitForExpiry = false;
    // Requests after a pause are checked against the time before the pause.
    bool leaseCheck = false;
    // Witnesses ignore record versions.
    bool recordVersions = false;
};

// Result of one simulation. `violation` is empty if the checker found no violation.
struct simulation_result
{
    std::string violation;
    // Number of requests that were admitted.
    size_t served = 0;
    // Longest time between two admitted requests of one partition.
    milliseconds maxGap{0};
};

// Runs several ownership engines under a virtual clock, with a simulated network, platform and
// upstreams that fail at random, and checks which requests were served. The checker uses only the
// admitted requests and grants, not the internal state of the engines.
class simulation
{
public:
    simulation(uint64_t seed, disabled_mechanisms disabled);

    // Runs the simulation and returns its result. Call once.
    simulation_result run();
    // Replaces the random faults by one scenario. The owner of one partition loses its connections
    // to two witnesses one after the other and replaces the first witness, while the two witnesses
    // and a standby still see only the first record.
    void simulateWitnessReplacementWithStaleViews();
    // Replaces the random faults by the graceful shutdown of one instance. The platform is
    // available during the shutdown if `isPlatformUp`.
    void simulateGracefulShutdown(bool isPlatformUp);
    // Returns the log lines of all engines, for the analysis of a failed seed.
    const std::vector<std::string> &logLines() const { return m_log; }

private:
    // One instance with its daemon and its upstream.
    struct node
    {
        instance_id id;
        std::string zone;
        // Number of times that the daemon has started.
        uint64_t generation = 0;
        // Speed of the daemon's clock relative to the virtual clock.
        double clockRate = 1;
        std::unique_ptr<serving_table> table;
        std::unique_ptr<ownership_engine> engine;
        steady_time startedAt;
        steady_time pausedUntil;
        // The engine receives no newer views before this time.
        steady_time viewFrozenUntil;
        // Local time of the last tick.
        steady_time lastTick;
        bool isUpstreamUp = true;
        // Whether the platform lists the current incarnation as a member.
        bool isRegistered = false;
        // Term of the newest grant at the upstream, by partition.
        std::map<std::string, uint64_t> upstreamTerms;
    };
    struct event
    {
        steady_time at;
        // Events at the same time run in ascending order.
        uint64_t order;
        std::function<void()> action;
        bool operator>(const event &other) const
        {
            return std::tie(at, order) > std::tie(other.at, other.order);
        }
    };
    struct request_in_flight
    {
        size_t node;
        steady_time end;
        std::optional<serving_table::ticket> ticket;
    };
    // What the checker has seen of one partition.
    struct partition_history
    {
        // Key hash of the requests that the checker sends.
        uint64_t hash = 0;
        // Term and node of the last admitted request.
        uint64_t term = 0;
        size_t node = 0;
        std::deque<request_in_flight> inFlight;
        steady_time lastServed = steady_time::min();
    };

    // Runs the action at a time of the virtual clock.
    void schedule(steady_time time, std::function<void()> action);
    // Runs the action on a node at a time of the virtual clock. A paused node runs the action when
    // its pause ends. A node that has restarted in the meantime does not run the action.
    void scheduleOnNode(size_t index, steady_time time, const std::function<void(node &)> &action);
    void runUntil(steady_time end);
    steady_time localTime(const node &node) const;
    // Returns true with the given probability.
    bool randomBool(double probability);
    // Returns a duration from `minMs` to `maxMs` milliseconds.
    milliseconds randomDuration(int minMs, int maxMs);
    size_t randomNode() { return m_random() % m_nodes.size(); }
    // Returns the index of the node with the name of `id`, or m_nodes.size() if there is none.
    size_t indexOf(const instance_id &id) const;

    void startNode(size_t index);
    ownership_hooks hooksFor(size_t index);
    void createRecords();
    void scheduleTick(size_t index);
    void scheduleProbe();
    void scheduleFault();
    void injectFault();
    void pauseNode(size_t index, milliseconds duration);
    // Removes the requests in flight at a node whose upstream or daemon stops.
    void removeRequestsInFlight(size_t index);
    void restartNode(size_t index);
    void setUpstream(size_t index, bool isUp);
    void stopFaults(bool isPlatformUp);

    void sendMessage(size_t from, const instance_id &to, const wire::Request &request,
                     milliseconds timeout, const ownership_hooks::reply_completion &done);
    wire::Reply replyTo(node &receiver, const wire::Request &request);
    void put(size_t from, const std::string &key, uint64_t expected, const std::string &text,
             const ownership_hooks::put_completion &done);
    absl::StatusOr<uint64_t> applyPut(const std::string &key, uint64_t expected,
                                      const std::string &text);
    void get(size_t from, const std::string &key, const ownership_hooks::get_completion &done);
    void applyGrants(size_t index, const std::vector<lease_grant> &grants,
                     const ownership_hooks::grant_completion &done);
    void registerMembers();
    void requestMove();
    void publishView();

    // Sends a request for the partition to the node and checks the result.
    void probeNode(size_t index, const std::string &partition, partition_history &history);
    // Returns the partitions that must be served within 2 s after the faults: both witness sets
    // still have a running majority, and the owner or a standby is running.
    std::set<std::string> quicklyRecoverablePartitions() const;
    // Returns whether this incarnation is running.
    bool isRunning(const instance_id &id) const;
    // Records the first violation, which ends the simulation.
    void recordViolation(const std::string &text);

    disabled_mechanisms m_disabled;
    std::mt19937_64 m_random;
    lease_timing m_timing;
    steady_time m_now{std::chrono::hours(1)};
    uint64_t m_nextEventOrder = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<node> m_nodes;
    // Pairs of sender and receiver whose messages are lost.
    std::set<std::pair<size_t, size_t>> m_brokenLinks;
    double m_lossRate = 0;
    bool m_areFaultsEnabled = true;
    steady_time m_faultsEnd;
    bool m_isPlatformUp = true;
    // Objects at the platform, by key.
    std::map<std::string, stored_object> m_objects;
    uint64_t m_revision = 0;
    std::shared_ptr<const fleet_view> m_view;
    std::map<std::string, partition_history> m_history;
    simulation_result m_result;
    std::vector<std::string> m_log;
};

} // namespace persimmonrail
