#include "persimmonrail/feed/change_feed.h"

#include <algorithm>
#include <set>
#include <vector>

namespace persimmonrail {
namespace {

// A daemon that follows the store is answered about every 5 s even if nothing changes; a second
// answer that is overdue means that it may be cut off.
constexpr milliseconds confirmationLife{7000};

} // namespace

change_feed::change_feed(uint64_t id)
    : m_id(id)
{ }

void change_feed::put(const stored_object &object)
{
    entry &known = m_entries[object.key];
    if (known.object.version < object.version) {
        known = {object, ++m_position};
    }
}

void change_feed::remove(const std::string &key)
{
    if (m_entries.erase(key) > 0) {
        // Removals are not told one by one: followers list the store.
        ++m_id;
    }
}

void change_feed::reset(const object_list &objects)
{
    const std::lock_guard lock(m_mutex);
    std::set<std::string> listed;
    for (const stored_object &object : objects.objects) {
        listed.insert(object.key);
        put(object);
    }
    std::vector<std::string> missing;
    for (const auto &[key, known] : m_entries) {
        if (!listed.contains(key) && known.object.version <= objects.revision) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        remove(key);
    }
    m_revision = std::max(m_revision, objects.revision);
    m_changed.notify_all();
}

void change_feed::apply(const object_list &changes)
{
    const std::lock_guard lock(m_mutex);
    for (const stored_object &object : changes.objects) {
        if (object.deleted) {
            remove(object.key);
        } else {
            put(object);
        }
    }
    m_revision = std::max(m_revision, changes.revision);
    m_changed.notify_all();
}

void change_feed::applyOne(const stored_object &object)
{
    const std::lock_guard lock(m_mutex);
    put(object);
    m_changed.notify_all();
}

void change_feed::confirm(steady_time now)
{
    const std::lock_guard lock(m_mutex);
    m_confirmedAt = std::max(m_confirmedAt, now);
}

feed_changes change_feed::collect(uint64_t position, uint64_t revision) const
{
    feed_changes found;
    found.changes.revision = m_revision;
    found.cursor = {m_id, m_position};
    for (const auto &[key, known] : m_entries) {
        if (known.position > position && known.object.version > revision) {
            found.changes.objects.push_back(known.object);
        }
    }
    return found;
}

absl::StatusOr<feed_changes> change_feed::changesAfter(const feed_cursor &cursor, uint64_t revision,
                                                       steady_time now, steady_time until)
{
    std::unique_lock lock(m_mutex);
    const auto isCurrent = [&] { return cursor.feed == 0 || cursor.feed == m_id; };
    if (m_stopping || now - m_confirmedAt >= confirmationLife) {
        return absl::UnavailableError("this daemon does not follow the store");
    }
    if (cursor.feed != 0 && isCurrent()) {
        m_changed.wait_until(lock, until, [&] {
            return m_stopping || m_position > cursor.position || !isCurrent();
        });
    }
    if (!isCurrent()) {
        return absl::OutOfRangeError("the feed began anew");
    }
    return cursor.feed == 0 ? collect(0, revision) : collect(cursor.position, 0);
}

void change_feed::stop()
{
    const std::lock_guard lock(m_mutex);
    m_stopping = true;
    m_changed.notify_all();
}

} // namespace persimmonrail
