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

// Mechanisms that a run takes out, to show that the checker notices.
struct disabled_mechanisms
{
    // Witnesses end leases 600 ms before the holder does.
    bool waitForExpiry = false;
    // Hand-overs after a pause use the time before the pause.
    bool selfCheck = false;
    // Witnesses ignore record versions.
    bool recordVersions = false;
};

// Result of one run. `violation` is empty if the checker found nothing.
struct simulation_result
{
    std::string violation;
    size_t served = 0;
    // Longest time for which a partition was not served after it was first served.
    milliseconds longestGap{0};
};

// Runs several ownership engines under a virtual clock with a network, a platform and upstreams
// that fail in random ways, and checks what was served. The checker sees only admitted requests,
// never what an engine believes.
class simulation
{
public:
    simulation(uint64_t seed, disabled_mechanisms disabled);

    simulation_result run();
    // Replaces the random faults of the run by one scenario: the owner of one partition loses
    // contact with two witnesses one after the other and replaces the first, while those two and a
    // standby know only the first record.
    void replaceWitnessBehindStaleViews();
    // Replaces the random faults by the graceful shutdown of one instance.
    void shutDownGracefully(bool platformUp);
    // Decisions of all engines, for the analysis of a failed seed.
    const std::vector<std::string> &logLines() const { return m_log; }

private:
    struct node
    {
        instance_id id;
        std::string zone;
        uint64_t generation = 0;
        double clockRate = 1;
        std::unique_ptr<serving_table> table;
        std::unique_ptr<ownership_engine> engine;
        steady_time startedAt;
        steady_time pausedUntil;
        steady_time viewFrozenUntil;
        steady_time lastTick;
        bool upstreamUp = true;
        bool registered = false;
        std::map<std::string, uint64_t> upstreamTerms;
    };
    struct event
    {
        steady_time at;
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
    struct partition_history
    {
        uint64_t hash = 0;
        uint64_t term = 0;
        size_t node = 0;
        std::deque<request_in_flight> inFlight;
        steady_time lastServed = steady_time::min();
    };

    void at(steady_time time, std::function<void()> action);
    // Runs the action on the node unless it has restarted; a paused node runs it when it wakes up.
    void onNode(size_t index, steady_time time, const std::function<void(node &)> &action);
    void runUntil(steady_time end);
    steady_time localTime(const node &node) const;
    bool chance(double probability);
    milliseconds between(int low, int high);
    size_t anyNode() { return m_random() % m_nodes.size(); }
    size_t indexOf(const instance_id &id) const;

    void startNode(size_t index);
    ownership_hooks hooksFor(size_t index);
    void createRecords();
    void scheduleTick(size_t index);
    void scheduleProbe();
    void scheduleFault();
    void injectFault();
    void pauseNode(size_t index, milliseconds duration);
    // Requests that an upstream runs end with it.
    void endRequests(size_t index);
    void restartNode(size_t index);
    void setUpstream(size_t index, bool up);
    void stopFaults(bool platformUp);

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

    void probe(size_t index, const std::string &partition, partition_history &history);
    // Partitions that must return within 2 s: both witness sets keep a majority and an instance
    // that may claim runs.
    std::set<std::string> quicklyRecoverable() const;
    bool isRunning(const instance_id &id) const;
    void fail(const std::string &text);

    disabled_mechanisms m_disabled;
    std::mt19937_64 m_random;
    lease_timing m_timing;
    steady_time m_now{std::chrono::hours(1)};
    uint64_t m_order = 0;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::vector<node> m_nodes;
    std::set<std::pair<size_t, size_t>> m_cuts;
    double m_lossRate = 0;
    bool m_faults = true;
    steady_time m_faultsEnd;
    bool m_platformUp = true;
    std::map<std::string, stored_object> m_objects;
    uint64_t m_revision = 0;
    std::shared_ptr<const fleet_view> m_view;
    std::map<std::string, partition_history> m_history;
    simulation_result m_result;
    std::vector<std::string> m_log;
};

} // namespace persimmonrail
