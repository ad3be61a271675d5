#pragma once

#include "persimmonrail/base/clock.h"

#include <cstddef>
#include <vector>

namespace persimmonrail {

// Number of requests that the upstream runs at a time, between 1 and its announced slots.
//
// Follows what the upstream does: refusals, lost answers and latencies above those of the same rank
// in calm times lower it, calm windows raise it by one. If a lower limit does not shorten the
// latencies, the work itself takes longer, and the limit returns to its earlier value. Probes and
// announced load have no influence. Not thread safe.
class concurrency_limit
{
public:
    // `slots` must be at least 1. Starts at `slots`.
    explicit concurrency_limit(int slots);

    void setSlots(int slots);
    // The upstream started anew: begins at a quarter of the slots and rises with calm windows.
    void restart(steady_time now);
    int current() const;

    // A whole answer. `rank` tells latencies of different kinds of work apart.
    void recordResponse(size_t rank, std::chrono::nanoseconds latency, steady_time now);
    // The upstream refused a request for lack of room, or an answer was lost.
    void noteOverload(steady_time now);

private:
    struct rank_latency
    {
        // Seconds in calm times; 0 until the first calm window has ended.
        double usual = 0;
        int responses = 0;
        double windowSum = 0;
        int windowCount = 0;
    };

    void endWindow(steady_time now);
    void lower(double ratio);
    void learnUsual(steady_time now);
    void discardWindow(steady_time now);

    int m_slots;
    double m_limit;
    std::vector<rank_latency> m_ranks;
    double m_ratioSum = 0;
    int m_ratioCount = 0;
    int m_windowCount = 0;
    steady_time m_windowStart;
    // Answers of requests that were sent under an earlier limit.
    int m_toIgnore = 0;
    bool m_wasCongested = false;
    // Set while a limit lowered for latency has not yet shown an effect.
    bool m_isTrial = false;
    double m_limitBeforeTrial = 0;
    double m_ratioBeforeTrial = 0;
    // The limit at the last calm window if it was raised then, else 0.
    double m_limitBeforeRaise = 0;
    steady_time m_ignoreOverloadUntil;
    steady_time m_raiseAt;
    milliseconds m_raisePause{0};
    steady_time m_rampEnd;
};

} // namespace persimmonrail
