#pragma once

#include "persimmonrail/sync/object_replica.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace persimmonrail {

// Builds fleet views. Each view contains the last valid version of each object.
//
// Copying a view of the largest fleet takes about 45 ms, which is too long for each change. The
// builder therefore updates and reuses the view before the current one if no other owner holds a
// reference to it, and copies the current view only otherwise.
//
// Not thread safe; used on the control thread only.
class view_builder
{
public:
    explicit view_builder(object_replica::hooks hooks);

    // Marks an object as changed, so that the next build() decodes the object.
    void markChanged(const std::string &key) { m_changedKeys.insert(key); }
    // Returns a view of the current objects, or the previous view if no object of the view has
    // changed. `find` returns the newest version of an object or its tombstone, or null if the key
    // is unknown.
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

    // Decodes the changed objects. Leaves out the objects that can't be decoded and reports them
    // through the hook.
    std::vector<update>
    decodeChanges(const std::function<const stored_object *(std::string_view)> &find);
    absl::StatusOr<update> decode(const stored_object &object) const;
    // Returns a view that equals the current one and has no other owner.
    std::shared_ptr<fleet_view> acquireNextView();
    // Returns an update that gives an object the content that it has in `view`.
    static update makeUpdate(const fleet_view &view, const std::string &key);
    static void apply(fleet_view &view, std::vector<update> updates);

    object_replica::hooks m_hooks;
    std::set<std::string> m_changedKeys;
    std::shared_ptr<fleet_view> m_current;
    // The view before the current one, and the keys of the objects in which the two differ.
    std::shared_ptr<fleet_view> m_previous;
    std::vector<std::string> m_changedSincePrevious;
};

} // namespace persimmonrail
