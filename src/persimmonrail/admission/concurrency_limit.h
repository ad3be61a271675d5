#pragma once

#include "persimmonrail/base/clock.h"

#include <cstddef>
#include <vector>

namespace persimmonrail {

// Adaptive limit on the number of requests that run on the upstream at a time, between 1 and the
// announced slots.
//
// Rejections by the upstream, lost responses and latencies above the baseline of their rank
// decrease the limit. Each window of responses with latencies near the baseline increases the limit
// by one. If a decrease does not shorten the latencies, the requests themselves take longer, and
// the limit returns to its earlier value. Probes and the load that the upstream announces have no
// influence. This class is not thread-safe.
class concurrency_limit
{
public:
    // Starts with a limit of `slots`, which must be at least 1.
    explicit concurrency_limit(int slots);

    // A limit that was at the earlier number of slots follows the change. Any other limit changes
    // only if it exceeds `slots`.
    void setSlots(int slots);
    // Sets the limit to a quarter of the slots, for an upstream that has restarted. Windows without
    // congestion increase it again.
    void restart(steady_time now);
    // Returns the present limit.
    int current() const;

    // Records a complete response. Each rank has its own latency baseline, because requests of
    // different ranks may take different times.
    void recordResponse(size_t rank, std::chrono::nanoseconds latency, steady_time now);
    // Records that the upstream rejected a request because of overload, or that a response was
    // lost.
    void recordOverload(steady_time now);

private:
    struct rank_latency
    {
        // Mean latency without congestion, in seconds; 0 until the first such window has ended.
        double baseline = 0;
        // Number of responses that have entered the baseline.
        int responseCount = 0;
        // Sum of the latencies in the present window, in seconds.
        double windowSum = 0;
        int windowCount = 0;
    };

    void endWindow(steady_time now);
    void decrease(double ratio);
    void updateBaselines(steady_time now);
    void resetWindow(steady_time now);

    int m_slots;
    double m_limit;
    std::vector<rank_latency> m_ranks;
    // Ratios of latency to baseline in the present window.
    double m_ratioSum = 0;
    int m_ratioCount = 0;
    int m_windowCount = 0;
    steady_time m_windowStart;
    // Number of further responses to ignore, because their requests were sent under the limit
    // before the last decrease.
    int m_staleResponses = 0;
    bool m_wasLastWindowCongested = false;
    // True after a decrease for latency until its effect on the latency is known.
    bool m_isDecreaseOnTrial = false;
    double m_limitBeforeDecrease = 0;
    double m_ratioBeforeDecrease = 0;
    // The limit before the last increase; 0 before the first increase and after an overload has
    // undone the last one.
    double m_limitBeforeIncrease = 0;
    steady_time m_ignoreOverloadUntil;
    // The limit does not increase before this time.
    steady_time m_nextIncreaseAt;
    // Time from the last overload to the next increase. Doubles with each overload; returns to 0
    // when the limit reaches the slots.
    milliseconds m_increaseDelay{0};
    steady_time m_warmUpEnd;
};

} // namespace persimmonrail
