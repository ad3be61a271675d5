#pragma once

#include "persimmonrail/sync/object_store.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>

namespace persimmonrail {

// Decodes the objects that a view consists of and keeps the last good version of each, so that a
// new view costs the decoding of what has changed and a copy.
//
// Belongs to the control thread.
class view_builder
{
public:
    explicit view_builder(object_store::hooks hooks);

    void noteChanged(const std::string &key) { m_changed.insert(key); }
    // `find` returns the newest version of an object, tombstones included.
    std::shared_ptr<const fleet_view>
    build(uint64_t revision, const std::function<const stored_object *(std::string_view)> &find);

private:
    bool update(std::string_view key, const stored_object *object);
    absl::Status decode(const stored_object &object);

    object_store::hooks m_hooks;
    std::set<std::string> m_changed;
    // Its index is not filled.
    fleet_view m_decoded;
    std::shared_ptr<const fleet_view> m_view;
};

} // namespace persimmonrail
