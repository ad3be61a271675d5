#include "persimmonrail/keyspace/range_plan.h"

#include "persimmonrail/base/key_hash.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <map>
#include <string>
#include <utility>

namespace persimmonrail {
namespace {

// Splits an interval into contiguous parts, one for each candidate in proportion to its slots, and
// passes them to `assign`. Candidates whose part would be empty are skipped.
template <typename Assign>
void distribute(key_interval keys, const std::vector<range_candidate> &candidates,
                const Assign &assign)
{
    int64_t slots = 0;
    for (const range_candidate &candidate : candidates) {
        slots += std::max(candidate.slots, 1);
    }
    int64_t before = 0;
    const int64_t count = keys.count();
    for (const range_candidate &candidate : candidates) {
        const int64_t first = before * count / slots;
        before += std::max(candidate.slots, 1);
        const int64_t end = before * count / slots;
        if (end > first) {
            assign(key_interval{keys.first + static_cast<shard_key>(first),
                                keys.first + static_cast<shard_key>(end - 1)},
                   candidate.id);
        }
    }
}

// Returns the intervals of the ranges for which `predicate` returns true. Adjacent intervals are
// merged.
template <typename Predicate>
std::vector<key_interval> findIntervals(const key_placement &placement, const Predicate &predicate)
{
    std::vector<key_interval> intervals;
    for (const owned_range &range : placement.ranges) {
        if (!predicate(range)) {
            continue;
        }
        if (!intervals.empty() && intervals.back().last + 1 == range.keys.first) {
            intervals.back().last = range.keys.last;
        } else {
            intervals.push_back(range.keys);
        }
    }
    return intervals;
}

void setOwner(owned_range &range, const upstream_id &owner, uint64_t fence)
{
    range.owner = owner;
    range.fence = fence;
    range.handover.clear();
    range.takeoverDelay = milliseconds(0);
    range.previousOwner = {};
}

} // namespace

key_placement assignUnowned(key_placement placement, std::vector<range_candidate> candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &a, const auto &b) { return a.id < b.id; });
    const auto unowned =
        findIntervals(placement, [](const owned_range &range) { return range.owner.isEmpty(); });
    milliseconds takeoverDelay{0};
    for (const owned_range &range : placement.ranges) {
        if (range.owner.isEmpty()) {
            takeoverDelay = std::max(takeoverDelay, range.takeoverDelay);
        }
    }
    for (const key_interval &interval : unowned) {
        distribute(interval, candidates, [&](key_interval part, const upstream_id &owner) {
            owned_range &assigned = placement.isolateRange(part);
            setOwner(assigned, owner, ++placement.highestFence);
            assigned.takeoverDelay = takeoverDelay;
            assigned.previousOwner = takeoverDelay.count() > 0 ? owner : upstream_id();
        });
    }
    placement.mergeAdjacentRanges();
    return placement;
}

key_placement reassignLost(key_placement placement,
                           const std::function<bool(const upstream_id &)> &isLost,
                           std::vector<range_candidate> candidates, milliseconds takeoverDelay)
{
    std::erase_if(candidates,
                  [&isLost](const range_candidate &candidate) { return isLost(candidate.id); });
    if (candidates.empty()) {
        return placement;
    }
    std::vector<owned_range> lost;
    for (const owned_range &range : placement.ranges) {
        if (!range.owner.isEmpty() && isLost(range.owner)) {
            lost.push_back(range);
        }
    }
    size_t nextCandidate = 0;
    for (const owned_range &range : lost) {
        // Small ranges are not split. They are assigned to the candidates in rotation.
        const bool isSmall = range.keys.count() < 16 * candidates.size();
        const std::vector<range_candidate> newOwners = isSmall
            ? std::vector<range_candidate>{candidates[nextCandidate++ % candidates.size()]}
            : candidates;
        // During a pending takeover the previous owner may still hold the keys. Carried-over keys
        // may be held by an unknown upstream.
        const bool isTakeoverPending = range.takeoverDelay.count() > 0;
        const upstream_id previousOwner = range.isCarriedOver() ? upstream_id()
            : isTakeoverPending                                 ? range.previousOwner
                                                                : range.owner;
        distribute(range.keys, newOwners, [&](key_interval part, const upstream_id &owner) {
            owned_range &reassigned = placement.isolateRange(part);
            setOwner(reassigned, owner, ++placement.highestFence);
            reassigned.takeoverDelay = std::max(takeoverDelay, range.takeoverDelay);
            if (reassigned.takeoverDelay.count() > 0) {
                reassigned.previousOwner = previousOwner;
            }
        });
    }
    placement.mergeAdjacentRanges();
    return placement;
}

key_placement moveRange(key_placement placement, key_interval keys, const upstream_id &target,
                        const std::string &handover)
{
    owned_range &moved = placement.isolateRange(keys);
    setOwner(moved, target, ++placement.highestFence);
    moved.handover = handover;
    placement.mergeAdjacentRanges();
    return placement;
}

bool ownsUnderFence(const key_placement &placement, key_interval keys, const upstream_id &owner,
                    uint64_t fence)
{
    const owned_range &range = placement.rangeOf(keys.first);
    const bool isPending = range.takeoverDelay.count() > 0 && !range.isCarriedOver();
    return range.owner == owner && range.fence == fence && !isPending
        && range.keys.contains(keys.last);
}

key_placement moveReleasedRange(key_placement placement, key_interval keys,
                                const upstream_id &owner, uint64_t fence, const upstream_id &target,
                                const std::string &handover)
{
    if (!ownsUnderFence(placement, keys, owner, fence)) {
        return placement;
    }
    return moveRange(std::move(placement), keys, target, handover);
}

key_placement activateTakeovers(key_placement placement, const upstream_id &owner,
                                const std::vector<uint64_t> &fences)
{
    for (owned_range &range : placement.ranges) {
        const bool isDue = std::find(fences.begin(), fences.end(), range.fence) != fences.end();
        if (isDue && range.owner == owner) {
            range.takeoverDelay = milliseconds(0);
            range.previousOwner = {};
        }
    }
    placement.mergeAdjacentRanges();
    return placement;
}

key_placement reclaimRanges(key_placement placement, const upstream_id &previous)
{
    uint64_t fence = 0;
    for (owned_range &range : placement.ranges) {
        if (range.takeoverDelay.count() > 0 && range.previousOwner == previous
            && range.owner != previous) {
            fence = fence == 0 ? ++placement.highestFence : fence;
            setOwner(range, previous, fence);
        }
    }
    placement.mergeAdjacentRanges();
    return placement;
}

key_placement carryIntoEpoch(key_placement inherited, uint64_t epoch, milliseconds takeoverDelay)
{
    inherited.highestFence = std::max(inherited.highestFence, firstFence(epoch));
    for (owned_range &range : inherited.ranges) {
        range.fence = ++inherited.highestFence;
        range.takeoverDelay = takeoverDelay;
        range.previousOwner = range.owner;
    }
    return inherited;
}

key_placement reclaimHeld(key_placement placement, const upstream_id &holder,
                          const std::vector<key_interval> &held)
{
    const std::vector<owned_range> before = placement.ranges;
    uint64_t fence = 0;
    for (const owned_range &range : before) {
        if (range.takeoverDelay.count() == 0 || range.owner == holder) {
            continue;
        }
        for (const key_interval &keys : held) {
            if (const auto part = intersect(keys, range.keys)) {
                fence = fence == 0 ? ++placement.highestFence : fence;
                setOwner(placement.isolateRange(*part), holder, fence);
            }
        }
    }
    placement.mergeAdjacentRanges();
    return placement;
}

key_placement renewFences(key_placement placement, const upstream_id &owner,
                          uint64_t supersededFence)
{
    if (placement.highestFence > supersededFence) {
        return placement;
    }
    for (owned_range &range : placement.ranges) {
        if (range.owner == owner && range.takeoverDelay.count() == 0) {
            range.fence = ++placement.highestFence;
        }
    }
    return placement;
}

key_placement passToSuccessors(key_placement placement, const successor_lookup &successorOf)
{
    std::map<upstream_id, uint64_t> fences;
    for (owned_range &range : placement.ranges) {
        const auto successor = range.owner.isEmpty() || range.takeoverDelay.count() > 0
            ? std::nullopt
            : successorOf(range.owner);
        if (!successor) {
            continue;
        }
        const auto [fence, isNew] = fences.try_emplace(*successor, placement.highestFence + 1);
        placement.highestFence += isNew ? 1 : 0;
        setOwner(range, *successor, fence->second);
    }
    placement.mergeAdjacentRanges();
    return placement;
}

key_placement clearCarriedOver(key_placement placement)
{
    for (owned_range &range : placement.ranges) {
        if (range.isCarriedOver()) {
            range.takeoverDelay = milliseconds(0);
            range.previousOwner = {};
        }
    }
    placement.mergeAdjacentRanges();
    return placement;
}

uint32_t ownedKeys(const key_placement &placement, const upstream_id &owner)
{
    uint32_t keys = 0;
    for (const owned_range &range : placement.ranges) {
        keys += range.owner == owner ? range.keys.count() : 0;
    }
    return keys;
}

namespace {

// Number of wanted rates that are tried for one move, each half of the one before. If the keys of a
// large owner are evenly used, a window for the full rate has more keys than one move may contain.
// With this limit the smallest rate that is tried is an eighth of the wanted rate.
constexpr int maxWindowAttempts = 4;
// A key with more than this multiple of the wanted rate stays with its owner, since its move would
// only move the overload.
constexpr double maxRateExcess = 1.6;
constexpr int bisectionSteps = 30;

// Interval of keys and the sum of their requests per second.
struct rated_window
{
    key_interval keys;
    double rate = 0;
};

// Least weight of a target that an owner draws.
constexpr double minWeight = 1e-9;

// Returns a number above 0 and at most 1 that is evenly distributed over texts.
double hashFraction(const std::string &text)
{
    // A double has a mantissa of 53 bits.
    return static_cast<double>((keyHash(text) >> 11U) + 1) * 0x1.0p-53;
}

// Capacity of a peer for the load of an owner.
struct move_target
{
    upstream_id id;
    double utilization = 0;
    // Requests per second of the owner's keys that raise the target's utilization by 1.
    double ratePerUtilization = 0;
};

// Returns the shortest window within `interval` that carries at least `wantedRate` and has no key
// above maxRateExcess times `wantedRate`; nothing if there is no such window.
std::optional<rated_window> findShortestWindow(key_interval interval,
                                               const std::function<double(shard_key)> &rate,
                                               double wantedRate)
{
    std::optional<rated_window> best;
    shard_key first = interval.first;
    double sum = 0;
    for (shard_key key = interval.first; key <= interval.last; ++key) {
        if (rate(key) > wantedRate * maxRateExcess) {
            first = key + 1;
            sum = 0;
            continue;
        }
        sum += rate(key);
        while (first < key && sum - rate(first) >= wantedRate) {
            sum -= rate(first++);
        }
        const key_interval window{first, key};
        if (sum >= wantedRate && (!best || window.count() < best->keys.count())) {
            best = rated_window{window, sum};
        }
    }
    return best;
}

// Returns the shortest of the windows that findShortestWindow() finds in each interval.
std::optional<rated_window> findShortestWindowInAny(const std::vector<key_interval> &intervals,
                                                    const std::function<double(shard_key)> &rate,
                                                    double wantedRate)
{
    std::optional<rated_window> best;
    for (const key_interval &interval : intervals) {
        const auto window = findShortestWindow(interval, rate, wantedRate);
        if (window && (!best || window->keys.count() < best->keys.count())) {
            best = window;
        }
    }
    return best;
}

// Returns a window that carries about `wantedRate`, or a half, a quarter or an eighth of it, and
// has at most `maxKeys` keys; nothing if there is none.
std::optional<rated_window> chooseWindow(const std::vector<key_interval> &intervals,
                                         const std::function<double(shard_key)> &rate,
                                         double wantedRate, double maxKeys)
{
    for (int attempt = 0; attempt < maxWindowAttempts; ++attempt, wantedRate /= 2) {
        const auto window = findShortestWindowInAny(intervals, rate, wantedRate);
        if (window && window->rate <= wantedRate * maxRateExcess
            && window->keys.count() <= maxKeys) {
            return window;
        }
    }
    return std::nullopt;
}

// Removes the keys of `removed` from the intervals.
void subtractFromAll(std::vector<key_interval> &intervals, key_interval removed)
{
    std::vector<key_interval> remaining;
    for (const key_interval &interval : intervals) {
        for (const key_interval &part : subtract(interval, {removed})) {
            remaining.push_back(part);
        }
    }
    intervals = std::move(remaining);
}

// Returns at most maxTargets of the peers whose utilization is below the owner's by at least
// minUtilizationDifference. The owner draws them at random, with probabilities that grow with the
// load that they could take, the same for the same pair of owner and peer. Loads are known late, so
// if all owners chose the least loaded peers, they would overload them together.
std::vector<move_target> findTargets(const owner_load &self, double ownRatePerUtilization,
                                     const std::vector<owner_load> &others,
                                     const move_options &options)
{
    std::vector<move_target> targets;
    for (const owner_load &other : others) {
        if (self.utilization - other.utilization < options.minUtilizationDifference) {
            continue;
        }
        const bool isMeasured =
            other.meanServiceTime.count() > 0 && self.meanServiceTime.count() > 0;
        const double relativeSpeed = isMeasured ? static_cast<double>(self.meanServiceTime.count())
                / static_cast<double>(other.meanServiceTime.count())
                                                : 1;
        const double relativeSlots =
            static_cast<double>(std::max(other.slots, 1)) / std::max(self.slots, 1);
        targets.push_back(
            {other.id, other.utilization, ownRatePerUtilization * relativeSlots * relativeSpeed});
    }
    // Weighted rendezvous hashing: the least of exponential variates whose rates are the weights.
    const auto orderOf = [&self](const move_target &target) {
        const double weight = (self.utilization - target.utilization) * target.ratePerUtilization;
        return -std::log(hashFraction(self.id.name + target.id.name)) / std::max(weight, minWeight);
    };
    std::sort(
        targets.begin(), targets.end(),
        [&orderOf](const move_target &a, const move_target &b) { return orderOf(a) < orderOf(b); });
    if (targets.size() > options.maxTargets) {
        targets.resize(options.maxTargets);
    }
    return targets;
}

// Returns the requests per second of all keys that get at most `maxKeyRate` requests per second.
double sumRates(const std::vector<key_interval> &intervals,
                const std::function<double(shard_key)> &rate, double maxKeyRate)
{
    double sum = 0;
    for (const key_interval &interval : intervals) {
        for (shard_key key = interval.first; key <= interval.last; ++key) {
            const double keyRate = rate(key);
            sum += keyRate <= maxKeyRate ? keyRate : 0;
        }
    }
    return sum;
}

// Returns the utilization at which the rate that the owner moves equals the rate that the targets
// accept. The owner moves at most `movableRate` requests per second.
double findBalancedUtilization(double utilization, double ownRatePerUtilization, double movableRate,
                               const std::vector<move_target> &targets, double capacityShare)
{
    double low = utilization;
    for (const move_target &target : targets) {
        low = std::min(low, target.utilization);
    }
    double high = utilization;
    for (int step = 0; step < bisectionSteps; ++step) {
        const double middle = (low + high) / 2;
        double acceptedRate = 0;
        for (const move_target &target : targets) {
            acceptedRate += std::max(0.0, middle - target.utilization) * target.ratePerUtilization
                * capacityShare;
        }
        const double movedRate =
            std::min((utilization - middle) * ownRatePerUtilization, movableRate);
        (acceptedRate < movedRate ? low : high) = middle;
    }
    return high;
}

} // namespace

std::vector<planned_move> chooseMoves(const std::vector<key_interval> &own,
                                      const std::function<double(shard_key)> &rate,
                                      const owner_load &self, const std::vector<owner_load> &others,
                                      const move_options &options)
{
    if (self.utilization < options.minUtilization) {
        return {};
    }
    const double totalRate = sumRates(own, rate, std::numeric_limits<double>::infinity());
    const double ownRatePerUtilization = totalRate / self.utilization;
    const auto targets = findTargets(self, ownRatePerUtilization, others, options);
    if (targets.empty() || totalRate <= 0) {
        return {};
    }
    // A key with more requests than a whole upstream can serve keeps its owner overloaded whichever
    // other keys are moved, so all other keys may be moved.
    const double movableRate = sumRates(own, rate, ownRatePerUtilization);
    const double balanced = findBalancedUtilization(self.utilization, ownRatePerUtilization,
                                                    movableRate, targets, options.capacityShare);
    std::vector<planned_move> moves;
    std::vector<key_interval> remaining = own;
    for (const move_target &target : targets) {
        const double wantedRate =
            (balanced - target.utilization) * target.ratePerUtilization * options.capacityShare;
        if (wantedRate < ownRatePerUtilization * options.minLoadShare) {
            continue;
        }
        const auto window =
            chooseWindow(remaining, rate, wantedRate, options.maxKeyShare * (lastKey + 1));
        if (window) {
            moves.push_back({window->keys, target.id});
            subtractFromAll(remaining, window->keys);
        }
    }
    return moves;
}

std::optional<planned_move> chooseMoveToEmptyOwner(const key_placement &placement,
                                                   const upstream_id &self,
                                                   const std::vector<range_candidate> &candidates)
{
    // By the number of keys, the most first, and by id.
    std::vector<std::pair<uint32_t, upstream_id>> owners;
    std::vector<upstream_id> newcomers;
    uint64_t totalKeys = 0;
    for (const range_candidate &candidate : candidates) {
        const uint32_t keys = ownedKeys(placement, candidate.id);
        totalKeys += keys;
        if (keys == 0) {
            newcomers.push_back(candidate.id);
        } else {
            owners.emplace_back(keys, candidate.id);
        }
    }
    std::sort(newcomers.begin(), newcomers.end());
    std::sort(owners.begin(), owners.end(), [](const auto &a, const auto &b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    const auto own = std::find_if(owners.begin(), owners.end(),
                                  [&self](const auto &owner) { return owner.second == self; });
    const auto position = static_cast<size_t>(own - owners.begin());
    if (own == owners.end() || position >= newcomers.size() || own->first < 2
        || own->first * candidates.size() <= totalKeys) {
        return std::nullopt;
    }
    const owned_range *longest = nullptr;
    for (const owned_range &range : placement.ranges) {
        if (range.owner == self
            && (longest == nullptr || range.keys.count() > longest->keys.count())) {
            longest = &range;
        }
    }
    const shard_key middle = longest->keys.first + longest->keys.count() / 2;
    return planned_move{{middle, longest->keys.last}, newcomers[position]};
}

} // namespace persimmonrail
