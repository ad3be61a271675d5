#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/random_source.h"
#include "persimmonrail/sync/fleet_view.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Thresholds and durations of an instance_picker.
struct instance_picker_options
{
    // An instance of the own availability zone counts as overloaded if this daemon's requests in
    // flight on it reach this share of its slots.
    double overloadInFlightShare = 0.75;
    // An instance of the own availability zone also counts as overloaded if its latency exceeds
    // this multiple of the latency of an instance in another availability zone.
    double overloadLatencyRatio = 2.0;
    // Number of consecutive failures after which an instance is ejected.
    int failuresBeforeEjection = 3;
    milliseconds initialEjection{1000};
    milliseconds maxEjection{60000};
    // If this time passes between the end of an ejection and the next ejection, the next one lasts
    // for initialEjection again.
    milliseconds ejectionResetDelay{30000};
    // Time after which a new or returning instance is selected with full probability.
    milliseconds slowStartDuration{10000};
};

// Balances the load between the instances of one service that is not divided by key. Uses the power
// of two choices: the better of two random instances by this daemon's requests in flight and the
// observed latency. Prefers the own availability zone unless its instances are overloaded.
//
// Failing instances are ejected for a time that doubles with each ejection. At most half of the
// instances are ejected at once, since failures of more instances probably have another cause.
//
// Thread safe.
class instance_picker
{
public:
    enum class result {
        // The instance sent a complete response.
        Responded,
        // The instance sent no response or an incomplete one, or refused the connection.
        Failed,
        // The attempt says nothing about the instance: the caller cancelled the request, or the
        // request was shed under overload.
        Neutral,
    };

    instance_picker(std::string availabilityZone, random_source random,
                    instance_picker_options options = {});

    // Replaces the set of instances. Instances that remain in the set keep their state; a new
    // incarnation counts as a new instance. Instances of the first call get no slow start.
    void setInstances(const std::vector<const member_record *> &members, steady_time now);

    // Chooses an instance that is not in `tried` and counts a request in flight on it until
    // finish() is called. Returns nothing if every instance is in `tried`.
    std::optional<member_record> pick(const std::vector<instance_id> &tried, steady_time now);
    // Ends a request that pick() started and updates the latency and the failures of the instance.
    // Does nothing if the instance is no longer in the set.
    void finish(const instance_id &instance, result outcome, std::chrono::microseconds latency,
                steady_time now);

    // Returns the number of instances that are ejected at `now`.
    size_t ejectedCount(steady_time now) const;

private:
    struct instance
    {
        member_record member;
        int inFlight = 0;
        // Exponentially weighted moving average in microseconds; 0 before the first response.
        double averageLatency = 0;
        steady_time sampledAt{};
        int consecutiveFailures = 0;
        // Number of ejections that determines the duration of the next one.
        int ejections = 0;
        steady_time ejectedUntil{};
        // Time at which the slow start begins; the epoch if there is none.
        steady_time slowStartBegin{};
    };

    // Returns the better of two random candidates; null if there are no candidates.
    instance *chooseBetterOfTwo(std::vector<instance *> &candidates, steady_time now);
    // Returns a random candidate, with a lower probability during its slow start.
    instance *chooseRandom(const std::vector<instance *> &candidates, steady_time now);
    bool isOverloaded(const instance &local, const instance &remote, steady_time now) const;
    // Returns the weight of the latency average after the time since its last sample, from 0 to 1.
    static double decayFactor(const instance &candidate, steady_time now);
    // Returns the latency average times its decay factor, so that an instance that was slow once is
    // tried again.
    static double decayedLatency(const instance &candidate, steady_time now);
    // Returns the load score of an instance; lower is better.
    static double loadScore(const instance &candidate, steady_time now);
    // Returns the probability with which a drawn instance is accepted; below 1 during a slow start.
    double slowStartProbability(const instance &candidate, steady_time now) const;
    void eject(instance &failing, steady_time now);
    size_t countEjected(steady_time now) const;

    const std::string m_availabilityZone;
    const instance_picker_options m_options;
    mutable std::mutex m_mutex;
    random_source m_random;
    bool m_populated = false;
    std::map<instance_id, instance> m_instances;
};

} // namespace persimmonrail
