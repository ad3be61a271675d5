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
    for (const auto &[name, entry] : m_members) {
        if (entry.member.service == service && !entry.member.isTerminated) {
            members.push_back(&entry.member);
        }
    }
    return members;
}

const fleet_directory::versioned_member *
fleet_directory::findMember(std::string_view upstream) const
{
    const auto entry = m_members.find(upstream);
    return entry == m_members.end() ? nullptr : &entry->second;
}

const fleet_directory::versioned_placement *
fleet_directory::findPlacement(std::string_view service) const
{
    const auto entry = m_placements.find(service);
    return entry == m_placements.end() ? nullptr : &entry->second;
}

std::vector<upstream_member> endedMembersAt(const fleet_directory &directory,
                                            std::string_view peerAddress,
                                            const upstream_id &present)
{
    std::vector<upstream_member> earlier;
    for (const auto &[name, entry] : directory.members()) {
        if (entry.member.peerAddress == peerAddress && name != present.name
            && !entry.member.isTerminated) {
            earlier.push_back(entry.member);
            earlier.back().isDraining = earlier.back().isTerminated = true;
        }
    }
    return earlier;
}

fleet_directory_builder::fleet_directory_builder(error_hook onError)
    : m_onError(std::move(onError))
{ }

void fleet_directory_builder::reset(const object_list &list)
{
    const auto isSuperseded = [&list](const auto &entry) {
        return entry.second.version <= list.revision;
    };
    std::erase_if(m_directory.m_members, isSuperseded);
    std::erase_if(m_directory.m_placements, isSuperseded);
    for (const stored_object &object : list.objects) {
        put(object);
    }
    m_directory.m_revision = std::max(m_directory.m_revision, list.revision);
}

void fleet_directory_builder::apply(const object_list &changes)
{
    for (const stored_object &object : changes.objects) {
        applyObject(object);
    }
    m_directory.m_revision = std::max(m_directory.m_revision, changes.revision);
}

void fleet_directory_builder::applyObject(const stored_object &object)
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
        auto &members = m_directory.m_members;
        const std::string name(key.substr(memberPrefix.size()));
        if (!member.ok() || member->id.name != name) {
            m_onError(object.key,
                      member.ok() ? "the upstream name differs from the store key"
                                  : member.status().ToString());
            return;
        }
        const auto entry = members.find(name);
        if (entry == members.end() || entry->second.version < object.version) {
            members[name] = {*member, object.version};
        }
    } else if (key.starts_with(placementPrefix)) {
        auto placement = parsePlacement(object.value);
        const std::string service(key.substr(placementPrefix.size()));
        if (!placement.ok() || placement->service != service) {
            m_onError(object.key,
                      placement.ok() ? "the service name differs from the store key"
                                     : placement.status().ToString());
            return;
        }
        auto &placements = m_directory.m_placements;
        const auto entry = placements.find(service);
        if (entry == placements.end() || entry->second.version < object.version) {
            placements[service] = {std::move(*placement), object.version};
        }
    } else {
        m_onError(object.key, "the store key has an unknown prefix");
    }
}

void fleet_directory_builder::erase(const std::string &key, uint64_t version)
{
    const std::string_view keyView = key;
    if (keyView.starts_with(memberPrefix)) {
        const auto entry = m_directory.m_members.find(keyView.substr(memberPrefix.size()));
        if (entry != m_directory.m_members.end() && entry->second.version < version) {
            m_directory.m_members.erase(entry);
        }
    } else if (keyView.starts_with(placementPrefix)) {
        const auto entry = m_directory.m_placements.find(keyView.substr(placementPrefix.size()));
        if (entry != m_directory.m_placements.end() && entry->second.version < version) {
            m_directory.m_placements.erase(entry);
        }
    }
}

std::shared_ptr<const fleet_directory> fleet_directory_builder::build() const
{
    return std::make_shared<fleet_directory>(m_directory);
}

} // namespace persimmonrail
