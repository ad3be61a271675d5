#include "persimmonrail/router/range_release.h"

#include "persimmonrail/keyspace/grant_fence.h"

#include <algorithm>
#include <atomic>
#include <thread>

namespace persimmonrail {
namespace {

// Releases that wait at the same time; each uses a thread and a connection to the upstream.
constexpr size_t maxConcurrentReleases = 8;

} // namespace

release_outcome releaseAll(const grant_api &grants, const std::string &address,
                           const std::vector<release_request> &requests)
{
    std::vector<absl::StatusOr<std::string>> handovers(requests.size());
    std::atomic<size_t> next{0};
    const auto releaseRemaining = [&] {
        for (size_t i = next++; i < requests.size(); i = next++) {
            const range_grant &grant = requests[i].grant;
            handovers[i] = grants.release(address, grant.keys,
                                          fenceOnConnection(grant.fence, grant.connection));
        }
    };
    std::vector<std::thread> threads;
    for (size_t i = 1; i < std::min(maxConcurrentReleases, requests.size()); ++i) {
        threads.emplace_back(releaseRemaining);
    }
    releaseRemaining();
    for (std::thread &thread : threads) {
        thread.join();
    }
    release_outcome outcome;
    for (size_t i = 0; i < requests.size(); ++i) {
        const absl::Status status = handovers[i].status();
        // No process listens there, so the upstream has ended and holds no keys.
        if (status.ok() || absl::IsFailedPrecondition(status)) {
            outcome.released.push_back({requests[i].grant, requests[i].newOwner,
                                        requests[i].recordedFence,
                                        status.ok() ? *handovers[i] : std::string()});
        } else {
            outcome.failures.push_back(status);
        }
    }
    return outcome;
}

std::vector<released_range> releasedByHeartbeat(const std::vector<planned_move> &moves,
                                                const key_placement &placement,
                                                const std::vector<released_keys> &handovers)
{
    std::vector<released_range> released;
    for (const planned_move &move : moves) {
        for (const owned_range &range : placement.ranges) {
            const auto part = intersect(range.keys, move.keys);
            if (!part) {
                continue;
            }
            std::vector<key_interval> reported;
            for (const released_keys &entry : handovers) {
                const auto keys = intersect(*part, entry.keys);
                if (!keys) {
                    continue;
                }
                // The upstream may report one release several times.
                for (const key_interval &rest : subtract(*keys, reported)) {
                    const range_grant grant{rest, range.fence, ""};
                    released.push_back({grant, move.target, range.fence, entry.handover});
                }
                reported.push_back(*keys);
            }
            for (const key_interval &keys : subtract(*part, reported)) {
                const range_grant grant{keys, range.fence, ""};
                released.push_back({grant, move.target, range.fence, ""});
            }
        }
    }
    return released;
}

std::optional<key_placement> recordNewOwners(const key_placement &current, const upstream_id &owner,
                                             const std::vector<released_range> &releasedRanges)
{
    key_placement next = current;
    for (const released_range &released : releasedRanges) {
        next = moveReleasedRange(std::move(next), released.grant.keys, owner,
                                 released.recordedFence, released.newOwner, released.handover);
    }
    return next == current ? std::nullopt : std::optional(std::move(next));
}

owner_change changeOf(const upstream_id &owner, uint64_t epoch,
                      const std::vector<released_range> &releasedRanges)
{
    owner_change change{owner, epoch, {}};
    for (const released_range &released : releasedRanges) {
        change.moves.push_back(
            {released.grant.keys, released.recordedFence, released.newOwner, released.handover});
    }
    return change;
}

} // namespace persimmonrail
