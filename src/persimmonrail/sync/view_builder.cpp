#include "persimmonrail/sync/view_builder.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

constexpr std::string_view memberPrefix = "member/";
constexpr std::string_view acceptedPrefix = "accepted/";
constexpr std::string_view placementPrefix = "placement/";

template <typename Map> bool eraseKey(Map &map, std::string_view key)
{
    const auto entry = map.find(key);
    if (entry == map.end()) {
        return false;
    }
    map.erase(entry);
    return true;
}

absl::Status nameMismatch(std::string_view name)
{
    return absl::InvalidArgumentError(
        absl::StrCat("the value is that of another object: ", toAbsl(name)));
}

} // namespace

view_builder::view_builder(object_store::hooks hooks)
    : m_hooks(std::move(hooks))
{ }

std::shared_ptr<const fleet_view>
view_builder::build(uint64_t revision,
                    const std::function<const stored_object *(std::string_view)> &find)
{
    bool changed = !m_view;
    for (const auto &key : m_changed) {
        changed = update(key, find(key)) || changed;
    }
    m_changed.clear();
    if (changed) {
        auto view = std::make_shared<fleet_view>(m_decoded);
        view->revision = revision;
        indexRecords(*view);
        m_view = std::move(view);
    }
    return m_view;
}

bool view_builder::update(std::string_view key, const stored_object *object)
{
    if (object == nullptr || object->deleted) {
        if (key.starts_with(memberPrefix)) {
            return eraseKey(m_decoded.members, key.substr(memberPrefix.size()));
        }
        if (key.starts_with(acceptedPrefix)) {
            return eraseKey(m_decoded.documents, key.substr(acceptedPrefix.size()));
        }
        return key.starts_with(placementPrefix)
            && eraseKey(m_decoded.records, key.substr(placementPrefix.size()));
    }
    if (!key.starts_with(memberPrefix) && !key.starts_with(acceptedPrefix)
        && !key.starts_with(placementPrefix)) {
        return false;
    }
    const auto status = decode(*object);
    if (!status.ok() && m_hooks.undecodable) {
        m_hooks.undecodable(*object, status);
    }
    return status.ok();
}

absl::Status view_builder::decode(const stored_object &object)
{
    const std::string_view key = object.key;
    if (key.starts_with(memberPrefix)) {
        auto member = decodeMember(object.value);
        if (!member.ok()) {
            return member.status();
        }
        if (member->id.name != key.substr(memberPrefix.size())) {
            return nameMismatch(member->id.name);
        }
        std::string name = member->id.name;
        m_decoded.members.insert_or_assign(std::move(name), *std::move(member));
        return absl::OkStatus();
    }
    if (key.starts_with(acceptedPrefix)) {
        auto document = m_hooks.parseDocument(object.value);
        if (!document.ok()) {
            return document.status();
        }
        if (document->service != key.substr(acceptedPrefix.size())) {
            return nameMismatch(document->service);
        }
        std::string service = document->service;
        m_decoded.documents.insert_or_assign(
            std::move(service), std::make_shared<const service_document>(*std::move(document)));
        return absl::OkStatus();
    }
    auto record = decodeRecord(object.value);
    if (!record.ok()) {
        return record.status();
    }
    if (record->partition != key.substr(placementPrefix.size())) {
        return nameMismatch(record->partition);
    }
    std::string partition = record->partition;
    m_decoded.records.insert_or_assign(std::move(partition),
                                       versioned_record{*std::move(record), object.version});
    return absl::OkStatus();
}

} // namespace persimmonrail
