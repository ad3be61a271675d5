#pragma once

#include "persimmonrail/base/key_hash.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Body of POST /v1/announce, which an upstream sends to its local daemon.
struct upstream_announcement
{
    std::string service;
    std::string instance;
    // "ip:port" at which the upstream receives requests.
    std::string address;
    // Number of requests that the upstream can run at the same time.
    int slots = 0;
    // Identifies one incarnation of the upstream; changes at each start.
    std::string bootId;
    // Whether the upstream is preparing to stop and its partitions have to move.
    bool draining = false;
    // Whether the upstream rejects requests that its grants do not cover.
    bool checksGrants = false;

    bool operator==(const upstream_announcement &) const = default;
};

// Parses the body of POST /v1/announce. Errors: InvalidArgument; the message starts with the name
// of the invalid field unless the text is not a JSON object.
absl::StatusOr<upstream_announcement> parseAnnouncement(std::string_view json);
std::string encodeAnnouncement(const upstream_announcement &announcement);

// Permission for the upstream to run requests for the keys of one partition.
struct upstream_grant
{
    std::string partition;
    // Fencing token of the lease on the partition.
    uint64_t term = 0;
    // Hashes of the keys that belong to the partition.
    hash_range range;
};

// Returns the body of PUT /v1/grants. The grants are valid for `validMs` milliseconds after their
// receipt. Hash bounds are written as 16 hexadecimal digits, because not every JSON implementation
// preserves 64-bit numbers.
std::string encodeGrants(const std::vector<upstream_grant> &grants, int64_t validMs);
// Parses the body of PUT /v1/grants and sets `validMs` to the validity. Errors: InvalidArgument, in
// which case `validMs` may have been set.
absl::StatusOr<std::vector<upstream_grant>> parseGrants(std::string_view json, int64_t &validMs);

} // namespace persimmonrail
