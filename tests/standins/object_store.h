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

// Calls per second that the platform admits. A waiting watch takes one read in every second.
struct platform_budget
{
    uint64_t readsPerSecond = 2'000;
    uint64_t writesPerSecond = 400;
};

// Admits calls by windows of one second. Not thread safe.
class rate_window
{
public:
    // Returns whether one more call fits the window that contains `now`. `waiting` is the number
    // of calls that last from earlier windows into this one.
    bool admit(std::chrono::steady_clock::time_point now, uint64_t limit, uint64_t waiting);

private:
    std::optional<std::chrono::steady_clock::time_point> m_start;
    uint64_t m_used = 0;
};

// Objects with store-wide versions and a log of changes. Not thread safe.
class object_store
{
public:
    struct write_result
    {
        bool isApplied = false;
        // New version, or the current one if the write was not applied.
        uint64_t version = 0;
    };

    uint64_t revision() const { return m_revision; }
    const persimmonrail::stored_object *find(const std::string &key) const;
    write_result put(const std::string &key, uint64_t expectedVersion, const std::string &value);
    write_result remove(const std::string &key, uint64_t expectedVersion);
    std::vector<persimmonrail::stored_object> list(const std::string &prefix) const;
    // Returns the newest change of each key after `revision`, tombstones included, by version; or
    // nullopt if changes after `revision` have been compacted.
    std::optional<std::vector<persimmonrail::stored_object>> changes(const std::string &prefix,
                                                                     uint64_t revision) const;
    // Forgets all changes so far.
    void compact();

private:
    bool isExpected(const std::string &key, uint64_t expectedVersion) const;
    void log(const persimmonrail::stored_object &change);

    uint64_t m_revision = 0;
    uint64_t m_compacted = 0;
    std::map<std::string, persimmonrail::stored_object> m_objects;
    std::deque<persimmonrail::stored_object> m_log;
};

} // namespace standins
