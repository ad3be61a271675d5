#pragma once

#include "persimmonrail/admission/admission_queue.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// What the simulation asks of an admission policy; as admission_queue, with refusals as false.
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

struct policy_kind
{
    std::string name;
    std::function<std::unique_ptr<admission_policy>(const std::vector<double> &floors, int slots,
                                                    steady_time now)>
        make;
};

// Strict priority and weighted fair queueing (weights: the floors) with all slots as their limit
// and the queue bound of admission_queue, and admission_queue itself.
std::vector<policy_kind> allPolicies();

} // namespace persimmonrail
