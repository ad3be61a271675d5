#pragma once

#include "persimmonrail/base/boot_clock.h"
#include "persimmonrail/keyspace/key_placement.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// Durations of leases and grants.
struct range_lease_timing
{
    // Duration of the lease: a daemon renews grants for this time after the last moment at which
    // the store is known to have recorded the upstream as owner. Lets the owner keep its keys
    // during an outage of the store.
    milliseconds leaseDuration{7000};
    // Time for which a grant is in force at the upstream after its arrival. Lets the upstream keep
    // its keys while its daemon restarts. The platform limits this time.
    milliseconds holdTime{3000};
    // Longest hold time of any grant: a daemon that stops extends its grants up to this time.
    milliseconds longestGrant{10000};
    // Greatest clock error of the upstream over a hold time, in percent.
    int maxDriftPercent = 2;
    // Interval between two renewals of a grant.
    milliseconds renewalInterval{750};
    // Requests are not dispatched if less than this time is left of the hold time.
    milliseconds dispatchMargin{30};
    // Longest time after the end of a daemon for which another daemon may compute a record with a
    // move that it had sent there; 0 if moves are not sent to other daemons.
    milliseconds sentMoveLifetime{0};

    // Returns the time after the last confirmation by the store at which an owner that is lost or
    // has lost the store certainly holds no key.
    milliseconds takeoverDelay() const;
    // Returns the longest time for which one grant is in force, with the clock error included.
    milliseconds maxHold() const { return longestHold(holdTime); }
    // Returns the longest time for which a grant of `hold` is in force, with the clock error
    // included.
    milliseconds longestHold(milliseconds hold) const;
};

// Keys that one call grants to the upstream.
struct range_grant
{
    key_interval keys;
    // The recorded fence of the keys.
    uint64_t fence = 0;
    std::string handover;
    // Number of the connection on which the grant was sent (grant_fence.h); 0 if it was not sent
    // on a connection to the upstream.
    uint32_t connection = 0;

    bool operator==(const range_grant &) const = default;
};

// Decides which key ranges a daemon grants to the local upstream, which grants it renews or
// releases, and which keys the upstream may serve. Reads no clock and does no I/O.
//
// Invariant: grants are made and renewed only within the lease duration after the store is known to
// have recorded the local upstream as owner.
//
// The first placement of each epoch of the store is carried over from that of an older epoch, which
// may lack the last changes, so another upstream may hold carried-over keys. Until all grants of
// older epochs have ended, a carried-over range is granted only while an earlier grant of its keys
// is in force: the local upstream is then their only holder.
//
// Not thread safe.
class range_lease_manager
{
public:
    explicit range_lease_manager(range_lease_timing timing = {});

    // Records the epoch of the store. The placement of an older epoch and the lease under it stay
    // in force until onPlacement() is called with a placement of this epoch or the lease expires.
    void onEpoch(uint64_t epoch, boot_time now);
    // Replaces the placement and renews the lease. `confirmedAt` is a moment at which the store
    // certainly contained this placement. The placement must belong to the epoch of onEpoch().
    void onPlacement(const key_placement &placement, boot_time confirmedAt, boot_time now);
    // Renews the lease: the store still contained the known placement at `confirmedAt`.
    void onConfirmed(boot_time confirmedAt);
    // Records the start of this daemon. Its previous incarnation may have sent grants until
    // `startedAt` to which the upstream did not respond, as long as longestGrant and with any fence
    // that was recorded by then.
    void recordDaemonStart(boot_time startedAt);
    // Records that no fence above `highestFence` had been recorded when this daemon started. The
    // previous incarnation may have granted keys with any of these fences, and may have released
    // keys and sent the write of a move that takes effect later. So nothing is granted until
    // onPlacement() shows a placement with a higher highest fence, by any daemon: the record has
    // changed, so the late write can't take effect any more, and that highest fence is above all
    // fences that the previous incarnation knew. Ranges whose recorded fences are older are granted
    // with it (grantFence()).
    void onEarlierFences(uint64_t highestFence);
    // Returns whether the highest fence of the process before is not known yet and a read of the
    // record that is sent at `now` tells it. Always false if moves are not sent to other daemons:
    // then any read since the start of this daemon tells it.
    bool isFirstReadDue(boot_time now) const
    {
        return m_timing.sentMoveLifetime.count() > 0 && m_unboundedStart
            && now >= *m_unboundedStart + m_timing.sentMoveLifetime;
    }
    // Makes the owned ranges need a fence above all that are recorded now before they are granted
    // again.
    void requireNewFences() { m_supersededFence = m_placement.highestFence; }
    // Returns the fence with which the daemon grants the range: the recorded one, or the
    // replacement of a recorded one that is superseded. A later owner of any key of the range gets
    // a higher one, since each change of an owner takes one above the highest fence of the record.
    uint64_t grantFence(const owned_range &range) const;
    // Returns whether ranges of the local upstream wait for a change of the record before they can
    // be granted.
    bool needsNewFences() const { return m_upstream && needsNewFences(*m_upstream); }
    // The same for the ranges of any incarnation of the local upstream.
    bool needsNewFences(const upstream_id &owner) const;
    // Returns grants of the keys that are recorded for an incarnation that has ended, with fences
    // above all that were sent for it. Keys that are being moved are left out: they are released.
    std::vector<range_grant> lastGrantsOf(const upstream_id &ended) const;
    // Returns whether no other upstream can hold the keys of a grant of lastGrantsOf(), so that it
    // may be sent, in order to supersede grants that have not taken effect yet.
    bool canSupersede(const range_grant &grant, boot_time now) const;
    // Returns whether the fences are known under which ranges may be granted.
    bool areFencesKnown() const { return !m_unboundedStart; }
    // Returns the highest fence that is superseded: placements with a higher one fulfil
    // needsNewFences().
    uint64_t supersededFence() const { return m_supersededFence; }
    // Sets the local upstream; `upstream` is empty if no local upstream may hold keys. Grants of
    // another incarnation are forgotten.
    void setUpstream(const std::optional<upstream_id> &upstream);

    // Returns the longest hold time for a grant sent at `now` that ends before any takeover. The
    // daemon sends such grants before it stops, so that the upstream keeps its keys during a
    // restart. The result is 0 or negative if no grant is safe any more.
    milliseconds maxSafeHold(boot_time now) const;
    // Returns all grants that the local upstream may hold at `now`.
    std::vector<range_grant> permittedGrants(boot_time now) const;
    // Returns the grants to be made or renewed at `now` by calls to the upstream.
    std::vector<range_grant> dueGrants(boot_time now) const;
    // Returns whether a grant of dueGrants() may still be sent at `now`. In the meantime its keys
    // may have been selected for a move or recorded for another owner, or the lease may have
    // expired.
    bool canSend(const range_grant &grant, boot_time now) const;
    // Records that the upstream accepted a grant. `sentAt` is the time at which the call was sent,
    // so the grant ends no earlier at the upstream than the hold time after `sentAt`.
    void onGranted(const range_grant &grant, boot_time sentAt);
    // Replaces the known grants by the ones that the upstream reported with a heartbeat, which
    // arrived at `receivedAt`. The remaining hold time of a grant that was not known is unknown.
    void onHoldingsReported(const std::vector<range_grant> &reported, boot_time receivedAt);
    // Records that a response to a heartbeat that arrived at `receivedAt` contains the grant. The
    // hold time counts from the sending of the heartbeat, and the response may be lost.
    void onGrantOffered(const range_grant &grant, boot_time receivedAt);
    // Records that a grant was sent without a response. The upstream may apply it later, even after
    // a release. The hold time counts from the arrival of the grant, so the grant is harmless once
    // the hold time after its latest arrival has passed.
    void onGrantUnconfirmed(const range_grant &grant, milliseconds holdTime, boot_time sentAt);
    // Returns whether the keys may be released and moved: no grant of any of them that is
    // without a response can still take effect, and none has another fence than the placement.
    bool canMove(key_interval keys, boot_time now) const;
    // Records that the upstream rejected a grant, since it knows a higher fence or runs as another
    // incarnation.
    void onGrantRejected(const range_grant &grant);
    // Returns the grants whose keys are no longer recorded for the local upstream. Grants of keys
    // that the local upstream can reclaim are not released.
    std::vector<range_grant> dueReleases(boot_time now) const;
    // Gives up keys whose move may have been recorded in an epoch of the store that has ended. They
    // are not granted again under the placement of that epoch.
    void abandon(const std::vector<key_interval> &keys);
    // Records that the upstream released its grants of `keys` whose fence is at most `fence`.
    void onReleased(key_interval keys, uint64_t fence);

    // Sets the intervals that are about to be moved. Their keys are neither served nor renewed; an
    // empty list resumes both.
    void setMoving(std::vector<key_interval> keys) { m_moving = std::move(keys); }
    const std::vector<key_interval> &moving() const { return m_moving; }
    // Returns the grants that overlap the interval, each clipped to it and without handover token.
    std::vector<range_grant> grantsWithin(key_interval keys) const;

    // Returns the fences of the takeovers recorded for the local upstream that may be activated.
    std::vector<uint64_t> dueTakeovers(boot_time now) const;
    // Returns the keys that the local upstream holds although they are not recorded for it, and
    // that reclaimHeld() may record for it.
    std::vector<key_interval> reclaimableKeys(boot_time now) const;
    // Returns whether all grants of older epochs have ended, so that the marks of the carried-over
    // ranges of the placement may be cleared. False if there are none.
    bool isCarryOverEnded(boot_time now) const;
    // Returns whether the last confirmation by the store is younger than the lease duration.
    bool hasLease(boot_time now) const;
    // Returns whether a request for the key may be dispatched to the upstream.
    bool canServe(shard_key key, boot_time now) const;
    // Returns the intervals whose grants are in force.
    std::vector<key_interval> servedIntervals(boot_time now) const;
    // Returns whether the local upstream is the recorded owner of the range.
    bool isOwn(const owned_range &range) const;
    // Returns the last placement of onPlacement(), for reports.
    const key_placement &placement() const { return m_placement; }
    // Returns the epoch of placement().
    uint64_t placementEpoch() const { return m_placementEpoch; }
    // Returns the time at which the present epoch of the store was first seen.
    boot_time epochSeenAt() const { return m_epochSeenAt; }

private:
    struct held_grant
    {
        range_grant grant;
        boot_time sentAt{};
        // Until when the upstream certainly holds the keys. Earlier than the expected end of the
        // hold if the grant was delivered with a heartbeat.
        boot_time certainUntil{};
    };
    struct unconfirmed_grant
    {
        key_interval keys;
        // Highest fence that the grant may have, and number of its connection.
        uint64_t fence = 0;
        uint32_t connection = 0;
        // Time at which the grant has ended at the latest, with the clock error included.
        boot_time endsAt{};
    };
    // Returns whether any of the keys is about to be moved.
    bool isMoving(key_interval keys) const;
    // Returns whether the grant may still take effect on some of the keys: the upstream does not
    // hold all of them with a higher fence.
    bool canTakeEffect(const unconfirmed_grant &grant, key_interval keys, boot_time now) const;
    // Returns the parts of an interval that are not about to be moved.
    std::vector<key_interval> excludeMoving(key_interval keys) const;
    // Returns whether the recorded fence is superseded and has no replacement yet.
    bool needsNewFence(const owned_range &range) const
    {
        return range.takeoverDelay.count() == 0
            && (!areFencesKnown()
                || (range.fence <= m_supersededFence && m_replacementFence <= m_supersededFence));
    }
    // Returns the parts of the range that the local upstream may hold now if the range is recorded
    // for it: all of it, nothing during a pending takeover, what it holds if it is carried over, or
    // what it has reported if the range needs a new fence.
    std::vector<key_interval> grantableKeys(const owned_range &range, boot_time now) const;
    // Returns the parts of the range that the upstream reports to hold under the recorded fence. An
    // earlier process of the daemon can't have moved keys that it had not released.
    std::vector<key_interval> reportedKeys(const owned_range &range, boot_time now) const;
    // Returns the parts of `keys` of which a grant is certainly in force, whatever its fence.
    std::vector<key_interval> heldKeys(key_interval keys, boot_time now) const;
    // Returns the grant with this fence that contains all of `keys`; null if there is none.
    const held_grant *findHeld(key_interval keys, uint64_t fence) const;

    const range_lease_timing m_timing;
    // Start of this daemon, until the highest fence of its previous incarnation is known.
    std::optional<boot_time> m_unboundedStart;
    // Ranges with this recorded fence or a lower one are not granted with it; 0 if there are none.
    uint64_t m_supersededFence = 0;
    // The fence with which such ranges are granted, once it is above m_supersededFence.
    uint64_t m_replacementFence = 0;
    uint64_t m_epoch = 0;
    boot_time m_epochSeenAt{};
    key_placement m_placement;
    // Epoch of m_placement.
    uint64_t m_placementEpoch = 0;
    // Latest time at which the store certainly contained m_placement.
    boot_time m_confirmedAt{};
    // Fence of each pending takeover and the time at which the takeover was first read.
    std::vector<std::pair<uint64_t, boot_time>> m_pendingTakeovers;
    std::optional<upstream_id> m_upstream;
    std::vector<held_grant> m_held;
    std::vector<unconfirmed_grant> m_unconfirmed;
    std::vector<key_interval> m_moving;
};

} // namespace persimmonrail
