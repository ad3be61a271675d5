#pragma once

#include "persimmonrail/base/clock.h"

namespace persimmonrail {

// Durations of the lease protocol. All instances of a fleet use the same values; only tests change
// them.
struct lease_timing
{
    milliseconds heartbeatInterval{200};
    milliseconds lease{1000};
    // Clock rates may differ by up to 5% over a lease.
    milliseconds driftMargin{50};
    // Multiplied by the position in the standby list, so that standbys rarely compete.
    milliseconds standbyDelay{150};
    // Added to the standby delay while nobody has held the recorded term. After the release of a
    // planned move the new owner may learn of its record only by the notice; without this time the
    // earlier owner, a standby by then, claims first and undoes the move.
    milliseconds recordedOwnerHeadStart{500};
    // No request is handed to the upstream when less than this remains of the lease.
    milliseconds dispatchMargin{20};
    // A witness that acknowledged nothing for this long is replaced.
    milliseconds witnessSilence{5000};
    // A claim without a majority by then is given up. Several round trips within a region.
    milliseconds claimTimeout{150};
    // Heartbeats, releases and pings; an acknowledgement that arrives later is of little use.
    milliseconds messageTimeout{500};
    // A witness repeats an expiry notice this often until a claim is granted, as notices get lost.
    milliseconds noticeInterval{200};
};

} // namespace persimmonrail
