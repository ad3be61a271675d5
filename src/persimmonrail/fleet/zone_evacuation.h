#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/objects/object_api.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Names of availability zones.
using zone_set = std::set<std::string, std::less<>>;

// What may be sent to an upstream, as far as the evacuation of its zone decides.
enum class zone_admission {
    All,
    // Only requests for keys that the upstream holds.
    HeldKeys,
    Nothing,
};

// The evacuation of one zone, as the daemons beside its upstreams enforce it.
struct evacuation_state
{
    // Whether the set of evacuated zones is known.
    bool isKnown = false;
    bool isEvacuated = false;
    // When the upstreams of an evacuated zone stop receiving requests, also for keys that they
    // hold.
    steady_time keysEnd{};

    zone_admission admissionAt(steady_time now) const;
};

// A change of the evacuation of one zone.
struct zone_change
{
    enum class kind {
        Begun,
        Ended,
        // An object names a zone that no upstream is in, so the object has no effect.
        UnknownZone,
    };
    kind type = kind::Begun;
    std::string zone;
    // Version of the object that names the zone.
    uint64_t version = 0;
    // Time since the object's version was seen.
    milliseconds sinceSeen{0};

    bool operator==(const zone_change &) const = default;
};

// Returns "begun", "ended" or "unknown-zone".
std::string_view toString(zone_change::kind kind);

// Holds the zones whose evacuation the operators want: an object PREFIX/ZONE of the store stands
// for each, whatever its content. The last known set stays in force while the store is not
// reachable. Reads no clock and does no I/O. Not thread safe.
class zone_evacuation
{
public:
    // `prefix` ends with "/". `timeout` is the time from the store's confirmation of an object
    // until the last request may reach an upstream of the zone.
    zone_evacuation(std::string prefix, milliseconds timeout);

    // Replaces the set by the complete list of objects.
    void reset(const object_list &list, steady_time receivedAt);
    // Applies the changes of a watch in order.
    void apply(const object_list &changes, steady_time receivedAt);
    // Returns what changed since the last call, with respect to the zones that are known. A zone
    // that becomes known later begins to be evacuated then, and an unknown one is returned once.
    std::vector<zone_change> takeChanges(const zone_set &knownZones, steady_time now);
    // Returns whether takeChanges() may return a change if further zones become known.
    bool hasUnknownZones() const { return !m_unknown.empty(); }
    // Returns all zones that objects name, also unknown ones.
    const zone_set &zones() const { return m_zones; }
    evacuation_state stateOf(std::string_view zone) const;

private:
    struct entry
    {
        uint64_t version = 0;
        // When the object's version was seen.
        steady_time seenAt{};
        // Earliest time at which the store may have confirmed the object.
        steady_time confirmedAt{};
    };
    // Applies one object that the store confirmed at `confirmedAt` or later.
    void put(const stored_object &object, steady_time seenAt, steady_time confirmedAt);
    // Returns the zone that the object names; nothing if it names none.
    std::optional<std::string> zoneOf(const stored_object &object) const;
    void updateZones();

    const std::string m_prefix;
    const milliseconds m_timeout;
    std::map<std::string, entry, std::less<>> m_entries;
    zone_set m_zones;
    // When the latest response of the store arrived, up to which the set is known; nothing before
    // the first list.
    std::optional<steady_time> m_knownAt;
    // The zones that takeChanges() returned as begun, and as unknown.
    std::map<std::string, entry, std::less<>> m_begun;
    zone_set m_unknown;
};

} // namespace persimmonrail
