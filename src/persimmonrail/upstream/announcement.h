#pragma once

#include "persimmonrail/base/key_hash.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Body of a post to /v1/announce.
struct upstream_announcement
{
    std::string service;
    std::string instance;
    // "ip:port" for requests.
    std::string address;
    int slots = 0;
    // Changes with each start of the upstream.
    std::string bootId;
    bool draining = false;
    bool checksGrants = false;

    bool operator==(const upstream_announcement &) const = default;
};

// Errors: InvalidArgument with the field at fault.
absl::StatusOr<upstream_announcement> parseAnnouncement(std::string_view json);
std::string encodeAnnouncement(const upstream_announcement &announcement);

// Permission for the upstream to run requests of one partition.
struct upstream_grant
{
    std::string partition;
    uint64_t term = 0;
    hash_range range;
};

// Body of PUT /v1/grants. The hash bounds are written as 16 hexadecimal digits, because JSON
// numbers do not hold 64 bits everywhere.
std::string encodeGrants(const std::vector<upstream_grant> &grants, int64_t validMs);
// Errors: InvalidArgument.
absl::StatusOr<std::vector<upstream_grant>> parseGrants(std::string_view json, int64_t &validMs);

} // namespace persimmonrail
