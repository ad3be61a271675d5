#pragma once

#include "persimmonrail/base/clock.h"

#include <mutex>

namespace persimmonrail {

struct retry_budget_options
{
    // Retries allowed per first attempt.
    double ratio = 0.10;
    // Retries a second allowed in addition, so that a daemon with little traffic can retry at all.
    double minPerSecond = 1.0;
    // Unused retries that are kept for later; bounds a burst.
    double burst = 50.0;
};

// Limits retries to a share of first attempts, so that retries can't multiply an overload.
//
// Thread safe.
class retry_budget
{
public:
    retry_budget(steady_time now, retry_budget_options options = {});

    void recordFirstAttempt(steady_time now);
    // Takes one retry from the budget; returns false if none is left.
    bool tryRetry(steady_time now);

private:
    void refill(steady_time now);

    const retry_budget_options m_options;
    std::mutex m_mutex;
    double m_available;
    steady_time m_refilledAt;
};

} // namespace persimmonrail
