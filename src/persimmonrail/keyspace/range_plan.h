#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/keyspace/key_placement.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace persimmonrail {

// Upstream that can own keys. It gets keys in proportion to its slots.
struct range_candidate
{
    upstream_id id;
    int slots = 1;
};

// Assigns the keys without owner to the candidates, with equal shares per slot. `candidates` must
// not be empty. Carried-over keys stay carried over.
key_placement assignUnowned(key_placement placement, std::vector<range_candidate> candidates);

// Reassigns the keys of each owner for which `isLost` returns true. Each range is split into
// contiguous parts with equal shares per slot. `takeoverDelay` is 0 if the lost owners certainly
// hold no keys any more. Lost candidates get no keys; if all candidates are lost, the placement is
// returned unchanged. Nobody may reclaim carried-over keys that are reassigned, except an upstream
// that holds them.
key_placement reassignLost(key_placement placement,
                           const std::function<bool(const upstream_id &)> &isLost,
                           std::vector<range_candidate> candidates, milliseconds takeoverDelay);

// Records `target` as the owner of `keys`. The daemon of the previous owner calls
// this function after the keys are released; `handover` is the state transfer token of the release.
key_placement moveRange(key_placement placement, key_interval keys, const upstream_id &target,
                        const std::string &handover);

// Returns whether `owner` owns all of the keys under `fence`, not as a pending takeover.
bool ownsUnderFence(const key_placement &placement, key_interval keys, const upstream_id &owner,
                    uint64_t fence);

// Same as moveRange(), if `owner` still owns all of the keys under `fence`, the fence under which
// it released them; otherwise the placement is returned unchanged. A release from before a restore
// of the store moves nothing after it, since the keys may have another holder by then.
key_placement moveReleasedRange(key_placement placement, key_interval keys,
                                const upstream_id &owner, uint64_t fence, const upstream_id &target,
                                const std::string &handover);

// Activates the pending takeovers by `owner` that have one of `fences`: clears their waiting time
// and previous owner. The waiting time of each must have passed; other takeovers stay pending,
// since their previous owners may still hold the keys.
key_placement activateTakeovers(key_placement placement, const upstream_id &owner,
                                const std::vector<uint64_t> &fences);

// Makes `previous`, which must still run, the owner again of all keys that pending takeovers took
// from it.
key_placement reclaimRanges(key_placement placement, const upstream_id &previous);

// Returns the first placement of `epoch`, made from the newest known placement of an older epoch.
// The writes that the restore of the store lost are missing in it, so each range is carried over:
// it keeps its owner, if it has one, gets a new fence and waits `takeoverDelay`.
key_placement carryIntoEpoch(key_placement inherited, uint64_t epoch, milliseconds takeoverDelay);

// Makes `holder` the owner of those of its `held` keys that a pending takeover or a carried-over
// range gives to another upstream. Grants of the held keys must be in force at the holder: then no
// other upstream holds them.
key_placement reclaimHeld(key_placement placement, const upstream_id &holder,
                          const std::vector<key_interval> &held);

// Gives each range of `owner` a new fence, except for pending takeovers and carried-over ranges.
// Once the owner holds them with the new fences it rejects all earlier grants. Returns the
// placement unchanged if its highest fence is above `supersededFence` already: a change by any
// daemon serves all that wait for one.
key_placement renewFences(key_placement placement, const upstream_id &owner,
                          uint64_t supersededFence);

// Gives the keys of each owner for which `successorOf` returns an upstream to that upstream. The
// owner must have ended, so that it holds no keys any more. Pending takeovers and carried-over
// ranges stay as they are.
using successor_lookup = std::function<std::optional<upstream_id>(const upstream_id &ended)>;
key_placement passToSuccessors(key_placement placement, const successor_lookup &successorOf);

// Clears the marks of all carried-over ranges. takeoverDelay must have passed since the epoch was
// first seen, so that all grants of older epochs have ended.
key_placement clearCarriedOver(key_placement placement);

// Returns the number of keys that an upstream owns.
uint32_t ownedKeys(const key_placement &placement, const upstream_id &owner);

// Load of one owner.
struct owner_load
{
    upstream_id id;
    int slots = 1;
    // Slots that the owner's requests would use if all of them were started at once, divided by the
    // owner's slots and averaged over about a second. Above 1, the owner cannot serve all requests.
    double utilization = 0;
    // Mean time that the owner needs for one request; 0 if unknown.
    std::chrono::microseconds meanServiceTime{0};
    // When the owner reported this load, or the default value if that is not known.
    steady_time measuredAt{};
};

// Limits of chooseMoves().
struct move_options
{
    // An owner below this utilization keeps its keys, since a move would not relieve any upstream.
    double minUtilization = 0.75;
    // Least difference in utilization between an owner and a peer that gets keys from the owner.
    double minUtilizationDifference = 0.25;
    // Largest share of all keys that one move may contain.
    double maxKeyShare = 0.25;
    // Most peers that get keys at once. A hot interval may need several peers to serve it together.
    size_t maxTargets = 6;
    // Share of a target's spare capacity that one owner may use. Other owners may choose the same
    // target at the same time.
    double capacityShare = 0.8;
    // Smallest load of a move, as a share of the load that the owner can serve. Smaller moves are
    // not worth their cost.
    double minLoadShare = 0.02;
};

// Interval of keys to be moved to another owner.
struct planned_move
{
    key_interval keys;
    upstream_id target;
};

// Chooses the keys that an owner moves to its least loaded peers so that their utilizations
// converge. Returns at most one interval per peer, the shortest one that carries the peer's share
// of the load; empty if no move is worthwhile. A key with more requests than a whole upstream can
// serve stays with its owner, and the keys beside it are moved. `own` lists the ranges of the
// owner; `rate` returns the requests per second of a key in these ranges.
std::vector<planned_move> chooseMoves(const std::vector<key_interval> &own,
                                      const std::function<double(shard_key)> &rate,
                                      const owner_load &self, const std::vector<owner_load> &others,
                                      const move_options &options = {});

// Chooses keys for a candidate that owns none: the upper half of the longest range of `self`. The
// owner with the most keys gives to the first such candidate by id, the owner with the second most
// to the second, and so on, so that many newcomers get keys at the same time, each from another
// owner. Owners with equally many keys are ordered by id. Returns nothing if there is no newcomer
// for `self`, or if `self` does not own more keys than the candidates do on average.
std::optional<planned_move> chooseMoveToEmptyOwner(const key_placement &placement,
                                                   const upstream_id &self,
                                                   const std::vector<range_candidate> &candidates);

} // namespace persimmonrail
