#pragma once

#include "persimmonrail/base/clock.h"

#include <mutex>

namespace persimmonrail {

// Limits of a retry_budget.
struct retry_budget_options
{
    // Retries allowed per first attempt.
    double ratio = 0.10;
    // Additional retries allowed per second, so that a daemon with little traffic can retry at all.
    double minRetriesPerSecond = 1.0;
    // Most unused retries that accumulate, which limits a burst of retries.
    double maxBurst = 50.0;
};

// Token bucket that limits retries to a share of first attempts, so that retries cannot amplify an
// overload.
//
// Thread safe.
class retry_budget
{
public:
    retry_budget(steady_time now, retry_budget_options options = {});

    // Adds the retries that one first attempt allows.
    void recordFirstAttempt(steady_time now);
    // Consumes one retry of the budget. Returns false if none is available.
    bool tryRetry(steady_time now);

private:
    // Adds the retries allowed for the time since the last refill.
    void refill(steady_time now);

    const retry_budget_options m_options;
    std::mutex m_mutex;
    double m_availableRetries;
    steady_time m_refilledAt;
};

} // namespace persimmonrail
