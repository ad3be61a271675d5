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

// Holds the newest version of each object and the tombstones of deleted objects, indexed by key and
// by version.
//
// Not thread safe.
class versioned_objects
{
public:
    // Stores the object if its version is higher than the known version. Returns whether the object
    // was stored.
    bool put(stored_object object, steady_time now);
    // Returns the object or its tombstone, or null if the key is unknown.
    const stored_object *find(std::string_view key) const;
    const std::map<std::string, stored_object, std::less<>> &byKey() const { return m_byKey; }
    // Appends the objects whose version is higher than `after` to the reply in version order, up to
    // maxPullReplyBytes but at least all objects of one version. Returns the version up to which
    // the reply is complete, or `revision` if the reply contains all of these objects.
    uint64_t appendChanges(wire::PullReply &reply, uint64_t after, uint64_t revision) const;

    size_t tombstoneCount() const { return m_tombstoneCount; }
    // Drops the oldest tombstone as long as `shouldDrop` returns true for the number of tombstones
    // and the age of the oldest one. Returns the highest version that was dropped, or 0 if no
    // tombstone was dropped.
    uint64_t
    expireTombstones(steady_time now,
                     const std::function<bool(size_t count, milliseconds age)> &shouldDrop);

private:
    struct tombstone_arrival
    {
        steady_time arrivedAt;
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
    // The pointers refer to the values of m_byKey.
    std::set<const stored_object *, version_order> m_byVersion;
    // Tombstones in the order of their arrival. An entry is obsolete, and is skipped, if its object
    // has changed since.
    std::deque<tombstone_arrival> m_tombstonesByArrival;
    size_t m_tombstoneCount = 0;
};

} // namespace persimmonrail
