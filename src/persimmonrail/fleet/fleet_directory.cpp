#include "persimmonrail/fleet/fleet_directory.h"

#include <absl/strings/numbers.h>

#include <algorithm>
#include <optional>
#include <tuple>

namespace persimmonrail {
namespace {

constexpr std::string_view memberPrefix = "fleet/member.";
constexpr std::string_view quarantinePrefix = "fleet/quarantine.";
constexpr std::string_view basePlacementPrefix = "fleet/keys.";
// Placement records of epochs after the base epoch: "fleet/epoch.EPOCH.keys.SERVICE".
constexpr std::string_view epochPrefix = "fleet/epoch.";
constexpr std::string_view placementInfix = ".keys.";

// The record to which a placement's store key refers.
struct placement_record_id
{
    std::string service;
    uint64_t epoch = baseEpoch;
};

// Returns nullopt if `key` is not the store key of a placement.
std::optional<placement_record_id> parsePlacementKey(std::string_view key)
{
    if (key.starts_with(basePlacementPrefix)) {
        return placement_record_id{std::string(key.substr(basePlacementPrefix.size())), baseEpoch};
    }
    const size_t infix = key.find(placementInfix);
    if (!key.starts_with(epochPrefix) || infix == std::string_view::npos
        || infix < epochPrefix.size()) {
        return std::nullopt;
    }
    const std::string epochText(key.substr(epochPrefix.size(), infix - epochPrefix.size()));
    placement_record_id id;
    id.service = key.substr(infix + placementInfix.size());
    if (!absl::SimpleAtoi(epochText, &id.epoch) || id.epoch > maxEpoch
        || placementKey(id.service, id.epoch) != key) {
        return std::nullopt;
    }
    return id;
}

} // namespace

std::string memberKey(const std::string &upstream)
{
    return std::string(memberPrefix) + upstream;
}

std::string placementKey(const std::string &service, uint64_t epoch)
{
    if (epoch <= baseEpoch) {
        return std::string(basePlacementPrefix) + service;
    }
    return std::string(epochPrefix) + std::to_string(epoch) + std::string(placementInfix) + service;
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

const fleet_directory::versioned_quarantine *
fleet_directory::findQuarantine(std::string_view service) const
{
    const auto entry = m_quarantines.find(service);
    return entry == m_quarantines.end() ? nullptr : &entry->second;
}

upstream_member fleet_directory::versioned_member::recorded() const
{
    upstream_member result = member;
    result.isDraining = isRecordedAsDraining;
    return result;
}

bool isServiceEvacuated(const fleet_directory &directory, std::string_view service)
{
    const auto members = directory.membersOf(service);
    return !members.empty()
        && std::all_of(members.begin(), members.end(), [&](const upstream_member *member) {
               return directory.isEvacuated(member->availabilityZone);
           });
}

bool hasEnded(const fleet_directory &directory, const upstream_id &id)
{
    const auto *known = directory.findMember(id.name);
    return known != nullptr
        && (known->member.id.startedAt > id.startedAt
            || (known->member.id == id && known->member.isTerminated));
}

std::optional<upstream_id> successorOf(const fleet_directory &directory, const upstream_id &id)
{
    const auto *known = directory.findMember(id.name);
    if (known == nullptr) {
        return std::nullopt;
    }
    std::optional<upstream_id> latest;
    for (const auto &[name, entry] : directory.members()) {
        const upstream_member &member = entry.member;
        const bool isLater = !member.isTerminated && !member.isDraining
            && member.peerAddress == known->member.peerAddress
            && member.service == known->member.service && member.id.startedAt > id.startedAt;
        if (isLater && (!latest || latest->startedAt < member.id.startedAt)) {
            latest = member.id;
        }
    }
    return latest;
}

bool isSuperseded(const fleet_directory &directory, std::string_view peerAddress,
                  const upstream_id &id)
{
    return hasEnded(directory, id)
        || std::any_of(
               directory.members().begin(), directory.members().end(), [&](const auto &entry) {
                   const upstream_member &member = entry.second.member;
                   return member.peerAddress == peerAddress && member.id.startedAt > id.startedAt;
               });
}

shutdown_entry findShutdownEntry(const fleet_directory &directory, std::string_view peerAddress,
                                 const upstream_id &id)
{
    if (isSuperseded(directory, peerAddress, id)) {
        return shutdown_entry::Recorded;
    }
    const auto *known = directory.findMember(id.name);
    if (known == nullptr || known->member.peerAddress != peerAddress) {
        return shutdown_entry::None;
    }
    return known->member.id == id && known->member.hasAnnouncedShutdown ? shutdown_entry::Recorded
                                                                        : shutdown_entry::Missing;
}

std::vector<upstream_id> earlierIncarnationsAt(const fleet_directory &directory,
                                               std::string_view peerAddress,
                                               const upstream_id &present)
{
    std::vector<upstream_id> earlier;
    for (const auto &[name, entry] : directory.members()) {
        if (entry.member.peerAddress == peerAddress && !entry.member.isTerminated
            && entry.member.id != present && entry.member.id.startedAt <= present.startedAt) {
            earlier.push_back(entry.member.id);
        }
    }
    return earlier;
}

std::vector<upstream_member> endedMembersAt(const fleet_directory &directory,
                                            std::string_view peerAddress,
                                            const upstream_id &present)
{
    std::vector<upstream_member> earlier;
    for (const auto &[name, entry] : directory.members()) {
        if (entry.member.peerAddress == peerAddress && name != present.name
            && entry.member.id.startedAt <= present.startedAt && !entry.member.isTerminated) {
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
    std::erase_if(m_directory.m_quarantines, isSuperseded);
    for (const stored_object &object : list.objects) {
        put(object);
    }
    advanceRevision(list.revision);
}

void fleet_directory_builder::apply(const object_list &changes)
{
    for (const stored_object &object : changes.objects) {
        applyObject(object);
    }
    advanceRevision(changes.revision);
}

void fleet_directory_builder::applyObject(const stored_object &object)
{
    if (object.deleted) {
        erase(object.key, object.version);
    } else {
        put(object);
    }
}

void fleet_directory_builder::advanceRevision(uint64_t revision)
{
    m_directory.m_revision = std::max(m_directory.m_revision, revision);
    m_directory.m_epoch = std::max(m_directory.m_epoch, epochOf(revision));
}

void fleet_directory_builder::put(const stored_object &object)
{
    m_directory.m_epoch = std::max(m_directory.m_epoch, epochOf(object.version));
    if (epochOf(object.version) < epochOf(m_directory.m_revision)) {
        // The restored store may not have this object.
        return;
    }
    if (object.key.starts_with(memberPrefix)) {
        putMember(object);
    } else if (object.key.starts_with(quarantinePrefix)) {
        putQuarantine(object);
    } else {
        putPlacement(object);
    }
}

void fleet_directory_builder::putMember(const stored_object &object)
{
    const auto member = parseMember(object.value);
    auto &members = m_directory.m_members;
    const std::string name = object.key.substr(memberPrefix.size());
    if (!member.ok() || member->id.name != name) {
        m_onError(object.key,
                  member.ok() ? "the upstream name differs from the store key"
                              : member.status().ToString());
        return;
    }
    const auto entry = members.find(name);
    if (entry == members.end() || entry->second.version < object.version) {
        members[name] = {*member, object.version, member->isDraining};
    }
}

void fleet_directory_builder::putPlacement(const stored_object &object)
{
    const auto id = parsePlacementKey(object.key);
    if (!id) {
        m_onError(object.key, "the store key has an unknown prefix");
        return;
    }
    auto &placements = m_directory.m_placements;
    const auto entry = placements.find(id->service);
    const bool isNewer = entry == placements.end()
        || std::tie(entry->second.epoch, entry->second.version)
            < std::tie(id->epoch, object.version);
    auto placement = parsePlacement(object.value);
    if (!placement.ok() || placement->service != id->service) {
        if (isNewer && entry != placements.end()) {
            entry->second.isOutdated = true;
        }
        m_onError(object.key,
                  placement.ok() ? "the service name differs from the store key"
                                 : placement.status().ToString());
        return;
    }
    if (isNewer) {
        placements[id->service] = {std::move(*placement), object.version, id->epoch};
    }
}

// The version of a record that can't be decoded is kept, so that the next write replaces it.
void fleet_directory_builder::putQuarantine(const stored_object &object)
{
    auto &known = m_directory.m_quarantines[object.key.substr(quarantinePrefix.size())];
    if (known.version >= object.version) {
        return;
    }
    auto record = parseQuarantineRecord(object.value);
    if (!record.ok()) {
        m_onError(object.key, record.status().ToString());
    }
    known = {record.ok() ? std::move(*record) : quarantine_record(), object.version};
}

void fleet_directory_builder::erase(const std::string &key, uint64_t version)
{
    m_directory.m_epoch = std::max(m_directory.m_epoch, epochOf(version));
    const std::string_view keyView = key;
    if (keyView.starts_with(memberPrefix)) {
        const auto entry = m_directory.m_members.find(keyView.substr(memberPrefix.size()));
        if (entry != m_directory.m_members.end() && entry->second.version < version) {
            m_directory.m_members.erase(entry);
        }
        return;
    }
    if (keyView.starts_with(quarantinePrefix)) {
        const auto entry = m_directory.m_quarantines.find(keyView.substr(quarantinePrefix.size()));
        if (entry != m_directory.m_quarantines.end() && entry->second.version < version) {
            m_directory.m_quarantines.erase(entry);
        }
        return;
    }
    const auto id = parsePlacementKey(key);
    if (!id) {
        return;
    }
    const auto entry = m_directory.m_placements.find(id->service);
    if (entry != m_directory.m_placements.end() && entry->second.epoch == id->epoch
        && entry->second.version < version) {
        m_directory.m_placements.erase(entry);
    }
}

std::shared_ptr<const fleet_directory> fleet_directory_builder::build() const
{
    auto directory = std::make_shared<fleet_directory>(m_directory);
    for (auto &[name, entry] : directory->m_members) {
        const bool isEvacuated = directory->isEvacuated(entry.member.availabilityZone);
        entry.member.isDraining = entry.member.isDraining || isEvacuated;
    }
    return directory;
}

} // namespace persimmonrail
