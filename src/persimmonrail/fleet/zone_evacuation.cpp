#include "persimmonrail/fleet/zone_evacuation.h"

#include <algorithm>
#include <utility>

namespace persimmonrail {
namespace {

// Part of the timeout reserved for a request that is on its way to the upstream, and for the time
// from the store's confirmation until the daemon sees the object.
constexpr milliseconds requestMargin{1000};

milliseconds elapsed(steady_time from, steady_time now)
{
    return std::chrono::duration_cast<milliseconds>(now - from);
}

} // namespace

zone_admission evacuation_state::admissionAt(steady_time now) const
{
    if (!isKnown) {
        return zone_admission::Nothing;
    }
    if (!isEvacuated) {
        return zone_admission::All;
    }
    return now < keysEnd ? zone_admission::HeldKeys : zone_admission::Nothing;
}

std::string_view toString(zone_change::kind kind)
{
    switch (kind) {
    case zone_change::kind::Begun:
        return "begun";
    case zone_change::kind::Ended:
        return "ended";
    case zone_change::kind::UnknownZone:
        return "unknown-zone";
    }
    return "unknown-zone";
}

zone_evacuation::zone_evacuation(std::string prefix, milliseconds timeout)
    : m_prefix(std::move(prefix))
    , m_timeout(timeout)
{ }

// A list does not tell when its objects were written, so each new one counts from the latest
// response before, which did not have it. Before the first response the whole time may have passed.
void zone_evacuation::reset(const object_list &list, steady_time receivedAt)
{
    const auto before = std::exchange(m_entries, {});
    const steady_time confirmedAt = m_knownAt.value_or(receivedAt - m_timeout);
    for (const stored_object &object : list.objects) {
        put(object, receivedAt, confirmedAt);
    }
    for (auto &[zone, current] : m_entries) {
        const auto known = before.find(zone);
        if (known != before.end()) {
            current = known->second;
        }
    }
    m_knownAt = receivedAt;
    updateZones();
}

void zone_evacuation::apply(const object_list &changes, steady_time receivedAt)
{
    for (const stored_object &object : changes.objects) {
        put(object, receivedAt, receivedAt);
    }
    m_knownAt = receivedAt;
    updateZones();
}

// Changes come in the order of the store. Their versions are not compared: a deletion may have the
// version of a later change that arrived with it.
void zone_evacuation::put(const stored_object &object, steady_time seenAt, steady_time confirmedAt)
{
    const auto zone = zoneOf(object);
    if (!zone) {
        return;
    }
    if (object.deleted) {
        m_entries.erase(*zone);
    } else {
        // A zone that is evacuated already keeps the earlier time.
        m_entries.try_emplace(*zone, entry{object.version, seenAt, confirmedAt});
    }
}

std::optional<std::string> zone_evacuation::zoneOf(const stored_object &object) const
{
    const bool isNamed = object.key.starts_with(m_prefix) && object.key.size() > m_prefix.size();
    return isNamed ? std::optional(object.key.substr(m_prefix.size())) : std::nullopt;
}

void zone_evacuation::updateZones()
{
    m_zones.clear();
    for (const auto &[zone, current] : m_entries) {
        m_zones.insert(zone);
    }
}

std::vector<zone_change> zone_evacuation::takeChanges(const zone_set &knownZones, steady_time now)
{
    using kind = zone_change::kind;
    std::vector<zone_change> changes;
    for (auto begun = m_begun.begin(); begun != m_begun.end();) {
        if (m_entries.contains(begun->first)) {
            ++begun;
            continue;
        }
        const auto &[zone, ended] = *begun;
        changes.push_back({kind::Ended, zone, ended.version, elapsed(ended.seenAt, now)});
        begun = m_begun.erase(begun);
    }
    std::erase_if(m_unknown, [this](const std::string &zone) { return !m_zones.contains(zone); });
    for (const auto &[zone, current] : m_entries) {
        if (m_begun.contains(zone)) {
            continue;
        }
        const milliseconds sinceSeen = elapsed(current.seenAt, now);
        if (knownZones.contains(zone)) {
            m_begun[zone] = current;
            m_unknown.erase(zone);
            changes.push_back({kind::Begun, zone, current.version, sinceSeen});
        } else if (m_unknown.insert(zone).second) {
            changes.push_back({kind::UnknownZone, zone, current.version, sinceSeen});
        }
    }
    return changes;
}

evacuation_state zone_evacuation::stateOf(std::string_view zone) const
{
    evacuation_state state;
    state.isKnown = m_knownAt.has_value();
    const auto found = m_entries.find(zone);
    if (found != m_entries.end()) {
        state.isEvacuated = true;
        state.keysEnd =
            found->second.confirmedAt + std::max(milliseconds(0), m_timeout - requestMargin);
    }
    return state;
}

} // namespace persimmonrail
