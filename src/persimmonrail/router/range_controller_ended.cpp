// The end of an incarnation of the local upstream: its keys are released at its address before
// others learn of the end.
#include "persimmonrail/router/range_controller.h"

#include <absl/strings/str_cat.h>

#include <thread>
#include <utility>

namespace persimmonrail {
namespace {

constexpr milliseconds releaseRetryDelay{50};

} // namespace

bool range_controller::releaseEnded(const upstream_id &ended)
{
    // A write under way may record keys for the ended incarnation.
    if (m_endedReleases.contains(ended) || m_isWritePending) {
        return false;
    }
    std::vector<range_grant> grants;
    bool needsNewFences = false;
    if (currentRecord() != nullptr) {
        const std::lock_guard lock(m_mutex);
        if (!m_leaseManager.areFencesKnown()) {
            return false;
        }
        grants = m_leaseManager.lastGrantsOf(ended);
        needsNewFences = m_leaseManager.needsNewFences(ended);
    }
    if (grants.empty()) {
        m_releasedEnded.erase(ended);
        return true;
    }
    if (m_releasedEnded.contains(ended)) {
        return true;
    }
    if (needsNewFences) {
        renewFencesOf(ended);
        return false;
    }
    m_endedReleases.insert(ended);
    // On the grant worker, after all grants that may reach another process than they were meant
    // for.
    const boot_time until = bootNow() + m_timing.longestHold(m_timing.longestGrant);
    m_grantWorker->enqueue([this, grants = std::move(grants), ended, address = m_address, until] {
        releaseUntil(grants, address, until);
        m_loop.post([this, ended](steady_time) {
            m_endedReleases.erase(ended);
            m_releasedEnded.insert(ended);
            logRange("release", {}, 0, "ended", absl::StrCat("upstream:", toString(ended)));
        });
    });
    return false;
}

void range_controller::renewFencesOf(const upstream_id &owner)
{
    if (m_isWritePending || std::chrono::steady_clock::now() < m_nextWriteAt) {
        return;
    }
    uint64_t superseded = 0;
    {
        const std::lock_guard lock(m_mutex);
        superseded = m_leaseManager.supersededFence();
    }
    const auto change = [owner,
                         superseded](const key_placement &current) -> std::optional<key_placement> {
        key_placement next = renewFences(current, owner, superseded);
        return next == current ? std::nullopt : std::optional(std::move(next));
    };
    updateRecordOnce(change, "renew-fences");
}

void range_controller::releaseUntil(const std::vector<range_grant> &grants,
                                    const std::string &address, boot_time until)
{
    std::vector<release_request> releases;
    releases.reserve(grants.size());
    for (const range_grant &grant : grants) {
        releases.push_back({grant, {}});
    }
    while (!m_isStopping && bootNow() < until) {
        const bool areSuperseded = supersedeGrants(grants, address);
        if (releaseAll(m_grants, address, releases).failures.empty() && areSuperseded) {
            break;
        }
        std::this_thread::sleep_for(releaseRetryDelay);
    }
    m_grantConnection.close();
}

// A process rejects grants that it has not applied yet once it has been sent one with a higher
// fence.
bool range_controller::supersedeGrants(const std::vector<range_grant> &grants,
                                       const std::string &address)
{
    if (const absl::Status connected = m_grants.connect(address); !connected.ok()) {
        return absl::IsFailedPrecondition(connected);
    }
    bool areSuperseded = true;
    for (const range_grant &grant : grants) {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_leaseManager.canSupersede(grant, bootNow())) {
                continue;
            }
        }
        const absl::Status status = m_grants.grant(address, grant, m_timing.holdTime);
        areSuperseded = areSuperseded && (status.ok() || absl::IsAborted(status));
    }
    return areSuperseded;
}

} // namespace persimmonrail
