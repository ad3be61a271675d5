#pragma once

#include "persimmonrail/admission/admission_queue.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// Admission policy of one upstream, as the simulation calls it. The functions behave like those of
// admission_queue, except that submit() returns nullopt for a rejected request. Not thread safe.
class admission_policy
{
public:
    virtual ~admission_policy() = default;
    virtual std::optional<uint64_t> submit(size_t rank, std::string_view subsidiary,
                                           steady_time deadline, steady_time now) = 0;
    virtual std::vector<queue_decision> poll(steady_time now) = 0;
    virtual void finish(uint64_t id, request_outcome outcome, std::string_view reason,
                        std::chrono::nanoseconds latency, steady_time now) = 0;
    virtual int limit() const = 0;
};

// Creates instances of one policy.
struct policy_factory
{
    // Name of the policy in the output.
    std::string name;
    // `floors` holds the guaranteed minimum share of each rank, the most urgent rank first. `slots`
    // is the number of requests that the upstream runs concurrently.
    std::function<std::unique_ptr<admission_policy>(const std::vector<double> &floors, int slots,
                                                    steady_time now)>
        make;
};

// Returns factories of the compared policies: strict priority, weighted fair queueing with the
// floors as weights, and admission_queue. The first two always use all slots as their concurrency
// limit; their queues have the same maximum length as those of admission_queue.
std::vector<policy_factory> allPolicyFactories();

} // namespace persimmonrail
