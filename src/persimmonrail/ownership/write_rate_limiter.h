#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <random>

namespace persimmonrail {

// Limits the rate of calls to the platform: a token bucket, and exponential backoff with jitter
// while the platform refuses calls. Not thread safe.
class write_rate_limiter
{
public:
    struct limits
    {
        double perSecond = 1;
        double burst = 8;
        // Tokens that only urgent calls may take, enough for the tenures of one failover. While
        // they wait, callers are still sent to the lost owner.
        double reserve = 4;
        milliseconds initialBackoff{250};
        milliseconds maxBackoff{10000};
    };

    write_rate_limiter(limits limits, uint64_t seed);

    // Whether a call is admitted at `now`.
    bool isReady(steady_time now);
    // Like isReady(), but leaves the reserve to others.
    bool isReadyForDeferrable(steady_time now);
    // Whether the platform refused the last call and the backoff has not ended.
    bool isBackingOff(steady_time now) const { return now < m_blockedUntil; }
    // Takes a token; call only if isReady().
    void take(steady_time now);
    // Delays the next call after ResourceExhausted or Unavailable.
    void onRefused(steady_time now);
    // Ends the backoff after a call that the platform answered.
    void onResponse();

private:
    void refill(steady_time now);

    limits m_limits;
    std::mt19937_64 m_random;
    double m_tokens;
    steady_time m_refilledAt;
    milliseconds m_backoff{0};
    steady_time m_blockedUntil;
};

} // namespace persimmonrail
