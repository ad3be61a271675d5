#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/requests/crash_quarantine.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Maximum number of items of a record, about 8 KB.
inline constexpr size_t maxQuarantineRecordItems = 128;

// What the daemons beside the upstreams of one service know of requests that crash upstreams, as
// the store keeps it: one object for each service, so that the evidence reaches daemons that have
// no upstream at the moment, or start later.
struct quarantine_record
{
    struct item
    {
        uint64_t fingerprint = 0;
        // As in crash_quarantine::entry.
        uint64_t crash = 0;
        uint32_t strikes = 0;
        // Exact to milliseconds in the store.
        wall_time at{};

        bool operator==(const item &) const = default;
    };
    std::vector<item> items;
};

// Returns the store key of a service's record.
std::string quarantineKey(const std::string &service);
// Returns the record as a JSON object.
std::string encodeQuarantineRecord(const quarantine_record &record);
// Parses the JSON object that encodeQuarantineRecord() returns. Errors: InvalidArgument.
absl::StatusOr<quarantine_record> parseQuarantineRecord(std::string_view json);

// Converts between the evidence with ages, as crash_quarantine exchanges it, and a record.
quarantine_record toRecord(const std::vector<crash_quarantine::entry> &entries, wall_time now);
std::vector<crash_quarantine::entry> toEntries(const quarantine_record &record, wall_time now);
// Returns whether the record lacks any of the evidence.
bool lacksEvidence(const quarantine_record &record,
                   const std::vector<crash_quarantine::entry> &entries, wall_time now);

} // namespace persimmonrail
