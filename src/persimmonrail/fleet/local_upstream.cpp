#include "persimmonrail/fleet/local_upstream.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// A host runs one upstream at a time, and reports are late by seconds.
constexpr size_t maxAnnouncedShutdowns = 16;

} // namespace

std::string_view toString(upstream_phase phase)
{
    switch (phase) {
    case upstream_phase::Absent:
        return "absent";
    case upstream_phase::Ready:
        return "ready";
    case upstream_phase::Draining:
        return "draining";
    case upstream_phase::Silent:
        return "silent";
    }
    return "absent";
}

local_upstream::local_upstream(local_upstream_options options)
    : m_options(options)
{ }

bool local_upstream::isOfEarlierIncarnation(const upstream_report &report) const
{
    return m_report && report.id.startedAt < m_report->id.startedAt;
}

local_upstream::verdict local_upstream::onReport(const upstream_report &report, steady_time now)
{
    if (isOfEarlierIncarnation(report)) {
        return verdict::Stale;
    }
    const bool isSameIncarnation = m_report && report.id == m_report->id;
    if (isSameIncarnation && report.sequence <= m_report->sequence) {
        return verdict::Stale;
    }
    if (report.isDraining) {
        rememberShutdown(report.id);
    }
    const bool hasEnded = isSameIncarnation && m_phase == upstream_phase::Absent;
    const bool isLeaving = hasAnnouncedShutdown(report.id)
        || (isSameIncarnation && m_phase == upstream_phase::Draining);
    const upstream_phase previousPhase = m_phase;
    const bool hasSameValues = isSameIncarnation && report.slots == m_report->slots
        && report.address == m_report->address && report.service == m_report->service;
    m_report = report;
    m_lastReportAt = now;
    if (!hasEnded) {
        m_phase = isLeaving ? upstream_phase::Draining : upstream_phase::Ready;
    }
    return hasSameValues && m_phase == previousPhase ? verdict::Unchanged : verdict::Changed;
}

local_upstream::verdict local_upstream::onShutdownAnnounced(const upstream_id &id, steady_time now)
{
    const bool isPresentName = m_report && id.name == m_report->id.name;
    if (isPresentName && (id.startedAt == 0 || id.startedAt == m_report->id.startedAt)) {
        rememberShutdown(m_report->id);
        return drain(now);
    }
    if (id.startedAt == 0 || (m_report && id.startedAt < m_report->id.startedAt)) {
        return verdict::Stale;
    }
    rememberShutdown(id);
    // The departure of a later incarnation shows that the present one of that name has ended.
    return isPresentName ? drain(now) : verdict::Remembered;
}

local_upstream::verdict local_upstream::onMemberEntry(const upstream_member &entry,
                                                      const std::string &address, steady_time now)
{
    if (entry.hasAnnouncedShutdown) {
        rememberShutdown(entry.id);
    }
    if (m_report) {
        const bool mayGetRequests =
            m_phase == upstream_phase::Ready || m_phase == upstream_phase::Silent;
        return mayGetRequests && hasAnnouncedShutdown(m_report->id) ? drain(now)
                                                                    : verdict::Unchanged;
    }
    if (entry.isTerminated || !hasAnnouncedShutdown(entry.id)) {
        return verdict::Unchanged;
    }
    upstream_report adopted;
    adopted.id = *findAnnouncedShutdown(entry.id.name);
    adopted.service = entry.service;
    adopted.address = address;
    adopted.availabilityZone = entry.availabilityZone;
    adopted.slots = entry.slots;
    adopted.isDraining = true;
    m_report = adopted;
    m_phase = upstream_phase::Draining;
    m_lastReportAt = now;
    return verdict::Changed;
}

local_upstream::verdict local_upstream::drain(steady_time now)
{
    m_lastReportAt = now;
    if (m_phase == upstream_phase::Draining || m_phase == upstream_phase::Absent) {
        return verdict::Unchanged;
    }
    m_phase = upstream_phase::Draining;
    return verdict::Changed;
}

local_upstream::verdict local_upstream::onConnectionRefused(steady_time)
{
    if (m_phase == upstream_phase::Absent) {
        return verdict::Unchanged;
    }
    m_phase = upstream_phase::Absent;
    return verdict::Changed;
}

const upstream_id *local_upstream::findAnnouncedShutdown(const std::string &name) const
{
    const auto found = std::find_if(m_announcedShutdowns.begin(), m_announcedShutdowns.end(),
                                    [&](const upstream_id &id) { return id.name == name; });
    return found == m_announcedShutdowns.end() ? nullptr : &*found;
}

bool local_upstream::hasAnnouncedShutdown(const upstream_id &id) const
{
    const upstream_id *announced = findAnnouncedShutdown(id.name);
    return announced != nullptr && id.startedAt <= announced->startedAt;
}

void local_upstream::rememberShutdown(const upstream_id &id)
{
    if (hasAnnouncedShutdown(id)) {
        return;
    }
    std::erase_if(m_announcedShutdowns,
                  [&](const upstream_id &announced) { return announced.name == id.name; });
    m_announcedShutdowns.push_back(id);
    if (m_announcedShutdowns.size() > maxAnnouncedShutdowns) {
        m_announcedShutdowns.pop_front();
    }
}

std::vector<std::string> local_upstream::names() const
{
    std::vector<std::string> result;
    for (const upstream_id &id : m_announcedShutdowns) {
        result.push_back(id.name);
    }
    if (m_report && findAnnouncedShutdown(m_report->id.name) == nullptr) {
        result.push_back(m_report->id.name);
    }
    return result;
}

void local_upstream::forget()
{
    m_report.reset();
    m_phase = upstream_phase::Absent;
}

void local_upstream::onResponse(steady_time now)
{
    m_lastResponseAt = std::max(m_lastResponseAt, now);
    if (m_phase == upstream_phase::Silent) {
        m_phase = upstream_phase::Ready;
    }
}

bool local_upstream::expire(steady_time now)
{
    const auto timeout = m_options.reportInterval * m_options.maxMissedReports;
    if (m_phase != upstream_phase::Ready || now - m_lastReportAt < timeout
        || now - m_lastResponseAt < timeout) {
        return false;
    }
    m_phase = upstream_phase::Silent;
    return true;
}

} // namespace persimmonrail
