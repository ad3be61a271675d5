#include "persimmonrail/router/range_release.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace persimmonrail {
namespace {

// Releases that wait at the same time; each holds a thread and a connection to the upstream.
constexpr size_t maxAtOnce = 8;

} // namespace

release_outcome releaseAll(const grant_api &grants, const std::string &address,
                           const std::vector<release_order> &orders)
{
    std::vector<absl::StatusOr<std::string>> handovers(orders.size());
    std::atomic<size_t> next{0};
    const auto work = [&] {
        for (size_t i = next++; i < orders.size(); i = next++) {
            handovers[i] = grants.release(address, orders[i].grant.keys, orders[i].grant.fence);
        }
    };
    std::vector<std::thread> helpers;
    for (size_t i = 1; i < std::min(maxAtOnce, orders.size()); ++i) {
        helpers.emplace_back(work);
    }
    work();
    for (std::thread &helper : helpers) {
        helper.join();
    }
    release_outcome outcome;
    for (size_t i = 0; i < orders.size(); ++i) {
        const absl::Status status = handovers[i].status();
        // A process that is gone holds nothing.
        if (status.ok() || absl::IsFailedPrecondition(status)) {
            outcome.released.push_back(
                {orders[i].grant, orders[i].target, status.ok() ? *handovers[i] : std::string()});
        } else {
            outcome.failures.push_back(status);
        }
    }
    return outcome;
}

} // namespace persimmonrail
