#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/random_source.h"

namespace persimmonrail {

// Exponential backoff with jitter for repeated attempts. The upper bound of the delay starts at the
// initial delay and doubles with each attempt up to the maximum delay. Each delay is drawn at
// random from the upper half of the range from 0 to this bound. Without jitter, clients whose
// attempts fail at the same time would also retry at the same time.
//
// Not thread safe; each request or thread uses an object of its own.
class backoff
{
public:
    // `initialDelay` must be positive and at most `maxDelay`.
    backoff(milliseconds initialDelay, milliseconds maxDelay, random_source random);

    // Returns the delay before the next attempt.
    milliseconds next();
    // Restores the initial delay; to be called after a successful attempt.
    void reset();

private:
    milliseconds m_initialDelay;
    milliseconds m_maxDelay;
    milliseconds m_maxNextDelay;
    random_source m_random;
};

} // namespace persimmonrail
