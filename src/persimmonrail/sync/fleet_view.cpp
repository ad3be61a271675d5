#include "persimmonrail/sync/fleet_view.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace persimmonrail {
namespace {

using Poco::JSON::Object;

absl::StatusOr<member_record> decodeObject(const Object &object)
{
    member_record member;
    member.id.name = textMember(object, "name");
    const auto incarnation = parseHex64(textMember(object, "incarnation"));
    member.region = textMember(object, "region");
    member.availabilityZone = textMember(object, "availability_zone");
    member.service = textMemberOr(object, "service", "");
    member.peerAddress = textMember(object, "peer_address");
    member.controlAddress = textMember(object, "control_address");
    member.slots = integerMemberOr<int>(object, "slots", 0);
    if (!incarnation.ok()) {
        return incarnation.status();
    }
    member.id.incarnation = *incarnation;
    if (member.id.name.empty() || member.id.incarnation == 0) {
        return absl::InvalidArgumentError("the member record has no name or no incarnation");
    }
    if (member.availabilityZone.empty() || member.controlAddress.empty()
        || member.peerAddress.empty()) {
        return absl::InvalidArgumentError(
            "the member record has no availability zone, control address or peer address");
    }
    if (member.slots < 0) {
        return absl::InvalidArgumentError("the member record has a negative number of slots");
    }
    return member;
}

// Orders ranges before single keys, and each group by first hash.
bool precedes(const versioned_record *left, const versioned_record *right)
{
    const auto &leftRange = left->record.range;
    const auto &rightRange = right->record.range;
    if (leftRange.isSingleKey() != rightRange.isSingleKey()) {
        return rightRange.isSingleKey();
    }
    return leftRange.first < rightRange.first;
}

} // namespace

std::string memberKey(std::string_view instanceName)
{
    return absl::StrCat("member/", toAbsl(instanceName));
}

std::string encodeMember(const member_record &member)
{
    Object object;
    object.set("name", member.id.name);
    object.set("incarnation", hashToString(member.id.incarnation));
    object.set("region", member.region);
    object.set("availability_zone", member.availabilityZone);
    object.set("service", member.service);
    object.set("peer_address", member.peerAddress);
    object.set("control_address", member.controlAddress);
    object.set("slots", member.slots);
    return renderJson(object);
}

absl::StatusOr<member_record> decodeMember(std::string_view text)
{
    return decodeJson(text, "member record", decodeObject);
}

const versioned_record *fleet_view::findRecord(std::string_view service, uint64_t hash) const
{
    const auto entry = recordsByService.find(service);
    if (entry == recordsByService.end()) {
        return nullptr;
    }
    const auto &records = entry->second;
    const auto firstSingleKey =
        std::partition_point(records.begin(), records.end(), [](const versioned_record *record) {
            return !record->record.range.isSingleKey();
        });
    const auto singleKey = std::lower_bound(firstSingleKey, records.end(), hash,
                                            [](const versioned_record *record, uint64_t value) {
                                                return record->record.range.first < value;
                                            });
    if (singleKey != records.end() && (*singleKey)->record.range.first == hash) {
        return *singleKey;
    }
    const auto nextRange = std::upper_bound(records.begin(), firstSingleKey, hash,
                                            [](uint64_t value, const versioned_record *record) {
                                                return value < record->record.range.first;
                                            });
    if (nextRange == records.begin() || !(*std::prev(nextRange))->record.range.contains(hash)) {
        return nullptr;
    }
    return *std::prev(nextRange);
}

const member_record *fleet_view::findMember(const instance_id &id) const
{
    const auto entry = members.find(id.name);
    return entry != members.end() && entry->second.id == id ? &entry->second : nullptr;
}

std::vector<const member_record *> fleet_view::membersOf(std::string_view service) const
{
    std::vector<const member_record *> result;
    for (const auto &[name, member] : members) {
        if (member.service == service) {
            result.push_back(&member);
        }
    }
    return result;
}

void indexRecords(fleet_view &view)
{
    view.recordsByService.clear();
    std::string_view previousService;
    for (const auto &[partition, record] : view.records) {
        const auto service = serviceOfPartition(partition);
        if (service != previousService) {
            indexRecords(view, service);
            previousService = service;
        }
    }
}

void indexRecords(fleet_view &view, std::string_view service)
{
    std::vector<const versioned_record *> records;
    const std::string prefix = std::string(service) + "/";
    for (auto entry = view.records.lower_bound(prefix);
         entry != view.records.end() && entry->first.starts_with(prefix); ++entry) {
        records.push_back(&entry->second);
    }
    std::sort(records.begin(), records.end(), precedes);
    if (records.empty()) {
        view.recordsByService.erase(std::string(service));
    } else {
        view.recordsByService.insert_or_assign(std::string(service), std::move(records));
    }
}

} // namespace persimmonrail
