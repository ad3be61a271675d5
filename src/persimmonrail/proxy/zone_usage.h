#pragma once

#include "persimmonrail/base/clock.h"

#include <deque>
#include <map>
#include <string>
#include <utility>

namespace persimmonrail {

// Counts the arrivals and starts of the last second at one upstream, by the zone of the caller.
// Zones that had arrivals have equal shares of the starts. Reads no clock. Not thread safe.
class zone_usage
{
public:
    void recordArrival(const std::string &zone, steady_time now) { record(m_arrivals, zone, now); }
    void recordStart(const std::string &zone, steady_time now) { record(m_starts, zone, now); }

    // Starts of the last second, by zone.
    class shares
    {
    public:
        // Returns whether the zone has had more than its share of the starts.
        bool isExceededBy(const std::string &zone) const;
        // Counts one more start.
        void add(const std::string &zone);

    private:
        friend class zone_usage;
        std::map<std::string, int> m_starts;
        int m_allStarts = 0;
        int m_zones = 1;
    };
    shares present(steady_time now) const;

private:
    // In the order of their times.
    using events = std::deque<std::pair<steady_time, std::string>>;
    static void record(events &recorded, const std::string &zone, steady_time now);

    events m_arrivals;
    events m_starts;
};

} // namespace persimmonrail
