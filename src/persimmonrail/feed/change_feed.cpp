#include "persimmonrail/feed/change_feed.h"

#include "persimmonrail/objects/object_version.h"

#include <algorithm>
#include <set>
#include <vector>

namespace persimmonrail {
namespace {

// The store responds to a watching daemon about every 1.5 s, even if nothing changes. A daemon with
// several responses overdue may have lost its connection to the store.
constexpr milliseconds maxConfirmationAge{7000};

} // namespace

change_feed::change_feed(uint64_t id)
    : m_id(id)
{ }

void change_feed::put(const stored_object &object)
{
    if (epochOf(object.version) < epochOf(m_revision)) {
        return;
    }
    entry &stored = m_entries[object.key];
    if (stored.object.version < object.version) {
        stored = {object, ++m_position};
    }
}

void change_feed::remove(const std::string &key)
{
    if (m_entries.erase(key) > 0) {
        // The feed does not pass on removals. The new id invalidates all cursors, so that the
        // followers list the store.
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
    for (const auto &[key, stored] : m_entries) {
        if (!listed.contains(key) && stored.object.version <= objects.revision) {
            missing.push_back(key);
        }
    }
    for (const std::string &key : missing) {
        remove(key);
    }
    if (epochOf(objects.revision) > epochOf(m_revision)) {
        ++m_id;
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

void change_feed::applyObject(const stored_object &object)
{
    const std::lock_guard lock(m_mutex);
    put(object);
    m_changed.notify_all();
}

void change_feed::confirm(boot_time confirmedAt)
{
    const std::lock_guard lock(m_mutex);
    m_confirmedAt = std::max(m_confirmedAt, confirmedAt);
}

void change_feed::notice(const std::string &prefix, uint64_t version, boot_time confirmedAt)
{
    const std::lock_guard lock(m_mutex);
    known_change &known = m_noticed[prefix];
    known.confirmedAt = std::max(known.confirmedAt, confirmedAt);
    if (version > known.version) {
        known.version = version;
        ++m_position;
        m_changed.notify_all();
    }
}

feed_changes change_feed::collectChanges(uint64_t position, uint64_t revision, boot_time now) const
{
    feed_changes result;
    result.changes.age = std::chrono::ceil<milliseconds>(now - m_confirmedAt);
    result.changes.revision = m_revision;
    result.cursor = {m_id, m_position};
    for (const auto &[key, stored] : m_entries) {
        if (stored.position > position && stored.object.version > revision) {
            result.changes.objects.push_back(stored.object);
        }
    }
    for (const auto &[prefix, known] : m_noticed) {
        result.notices.push_back(
            {prefix, known.version, std::chrono::ceil<milliseconds>(now - known.confirmedAt)});
    }
    return result;
}

absl::StatusOr<feed_changes> change_feed::changesAfter(const feed_cursor &cursor, uint64_t revision,
                                                       boot_time now, steady_time until)
{
    std::unique_lock lock(m_mutex);
    const auto isCursorValid = [&] { return cursor.feed == 0 || cursor.feed == m_id; };
    if (m_isStopped || now - m_confirmedAt >= maxConfirmationAge) {
        return absl::UnavailableError("this daemon has received no recent response from the store");
    }
    if (cursor.feed != 0 && isCursorValid()) {
        m_changed.wait_until(lock, until, [&] {
            return m_isStopped || m_position > cursor.position || !isCursorValid();
        });
    }
    if (!isCursorValid()) {
        return absl::OutOfRangeError("the cursor belongs to another feed");
    }
    if (cursor.feed == 0 && epochOf(revision) < epochOf(m_revision)) {
        return absl::OutOfRangeError("the store was restored from a copy");
    }
    return cursor.feed == 0 ? collectChanges(0, revision, now)
                            : collectChanges(cursor.position, 0, now);
}

void change_feed::stop()
{
    const std::lock_guard lock(m_mutex);
    m_isStopped = true;
    m_changed.notify_all();
}

} // namespace persimmonrail
