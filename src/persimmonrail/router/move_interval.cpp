#include "persimmonrail/router/move_interval.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// The second move has to take account of the loads that are reported after the first.
constexpr milliseconds overloadedInterval{1000};
// An owner that can serve its load moves keys less often, since requests for keys wait while the
// keys move.
constexpr milliseconds nonOverloadedInterval{4000};
// Least mean time between the moves of all owners of a service.
constexpr milliseconds intervalPerOwner{200};
// Replaces overloadedInterval if a writer is used. The owner's own rates, an average over half a
// second, show the effect of the last move by then.
constexpr milliseconds writerInterval{500};
// Longer than the 150 ms between two watches of a relay (relayed_watch_options).
constexpr milliseconds watchTime{200};
// Spreads the tries of about 60 owners over one second.
constexpr uint64_t spreadPerOwnerMs = 15;

} // namespace

milliseconds minMoveInterval(size_t owners, bool isOverloaded, bool usesWriter)
{
    if (usesWriter && isOverloaded) {
        return writerInterval;
    }
    return std::max(isOverloaded ? overloadedInterval : nonOverloadedInterval,
                    intervalPerOwner * static_cast<int64_t>(owners));
}

milliseconds delayAfterConflict(size_t owners, uint64_t random)
{
    return watchTime + milliseconds(random % (spreadPerOwnerMs * owners + 1));
}

} // namespace persimmonrail
