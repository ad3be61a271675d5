#pragma once

#include "persimmonrail/base/clock.h"

namespace persimmonrail {

// How long work takes at the upstream at this moment, as a factor on the usual time, from what its
// responses state. Not thread safe.
class recent_work_factor
{
public:
    // Takes the factor of a response. Ignores values outside 0.1 to 100.
    void record(double factor, steady_time now);
    // Returns the present factor; 1 if no recent response has stated one.
    double factor(steady_time now) const;

private:
    double m_factor = 1;
    steady_time m_recordedAt{};
};

} // namespace persimmonrail
