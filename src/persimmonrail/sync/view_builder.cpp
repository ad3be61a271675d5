#include "persimmonrail/sync/view_builder.h"

#include "persimmonrail/base/text.h"

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

constexpr std::string_view memberPrefix = "member/";
constexpr std::string_view acceptedPrefix = "accepted/";
constexpr std::string_view placementPrefix = "placement/";

bool isInView(std::string_view key)
{
    return key.starts_with(memberPrefix) || key.starts_with(acceptedPrefix)
        || key.starts_with(placementPrefix);
}

// Returns the key without its prefix.
std::string nameFromKey(std::string_view key)
{
    return std::string(key.substr(key.find('/') + 1));
}

absl::Status nameMismatchError(std::string_view name)
{
    return absl::InvalidArgumentError(
        absl::StrCat("the value belongs to another object: ", toAbsl(name)));
}

} // namespace

view_builder::view_builder(object_replica::hooks hooks)
    : m_hooks(std::move(hooks))
{ }

std::shared_ptr<const fleet_view>
view_builder::build(uint64_t revision,
                    const std::function<const stored_object *(std::string_view)> &find)
{
    auto updates = decodeChanges(find);
    if (m_current && updates.empty()) {
        return m_current;
    }
    std::vector<std::string> keys;
    keys.reserve(updates.size());
    for (const auto &update : updates) {
        keys.push_back(update.key);
    }
    auto next = acquireNextView();
    apply(*next, std::move(updates));
    next->revision = revision;
    m_previous = std::move(m_current);
    m_changedSincePrevious = std::move(keys);
    m_current = std::move(next);
    return m_current;
}

std::vector<view_builder::update>
view_builder::decodeChanges(const std::function<const stored_object *(std::string_view)> &find)
{
    std::vector<update> updates;
    for (const auto &key : m_changedKeys) {
        if (!isInView(key)) {
            continue;
        }
        const auto *object = find(key);
        if (object == nullptr || object->deleted) {
            updates.push_back({key, std::monostate()});
            continue;
        }
        auto decoded = decode(*object);
        if (decoded.ok()) {
            updates.push_back(*std::move(decoded));
        } else if (m_hooks.onDecodeFailure) {
            m_hooks.onDecodeFailure(*object, decoded.status());
        }
    }
    m_changedKeys.clear();
    return updates;
}

absl::StatusOr<view_builder::update> view_builder::decode(const stored_object &object) const
{
    const std::string name = nameFromKey(object.key);
    if (object.key.starts_with(memberPrefix)) {
        auto member = decodeMember(object.value);
        if (!member.ok()) {
            return member.status();
        }
        if (member->id.name != name) {
            return nameMismatchError(member->id.name);
        }
        return update{object.key, *std::move(member)};
    }
    if (object.key.starts_with(acceptedPrefix)) {
        auto document = m_hooks.parseDocument(object.value);
        if (!document.ok()) {
            return document.status();
        }
        if (document->service != name) {
            return nameMismatchError(document->service);
        }
        return update{object.key, std::make_shared<const service_document>(*std::move(document))};
    }
    auto record = decodeRecord(object.value);
    if (!record.ok()) {
        return record.status();
    }
    if (record->partition != name) {
        return nameMismatchError(record->partition);
    }
    return update{object.key, versioned_record{*std::move(record), object.version}};
}

std::shared_ptr<fleet_view> view_builder::acquireNextView()
{
    if (!m_current) {
        return std::make_shared<fleet_view>();
    }
    if (m_previous && m_previous.use_count() == 1) {
        // Releasing a copy synchronizes with the release by the last other owner, and so orders the
        // reads by that owner before the changes made here. A fence would be enough, but
        // ThreadSanitizer does not recognize fences.
        std::shared_ptr<fleet_view>(m_previous).reset();
        std::vector<update> updates;
        updates.reserve(m_changedSincePrevious.size());
        for (const auto &key : m_changedSincePrevious) {
            updates.push_back(makeUpdate(*m_current, key));
        }
        apply(*m_previous, std::move(updates));
        return std::move(m_previous);
    }
    auto copy = std::make_shared<fleet_view>(*m_current);
    indexRecords(*copy);
    return copy;
}

view_builder::update view_builder::makeUpdate(const fleet_view &view, const std::string &key)
{
    const std::string name = nameFromKey(key);
    if (key.starts_with(memberPrefix)) {
        const auto entry = view.members.find(name);
        return entry == view.members.end() ? update{key, std::monostate()}
                                           : update{key, entry->second};
    }
    if (key.starts_with(acceptedPrefix)) {
        const auto entry = view.documents.find(name);
        return entry == view.documents.end() ? update{key, std::monostate()}
                                             : update{key, entry->second};
    }
    const auto entry = view.records.find(name);
    return entry == view.records.end() ? update{key, std::monostate()} : update{key, entry->second};
}

void view_builder::apply(fleet_view &view, std::vector<update> updates)
{
    std::set<std::string> services;
    for (auto &update : updates) {
        const std::string name = nameFromKey(update.key);
        if (auto *member = std::get_if<member_record>(&update.content)) {
            view.members.insert_or_assign(name, std::move(*member));
        } else if (auto *document =
                       std::get_if<std::shared_ptr<const service_document>>(&update.content)) {
            view.documents.insert_or_assign(name, std::move(*document));
        } else if (auto *record = std::get_if<versioned_record>(&update.content)) {
            view.records.insert_or_assign(name, std::move(*record));
            services.emplace(serviceOfPartition(name));
        } else if (update.key.starts_with(memberPrefix)) {
            view.members.erase(name);
        } else if (update.key.starts_with(acceptedPrefix)) {
            view.documents.erase(name);
        } else {
            view.records.erase(name);
            services.emplace(serviceOfPartition(name));
        }
    }
    for (const auto &service : services) {
        indexRecords(view, service);
    }
}

} // namespace persimmonrail
