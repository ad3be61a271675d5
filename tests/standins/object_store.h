#pragma once

#include "persimmonrail/objects/object_api.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins {

// Rate limits of the platform. A watch request that waits counts as one read in every second.
struct platform_budget
{
    uint64_t readsPerSecond = 2'000;
    uint64_t writesPerSecond = 400;
};

// Rate limiter with fixed windows of one second. Not thread-safe.
class rate_window
{
public:
    // Returns whether the window that contains `now` has capacity for one more request, and counts
    // the request if so. `limit` is the number of requests per window. `ongoing` is the number of
    // requests from earlier windows that are still in progress; a new window counts them at its
    // start.
    bool admit(std::chrono::steady_clock::time_point now, uint64_t limit, uint64_t ongoing);

private:
    std::optional<std::chrono::steady_clock::time_point> m_start;
    // Requests counted in the window that begins at m_start.
    uint64_t m_admitted = 0;
};

// In-memory objects with conditional writes and a change log. Each write increments the revision of
// the store, which becomes the version of the written object. Not thread-safe.
class object_store
{
public:
    struct write_result
    {
        bool isApplied = false;
        // The new version of the object, or its current version if the write was not applied; 0 if
        // the object is missing.
        uint64_t version = 0;
    };

    // Returns the version of the latest write, or 0 before the first write.
    uint64_t revision() const { return m_revision; }
    // Returns nullptr if the object is missing.
    const persimmonrail::stored_object *find(const std::string &key) const;
    // Writes the object if its current version is `expectedVersion`; 0 expects a missing object.
    write_result put(const std::string &key, uint64_t expectedVersion, const std::string &value);
    // Deletes the object if its current version is `expectedVersion`.
    write_result remove(const std::string &key, uint64_t expectedVersion);
    // Returns the objects whose keys begin with `prefix`, ordered by key.
    std::vector<persimmonrail::stored_object> list(const std::string &prefix) const;
    // Returns the newest change after `revision` of each key that begins with `prefix`, ordered by
    // version. Deletions are included. Returns nullopt if changes after `revision` were compacted.
    std::optional<std::vector<persimmonrail::stored_object>> changes(const std::string &prefix,
                                                                     uint64_t revision) const;
    // Discards the change log; changes() returns nullopt for all revisions before the current one.
    void compact();

private:
    // Returns whether the object has this version; a missing object has version 0.
    bool hasVersion(const std::string &key, uint64_t expectedVersion) const;
    void appendChange(const persimmonrail::stored_object &change);

    uint64_t m_revision = 0;
    // Changes up to this revision are no longer in m_changeLog.
    uint64_t m_compactedRevision = 0;
    std::map<std::string, persimmonrail::stored_object> m_objects;
    // Ordered by version.
    std::deque<persimmonrail::stored_object> m_changeLog;
};

} // namespace standins
