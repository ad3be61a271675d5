#pragma once

#include "persimmonrail/base/clock.h"

#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

struct link_delay_options
{
    // Measurements older than this are dropped.
    milliseconds window{5000};
    // Least number of measurements of a zone within the window for an estimate.
    size_t minMeasurements = 6;
    // Excess that is not counted: two crossings between zones take 1 ms, and the operators'
    // crossing cost includes them.
    std::chrono::microseconds usualExcess{2000};
    // Time that an attempt without response costs: until the loss is detected, and for another
    // attempt.
    milliseconds lossCost{250};
    milliseconds maxExcess{1000};
    // Time in which the last known excess of a zone halves while it is not measured, so that a
    // zone that is avoided gets some requests again and is measured anew.
    milliseconds halfLife{1000};
};

// A change of the excess of one zone that is worth a log line.
struct link_change
{
    std::string zone;
    std::chrono::microseconds from{0};
    std::chrono::microseconds to{0};
    // Share of attempts without response, the median over the upstreams of the zone.
    double lossShare = 0;
    size_t measurements = 0;
};

// Measures how much longer requests are on the way to other availability zones than within the own
// zone. A measurement is the time from sending a request to the first byte of its response, less
// the time that the other daemon states as its own. An upstream counts with its lower quartile, and
// a zone with the (lower) median of its upstreams, so that neither single slow requests
// nor a slow host make a zone expensive. Takes the time as an argument and reads no clock. Thread
// safe.
class link_delay
{
public:
    explicit link_delay(std::string ownZone, link_delay_options options = {});

    // Records an attempt with a response. Times below 0 count as 0.
    void recordResponse(const std::string &zone, const std::string &upstream,
                        std::chrono::microseconds delay, steady_time now);
    // Records an attempt without any response from the other daemon.
    void recordLoss(const std::string &zone, const std::string &upstream, steady_time now);
    // Returns by how much a crossing to each other zone costs more than usual. Zones without excess
    // are left out.
    std::map<std::string, std::chrono::microseconds> excess(steady_time now);
    // Returns a change that excess() has found and that was not returned yet.
    std::optional<link_change> takeChange();

private:
    struct measurement
    {
        std::string upstream;
        // nullopt if there was no response.
        std::optional<std::chrono::microseconds> delay;
        steady_time at{};
    };
    struct zone_link
    {
        std::deque<measurement> measurements;
        // The excess when it could be measured last.
        std::chrono::microseconds known{0};
        steady_time knownAt{};
        std::chrono::microseconds logged{0};
        steady_time loggedAt{};
    };
    // Result of the recent measurements of a zone.
    struct zone_estimate
    {
        // nullopt if there was no response.
        std::optional<std::chrono::microseconds> delay;
        double lossShare = 0;
        size_t measurements = 0;
    };
    void record(const std::string &zone, measurement measured);
    // Returns nullopt if there are too few measurements.
    std::optional<zone_estimate> estimate(zone_link &link, steady_time now) const;
    std::chrono::microseconds
    measuredExcess(const zone_estimate &estimate,
                   const std::optional<std::chrono::microseconds> &baseline) const;
    void noteChange(const std::string &zone, zone_link &link, std::chrono::microseconds excess,
                    const std::optional<zone_estimate> &estimate, steady_time now);

    const std::string m_ownZone;
    const link_delay_options m_options;
    std::mutex m_mutex;
    std::map<std::string, zone_link> m_zones;
    std::deque<link_change> m_changes;
};

} // namespace persimmonrail
