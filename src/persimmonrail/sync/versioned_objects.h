#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/objects/object_api.h"

#include <control.pb.h>

#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace persimmonrail {

// The newest version of each object by key and by version, with the tombstones of deleted ones.
//
// Not thread safe.
class versioned_objects
{
public:
    // Takes the object over if it is newer than the known version; returns whether it was.
    bool put(stored_object object, steady_time now);
    // Includes tombstones; null if unknown.
    const stored_object *find(std::string_view key) const;
    const std::map<std::string, stored_object, std::less<>> &byKey() const { return m_byKey; }
    // Adds the objects above `after` to the reply in version order, up to pullReplyBytes but at
    // least those of one version. Returns the version up to which the reply is complete, or
    // `complete` if nothing was left out.
    uint64_t fill(wire::PullReply &reply, uint64_t after, uint64_t complete) const;

    size_t tombstones() const { return m_tombstones; }
    // Drops the oldest tombstones while `drop` returns true for the number that is left and the age
    // of the oldest. Returns the highest version that was dropped, 0 if none was.
    uint64_t expire(steady_time now,
                    const std::function<bool(size_t left, milliseconds age)> &drop);

private:
    struct arrival
    {
        steady_time at;
        uint64_t version = 0;
        std::string key;
    };
    struct version_order
    {
        bool operator()(const stored_object *left, const stored_object *right) const
        {
            return left->version != right->version ? left->version < right->version
                                                   : left->key < right->key;
        }
    };

    std::map<std::string, stored_object, std::less<>> m_byKey;
    // Points into m_byKey.
    std::set<const stored_object *, version_order> m_byVersion;
    // Tombstones in the order of arrival; entries whose object has changed since are skipped.
    std::deque<arrival> m_arrivals;
    size_t m_tombstones = 0;
};

} // namespace persimmonrail
