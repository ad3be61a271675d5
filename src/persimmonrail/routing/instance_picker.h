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

struct instance_picker_options
{
    // Own requests in flight, as a share of the upstream's slots, from which on an instance of the
    // own availability zone counts as overloaded.
    double overloadShare = 0.75;
    // An instance whose latency exceeds this multiple of a remote one's counts as overloaded too.
    double overloadLatency = 2.0;
    // Consecutive failures that eject an instance.
    int failuresToEject = 3;
    milliseconds initialEjection{1000};
    milliseconds maxEjection{60000};
    // Time without a new ejection after which the next one is short again.
    milliseconds ejectionMemory{30000};
    // A new or returning instance reaches its full chance of being drawn after this time.
    milliseconds slowStart{10000};
};

// Chooses among the instances of one service that isn't divided by key: the better of two drawn at
// random by own in-flight count and observed latency, from the own availability zone unless those
// are overloaded. Failing instances are ejected for a time that doubles with each ejection; at most
// half of the instances are ejected at once, since failures of more than that are likely not
// theirs.
//
// Thread safe.
class instance_picker
{
public:
    enum class result {
        // A complete response.
        Responded,
        // No or no complete response, or a refused connection.
        Failed,
        // Says nothing about the instance: cancelled by the caller, or shed under overload.
        Neutral,
    };

    instance_picker(std::string availabilityZone, random_source random,
                    instance_picker_options options = {});

    // Replaces the set of instances. Instances that stay keep their state; one that runs under a
    // new incarnation starts anew. Instances of the first call get no slow start.
    void setInstances(const std::vector<const member_record *> &members, steady_time now);

    // Chooses an instance and counts a request in flight on it, to be ended by finish(). Instances
    // in `tried` are left out. Returns nothing if none is left.
    std::optional<member_record> pick(const std::vector<instance_id> &tried, steady_time now);
    void finish(const instance_id &instance, result outcome, std::chrono::microseconds latency,
                steady_time now);

    // Number of instances that are ejected at `now`.
    size_t ejected(steady_time now) const;

private:
    struct instance
    {
        member_record member;
        int inFlight = 0;
        // Moving average in microseconds; 0 before the first response.
        double latency = 0;
        steady_time sampledAt{};
        int failures = 0;
        int ejections = 0;
        steady_time ejectedUntil{};
        // Start of the slow start; the epoch if there is none.
        steady_time rampStart{};
    };

    instance *drawBetter(std::vector<instance *> &candidates, steady_time now);
    instance *draw(const std::vector<instance *> &candidates, steady_time now);
    bool isOverloaded(const instance &local, const instance &remote, steady_time now) const;
    static double decay(const instance &candidate, steady_time now);
    static double latency(const instance &candidate, steady_time now);
    static double score(const instance &candidate, steady_time now);
    double ramp(const instance &candidate, steady_time now) const;
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
