#pragma once

#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/document/service_document.h"
#include "persimmonrail/ownership/placement_record.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Describes one daemon and its local upstream, as stored under the key "member/<instance name>".
struct member_record
{
    instance_id id;
    std::string region;
    std::string availabilityZone;
    // Service of the local upstream; empty if the daemon has no upstream and only routes requests.
    std::string service;
    // Address in the form "ip:port" for requests from other daemons.
    std::string peerAddress;
    // Address in the form "ip:port" for control messages from other daemons.
    std::string controlAddress;
    // Maximum number of requests that the local upstream runs concurrently.
    int slots = 0;

    bool operator==(const member_record &) const = default;
};

// Returns the key under which the record of a member is stored.
std::string memberKey(std::string_view instanceName);
// Returns the member record as JSON text.
std::string encodeMember(const member_record &member);
// Parses the text that encodeMember() returns. Errors: InvalidArgument if the text is not a valid
// member record.
absl::StatusOr<member_record> decodeMember(std::string_view text);

// Holds the state of the fleet that a daemon knows at one revision. A published view is immutable
// and may therefore be shared between threads.
struct fleet_view
{
    // The view reflects every write up to this version of the platform's store.
    uint64_t revision = 0;
    // Members by instance name.
    std::map<std::string, member_record, std::less<>> members;
    // Accepted documents by service.
    std::map<std::string, std::shared_ptr<const service_document>, std::less<>> documents;
    // Placement records by partition name.
    std::map<std::string, versioned_record, std::less<>> records;
    // Placement records by service: first the records of ranges, then those of single keys, each
    // group ordered by first hash. indexRecords() fills this map; the pointers refer to `records`.
    std::map<std::string, std::vector<const versioned_record *>, std::less<>> recordsByService;

    // Returns the record of the smallest range that contains the hash, or null if no range contains
    // the hash.
    const versioned_record *findRecord(std::string_view service, uint64_t hash) const;
    // Returns null if the instance is not a member or runs under another incarnation.
    const member_record *findMember(const instance_id &id) const;
    // Returns the members whose local upstream belongs to the service, ordered by instance name.
    std::vector<const member_record *> membersOf(std::string_view service) const;
};

// Fills `recordsByService` from `records`. Pointers in a copy of the view still refer to the
// original, so a copy must be indexed again, and the view must not be moved.
void indexRecords(fleet_view &view);
// Updates the entry of one service in `recordsByService`. The same restrictions apply.
void indexRecords(fleet_view &view, std::string_view service);

} // namespace persimmonrail
