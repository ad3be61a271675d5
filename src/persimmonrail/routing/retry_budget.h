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

// Retries that all daemons together may make for one service within any window: `ratio` times the
// first attempts in it, plus `slack`.
struct shared_retry_budget
{
    double ratio = 0;
    double slack = 0;
    milliseconds window{10000};
};

// Returns the limits of one of `holders` daemons that share this part of the budget without knowing
// each other's retries. In a window, one uses its burst and its rate, which are a half of its share
// of the slack each. The burst allows at least one retry.
retry_budget_options shareRetryBudget(const shared_retry_budget &budget, double part,
                                      size_t holders);

// Token bucket that limits retries to a share of first attempts, so that retries cannot amplify an
// overload.
//
// Thread safe.
class retry_budget
{
public:
    retry_budget(steady_time now, retry_budget_options options = {});

    // Replaces the limits. Unused retries beyond the new burst are lost.
    void setOptions(const retry_budget_options &options, steady_time now);
    // Adds the retries that one first attempt allows.
    void recordFirstAttempt(steady_time now);
    // Consumes one retry of the budget. Returns false if none is available.
    bool tryRetry(steady_time now);

private:
    // Adds the retries allowed for the time since the last refill.
    void refill(steady_time now);

    std::mutex m_mutex;
    retry_budget_options m_options;
    double m_availableRetries;
    steady_time m_refilledAt;
};

} // namespace persimmonrail
