#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <random>

namespace persimmonrail {

// Limits the rate of calls to the platform with a token bucket, and with exponential backoff and
// jitter while the platform rejects calls. Not thread safe.
class write_rate_limiter
{
public:
    struct limits
    {
        // Tokens added per second.
        double callsPerSecond = 1;
        // Capacity of the token bucket.
        double maxBurst = 8;
        // Number of tokens that only urgent calls may take. The reserve is enough to record the
        // tenures of one failover; until a tenure is recorded, callers are still sent to the lost
        // owner.
        double urgentReserve = 4;
        // Backoff after the first rejected call. The backoff doubles with each further rejection.
        milliseconds initialBackoff{250};
        milliseconds maxBackoff{10000};
    };

    write_rate_limiter(limits limits, uint64_t seed);

    // Returns whether an urgent call may be sent at `now`.
    bool canCall(steady_time now);
    // Returns whether a call that can wait may be sent at `now`. Such calls do not use the tokens
    // reserved for urgent calls.
    bool canCallDeferrable(steady_time now);
    // Returns whether the backoff after a rejected call has not ended at `now`.
    bool isBackingOff(steady_time now) const { return now < m_blockedUntil; }
    // Takes one token. Requires canCall().
    void takeToken(steady_time now);
    // Starts or doubles the backoff after a call that failed with ResourceExhausted or Unavailable.
    void onRejected(steady_time now);
    // Resets the backoff to its initial length after a call to which the platform has responded.
    void onResponse();

private:
    void refill(steady_time now);

    limits m_limits;
    std::mt19937_64 m_random;
    double m_tokens;
    steady_time m_refilledAt;
    milliseconds m_backoff{0};
    // End of the backoff.
    steady_time m_blockedUntil;
};

} // namespace persimmonrail
