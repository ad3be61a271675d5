#pragma once

#include "persimmonrail/base/clock.h"

namespace persimmonrail {

// Durations of the lease protocol. All instances of a fleet must use the same values; only tests
// change them.
struct lease_timing
{
    // Interval between the heartbeats with which a holder renews its leases.
    milliseconds heartbeatInterval{200};
    // Time for which a witness acknowledgement supports a lease, from the send time of the message
    // that the witness acknowledged.
    milliseconds leaseDuration{1000};
    // A witness waits this much longer than `leaseDuration` before it treats a lease as expired,
    // because clock rates may differ by up to 5% over a lease.
    milliseconds driftMargin{50};
    // Delay before a standby claims, multiplied by its position in the standby list, so that
    // standbys rarely compete for one partition.
    milliseconds standbyDelay{150};
    // Added to the delay of a standby while no instance is known to have claimed the recorded term.
    // After the release of a planned move the new owner may learn of its record only from the
    // expiry notice. Without this delay the earlier owner, which is a standby by then, would claim
    // first and undo the move.
    milliseconds unclaimedTermDelay{500};
    // No request is dispatched to the upstream unless more than this time remains of the lease.
    milliseconds dispatchMargin{20};
    // A witness that has acknowledged nothing for longer than this is replaced.
    milliseconds unresponsiveWitnessTimeout{5000};
    // A claim that has no majority after this time is abandoned. The time allows several round
    // trips within a region.
    milliseconds claimTimeout{150};
    // Bounds the wait for the reply to a heartbeat, a release, an expiry notice or a ping. An
    // acknowledgement that arrives later is of little use.
    milliseconds messageTimeout{500};
    // Interval at which a witness repeats an expiry notice until a claim is granted, because the
    // network may lose notices.
    milliseconds noticeInterval{200};
};

} // namespace persimmonrail
