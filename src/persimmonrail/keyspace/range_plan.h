#pragma once

#include "persimmonrail/keyspace/key_placement.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace persimmonrail {

// An upstream that can own keys, with what decides how much it is given.
struct range_candidate
{
    upstream_id id;
    int slots = 1;
};

// Gives the keys that nobody owns to the candidates, in equal parts per slot. `candidates` must
// not be empty.
key_placement assignUnowned(key_placement placement, std::vector<range_candidate> candidates);

// Reassigns the keys of each owner for which `isLost` holds, as contiguous parts with equal shares
// per slot. `takeOverAfter` is 0 if the lost owners certainly hold no keys any more. Candidates
// that are lost themselves get nothing; without any other the placement stays as it is.
key_placement reassignLost(key_placement placement,
                           const std::function<bool(const upstream_id &)> &isLost,
                           std::vector<range_candidate> candidates, milliseconds takeOverAfter);

// Gives `keys` to `target`, as their owner does after it has released them.
key_placement moveRange(key_placement placement, key_interval keys, const upstream_id &target,
                        const std::string &handover);

// Clears the waiting time of a takeover by `owner` whose time has passed.
key_placement activateTakeover(key_placement placement, const upstream_id &owner);

// Takes back the keys that takeovers not cleared yet took from `previous`, which still runs.
key_placement reclaimRanges(key_placement placement, const upstream_id &previous);

// Number of keys that an upstream owns.
uint32_t ownedKeys(const key_placement &placement, const upstream_id &owner);

// Load of one owner.
struct owner_load
{
    upstream_id id;
    int slots = 1;
    // Slots that its requests would use if all were started at once, per slot that it has, averaged
    // over about a second. Above 1 it can't serve them all.
    double utilization = 0;
    // Mean time that one request takes there; 0 if unknown.
    std::chrono::microseconds meanServiceTime{0};
};

struct move_options
{
    // Below this utilization an owner keeps its keys, since moving them would help nobody.
    double minUtilization = 0.75;
    // Difference to the least loaded owner from which keys are moved.
    double minDifference = 0.25;
    // Largest part of all keys that one move takes.
    double maxKeys = 0.25;
    // Owners that get keys at once. A hot area may need as many as carry it together.
    size_t maxTargets = 6;
    // Part of the room of a target that one owner fills, since others may choose the same target.
    double intake = 0.8;
    // Moves of a smaller part of what the owner can serve are not worth their cost.
    double minShare = 0.02;
};

struct planned_move
{
    key_interval keys;
    upstream_id target;
};

// Chooses the keys that an owner gives away, if any, so that its load and those of its least loaded
// peers come level: for each of them the shortest interval that carries its part. A key that is
// asked for more than a whole upstream serves stays, and the keys beside it go. `rate` is the
// requests per second by key, in the `own` ranges of the owner.
std::vector<planned_move> chooseMoves(const std::vector<key_interval> &own,
                                      const std::function<double(shard_key)> &rate,
                                      const owner_load &self, const std::vector<owner_load> &others,
                                      const move_options &options = {});

// Chooses keys for an upstream that owns none: half of the keys of the owner with most keys, if
// that is `self`.
std::optional<planned_move> chooseShareForNewcomer(const key_placement &placement,
                                                   const upstream_id &self,
                                                   const std::vector<range_candidate> &candidates);

} // namespace persimmonrail
