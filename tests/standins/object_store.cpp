#include "standins/object_store.h"

#include <algorithm>
#include <set>

namespace standins {

using persimmonrail::stored_object;

namespace {

// Bounds the memory of the change log; older changes are compacted.
constexpr size_t maxLoggedChanges = 100'000;

} // namespace

bool rate_window::admit(std::chrono::steady_clock::time_point now, uint64_t limit, uint64_t ongoing)
{
    if (!m_start || now - *m_start >= std::chrono::seconds(1)) {
        m_start = now;
        m_admitted = ongoing;
    }
    if (m_admitted >= limit) {
        return false;
    }
    ++m_admitted;
    return true;
}

const stored_object *object_store::find(const std::string &key) const
{
    const auto found = m_objects.find(key);
    return found == m_objects.end() ? nullptr : &found->second;
}

bool object_store::hasVersion(const std::string &key, uint64_t expectedVersion) const
{
    const auto *object = find(key);
    return (object == nullptr ? 0 : object->version) == expectedVersion;
}

object_store::write_result object_store::put(const std::string &key, uint64_t expectedVersion,
                                             const std::string &value)
{
    if (!hasVersion(key, expectedVersion)) {
        const auto *object = find(key);
        return {false, object == nullptr ? 0 : object->version};
    }
    const stored_object object{key, ++m_revision, false, value};
    m_objects[key] = object;
    appendChange(object);
    return {true, m_revision};
}

object_store::write_result object_store::remove(const std::string &key, uint64_t expectedVersion)
{
    // Version 0 stands for a missing object, which can't be deleted.
    if (expectedVersion == 0 || !hasVersion(key, expectedVersion)) {
        const auto *object = find(key);
        return {false, object == nullptr ? 0 : object->version};
    }
    m_objects.erase(key);
    appendChange({key, ++m_revision, true, ""});
    return {true, m_revision};
}

std::vector<stored_object> object_store::list(const std::string &prefix) const
{
    std::vector<stored_object> objects;
    for (auto it = m_objects.lower_bound(prefix);
         it != m_objects.end() && it->first.starts_with(prefix); ++it) {
        objects.push_back(it->second);
    }
    return objects;
}

std::optional<std::vector<stored_object>> object_store::changes(const std::string &prefix,
                                                                uint64_t revision) const
{
    if (revision < m_compactedRevision) {
        return std::nullopt;
    }
    std::vector<stored_object> found;
    std::set<std::string> seenKeys;
    for (auto it = m_changeLog.rbegin(); it != m_changeLog.rend() && it->version > revision; ++it) {
        if (it->key.starts_with(prefix) && seenKeys.insert(it->key).second) {
            found.push_back(*it);
        }
    }
    std::reverse(found.begin(), found.end());
    return found;
}

void object_store::appendChange(const stored_object &change)
{
    m_changeLog.push_back(change);
    if (m_changeLog.size() > maxLoggedChanges) {
        m_compactedRevision = m_changeLog.front().version;
        m_changeLog.pop_front();
    }
}

void object_store::compact()
{
    m_compactedRevision = m_revision;
    m_changeLog.clear();
}

} // namespace standins
