#include "persimmonrail/ownership/placement_record.h"

#include "persimmonrail/base/json_text.h"
#include "persimmonrail/base/text.h"

#include <Poco/JSON/Array.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

namespace persimmonrail {
namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

absl::StatusOr<instance_id> parseInstance(const std::string &text)
{
    if (text.empty()) {
        return instance_id{};
    }
    const std::vector<std::string> parts = absl::StrSplit(text, '/');
    if (parts.size() != 2 || parts[0].empty()) {
        return absl::InvalidArgumentError(
            absl::StrCat("not an instance id of the form \"name/incarnation\": ", text));
    }
    const auto incarnation = parseHex64(parts[1]);
    if (!incarnation.ok()) {
        return incarnation.status();
    }
    return instance_id{parts[0], *incarnation};
}

std::string encodeInstance(const instance_id &id)
{
    return id.isNull() ? std::string() : toString(id);
}

Array::Ptr encodeInstances(const std::vector<instance_id> &ids)
{
    Array::Ptr array = new Array;
    for (const auto &id : ids) {
        array->add(encodeInstance(id));
    }
    return array;
}

absl::StatusOr<std::vector<instance_id>> parseInstances(const Object &object,
                                                        const std::string &field)
{
    std::vector<instance_id> ids;
    const Array::Ptr array = object.getArray(field);
    if (array.isNull()) {
        return ids;
    }
    for (size_t i = 0; i < array->size(); ++i) {
        auto id = parseInstance(array->getElement<std::string>(i));
        if (!id.ok()) {
            return id.status();
        }
        ids.push_back(*std::move(id));
    }
    return ids;
}

absl::Status checkInvariants(const placement_record &record)
{
    constexpr size_t witnessCount = 3;
    if (record.partition.empty() || record.range.first > record.range.last) {
        return absl::InvalidArgumentError(
            "the placement record has no partition name or an empty range");
    }
    if (record.owner.isNull()) {
        return absl::InvalidArgumentError("the placement record has no owner");
    }
    if (record.witnesses.size() != witnessCount
        || (!record.previousWitnesses.empty() && record.previousWitnesses.size() != witnessCount)) {
        return absl::InvalidArgumentError(
            "a witness set of the placement record does not have three members");
    }
    return absl::OkStatus();
}

absl::StatusOr<placement_record> decodeObject(const Object &object)
{
    placement_record record;
    record.partition = textMember(object, "partition");
    const auto first = parseHex64(textMember(object, "first"));
    const auto last = parseHex64(textMember(object, "last"));
    const auto term = parseHex64(textMember(object, "term"));
    auto owner = parseInstance(textMember(object, "owner"));
    auto nextOwner = parseInstance(textMemberOr(object, "next_owner", ""));
    auto witnesses = parseInstances(object, "witnesses");
    auto previousWitnesses = parseInstances(object, "previous_witnesses");
    auto standbys = parseInstances(object, "standbys");
    for (const auto &status :
         {first.status(), last.status(), term.status(), owner.status(), nextOwner.status(),
          witnesses.status(), previousWitnesses.status(), standbys.status()}) {
        if (!status.ok()) {
            return status;
        }
    }
    record.range = {*first, *last};
    record.term = *term;
    record.owner = *std::move(owner);
    record.nextOwner = *std::move(nextOwner);
    record.witnesses = *std::move(witnesses);
    record.previousWitnesses = *std::move(previousWitnesses);
    record.standbys = *std::move(standbys);
    if (auto status = checkInvariants(record); !status.ok()) {
        return status;
    }
    return record;
}

} // namespace

std::string_view serviceOfPartition(std::string_view partition)
{
    return partition.substr(0, partition.find('/'));
}

std::string placementKey(std::string_view partition)
{
    return absl::StrCat("placement/", toAbsl(partition));
}

std::string encodeRecord(const placement_record &record)
{
    Object object;
    object.set("partition", record.partition);
    object.set("first", hashToString(record.range.first));
    object.set("last", hashToString(record.range.last));
    object.set("owner", encodeInstance(record.owner));
    object.set("term", hashToString(record.term));
    object.set("witnesses", encodeInstances(record.witnesses));
    object.set("previous_witnesses", encodeInstances(record.previousWitnesses));
    object.set("standbys", encodeInstances(record.standbys));
    object.set("next_owner", encodeInstance(record.nextOwner));
    return renderJson(object);
}

absl::StatusOr<placement_record> decodeRecord(std::string_view text)
{
    return decodeJson(text, "placement record", decodeObject);
}

} // namespace persimmonrail
