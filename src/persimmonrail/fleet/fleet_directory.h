#pragma once

#include "persimmonrail/fleet/upstream_member.h"
#include "persimmonrail/keyspace/key_placement.h"
#include "persimmonrail/objects/object_api.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Store keys of the fleet's objects. All share one prefix, so that one watch covers them.
inline constexpr char fleetPrefix[] = "fleet/";
std::string memberKey(const std::string &upstream);
std::string placementKey(const std::string &service);

// Immutable view of the members and key placements at one revision of the store.
class fleet_directory
{
public:
    struct versioned_placement
    {
        key_placement placement;
        uint64_t version = 0;
    };
    struct versioned_member
    {
        upstream_member member;
        uint64_t version = 0;
    };

    uint64_t revision() const { return m_revision; }
    // All members of a service that are not gone.
    std::vector<const upstream_member *> membersOf(std::string_view service) const;
    const versioned_member *findMember(std::string_view upstream) const;
    const versioned_placement *findPlacement(std::string_view service) const;
    const std::map<std::string, versioned_member, std::less<>> &members() const
    {
        return m_members;
    }

private:
    friend class fleet_directory_builder;
    uint64_t m_revision = 0;
    std::map<std::string, versioned_member, std::less<>> m_members;
    std::map<std::string, versioned_placement, std::less<>> m_placements;
};

// Returns the members behind a peer port that are not `present` and not known to be gone, as gone:
// a host has one upstream, so they have ended.
std::vector<upstream_member> earlierIncarnations(const fleet_directory &directory,
                                                 std::string_view peerAddress,
                                                 const upstream_id &present);

// Builds directories from objects of the store. Objects that can't be read are reported and name
// nothing. Not thread safe.
class fleet_directory_builder
{
public:
    using fault_hook = std::function<void(const std::string &key, std::string_view reason)>;
    explicit fleet_directory_builder(fault_hook onFault);

    // Takes the whole content of the store at the list's revision. What is known to be newer stays:
    // own writes may be known before a list that was read earlier.
    void reset(const object_list &list);
    // Applies changes in order.
    void apply(const object_list &changes);
    // Takes one object, if it is newer than the known one.
    void applyOne(const stored_object &object);
    std::shared_ptr<const fleet_directory> build() const;

private:
    void put(const stored_object &object);
    void erase(const std::string &key, uint64_t version);

    const fault_hook m_onFault;
    fleet_directory m_current;
};

} // namespace persimmonrail
