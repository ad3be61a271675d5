#pragma once

#include "persimmonrail/base/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace persimmonrail {

// Rates of requests by the availability zone of their callers, in requests a second. Not thread
// safe.
class arrival_rates
{
public:
    // The rates are exponential moving averages with this time constant, which must be above 0.
    explicit arrival_rates(milliseconds decayTime = milliseconds(1000));

    // Counts a request. Ignores names of further zones once 16 are known, since the names come from
    // other daemons.
    void record(std::string_view zone, steady_time now);
    // Returns the rates of all zones with a rate of at least 0.05.
    std::map<std::string, double> rates(steady_time now) const;

private:
    struct entry
    {
        double rate = 0;
        steady_time updatedAt{};
    };
    // Returns the rate of an entry at `now`.
    double decayed(const entry &zone, steady_time now) const;

    const milliseconds m_decayTime;
    std::map<std::string, entry, std::less<>> m_zones;
};

} // namespace persimmonrail
