#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/random_source.h"

namespace persimmonrail {

// Delays between repeated attempts: each is drawn from the upper half of an interval that doubles
// up to a maximum. The jitter keeps callers that failed together from returning together.
//
// Not thread safe; one object serves one request or one thread.
class backoff
{
public:
    // `initial` must be positive and at most `maximum`.
    backoff(milliseconds initial, milliseconds maximum, random_source random);

    // Returns the delay before the next attempt.
    milliseconds next();
    // Starts again from the initial delay, after a success.
    void reset();

private:
    milliseconds m_initial;
    milliseconds m_maximum;
    milliseconds m_current;
    random_source m_random;
};

} // namespace persimmonrail
