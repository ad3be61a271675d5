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
    // Requests that may wait per rank, for each slot of the upstream.
    int queuePerSlot = 4;
    // Service time assumed for a rank without finished requests.
    milliseconds assumedService{5};
    // Subsidiaries whose use is remembered per rank while none of their requests wait.
    size_t maxIdleSubsidiaries = 256;
};

// Why a request is not admitted; it did not run.
struct queue_refusal
{
    // "overload" (queue full) or "deadline-unreachable".
    std::string reason;
    // Time until the present queue has been served.
    milliseconds retryAfter{0};
};

// Decision on a waiting request: it starts, or it is refused.
struct queue_decision
{
    uint64_t id = 0;
    std::optional<queue_refusal> refusal;
};

// Decides which requests use the slots of one upstream.
//
// A free slot goes to the most urgent rank that has had less than its floor of the slot time, and
// otherwise to the most urgent rank that waits. Within a rank, subsidiaries share the slot time
// equally. A request that cannot meet its deadline is refused when it arrives or when its turn
// comes. Each queue is bounded. No clock, no threads: time is an argument. Not thread safe.
class admission_queue
{
public:
    // `floors`: share of the slot time that each rank keeps, most urgent rank first; not empty.
    admission_queue(const admission_options &options, const std::vector<double> &floors, int slots,
                    steady_time now);

    // Requests of ranks that no longer exist move to the last rank.
    void setFloors(const std::vector<double> &floors);
    // `slots` of at least 1.
    void setSlots(int slots);
    // The upstream started anew and is cold.
    void upstreamRestarted(steady_time now);

    // Adds a request; poll() decides on it. `rank` beyond the last counts as the last.
    // `subsidiary` may be empty.
    std::variant<uint64_t, queue_refusal> submit(size_t rank, std::string_view subsidiary,
                                                 steady_time deadline, steady_time now);
    // Starts requests while the limit allows it. Call after submit(), finish() and cancel().
    std::vector<queue_decision> poll(steady_time now);
    // Removes a request that still waits; no effect on others.
    void cancel(uint64_t id);
    // A started request has ended. `reason` is the upstream guard's word for it; `latency` is
    // the time from hand-over to the end.
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
        // Slot time received, in seconds, on the scale of rank_state::virtualTime.
        double received = 0;
    };
    struct rank_state
    {
        double floor = 0;
        // Slot time in seconds that the rank may still claim under its floor.
        double credit = 0;
        // Mean service time in seconds.
        double service = 0;
        // Slot time used, in seconds, decaying over the memory of a second.
        double recentUse = 0;
        double virtualTime = 0;
        size_t waiting = 0;
        size_t running = 0;
        std::map<std::string, subsidiary_queue, std::less<>> subsidiaries;
    };
    struct running_request
    {
        size_t rank = 0;
        double charged = 0;
    };
    using subsidiary_iterator = std::map<std::string, subsidiary_queue, std::less<>>::iterator;

    void advance(steady_time now);
    double shareOf(size_t rank) const;
    double expectedWait(size_t rank) const;
    queue_refusal makeRefusal(std::string reason, size_t rank) const;
    size_t maxWaiting() const;
    bool evictFor(rank_state &rank, std::string_view subsidiary);
    std::optional<size_t> chooseRank() const;
    subsidiary_iterator chooseSubsidiary(rank_state &rank) const;
    void start(size_t rank, subsidiary_queue &from, uint64_t id);
    void charge(rank_state &rank, double seconds) const;
    void forgetIdle(rank_state &rank);

    const admission_options m_options;
    concurrency_limit m_limit;
    int m_slots;
    std::vector<rank_state> m_ranks;
    std::map<uint64_t, running_request> m_running;
    std::vector<queue_decision> m_evicted;
    uint64_t m_nextId = 1;
    steady_time m_advancedTo;
};

} // namespace persimmonrail
