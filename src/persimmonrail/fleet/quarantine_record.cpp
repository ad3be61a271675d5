#include "persimmonrail/fleet/quarantine_record.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/key_hash.h"

#include <Poco/JSON/Array.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// The time of a response is derived anew from its age each time, which is exact to milliseconds.
constexpr milliseconds responseTimeTolerance{1000};
// Latest time of a row, in milliseconds since 1970; later ones overflow the clock's nanoseconds.
constexpr int64_t maxTimeMs = 9'000'000'000'000;

bool isRecorded(const quarantine_record &record, const crash_quarantine::entry &entry,
                wall_time now)
{
    return std::any_of(record.items.begin(), record.items.end(), [&](const auto &item) {
        if (item.fingerprint != entry.fingerprint) {
            return false;
        }
        return entry.strikes == 0
            ? item.strikes == 0 && item.at + responseTimeTolerance >= now - entry.age
            : item.strikes > 0 && item.crash == entry.crash;
    });
}

} // namespace

std::string quarantineKey(const std::string &service)
{
    return "fleet/quarantine." + service;
}

std::string encodeQuarantineRecord(const quarantine_record &record)
{
    Poco::JSON::Array rows;
    for (const quarantine_record::item &item : record.items) {
        Poco::JSON::Array row;
        row.add(hashToString(item.fingerprint));
        row.add(hashToString(item.crash));
        row.add(item.strikes);
        row.add(static_cast<int64_t>(
            std::chrono::duration_cast<milliseconds>(item.at.time_since_epoch()).count()));
        rows.add(row);
    }
    Poco::JSON::Object object;
    object.set("evidence", rows);
    return renderJson(object);
}

absl::StatusOr<quarantine_record> parseQuarantineRecord(std::string_view json)
{
    return decodeJson(
        json, "quarantine record",
        [](const Poco::JSON::Object &object) -> absl::StatusOr<quarantine_record> {
            const Poco::JSON::Array::Ptr rows = object.getArray("evidence");
            if (!rows) {
                return absl::InvalidArgumentError("the record has no evidence");
            }
            quarantine_record record;
            for (size_t i = 0; i < rows->size() && i < maxQuarantineRecordItems; ++i) {
                const Poco::JSON::Array::Ptr row = rows->getArray(static_cast<unsigned>(i));
                if (!row || row->size() != 4) {
                    return absl::InvalidArgumentError("a row must have 4 values");
                }
                const auto fingerprint = parseHex64(row->getElement<std::string>(0));
                const auto crash = parseHex64(row->getElement<std::string>(1));
                if (!fingerprint.ok() || !crash.ok()) {
                    return absl::InvalidArgumentError("a row has a malformed hash");
                }
                const auto crashedAt = row->getElement<int64_t>(3);
                if (crashedAt < 0 || crashedAt > maxTimeMs) {
                    return absl::InvalidArgumentError("a row has a time past its range");
                }
                record.items.push_back({*fingerprint, *crash, row->getElement<uint32_t>(2),
                                        wall_time(milliseconds(crashedAt))});
            }
            return record;
        });
}

quarantine_record toRecord(const std::vector<crash_quarantine::entry> &entries, wall_time now)
{
    quarantine_record record;
    for (const crash_quarantine::entry &entry : entries) {
        record.items.push_back({entry.fingerprint, entry.crash, entry.strikes, now - entry.age});
    }
    return record;
}

std::vector<crash_quarantine::entry> toEntries(const quarantine_record &record, wall_time now)
{
    std::vector<crash_quarantine::entry> entries;
    for (const quarantine_record::item &item : record.items) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - item.at);
        entries.push_back(
            {item.fingerprint, item.crash, item.strikes, std::max(age, milliseconds(0))});
    }
    return entries;
}

bool lacksEvidence(const quarantine_record &record,
                   const std::vector<crash_quarantine::entry> &entries, wall_time now)
{
    return std::any_of(entries.begin(), entries.end(), [&](const crash_quarantine::entry &entry) {
        return !isRecorded(record, entry, now);
    });
}

} // namespace persimmonrail
