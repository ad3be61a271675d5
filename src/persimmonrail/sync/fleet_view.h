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

// One daemon and the upstream beside it, as stored under "member/<instance name>".
struct member_record
{
    instance_id id;
    std::string region;
    std::string availabilityZone;
    // Service of the upstream beside the daemon; empty if the daemon only routes.
    std::string service;
    // "ip:port" for requests from other daemons.
    std::string peerAddress;
    // "ip:port" for control messages from other daemons.
    std::string controlAddress;
    // Requests that the upstream runs at a time.
    int slots = 0;

    bool operator==(const member_record &) const = default;
};

std::string memberKey(std::string_view instanceName);
std::string encodeMember(const member_record &member);
// Errors: InvalidArgument.
absl::StatusOr<member_record> decodeMember(std::string_view text);

// What a daemon knows of the fleet at one revision. Immutable once published, hence safe to share
// between threads.
struct fleet_view
{
    // The view holds every write up to this platform version.
    uint64_t revision = 0;
    // By instance name.
    std::map<std::string, member_record, std::less<>> members;
    // Accepted documents by service.
    std::map<std::string, std::shared_ptr<const service_document>, std::less<>> documents;
    // By partition name.
    std::map<std::string, versioned_record, std::less<>> records;
    // Records of each service: first the ranges, then the single-key records, each group ordered by
    // first hash. Filled by indexRecords().
    std::map<std::string, std::vector<const versioned_record *>, std::less<>> recordsByService;

    // Returns the record of the smallest range that contains the hash, or null if there is none.
    const versioned_record *findRecord(std::string_view service, uint64_t hash) const;
    // Returns null if the daemon is no member or runs under another incarnation.
    const member_record *findMember(const instance_id &id) const;
    // Members whose upstream belongs to the service.
    std::vector<const member_record *> membersOf(std::string_view service) const;
};

// Fills `recordsByService` from `records`. The view must not be copied or moved afterwards.
void indexRecords(fleet_view &view);
// Does so for one service.
void indexRecords(fleet_view &view, std::string_view service);

} // namespace persimmonrail
