#pragma once

#include "persimmonrail/fleet/quarantine_record.h"
#include "persimmonrail/fleet/upstream_member.h"
#include "persimmonrail/fleet/zone_evacuation.h"
#include "persimmonrail/keyspace/key_placement.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/objects/object_version.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace persimmonrail {

// Prefix of the store keys of all members, key placements and quarantine records, so that one watch
// covers all of them.
inline constexpr char fleetPrefix[] = "fleet/";
// Returns the store key of an upstream's member entry.
std::string memberKey(const std::string &upstream);
// Returns the store key of a service's key placement. Each epoch of the store has a placement
// record of its own, so that a write that was prepared before a restore cannot reach the record
// that is in use after it, although the restored store gives the expected revision out again.
std::string placementKey(const std::string &service, uint64_t epoch = baseEpoch);

// Members, key placements and quarantine records of the fleet at one revision of the store. A
// directory does not change once it is built, so threads may share it.
class fleet_directory
{
public:
    // A key placement and the version of its object in the store.
    struct versioned_placement
    {
        key_placement placement;
        uint64_t version = 0;
        // Epoch to which the record belongs, at least baseEpoch. A record of an epoch before
        // fleet_directory::epoch() was inherited from the copy from which the store was restored,
        // or read before the restore.
        uint64_t epoch = baseEpoch;
        // Whether the store holds a later version that could not be decoded.
        bool isOutdated = false;
    };
    // A member and the version of its object in the store.
    struct versioned_member
    {
        // Also shown as draining while its zone is evacuated.
        upstream_member member;
        uint64_t version = 0;
        // Whether the member's object says that it is draining.
        bool isRecordedAsDraining = false;

        // Returns the member as its object in the store has it. What is written to the store must
        // be based on this.
        upstream_member recorded() const;
    };
    // The quarantine record of a service and the version of its object in the store. A record that
    // could not be decoded is empty.
    struct versioned_quarantine
    {
        quarantine_record record;
        uint64_t version = 0;
    };

    // Returns the revision of the store up to which the directory holds all changes.
    uint64_t revision() const { return m_revision; }
    // Returns the highest epoch of the store that any object or list showed.
    uint64_t epoch() const { return m_epoch; }
    // Returns the members of a service that are not terminated. The pointers are valid for the
    // lifetime of the directory.
    std::vector<const upstream_member *> membersOf(std::string_view service) const;
    // Returns the member entry of an upstream, or null if there is none.
    const versioned_member *findMember(std::string_view upstream) const;
    // Returns the key placement of a service, or null if there is none. If there are records of
    // several epochs, returns that of the highest epoch.
    const versioned_placement *findPlacement(std::string_view service) const;
    // Returns the quarantine record of a service, or null if there is none.
    const versioned_quarantine *findQuarantine(std::string_view service) const;
    // Returns whether the zone is evacuated.
    bool isEvacuated(std::string_view zone) const { return m_evacuatedZones.contains(zone); }
    // Returns all members by upstream name, including terminated ones.
    const std::map<std::string, versioned_member, std::less<>> &members() const
    {
        return m_members;
    }

private:
    friend class fleet_directory_builder;
    uint64_t m_revision = 0;
    uint64_t m_epoch = 0;
    std::map<std::string, versioned_member, std::less<>> m_members;
    std::map<std::string, versioned_placement, std::less<>> m_placements;
    std::map<std::string, versioned_quarantine, std::less<>> m_quarantines;
    zone_set m_evacuatedZones;
};

// Returns whether the service has upstreams, all of them in evacuated zones.
bool isServiceEvacuated(const fleet_directory &directory, std::string_view service);

// Returns whether the directory shows that this incarnation of an upstream has ended: its own entry
// says so, or that of a newer incarnation exists. The entry of an earlier incarnation, which a
// store shows that was restored from an older copy, tells nothing about it.
bool hasEnded(const fleet_directory &directory, const upstream_id &id);

// Returns the incarnation that runs beside the same daemon after `id` and is not leaving; nullopt
// if the directory shows none.
std::optional<upstream_id> successorOf(const fleet_directory &directory, const upstream_id &id);

// Returns the other incarnations at `peerAddress` that did not start after `present` and that the
// directory does not show as terminated, also those with the same name.
std::vector<upstream_id> earlierIncarnationsAt(const fleet_directory &directory,
                                               std::string_view peerAddress,
                                               const upstream_id &present);

// Returns whether the directory shows that an incarnation at `peerAddress` has ended: its own entry
// says so, or one that started later was there. A message from it was held up on its way.
bool isSuperseded(const fleet_directory &directory, std::string_view peerAddress,
                  const upstream_id &id);

// What a directory tells about the shutdown that an incarnation has announced to its daemon.
enum class shutdown_entry {
    // There is no entry of the upstream at this daemon.
    None,
    // The entry says neither that the incarnation shuts down nor that it has ended.
    Missing,
    // Whatever it reports, a daemon that knows only the directory sends it no requests.
    Recorded,
};
shutdown_entry findShutdownEntry(const fleet_directory &directory, std::string_view peerAddress,
                                 const upstream_id &id);

// Returns the members at `peerAddress` that did not start after `present`, have another name and
// are not shown as terminated by the directory. The returned entries are marked as draining and
// terminated: a host runs only one upstream at a time, so the upstreams that ran beside the same
// daemon before `present` have ended.
std::vector<upstream_member> endedMembersAt(const fleet_directory &directory,
                                            std::string_view peerAddress,
                                            const upstream_id &present);

// Builds directories from objects of the store. An object that cannot be parsed is reported to the
// error hook and otherwise ignored. A list of a new epoch of the store replaces all that was read
// before the restore, and objects of an older epoch than the list are ignored. Not thread safe.
class fleet_directory_builder
{
public:
    // Receives the store key of an object that cannot be parsed, and the reason.
    using error_hook = std::function<void(const std::string &key, std::string_view reason)>;
    explicit fleet_directory_builder(error_hook onError);

    // Replaces the content by the complete list of the store's objects at the list's revision.
    // Entries with a version above this revision stay: the daemon may learn the results of its own
    // writes before it receives a list that was read earlier.
    void reset(const object_list &list);
    // Applies changes in order and advances the revision.
    void apply(const object_list &changes);
    // Applies one object if it is newer than the known entry. The revision stays the same.
    void applyObject(const stored_object &object);
    // Shows the members of these zones as draining in the directories that are built from now on.
    void setEvacuatedZones(zone_set zones) { m_directory.m_evacuatedZones = std::move(zones); }
    // Returns a copy of the present content.
    std::shared_ptr<const fleet_directory> build() const;

private:
    // Adds or replaces the entry of an object, unless the known entry is as new.
    void put(const stored_object &object);
    void putMember(const stored_object &object);
    void putPlacement(const stored_object &object);
    void putQuarantine(const stored_object &object);
    // Removes the entry of a deleted object if the entry is older than `version`.
    void erase(const std::string &key, uint64_t version);
    void advanceRevision(uint64_t revision);

    const error_hook m_onError;
    fleet_directory m_directory;
};

} // namespace persimmonrail
