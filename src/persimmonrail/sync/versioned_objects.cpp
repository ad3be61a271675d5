#include "persimmonrail/sync/versioned_objects.h"

#include "persimmonrail/sync/object_replica.h"

namespace persimmonrail {

bool versioned_objects::put(stored_object object, steady_time now)
{
    const auto [entry, isNew] = m_byKey.try_emplace(object.key);
    auto &known = entry->second;
    if (!isNew) {
        if (known.version >= object.version) {
            return false;
        }
        m_byVersion.erase(&known);
        m_tombstoneCount -= known.deleted ? 1 : 0;
    }
    known = std::move(object);
    if (known.deleted) {
        known.value.clear();
        m_tombstonesByArrival.push_back({now, known.version, known.key});
        ++m_tombstoneCount;
    }
    m_byVersion.insert(&known);
    return true;
}

const stored_object *versioned_objects::find(std::string_view key) const
{
    const auto entry = m_byKey.find(key);
    return entry == m_byKey.end() ? nullptr : &entry->second;
}

uint64_t versioned_objects::appendChanges(wire::PullReply &reply, uint64_t after,
                                          uint64_t revision) const
{
    stored_object lowerBound;
    lowerBound.version = after + 1;
    size_t bytes = 0;
    uint64_t lastVersion = after;
    for (auto entry = m_byVersion.lower_bound(&lowerBound); entry != m_byVersion.end(); ++entry) {
        const auto &object = **entry;
        // All deletions found by one list share one version, and a reply must contain all objects
        // of a version or none, because the next pull starts after that version.
        const bool canEndBefore = object.version != lastVersion && lastVersion != after;
        const size_t size = object.key.size() + object.value.size();
        if (canEndBefore && bytes + size > maxPullReplyBytes) {
            return lastVersion;
        }
        auto *added = reply.add_objects();
        added->set_key(object.key);
        added->set_version(object.version);
        added->set_deleted(object.deleted);
        added->set_value(object.value);
        bytes += size;
        lastVersion = object.version;
    }
    return revision;
}

uint64_t
versioned_objects::expireTombstones(steady_time now,
                                    const std::function<bool(size_t, milliseconds)> &shouldDrop)
{
    uint64_t highestDropped = 0;
    while (!m_tombstonesByArrival.empty()) {
        const auto &oldest = m_tombstonesByArrival.front();
        const auto entry = m_byKey.find(oldest.key);
        const bool isCurrent = entry != m_byKey.end() && entry->second.deleted
            && entry->second.version == oldest.version;
        if (isCurrent) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - oldest.arrivedAt);
            if (!shouldDrop(m_tombstoneCount, age)) {
                break;
            }
            highestDropped = std::max(highestDropped, oldest.version);
            m_byVersion.erase(&entry->second);
            m_byKey.erase(entry);
            --m_tombstoneCount;
        }
        m_tombstonesByArrival.pop_front();
    }
    return highestDropped;
}

} // namespace persimmonrail
