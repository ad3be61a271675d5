#pragma once

#include "measure/policies.h"

#include <string>
#include <vector>

namespace persimmonrail {

// How an upstream treats requests beyond its capacity.
enum class excess { Queue, Shed };

// The upstream's capacity or speed differs from the normal one during a part of the run.
struct disturbance
{
    double from = 0;
    double until = 0;
    // Part of the slots that runs requests.
    double capacity = 1;
    // Factor on service times.
    double slowness = 1;
    excess treatment = excess::Queue;
};

struct rank_load
{
    std::string name;
    double floor = 0;
    // Service times are lognormal with this mean in seconds and sigma 0.6.
    double meanService = 0;
    // Offered work as a share of all slots; arrivals are a Poisson process.
    double offered = 0;
    double timeout = 0;
    // Work offered by one subsidiary on its own, on top of `offered`, which four others share.
    double floodOfOne = 0;
};

struct policy_scenario
{
    std::string name;
    int instances = 1;
    int slots = 10;
    std::vector<rank_load> ranks;
    std::vector<disturbance> disturbances;
    // From this time the last instance is lost, and its arrivals go to the others.
    double instanceLostAt = 1e9;
};

struct rank_result
{
    uint64_t offered = 0;
    uint64_t good = 0;
    uint64_t refused = 0;
    // Refused by the upstream, late or lost with their instance.
    uint64_t failed = 0;
    // Slot time of good requests as a share of the capacity.
    double share = 0;
    double p50 = 0;
    double p99 = 0;
    double p999 = 0;
    // Requests of all subsidiaries but the one that floods.
    uint64_t quietOffered = 0;
    uint64_t quietGood = 0;
};

struct policy_result
{
    std::vector<rank_result> ranks;
    double goodputShare = 0;
    double meanLimit = 0;
};

// Virtual seconds that are measured, after a warm-up.
inline constexpr double measuredSeconds = 60;
inline constexpr double warmUpSeconds = 5;

// Runs a scenario in virtual time. Deterministic for a given seed.
policy_result simulatePolicy(const policy_scenario &scenario, const policy_kind &policy,
                             uint64_t seed);

} // namespace persimmonrail
