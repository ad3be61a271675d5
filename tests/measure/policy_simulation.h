#pragma once

#include "measure/admission_policies.h"

#include <string>
#include <vector>

namespace persimmonrail {

// What an upstream does with a request that arrives when all usable slots are busy: it queues the
// request or rejects the request at once.
enum class overflow_handling { Queue, Shed };

// Period of a run in which the upstreams have a reduced capacity or speed.
struct disturbance
{
    // Start and end of the period in seconds of virtual time.
    double start = 0;
    double end = 0;
    // Share of the slots that can run requests.
    double capacityShare = 1;
    // Multiplies the service time of each request that starts in the period.
    double serviceTimeFactor = 1;
    overflow_handling overflow = overflow_handling::Queue;
};

// Load that the callers offer in one rank.
struct rank_load
{
    std::string name;
    // Guaranteed minimum share of the slot time.
    double floor = 0;
    // Mean service time in seconds. Service times are lognormal with sigma 0.6.
    double meanServiceTime = 0;
    // Slot time that four subsidiaries offer together, as a share of all slots. Arrivals are a
    // Poisson process.
    double offered = 0;
    // Seconds from the arrival of a request to its deadline.
    double timeout = 0;
    // Slot time that a fifth, flooding subsidiary offers in addition, as a share of all slots.
    double floodingOffered = 0;
};

// Load and failures of one simulated run.
struct policy_scenario
{
    // Name of the scenario in the output.
    std::string name;
    int instances = 1;
    // Requests that each upstream runs concurrently.
    int slots = 10;
    // The most urgent rank first.
    std::vector<rank_load> ranks;
    std::vector<disturbance> disturbances;
    // Virtual time in seconds at which the last instance fails; all later requests go to the
    // others. The default lies beyond the end of every run.
    double instanceLostAt = 1e9;
};

// Results of one rank. All values cover only the requests that arrived after the warm-up.
struct rank_result
{
    uint64_t offered = 0;
    // Requests that ran and ended within their timeout.
    uint64_t good = 0;
    // Requests that the admission policy rejected.
    uint64_t refused = 0;
    // Requests that the upstream rejected, that ended late or whose instance failed.
    uint64_t failed = 0;
    // Undisturbed service time of the good requests, as a share of the capacity that was available
    // during the measured time.
    double share = 0;
    // Latency quantiles of the good requests in seconds, counted from the arrival.
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    // As `offered` and `good`, for all subsidiaries except the flooding one.
    uint64_t nonFloodingOffered = 0;
    uint64_t nonFloodingGood = 0;
};

// Results of one simulated run.
struct policy_result
{
    std::vector<rank_result> ranks;
    // Sum of rank_result::share over all ranks.
    double goodputShare = 0;
    // Mean concurrency limit of an instance over time.
    double meanLimit = 0;
};

// Virtual seconds that a run measures, and virtual seconds of warm-up before them.
inline constexpr double measuredSeconds = 60;
inline constexpr double warmUpSeconds = 5;

// Runs a scenario with one policy in virtual time. The result depends on the arguments only.
policy_result simulatePolicy(const policy_scenario &scenario, const policy_factory &factory,
                             uint64_t seed);

} // namespace persimmonrail
