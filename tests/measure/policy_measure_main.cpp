// Compares admission policies in virtual time and prints one JSON line per scenario and policy.
#include "measure/policy_simulation.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>

using namespace persimmonrail;

namespace {

constexpr uint64_t seed = 20260401;
constexpr double floodFactor = 10;
// Time of the loss of an instance and of the upstream's disturbances.
constexpr double disturbedFrom = 20;
constexpr double disturbedUntil = 40;

// Ranks of examples/haulbook.json with shorter timeouts, at 73% of the capacity; crew, audit and
// tally offer more than their floors.
std::vector<rank_load> calmRanks()
{
    return {{"counter", 0.4, 0.006, 0.30, 0.2, 0},
            {"crew", 0.2, 0.006, 0.25, 0.2, 0},
            {"audit", 0.1, 0.009, 0.12, 0.5, 0},
            {"tally", 0.05, 0.012, 0.06, 2, 0}};
}

policy_scenario calm(std::string name, int slots)
{
    policy_scenario scenario;
    scenario.name = std::move(name);
    scenario.slots = slots;
    scenario.ranks = calmRanks();
    return scenario;
}

std::vector<policy_scenario> allScenarios(int slots)
{
    std::vector<policy_scenario> all;
    all.push_back(calm("no-overload", slots));
    all.push_back(calm("least-urgent-10x", slots));
    all.back().ranks[3].offered = floodFactor;
    all.push_back(calm("most-urgent-10x", slots));
    all.back().ranks[0].offered = floodFactor;
    all.push_back(calm("one-subsidiary-10x", slots));
    all.back().ranks[1].floodOfOne = floodFactor;
    all.push_back(calm("instance-lost-in-flood", slots));
    all.back().instances = 4;
    all.back().ranks[3].offered = floodFactor;
    all.back().instanceLostAt = disturbedFrom;
    // Without a flood, but with more work than half of the slots can run.
    all.push_back(calm("half-capacity-queueing", slots));
    all.back().disturbances = {{disturbedFrom, disturbedUntil, 0.5, 1, excess::Queue}};
    all.push_back(calm("half-capacity-shedding", slots));
    all.back().disturbances = {{disturbedFrom, disturbedUntil, 0.5, 1, excess::Shed}};
    all.push_back(calm("half-speed", slots));
    all.back().disturbances = {{disturbedFrom, disturbedUntil, 1, 2, excess::Queue}};
    return all;
}

void print(const policy_scenario &scenario, const policy_kind &policy, const policy_result &result)
{
    std::string ranks;
    for (size_t i = 0; i < result.ranks.size(); ++i) {
        const rank_result &rank = result.ranks[i];
        const rank_load &load = scenario.ranks[i];
        const double offered = static_cast<double>(std::max<uint64_t>(rank.offered, 1));
        const double quiet = static_cast<double>(std::max<uint64_t>(rank.quietOffered, 1));
        ranks += absl::StrFormat(
            "%s{\"rank\":\"%s\",\"offered\":%d,\"goodput\":%d,\"refused\":%d,\"failed\":%d,"
            "\"success\":%.5f,\"quiet_success\":%.5f,\"share\":%.4f,\"floor\":%.2f,"
            "\"p50_ms\":%.1f,\"p99_ms\":%.1f,\"p99.9_ms\":%.1f}",
            i == 0 ? "" : ",", load.name, rank.offered, rank.good, rank.refused, rank.failed,
            static_cast<double>(rank.good) / offered, static_cast<double>(rank.quietGood) / quiet,
            rank.share, load.floor, rank.p50 * 1000, rank.p99 * 1000, rank.p999 * 1000);
    }
    std::cout << absl::StrFormat("{\"scenario\":\"%s\",\"policy\":\"%s\",\"slots\":%d,"
                                 "\"total_share\":%.4f,\"mean_limit\":%.1f,\"ranks\":[%s]}\n",
                                 scenario.name, policy.name, scenario.slots, result.goodputShare,
                                 result.meanLimit, ranks);
}

} // namespace

int main()
{
    for (const int slots : {10, 20}) {
        for (const policy_scenario &scenario : allScenarios(slots)) {
            for (const policy_kind &policy : allPolicies()) {
                print(scenario, policy, simulatePolicy(scenario, policy, seed));
            }
        }
    }
    return 0;
}
