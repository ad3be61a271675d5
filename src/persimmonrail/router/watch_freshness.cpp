#include "persimmonrail/router/watch_freshness.h"

#include "persimmonrail/objects/object_version.h"

#include <set>

namespace persimmonrail {

store_progress progressOf(uint64_t from, const object_list &changes)
{
    store_progress progress{from, changes.revision, {}};
    for (const stored_object &object : changes.objects) {
        if (!object.deleted) {
            progress.versions.push_back(object.version);
        }
    }
    return progress;
}

watch_freshness::watch_freshness(watch_freshness_options options)
    : m_options(options)
{ }

void watch_freshness::onResponse(uint64_t revision, boot_time receivedAt)
{
    m_revision = std::max(m_revision, revision);
    m_respondedAt = std::max(m_respondedAt, receivedAt);
}

bool watch_freshness::onStoreProgress(const store_progress &progress, boot_time receivedAt)
{
    if (epochOf(progress.to) != epochOf(m_revision) || progress.from > m_revision) {
        return false;
    }
    std::set<uint64_t> others;
    for (const uint64_t version : progress.versions) {
        if (version > m_revision && version <= progress.to) {
            others.insert(version);
        }
    }
    if (progress.to > m_revision && others.size() != progress.to - m_revision) {
        return false;
    }
    onResponse(progress.to, receivedAt);
    m_progressedAt = std::max(m_progressedAt, receivedAt);
    return true;
}

void watch_freshness::onNotice(uint64_t version, boot_time confirmedAt, boot_time now)
{
    const bool wasBehind = isBehindNotice();
    m_noticedVersion = std::max(m_noticedVersion, version);
    m_noticeConfirmedAt = std::max(m_noticeConfirmedAt, confirmedAt);
    m_behindSince = wasBehind ? m_behindSince : now;
}

void watch_freshness::onNoticesEnded()
{
    m_noticeConfirmedAt = {};
}

void watch_freshness::onNoticeAnswered(uint64_t version)
{
    m_answeredVersion = std::max(m_answeredVersion, version);
}

watch_freshness::doubt watch_freshness::evaluate(boot_time now) const
{
    if (isBehindNotice() && now - m_behindSince >= m_options.noticeGrace) {
        return doubt::NewerNotice;
    }
    const bool isSilent = now - m_respondedAt >= m_options.maxSilence;
    return isSilent && !hasRecentNotice(now) ? doubt::Silence : doubt::None;
}

milliseconds watch_freshness::watchWait(boot_time now) const
{
    const bool hasProgressed =
        m_progressedAt != boot_time{} && now - m_progressedAt < m_options.maxSilence;
    return hasProgressed || hasRecentNotice(now)
        ? m_options.informedWait
        : std::min(m_options.uninformedWait, m_options.informedWait);
}

milliseconds watch_freshness::age(boot_time now) const
{
    const boot_time confirmedAt =
        isBehindNotice() ? m_respondedAt : std::max(m_respondedAt, m_noticeConfirmedAt);
    return std::chrono::duration_cast<milliseconds>(now - confirmedAt);
}

bool watch_freshness::hasRecentNotice(boot_time now) const
{
    return m_noticeConfirmedAt != boot_time{} && now - m_noticeConfirmedAt < m_options.maxNoticeAge;
}

bool watch_freshness::isBehindNotice() const
{
    return m_noticedVersion > std::max(m_revision, m_answeredVersion);
}

std::string_view toString(watch_freshness::doubt doubt)
{
    switch (doubt) {
    case watch_freshness::doubt::None:
        return "none";
    case watch_freshness::doubt::NewerNotice:
        return "newer-notice";
    case watch_freshness::doubt::Silence:
        return "silence";
    }
    return "none";
}

} // namespace persimmonrail
