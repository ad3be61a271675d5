#include "persimmonrail/keyspace/range_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <limits>
#include <string>
#include <utility>

namespace persimmonrail {
namespace {

// Deals an interval out in contiguous parts whose sizes follow the slots.
template <typename Assign>
void deal(key_interval keys, const std::vector<range_candidate> &candidates, const Assign &assign)
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

// Lists the intervals of ranges for which `wanted` holds, neighbours joined.
template <typename Predicate>
std::vector<key_interval> intervalsOf(const key_placement &placement, const Predicate &wanted)
{
    std::vector<key_interval> intervals;
    for (const owned_range &range : placement.ranges) {
        if (!wanted(range)) {
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
    range.takeOverAfter = milliseconds(0);
    range.previousOwner = {};
}

} // namespace

key_placement assignUnowned(key_placement placement, std::vector<range_candidate> candidates)
{
    std::sort(candidates.begin(), candidates.end(),
              [](const auto &a, const auto &b) { return a.id < b.id; });
    const auto unowned =
        intervalsOf(placement, [](const owned_range &range) { return range.owner.isEmpty(); });
    for (const key_interval &interval : unowned) {
        deal(interval, candidates, [&](key_interval part, const upstream_id &owner) {
            setOwner(placement.carve(part), owner, ++placement.highestFence);
        });
    }
    placement.join();
    return placement;
}

key_placement reassignLost(key_placement placement,
                           const std::function<bool(const upstream_id &)> &isLost,
                           std::vector<range_candidate> candidates, milliseconds takeOverAfter)
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
    size_t turn = 0;
    for (const owned_range &range : lost) {
        // Small ranges are not cut into pieces; they go to the candidates in turn.
        const bool whole = range.keys.count() < 16 * candidates.size();
        const std::vector<range_candidate> takers = whole
            ? std::vector<range_candidate>{candidates[turn++ % candidates.size()]}
            : candidates;
        // Keys under a takeover that is not cleared may still be held by the owner before that.
        const bool pending = range.takeOverAfter.count() > 0;
        deal(range.keys, takers, [&](key_interval part, const upstream_id &owner) {
            owned_range &taken = placement.carve(part);
            setOwner(taken, owner, ++placement.highestFence);
            taken.takeOverAfter = std::max(takeOverAfter, range.takeOverAfter);
            if (taken.takeOverAfter.count() > 0) {
                taken.previousOwner = pending ? range.previousOwner : range.owner;
            }
        });
    }
    placement.join();
    return placement;
}

key_placement moveRange(key_placement placement, key_interval keys, const upstream_id &target,
                        const std::string &handover)
{
    owned_range &moved = placement.carve(keys);
    setOwner(moved, target, ++placement.highestFence);
    moved.handover = handover;
    placement.join();
    return placement;
}

key_placement activateTakeover(key_placement placement, const upstream_id &owner)
{
    for (owned_range &range : placement.ranges) {
        if (range.owner == owner) {
            range.takeOverAfter = milliseconds(0);
            range.previousOwner = {};
        }
    }
    placement.join();
    return placement;
}

key_placement reclaimRanges(key_placement placement, const upstream_id &previous)
{
    uint64_t fence = 0;
    for (owned_range &range : placement.ranges) {
        if (range.takeOverAfter.count() > 0 && range.previousOwner == previous) {
            fence = fence == 0 ? ++placement.highestFence : fence;
            setOwner(range, previous, fence);
        }
    }
    placement.join();
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

// Evenly used keys of a large owner need a smaller move than the loads ask for; with this many
// halvings the least share is a sixteenth.
constexpr int maxHalvings = 4;
// A key that alone carries more than this multiple of what is wanted stays: moving it only moves
// the overload.
constexpr double maxExcess = 1.6;
constexpr int levelSteps = 30;
// Loads that differ by less count as the same when targets are put in order.
constexpr double loadStep = 0.2;

struct rated_window
{
    key_interval keys;
    double rate = 0;
};

// What a target can take of an owner's load.
struct target_room
{
    upstream_id id;
    double utilization = 0;
    // Requests per second of the owner that raise the target's utilization by 1.
    double ratePerLoad = 0;
};

// Returns the shortest window within `interval` that carries at least `wanted` and has no key that
// is too busy to move.
std::optional<rated_window>
shortestWindow(key_interval interval, const std::function<double(shard_key)> &rate, double wanted)
{
    std::optional<rated_window> best;
    shard_key first = interval.first;
    double sum = 0;
    for (shard_key key = interval.first; key <= interval.last; ++key) {
        if (rate(key) > wanted * maxExcess) {
            first = key + 1;
            sum = 0;
            continue;
        }
        sum += rate(key);
        while (first < key && sum - rate(first) >= wanted) {
            sum -= rate(first++);
        }
        const key_interval window{first, key};
        if (sum >= wanted && (!best || window.count() < best->keys.count())) {
            best = rated_window{window, sum};
        }
    }
    return best;
}

std::optional<rated_window> shortestOf(const std::vector<key_interval> &intervals,
                                       const std::function<double(shard_key)> &rate, double wanted)
{
    std::optional<rated_window> best;
    for (const key_interval &interval : intervals) {
        const auto window = shortestWindow(interval, rate, wanted);
        if (window && (!best || window->keys.count() < best->keys.count())) {
            best = window;
        }
    }
    return best;
}

// Chooses a window that carries about `wanted` and has no more keys than one move may take.
std::optional<rated_window> chooseWindow(const std::vector<key_interval> &intervals,
                                         const std::function<double(shard_key)> &rate,
                                         double wanted, double maxKeys)
{
    for (int halvings = 0; halvings < maxHalvings; ++halvings, wanted /= 2) {
        const auto window = shortestOf(intervals, rate, wanted);
        if (window && window->rate <= wanted * maxExcess && window->keys.count() <= maxKeys) {
            return window;
        }
    }
    return std::nullopt;
}

void removeFrom(std::vector<key_interval> &intervals, key_interval taken)
{
    std::vector<key_interval> left;
    for (const key_interval &interval : intervals) {
        if (taken.last < interval.first || interval.last < taken.first) {
            left.push_back(interval);
            continue;
        }
        if (interval.first < taken.first) {
            left.push_back({interval.first, taken.first - 1});
        }
        if (taken.last < interval.last) {
            left.push_back({taken.last + 1, interval.last});
        }
    }
    intervals = std::move(left);
}

// The peers that are less loaded than the owner by the least difference, least loaded first.
std::vector<target_room> findTargets(const owner_load &self, double ownRatePerLoad,
                                     const std::vector<owner_load> &others,
                                     const move_options &options)
{
    std::vector<target_room> targets;
    for (const owner_load &other : others) {
        if (self.utilization - other.utilization < options.minDifference) {
            continue;
        }
        const bool isMeasured =
            other.meanServiceTime.count() > 0 && self.meanServiceTime.count() > 0;
        const double speed = isMeasured ? static_cast<double>(self.meanServiceTime.count())
                / static_cast<double>(other.meanServiceTime.count())
                                        : 1;
        const double slots =
            static_cast<double>(std::max(other.slots, 1)) / std::max(self.slots, 1);
        targets.push_back({other.id, other.utilization, ownRatePerLoad * slots * speed});
    }
    // Each owner orders targets of about the same load differently, so that several owners that
    // act at once do not choose the same ones.
    const auto orderOf = [&self](const target_room &target) {
        const size_t order = std::hash<std::string>()(self.id.name + target.id.name);
        return std::pair(std::floor(target.utilization / loadStep), order);
    };
    std::sort(
        targets.begin(), targets.end(),
        [&orderOf](const target_room &a, const target_room &b) { return orderOf(a) < orderOf(b); });
    if (targets.size() > options.maxTargets) {
        targets.resize(options.maxTargets);
    }
    return targets;
}

// Requests per second of the keys that are asked for at most `busiest` times a second.
double sumOf(const std::vector<key_interval> &intervals,
             const std::function<double(shard_key)> &rate, double busiest)
{
    double sum = 0;
    for (const key_interval &interval : intervals) {
        for (shard_key key = interval.first; key <= interval.last; ++key) {
            const double own = rate(key);
            sum += own <= busiest ? own : 0;
        }
    }
    return sum;
}

// The utilization at which what the owner gives is what the targets take. The owner gives no more
// than `movable` requests per second.
double findLevel(double utilization, double ownRatePerLoad, double movable,
                 const std::vector<target_room> &targets, double intake)
{
    double low = utilization;
    for (const target_room &target : targets) {
        low = std::min(low, target.utilization);
    }
    double high = utilization;
    for (int step = 0; step < levelSteps; ++step) {
        const double level = (low + high) / 2;
        double taken = 0;
        for (const target_room &target : targets) {
            taken += std::max(0.0, level - target.utilization) * target.ratePerLoad * intake;
        }
        const double given = std::min((utilization - level) * ownRatePerLoad, movable);
        (taken < given ? low : high) = level;
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
    const double total = sumOf(own, rate, std::numeric_limits<double>::infinity());
    const double ownRatePerLoad = total / self.utilization;
    const auto targets = findTargets(self, ownRatePerLoad, others, options);
    if (targets.empty() || total <= 0) {
        return {};
    }
    // A key that is asked for more than a whole upstream serves keeps its owner busy whatever else
    // moves, so all other keys may go.
    const double movable = sumOf(own, rate, ownRatePerLoad);
    const double level =
        findLevel(self.utilization, ownRatePerLoad, movable, targets, options.intake);
    std::vector<planned_move> moves;
    std::vector<key_interval> left = own;
    for (const target_room &target : targets) {
        const double wanted = (level - target.utilization) * target.ratePerLoad * options.intake;
        if (wanted < ownRatePerLoad * options.minShare) {
            continue;
        }
        const auto window = chooseWindow(left, rate, wanted, options.maxKeys * (lastKey + 1));
        if (window) {
            moves.push_back({window->keys, target.id});
            removeFrom(left, window->keys);
        }
    }
    return moves;
}

std::optional<planned_move> chooseShareForNewcomer(const key_placement &placement,
                                                   const upstream_id &self,
                                                   const std::vector<range_candidate> &candidates)
{
    const range_candidate *newcomer = nullptr;
    const range_candidate *largest = nullptr;
    uint32_t maxKeys = 0;
    for (const range_candidate &candidate : candidates) {
        const uint32_t keys = ownedKeys(placement, candidate.id);
        if (keys == 0 && (newcomer == nullptr || candidate.id < newcomer->id)) {
            newcomer = &candidate;
        }
        if (keys > maxKeys) {
            maxKeys = keys;
            largest = &candidate;
        }
    }
    if (newcomer == nullptr || largest == nullptr || largest->id != self || maxKeys < 2) {
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
    return planned_move{{middle, longest->keys.last}, newcomer->id};
}

} // namespace persimmonrail
