#pragma once

#include "persimmonrail/keyspace/range_lease_manager.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// Keys that an upstream has released, with the state transfer token of the release.
struct released_keys
{
    key_interval keys;
    std::string handover;
};

// What an upstream reports about its keys with a heartbeat.
struct holdings_report
{
    // Grants that are in force, or on whose keys requests are still running. Without handovers.
    std::vector<range_grant> held;
    // What the upstream has released since its last acknowledged heartbeat.
    std::vector<released_keys> released;
    // Number of malformed entries, which are in neither list.
    int malformedCount = 0;
};

// Everything that an upstream is to hold, as a response to its heartbeat. The upstream releases all
// other keys. The hold time counts from the sending of the heartbeat.
struct holdings
{
    std::vector<range_grant> grants;
    milliseconds holdTime{0};
};

// Delivers grants to an upstream with the responses to its heartbeats, and releases keys by leaving
// them out of a response. Decides from a range_lease_manager which grants are permitted. Reads no
// clock and does no I/O.
//
// An upstream sends its heartbeats one after the other and ignores a response that arrives after
// its next heartbeat, so a heartbeat reports the effect of all earlier responses. A hold counts
// from the sending of the heartbeat, which precedes its arrival: a grant ends at the latest the
// hold time, with the clock error, after the arrival, however late its response is applied.
//
// Not thread safe.
class heartbeat_grants
{
public:
    // `leases` must outlive this object.
    explicit heartbeat_grants(range_lease_manager &leases, range_lease_timing timing = {});

    // Handles a heartbeat that arrived at `receivedAt`. Returns what the upstream is to hold, at
    // most for `holdTime`. Returns nothing if the response must neither renew nor end any grant:
    // this daemon has no lease or knows no placement, or the upstream has held keys that it may
    // reclaim for a short time only.
    std::optional<holdings> onHeartbeat(const holdings_report &report, milliseconds holdTime,
                                        boot_time receivedAt);
    // Forgets what an earlier incarnation of the upstream held.
    void onUpstreamReplaced();
    // Returns whether the upstream has sent a heartbeat with its holdings.
    bool isActive() const { return m_isActive; }

    // Begins the release of keys. They are served until the next heartbeat, whose response leaves
    // them out. At most one release may be in progress.
    void beginRelease(std::vector<key_interval> keys);
    // Ends the release; keys that are not released yet are granted again.
    void endRelease();
    // Result of the release in progress.
    enum class release_state {
        // The upstream may still hold some of the keys.
        Pending,
        // The upstream holds none of the keys: a heartbeat shows it, or all grants have ended.
        Released,
        // Running requests have kept the keys for too long.
        TimedOut,
    };
    release_state releaseState(boot_time now) const;
    // Returns the handovers of the released keys that the upstream has reported since
    // beginRelease().
    const std::vector<released_keys> &handovers() const { return m_handovers; }

private:
    // Returns whether one of the grants overlaps keys of the release in progress.
    bool holdsReleasedKeys(const std::vector<range_grant> &held) const;
    void updateRelease(const holdings_report &report, boot_time receivedAt);
    // Returns whether the upstream was sent the grant with the last response but does not hold it.
    bool isRefused(const range_grant &grant) const;

    range_lease_manager &m_leases;
    const range_lease_timing m_timing;
    bool m_isActive = false;
    // Grants of the last response.
    std::vector<range_grant> m_offered;
    // Grants in force as of the last heartbeat.
    std::vector<range_grant> m_reported;
    // Time at which all grants that the upstream may hold have ended.
    boot_time m_lastGrantEnd{};
    boot_time m_lastHeartbeatAt{};
    // Since when the upstream has held keys that it may reclaim.
    std::optional<boot_time> m_reclaimBeganAt;

    std::vector<key_interval> m_releasing;
    // Arrival of the heartbeat whose response left out the keys of the release.
    std::optional<boot_time> m_leftOutAt;
    bool m_isReleased = false;
    std::vector<released_keys> m_handovers;
};

} // namespace persimmonrail
