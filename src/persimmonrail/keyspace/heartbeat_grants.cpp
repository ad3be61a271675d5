#include "persimmonrail/keyspace/heartbeat_grants.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Time for which running requests may delay a release.
constexpr milliseconds releaseTimeout{4000};
// Time for which grants are not renewed while the upstream holds keys that it may reclaim. A
// response can't leave these keys in force without renewing them.
constexpr milliseconds maxReclaimTime{1000};

} // namespace

heartbeat_grants::heartbeat_grants(range_lease_manager &leases, range_lease_timing timing)
    : m_leases(leases)
    , m_timing(timing)
{ }

std::optional<holdings> heartbeat_grants::onHeartbeat(const holdings_report &report,
                                                      milliseconds holdTime, boot_time receivedAt)
{
    if (!m_isActive) {
        // An earlier process of this daemon may have granted the longest hold until now.
        m_lastGrantEnd = receivedAt + m_timing.longestHold(m_timing.longestGrant);
        m_isActive = true;
    }
    m_reported = report.held;
    m_lastHeartbeatAt = receivedAt;
    if (report.held.empty()) {
        m_lastGrantEnd = receivedAt;
    }
    m_leases.onHoldingsReported(report.held, receivedAt);
    updateRelease(report, receivedAt);

    if (m_leases.reclaimableKeys(receivedAt).empty()) {
        m_reclaimBeganAt.reset();
    } else if (!m_reclaimBeganAt) {
        m_reclaimBeganAt = receivedAt;
    }
    const bool isReclaiming = m_reclaimBeganAt && receivedAt - *m_reclaimBeganAt < maxReclaimTime;
    const bool isPlacementKnown = !m_leases.placement().ranges.empty();
    if (isReclaiming || !isPlacementKnown || !m_leases.hasLease(receivedAt)) {
        m_offered.clear();
        return std::nullopt;
    }
    if (!m_releasing.empty() && !m_leftOutAt) {
        m_leases.setMoving(m_releasing);
        m_leftOutAt = receivedAt;
    }
    holdings response{m_leases.permittedGrants(receivedAt), holdTime};
    for (range_grant &grant : response.grants) {
        // A grant that the upstream has refused once is not served before it reports the grant.
        if (!isRefused(grant)) {
            m_leases.onGrantOffered(grant, receivedAt);
        }
    }
    if (!response.grants.empty()) {
        m_lastGrantEnd =
            std::max(m_lastGrantEnd, receivedAt + m_timing.longestHold(response.holdTime));
    }
    m_offered = response.grants;
    return response;
}

bool heartbeat_grants::isRefused(const range_grant &grant) const
{
    const auto contains = [&grant](const range_grant &other) {
        return other.fence == grant.fence && other.keys.contains(grant.keys);
    };
    return std::any_of(m_offered.begin(), m_offered.end(), contains)
        && std::none_of(m_reported.begin(), m_reported.end(), contains);
}

void heartbeat_grants::onUpstreamReplaced()
{
    m_offered.clear();
    m_reported.clear();
    m_lastGrantEnd = {};
}

void heartbeat_grants::beginRelease(std::vector<key_interval> keys)
{
    m_releasing = std::move(keys);
    m_leftOutAt.reset();
    m_isReleased = false;
    m_handovers.clear();
}

void heartbeat_grants::endRelease()
{
    beginRelease({});
}

bool heartbeat_grants::holdsReleasedKeys(const std::vector<range_grant> &held) const
{
    return std::any_of(held.begin(), held.end(), [this](const range_grant &grant) {
        return std::any_of(m_releasing.begin(), m_releasing.end(),
                           [&grant](key_interval keys) { return keys.overlaps(grant.keys); });
    });
}

void heartbeat_grants::updateRelease(const holdings_report &report, boot_time receivedAt)
{
    if (m_releasing.empty()) {
        return;
    }
    // A handover that was reported once may not be reported again.
    m_handovers.insert(m_handovers.end(), report.released.begin(), report.released.end());
    if (m_leftOutAt && receivedAt > *m_leftOutAt) {
        m_isReleased = !holdsReleasedKeys(report.held);
    }
}

heartbeat_grants::release_state heartbeat_grants::releaseState(boot_time now) const
{
    // Without heartbeats the keys are released by the end of their grants.
    if (m_isReleased || now >= m_lastGrantEnd) {
        return release_state::Released;
    }
    const bool isOverdue = m_leftOutAt && m_lastHeartbeatAt - *m_leftOutAt >= releaseTimeout;
    return isOverdue ? release_state::TimedOut : release_state::Pending;
}

} // namespace persimmonrail
