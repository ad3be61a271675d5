#pragma once

#include "persimmonrail/keyspace/range_plan.h"

#include <functional>
#include <vector>

namespace persimmonrail {

// Upstream that can take keys of owners that leave.
struct leave_target
{
    upstream_id id;
    // Load that the upstream can take in addition, relative to the other targets; above 0.
    double freeCapacity = 1;
};

// Returns the free capacity of each candidate by its reported load: the requests that it can serve
// in addition. A candidate without a report counts like the mean of the others.
std::vector<leave_target> weighTargets(const std::vector<range_candidate> &candidates,
                                       const std::vector<owner_load> &loads);

// What an owner that leaves knows when it plans where its keys go.
struct leave_input
{
    upstream_id self;
    std::vector<key_interval> own;
    // Returns the requests per second of a key in `own`.
    std::function<double(shard_key)> rate;
    // All owners that leave at present, with `self`.
    std::vector<range_candidate> leaving;
    std::vector<leave_target> targets;
};

// Chooses the new owners of all keys of an owner that leaves. The owners that leave at the same
// time share out the targets among themselves without a message: each computes the same division,
// in which every target gets load in proportion to its free capacity. Small differences between the
// reports that they know shift the division a little. Within its part an owner divides its keys by
// their requests. Returns moves to at most 6 targets; empty if there are no targets.
std::vector<planned_move> planLeave(const leave_input &input);

} // namespace persimmonrail
