#include "persimmonrail/fleet/fleet_directory.h"

#include <algorithm>

namespace persimmonrail {
namespace {

constexpr std::string_view memberPrefix = "fleet/member.";
constexpr std::string_view placementPrefix = "fleet/keys.";

} // namespace

std::string memberKey(const std::string &upstream)
{
    return std::string(memberPrefix) + upstream;
}

std::string placementKey(const std::string &service)
{
    return std::string(placementPrefix) + service;
}

std::vector<const upstream_member *> fleet_directory::membersOf(std::string_view service) const
{
    std::vector<const upstream_member *> members;
    for (const auto &[name, known] : m_members) {
        if (known.member.service == service && !known.member.isTerminated) {
            members.push_back(&known.member);
        }
    }
    return members;
}

const fleet_directory::versioned_member *
fleet_directory::findMember(std::string_view upstream) const
{
    const auto found = m_members.find(upstream);
    return found == m_members.end() ? nullptr : &found->second;
}

const fleet_directory::versioned_placement *
fleet_directory::findPlacement(std::string_view service) const
{
    const auto found = m_placements.find(service);
    return found == m_placements.end() ? nullptr : &found->second;
}

std::vector<upstream_member> earlierIncarnations(const fleet_directory &directory,
                                                 std::string_view peerAddress,
                                                 const upstream_id &present)
{
    std::vector<upstream_member> earlier;
    for (const auto &[name, known] : directory.members()) {
        if (known.member.peerAddress == peerAddress && name != present.name
            && !known.member.isTerminated) {
            earlier.push_back(known.member);
            earlier.back().isDraining = earlier.back().isTerminated = true;
        }
    }
    return earlier;
}

fleet_directory_builder::fleet_directory_builder(fault_hook onFault)
    : m_onFault(std::move(onFault))
{ }

void fleet_directory_builder::reset(const object_list &list)
{
    const auto isOld = [&list](const auto &entry) { return entry.second.version <= list.revision; };
    std::erase_if(m_current.m_members, isOld);
    std::erase_if(m_current.m_placements, isOld);
    for (const stored_object &object : list.objects) {
        put(object);
    }
    m_current.m_revision = std::max(m_current.m_revision, list.revision);
}

void fleet_directory_builder::apply(const object_list &changes)
{
    for (const stored_object &object : changes.objects) {
        applyOne(object);
    }
    m_current.m_revision = std::max(m_current.m_revision, changes.revision);
}

void fleet_directory_builder::applyOne(const stored_object &object)
{
    if (object.deleted) {
        erase(object.key, object.version);
    } else {
        put(object);
    }
}

void fleet_directory_builder::put(const stored_object &object)
{
    const std::string_view key = object.key;
    if (key.starts_with(memberPrefix)) {
        const auto member = parseMember(object.value);
        auto &known = m_current.m_members;
        const std::string name(key.substr(memberPrefix.size()));
        if (!member.ok() || member->id.name != name) {
            m_onFault(object.key, member.ok() ? "name differs" : member.status().ToString());
            return;
        }
        const auto entry = known.find(name);
        if (entry == known.end() || entry->second.version < object.version) {
            known[name] = {*member, object.version};
        }
    } else if (key.starts_with(placementPrefix)) {
        auto placement = parsePlacement(object.value);
        const std::string service(key.substr(placementPrefix.size()));
        if (!placement.ok() || placement->service != service) {
            m_onFault(object.key, placement.ok() ? "name differs" : placement.status().ToString());
            return;
        }
        auto &known = m_current.m_placements;
        const auto entry = known.find(service);
        if (entry == known.end() || entry->second.version < object.version) {
            known[service] = {std::move(*placement), object.version};
        }
    } else {
        m_onFault(object.key, "unknown kind of object");
    }
}

void fleet_directory_builder::erase(const std::string &key, uint64_t version)
{
    const std::string_view text = key;
    if (text.starts_with(memberPrefix)) {
        const auto entry = m_current.m_members.find(text.substr(memberPrefix.size()));
        if (entry != m_current.m_members.end() && entry->second.version < version) {
            m_current.m_members.erase(entry);
        }
    } else if (text.starts_with(placementPrefix)) {
        const auto entry = m_current.m_placements.find(text.substr(placementPrefix.size()));
        if (entry != m_current.m_placements.end() && entry->second.version < version) {
            m_current.m_placements.erase(entry);
        }
    }
}

std::shared_ptr<const fleet_directory> fleet_directory_builder::build() const
{
    return std::make_shared<fleet_directory>(m_current);
}

} // namespace persimmonrail
