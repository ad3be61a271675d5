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
    // When a rank tracks this many subsidiaries and a new one arrives, the slot time of all
    // subsidiaries without waiting requests is discarded.
    size_t maxIdleSubsidiaries = 256;
};

// The reason why a request is rejected. A rejected request did not run.
struct queue_rejection
{
    // "overload" (the queue is full) or "deadline-unreachable".
    std::string reason;
    // Expected time until the requests of the same rank that wait now have been served; at least
    // 1 ms.
    milliseconds retryAfter{0};
};

// The decision on a waiting request: the request starts, or is rejected if `rejection` is set.
struct queue_decision
{
    uint64_t id = 0;
    std::optional<queue_rejection> rejection;
};

// Decides which requests use the slots of one upstream.
//
// A free slot goes to the most urgent rank that has waiting requests and has used less slot time
// than its floor guarantees. If there is no such rank, the slot goes to the most urgent rank with
// waiting requests. Within a rank, subsidiaries share the slot time equally. A request that cannot
// meet its deadline is rejected on arrival or when its turn comes. Each queue is bounded. The class
// reads no clock and starts no threads; callers pass the time. The class is not
// thread-safe.
class admission_queue
{
public:
    // `floors` holds the guaranteed minimum share of the slot time of each rank, from 0 to 1, the
    // most urgent rank first. The list must not be empty.
    admission_queue(const admission_options &options, const std::vector<double> &floors, int slots,
                    steady_time now);

    // Replaces the floors and the number of ranks. Requests of removed ranks move to the last rank.
    void setFloors(const std::vector<double> &floors);
    // `slots` must be at least 1.
    void setSlots(int slots);
    // Lowers the concurrency limit for the warm-up of an upstream that has restarted.
    void onUpstreamRestart(steady_time now);

    // Enqueues a request and returns its id, or returns a rejection. poll() decides on enqueued
    // requests. A `rank` beyond the last rank counts as the last. `subsidiary` may be empty.
    std::variant<uint64_t, queue_rejection> submit(size_t rank, std::string_view subsidiary,
                                                   steady_time deadline, steady_time now);
    // Starts waiting requests while the concurrency limit allows it. Returns the decisions made
    // since the last call, including rejections of requests that submit() evicted. Call after each
    // submit(), finish() and cancel().
    std::vector<queue_decision> poll(steady_time now);
    // Removes a waiting request. Does nothing if the request has started or is unknown.
    void cancel(uint64_t id);
    // Releases the slot of a started request. `reason` is the reason word that upstream_client
    // reports; `latency` is the time from dispatch to the end. Does nothing if the request is not
    // running.
    void finish(uint64_t id, request_outcome outcome, std::string_view reason,
                std::chrono::nanoseconds latency, steady_time now);

    int limit() const { return m_limit.current(); }
    int running() const { return static_cast<int>(m_running.size()); }
    size_t waiting(size_t rank) const { return m_ranks[rank].waiting; }

private:
    struct waiting_request
    {
        uint64_t id = 0;
        steady_time deadline;
    };
    struct subsidiary_queue
    {
        std::deque<waiting_request> requests;
        // Virtual time at which the next request starts, in seconds. The subsidiary with the
        // earliest start time is served first. Each started request advances the start time of its
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
        // Slot time used, in seconds, with exponential decay (time constant of 1 s).
        double recentSlotTime = 0;
        // Latest virtual start time of a started request. Subsidiaries without demand do not fall
        // behind this time, so that they accumulate no claim to slots.
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
    bool evictFromLongestQueue(rank_state &rank, std::string_view subsidiary);
    std::optional<size_t> chooseRank() const;
    subsidiary_iterator chooseSubsidiary(rank_state &rank) const;
    void startRequest(size_t rank, subsidiary_queue &from, uint64_t id);
    void chargeSlotTime(rank_state &rank, double seconds) const;
    void removeIdleSubsidiaries(rank_state &rank);

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
