#pragma once

#include "persimmonrail/sync/object_replica.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmonrail {

// Builds views and keeps the last good version of each object in them.
//
// A view of the largest fleet takes about 45 ms to copy, too much for each change. The view before
// the current one is therefore brought up to date and used again, once nobody else holds it; only
// if somebody still does is the current one copied.
//
// Belongs to the control thread.
class view_builder
{
public:
    explicit view_builder(object_replica::hooks hooks);

    void noteChanged(const std::string &key) { m_changed.insert(key); }
    // `find` returns the newest version of an object, tombstones included.
    std::shared_ptr<const fleet_view>
    build(uint64_t revision, const std::function<const stored_object *(std::string_view)> &find);

private:
    // The new content of one object; std::monostate if it is deleted.
    struct update
    {
        std::string key;
        std::variant<std::monostate, member_record, std::shared_ptr<const service_document>,
                     versioned_record>
            content;
    };

    std::vector<update>
    decodeChanges(const std::function<const stored_object *(std::string_view)> &find);
    absl::StatusOr<update> decode(const stored_object &object) const;
    std::shared_ptr<fleet_view> takeSpare();
    static update contentOf(const fleet_view &view, const std::string &key);
    static void apply(fleet_view &view, std::vector<update> updates);

    object_replica::hooks m_hooks;
    std::set<std::string> m_changed;
    std::shared_ptr<fleet_view> m_current;
    // The view before the current one, and the keys in which they differ.
    std::shared_ptr<fleet_view> m_spare;
    std::vector<std::string> m_spareDiffers;
};

} // namespace persimmonrail
