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
        m_tombstones -= known.deleted ? 1 : 0;
    }
    known = std::move(object);
    if (known.deleted) {
        known.value.clear();
        m_arrivals.push_back({now, known.version, known.key});
        ++m_tombstones;
    }
    m_byVersion.insert(&known);
    return true;
}

const stored_object *versioned_objects::find(std::string_view key) const
{
    const auto entry = m_byKey.find(key);
    return entry == m_byKey.end() ? nullptr : &entry->second;
}

uint64_t versioned_objects::fill(wire::PullReply &reply, uint64_t after, uint64_t complete) const
{
    stored_object bound;
    bound.version = after + 1;
    size_t bytes = 0;
    uint64_t last = after;
    for (auto entry = m_byVersion.lower_bound(&bound); entry != m_byVersion.end(); ++entry) {
        const auto &object = **entry;
        // Objects that a list showed as deleted share one version and must not be separated.
        const bool separable = object.version != last && last != after;
        const size_t size = object.key.size() + object.value.size();
        if (separable && bytes + size > pullReplyBytes) {
            return last;
        }
        auto *added = reply.add_objects();
        added->set_key(object.key);
        added->set_version(object.version);
        added->set_deleted(object.deleted);
        added->set_value(object.value);
        bytes += size;
        last = object.version;
    }
    return complete;
}

uint64_t versioned_objects::expire(steady_time now,
                                   const std::function<bool(size_t, milliseconds)> &drop)
{
    uint64_t highest = 0;
    while (!m_arrivals.empty()) {
        const auto &oldest = m_arrivals.front();
        const auto entry = m_byKey.find(oldest.key);
        const bool current = entry != m_byKey.end() && entry->second.deleted
            && entry->second.version == oldest.version;
        if (current) {
            const auto age = std::chrono::duration_cast<milliseconds>(now - oldest.at);
            if (!drop(m_tombstones, age)) {
                break;
            }
            highest = std::max(highest, oldest.version);
            m_byVersion.erase(&entry->second);
            m_byKey.erase(entry);
            --m_tombstones;
        }
        m_arrivals.pop_front();
    }
    return highest;
}

} // namespace persimmonrail
