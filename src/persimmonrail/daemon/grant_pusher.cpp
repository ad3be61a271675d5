#include "persimmonrail/daemon/grant_pusher.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Grants are renewed each heartbeat round; more than a few waiting rounds mean that the upstream
// does not answer, and passing them on late would tell it outdated validities.
constexpr size_t maxPendingPushes = 8;

} // namespace

grant_pusher::grant_pusher(upstream_client &upstreamClient, control_loop &loop)
    : m_upstreamClient(upstreamClient)
    , m_loop(loop)
{ }

void grant_pusher::apply(std::vector<lease_grant> grants, ownership_hooks::grant_completion done)
{
    const auto status = m_upstreamClient.status(std::chrono::steady_clock::now());
    if (status.announcement && !status.announcement->checksGrants) {
        m_loop.post([done](steady_time now) { done(absl::OkStatus(), now); });
        return;
    }
    if (m_worker.pending() >= maxPendingPushes) {
        m_loop.post([done](steady_time now) {
            done(absl::ResourceExhaustedError("earlier grants are still being passed"), now);
        });
        return;
    }
    m_worker.enqueue([this, grants = std::move(grants), done = std::move(done)] {
        m_loop.post([done, result = push(grants)](steady_time now) { done(result, now); });
    });
}

// One call states one validity, so grants are grouped by theirs; in practice these are the renewed
// ones and the revoked ones.
absl::Status grant_pusher::push(const std::vector<lease_grant> &grants)
{
    std::map<milliseconds, std::vector<upstream_grant>> byValidity;
    for (const auto &grant : grants) {
        byValidity[grant.validity].push_back({grant.partition, grant.term, grant.range});
    }
    absl::Status result;
    for (const auto &[validity, group] : byValidity) {
        result.Update(
            m_upstreamClient.pushGrants(group, validity, std::chrono::steady_clock::now()));
    }
    return result;
}

} // namespace persimmonrail
