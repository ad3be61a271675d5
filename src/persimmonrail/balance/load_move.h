#pragma once

#include "persimmonrail/balance/placement_plan.h"

#include <map>
#include <vector>

namespace persimmonrail {

// An available member. Its count and load include partitions that are being moved to the member
// and exclude partitions that are being moved away.
struct available_member
{
    const member_record *memberRecord = nullptr;
    size_t partitionCount = 0;
    // Requests per second, summed over the partitions.
    double load = 0;
    // Records of the member's partitions that can be moved to other members.
    std::vector<const versioned_record *> movableRecords;
};

// Available members of a service by id.
using available_members = std::map<instance_id, available_member>;

// A move that takes load from a member: the partition of `outgoing` goes to the receiver. In an
// exchange, the partition of `incoming` comes from the receiver; otherwise `incoming` is null.
struct load_move
{
    available_member *receiver = nullptr;
    const versioned_record *outgoing = nullptr;
    const versioned_record *incoming = nullptr;
    // By how much the move lowers the higher load of the two members.
    double loadReduction = 0;
};

// Returns the observed requests per second of the record's partition; 0 if unknown.
double requestRateOf(const placement_options &options, const placement_record &record);

// Returns the move or exchange that relieves the donor most. If there is none, `outgoing` is null.
// The receiver is one of `members`.
load_move findLoadMove(const available_member &donor, available_members &members,
                       const placement_options &options);

} // namespace persimmonrail
