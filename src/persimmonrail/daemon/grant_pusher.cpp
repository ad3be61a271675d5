#include "persimmonrail/daemon/grant_pusher.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Grants are renewed in each heartbeat round. If more rounds than this are pending, the upstream
// doesn't respond, and grants that reached it late would state validities that are out of date.
constexpr size_t maxPendingPushes = 8;

} // namespace

grant_pusher::grant_pusher(upstream_client &upstreamClient, control_loop &loop)
    : m_upstreamClient(upstreamClient)
    , m_loop(loop)
{ }

void grant_pusher::enqueue(std::vector<lease_grant> grants, ownership_hooks::grant_completion done)
{
    const auto status = m_upstreamClient.status(std::chrono::steady_clock::now());
    if (status.announcement && !status.announcement->checksGrants) {
        m_loop.post([done](steady_time now) { done(absl::OkStatus(), now); });
        return;
    }
    if (m_worker.pendingCalls() >= maxPendingPushes) {
        m_loop.post([done](steady_time now) {
            done(
                absl::ResourceExhaustedError("earlier grants are still being sent to the upstream"),
                now);
        });
        return;
    }
    m_worker.enqueue([this, grants = std::move(grants), done = std::move(done)] {
        m_loop.post(
            [done, result = sendToUpstream(grants)](steady_time now) { done(result, now); });
    });
}

// Each call to the upstream states one validity, so grants are grouped by validity. In practice
// there are two groups: renewed grants and revoked grants.
absl::Status grant_pusher::sendToUpstream(const std::vector<lease_grant> &grants)
{
    std::map<milliseconds, std::vector<upstream_grant>> byValidity;
    for (const auto &grant : grants) {
        byValidity[grant.validity].push_back({grant.partition, grant.term, grant.range});
    }
    absl::Status result;
    for (const auto &[validity, grantGroup] : byValidity) {
        result.Update(
            m_upstreamClient.pushGrants(grantGroup, validity, std::chrono::steady_clock::now()));
    }
    return result;
}

} // namespace persimmonrail
