// Compares admission policies in a simulation in virtual time. Prints one JSON line per scenario
// and policy; docs/admission.md describes the results.
#include "measure/policy_simulation.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <iostream>

using namespace persimmonrail;

namespace {

constexpr uint64_t seed = 20260401;
// Work that an overloading rank or subsidiary offers, as a multiple of all slots.
constexpr double overloadFactor = 10;
// Virtual time in seconds of the disturbances of the upstream. The scenario with a failed instance
// uses the start only.
constexpr double disturbanceStart = 20;
constexpr double disturbanceEnd = 40;

// Returns the ranks of examples/haulbook.json with shorter timeouts. Together the ranks offer 73%
// of the capacity; crew, audit and tally offer more than their floors.
std::vector<rank_load> normalRanks()
{
    // Name, floor, mean service time in seconds, offered work, timeout in seconds, and offered work
    // of the flooding subsidiary.
    return {{"counter", 0.4, 0.006, 0.30, 0.2, 0},
            {"crew", 0.2, 0.006, 0.25, 0.2, 0},
            {"audit", 0.1, 0.009, 0.12, 0.5, 0},
            {"tally", 0.05, 0.012, 0.06, 2, 0}};
}

policy_scenario normalScenario(std::string name, int slots)
{
    policy_scenario scenario;
    scenario.name = std::move(name);
    scenario.slots = slots;
    scenario.ranks = normalRanks();
    return scenario;
}

std::vector<policy_scenario> makeScenarios(int slots)
{
    std::vector<policy_scenario> scenarios;
    scenarios.push_back(normalScenario("no-overload", slots));
    scenarios.push_back(normalScenario("least-urgent-10x", slots));
    scenarios.back().ranks[3].offered = overloadFactor;
    scenarios.push_back(normalScenario("most-urgent-10x", slots));
    scenarios.back().ranks[0].offered = overloadFactor;
    scenarios.push_back(normalScenario("one-subsidiary-10x", slots));
    scenarios.back().ranks[1].floodingOffered = overloadFactor;
    scenarios.push_back(normalScenario("instance-lost-in-flood", slots));
    scenarios.back().instances = 4;
    scenarios.back().ranks[3].offered = overloadFactor;
    scenarios.back().instanceLostAt = disturbanceStart;
    // The load is normal here, but exceeds what half of the slots can run.
    scenarios.push_back(normalScenario("half-capacity-queueing", slots));
    scenarios.back().disturbances = {
        {disturbanceStart, disturbanceEnd, 0.5, 1, overflow_handling::Queue}};
    scenarios.push_back(normalScenario("half-capacity-shedding", slots));
    scenarios.back().disturbances = {
        {disturbanceStart, disturbanceEnd, 0.5, 1, overflow_handling::Shed}};
    scenarios.push_back(normalScenario("half-speed", slots));
    scenarios.back().disturbances = {
        {disturbanceStart, disturbanceEnd, 1, 2, overflow_handling::Queue}};
    return scenarios;
}

void print(const policy_scenario &scenario, const policy_factory &factory,
           const policy_result &result)
{
    std::string ranks;
    for (size_t i = 0; i < result.ranks.size(); ++i) {
        const rank_result &rank = result.ranks[i];
        const rank_load &load = scenario.ranks[i];
        const double offered = static_cast<double>(std::max<uint64_t>(rank.offered, 1));
        const double nonFloodingOffered =
            static_cast<double>(std::max<uint64_t>(rank.nonFloodingOffered, 1));
        ranks += absl::StrFormat(
            "%s{\"rank\":\"%s\",\"offered\":%d,\"goodput\":%d,\"refused\":%d,\"failed\":%d,"
            "\"success\":%.5f,\"quiet_success\":%.5f,\"share\":%.4f,\"floor\":%.2f,"
            "\"p50_ms\":%.1f,\"p99_ms\":%.1f,\"p99.9_ms\":%.1f}",
            i == 0 ? "" : ",", load.name, rank.offered, rank.good, rank.refused, rank.failed,
            static_cast<double>(rank.good) / offered,
            static_cast<double>(rank.nonFloodingGood) / nonFloodingOffered, rank.share, load.floor,
            rank.p50 * 1000, rank.p99 * 1000, rank.p999 * 1000);
    }
    std::cout << absl::StrFormat("{\"scenario\":\"%s\",\"policy\":\"%s\",\"slots\":%d,"
                                 "\"total_share\":%.4f,\"mean_limit\":%.1f,\"ranks\":[%s]}\n",
                                 scenario.name, factory.name, scenario.slots, result.goodputShare,
                                 result.meanLimit, ranks);
}

} // namespace

int main()
{
    for (const int slots : {10, 20}) {
        for (const policy_scenario &scenario : makeScenarios(slots)) {
            for (const policy_factory &factory : allPolicyFactories()) {
                print(scenario, factory, simulatePolicy(scenario, factory, seed));
            }
        }
    }
    return 0;
}
