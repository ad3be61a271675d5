#pragma once

#include "persimmonrail/admission/concurrency_limit.h"
#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/request_outcome.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmonrail {

struct admission_options
{
    // Maximum number of waiting requests of a rank, per slot of the upstream.
    int maxWaitingPerSlot = 4;
    // Initial value of the moving average of the service time of a rank.
    milliseconds initialServiceTime{5};
    // When a rank tracks this many subsidiaries and a request of another one arrives, the rank
    // forgets all subsidiaries that have no waiting requests.
    size_t maxTrackedSubsidiaries = 256;
};

// The reason why a request is rejected. A rejected request did not run.
struct queue_rejection
{
    // "overload" (the queue is full) or "deadline-unreachable".
    std::string reason;
    // Expected time until a request of the same rank that arrived now would start; at least 1 ms.
    milliseconds retryAfter{0};
};

// The decision on a waiting request: the request starts, or is rejected if `rejection` is set.
struct queue_decision
{
    uint64_t id = 0;
    std::optional<queue_rejection> rejection;
};

// Decides which requests use the slots of one upstream. A slot is the capacity to run one request
// at a time. The slot time of a request is the time for which it occupies a slot.
//
// A free slot goes to the most urgent rank that has waiting requests and has used less slot time
// than its floor guarantees. If there is no such rank, the slot goes to the most urgent rank with
// waiting requests. Within a rank, subsidiaries share the slot time equally. A request that is
// not expected to meet its deadline is rejected on arrival or when its turn comes, unless the rank
// is idle. The number of waiting requests of each rank is bounded. The class reads no clock and
// starts no threads; callers pass the time. Not thread safe.
class admission_queue
{
public:
    // `floors` holds the guaranteed minimum share of the slot time of each rank, from 0 to 1, the
    // most urgent rank first. An empty list counts as one rank with the floor 0.
    admission_queue(const admission_options &options, const std::vector<double> &floors, int slots,
                    steady_time now);

    // Replaces the floors and the number of ranks. Requests of removed ranks move to the last rank.
    void setFloors(const std::vector<double> &floors);
    // `slots` must be at least 1.
    void setSlots(int slots);
    // Lowers the concurrency limit for the warm-up of an upstream that has restarted.
    void onUpstreamRestart(steady_time now);

    // Enqueues a request and returns its id, or returns a rejection. poll() decides on enqueued
    // requests. A `rank` beyond the last rank counts as the last. Requests with an
    // empty `subsidiary` count as those of one subsidiary.
    std::variant<uint64_t, queue_rejection> submit(size_t rank, std::string_view subsidiary,
                                                   steady_time deadline, steady_time now);
    // Starts waiting requests while the concurrency limit allows it. Returns the decisions made
    // since the last call, including rejections of requests that submit() evicted. Call after each
    // submit() and finish().
    std::vector<queue_decision> poll(steady_time now);
    // Removes a waiting request. Does nothing if the request has started or is unknown.
    void cancel(uint64_t id);
    // Releases the slot of a started request. `reason` is dispatch_result::reason of
    // upstream_client; `latency` is the time from the dispatch of the request to its end. Does
    // nothing if the request is not running.
    void finish(uint64_t id, request_outcome outcome, std::string_view reason,
                std::chrono::nanoseconds latency, steady_time now);

    int concurrencyLimit() const { return m_limit.current(); }
    int runningCount() const { return static_cast<int>(m_running.size()); }
    size_t waitingCount(size_t rank) const { return m_ranks[rank].waiting; }

private:
    struct waiting_request
    {
        uint64_t id = 0;
        steady_time deadline;
    };
    struct subsidiary_queue
    {
        std::deque<waiting_request> requests;
        // Start tag of start-time fair queueing, in seconds of slot time: the subsidiary with the
        // smallest tag is served first, and each started request increases the tag of its
        // subsidiary by the mean service time.
        double virtualStartTime = 0;
    };
    struct rank_state
    {
        double floor = 0;
        // Slot time in seconds that the rank may still use ahead of more urgent ranks. Negative
        // after the rank has used more than its floor.
        double floorCredit = 0;
        // Exponentially weighted moving average of the service time, in seconds.
        double meanServiceTime = 0;
        // Slot time used, in seconds, with exponential decay (time constant
        // usageDecaySeconds).
        double recentSlotTime = 0;
        // Latest virtual start time of a started request. When a request arrives, the virtual
        // start time of its subsidiary is raised at least to this time, so that the subsidiary gets
        // no extra slot time for the time in which it had no requests.
        double virtualTime = 0;
        size_t waiting = 0;
        size_t running = 0;
        std::map<std::string, subsidiary_queue, std::less<>> subsidiaries;
    };
    struct running_request
    {
        size_t rank = 0;
        // Slot time in seconds that was charged to the rank at the start of the request.
        double chargedSeconds = 0;
    };
    using subsidiary_iterator = std::map<std::string, subsidiary_queue, std::less<>>::iterator;

    void updateUsage(steady_time now);
    double availableShare(size_t rank) const;
    double expectedWait(size_t rank) const;
    queue_rejection makeRejection(std::string reason, size_t rank) const;
    size_t maxWaiting() const;
    bool evictFromLongestQueue(rank_state &state, std::string_view subsidiary);
    std::optional<size_t> chooseRank() const;
    subsidiary_iterator chooseSubsidiary(rank_state &state) const;
    void startRequest(size_t rank, subsidiary_queue &from, uint64_t id);
    void chargeSlotTime(rank_state &state, double seconds) const;
    void removeIdleSubsidiaries(rank_state &state);

    const admission_options m_options;
    concurrency_limit m_limit;
    int m_slots;
    std::vector<rank_state> m_ranks;
    std::map<uint64_t, running_request> m_running;
    std::vector<queue_decision> m_evicted;
    uint64_t m_nextId = 1;
    steady_time m_lastUpdate;
};

} // namespace persimmonrail
