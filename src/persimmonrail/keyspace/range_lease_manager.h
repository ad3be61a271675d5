#pragma once

#include "persimmonrail/keyspace/key_placement.h"

#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// Time since the host started, which goes on while the process or the host is suspended.
using boot_time = std::chrono::nanoseconds;

struct range_lease_timing
{
    // Longest time for which a daemon renews grants after the last moment at which the store is
    // known to have shown them. Carries the keys through an outage of the store.
    milliseconds confirmationLife{7000};
    // How long a grant is in force at the upstream after its arrival. Carries the keys through a
    // restart of the daemon beside it; platforms bound it.
    milliseconds holdTime{3000};
    // Clock error of the upstream over a hold time, in percent.
    int driftPercent = 2;
    // Time between two renewals.
    milliseconds renewInterval{750};
    // Work is not started when less than this is left of the hold time.
    milliseconds dispatchMargin{30};

    // Time after which an owner that lost the store, or was lost itself, certainly holds no key.
    milliseconds takeOverAfter() const;
    // Longest time that one grant is in force, by any clock.
    milliseconds maxHold() const;
};

// One call to the upstream.
struct range_grant
{
    key_interval keys;
    uint64_t fence = 0;
    std::string handover;

    bool operator==(const range_grant &) const = default;
};

// Ranges that one daemon grants to the upstream beside it: which to grant and renew, and which it
// may serve. No clock, no I/O. Not thread safe.
//
// Invariant: grants are renewed only while the store is known to have named the upstream as owner
// within the confirmation life.
class range_lease_manager
{
public:
    explicit range_lease_manager(range_lease_timing timing = {});

    // `confirmedAt` is a moment at which the store certainly held this placement.
    void onPlacement(const key_placement &placement, boot_time confirmedAt, boot_time now);
    // The store still held the known placement at this moment.
    void onConfirmed(boot_time confirmedAt);
    // An earlier run of this daemon may have sent grants until `startedAt` of which it got no
    // answer.
    void noteStart(boot_time startedAt);
    // The upstream beside this daemon, or nothing while there is none that may hold keys.
    void setUpstream(const std::optional<upstream_id> &upstream);

    // Longest hold time for a grant sent at `now`, so that it ends before any takeover; used before
    // a stop, to keep the keys over a restart. Not positive if the lease has ended.
    milliseconds maxSafeHold(boot_time now) const;
    // Grants that are due to be made or renewed at `now`.
    std::vector<range_grant> dueGrants(boot_time now) const;
    // Whether a grant that was due may still be sent at `now`: since then its keys may have been
    // chosen to be given away, recorded for another owner, or the lease may have ended.
    bool maySend(const range_grant &grant, boot_time now) const;
    // `sentAt` is when the call was sent, so the hold ends no earlier than computed from it.
    void onGranted(const range_grant &grant, boot_time sentAt);
    // A grant was sent and not answered: the upstream may carry it out at any later time, also
    // after a release. Its hold counts from its arrival, so it is harmless once that has ended.
    void onGrantUnconfirmed(const range_grant &grant, milliseconds holdTime, boot_time sentAt);
    // Whether no such grant of these keys can still come into force, so that they may be released
    // and given away.
    bool canMove(key_interval keys, boot_time now) const;
    // The upstream refused the grant: it knows a higher fence, or has no such life any more.
    void onGrantRefused(const range_grant &grant);
    // Grants that are in force but not recorded for this upstream any more.
    std::vector<range_grant> dueReleases() const;
    // The upstream holds the keys no more.
    void onReleased(key_interval keys, uint64_t fence);

    // Stops serving and renewing the intervals, which are to be given away; empty resumes both.
    void setMoving(std::vector<key_interval> keys) { m_moving = std::move(keys); }
    const std::vector<key_interval> &moving() const { return m_moving; }
    // Grants in force that overlap the interval, cut to it.
    std::vector<range_grant> heldWithin(key_interval keys) const;

    // Whether takeovers recorded for this upstream may be cleared.
    bool isTakeoverDue(boot_time now) const;
    bool hasLease(boot_time now) const;
    // Whether a request for the key may be handed to the upstream.
    bool mayServe(shard_key key, boot_time now) const;
    // Own intervals that are in force.
    std::vector<key_interval> served(boot_time now) const;
    // Fences and intervals in force, for reports.
    const key_placement &placement() const { return m_placement; }
    // When the last grant in force has certainly ended; nothing if none is in force.
    std::optional<boot_time> lastHoldEnd() const;

private:
    struct held_grant
    {
        range_grant grant;
        boot_time sentAt{};
    };
    struct unconfirmed_grant
    {
        key_interval keys;
        // When its hold has ended by any clock, whenever it is carried out.
        boot_time end{};
    };
    bool isOwn(const owned_range &range) const;
    bool isMoving(key_interval keys) const;
    // The parts of an interval that are not to be given away.
    std::vector<key_interval> keptOf(key_interval keys) const;
    const held_grant *findHeld(key_interval keys, uint64_t fence) const;

    const range_lease_timing m_timing;
    key_placement m_placement;
    boot_time m_confirmedAt{};
    // When each takeover, by fence, was first seen.
    std::vector<std::pair<uint64_t, boot_time>> m_takeoversSeen;
    std::optional<upstream_id> m_upstream;
    std::vector<held_grant> m_held;
    std::vector<unconfirmed_grant> m_unconfirmed;
    std::vector<key_interval> m_moving;
};

} // namespace persimmonrail
