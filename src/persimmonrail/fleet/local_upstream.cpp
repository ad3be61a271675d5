#include "persimmonrail/fleet/local_upstream.h"

#include <algorithm>

namespace persimmonrail {

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
    // An incarnation that has ended or announced its shutdown does not become ready again.
    const bool hasDeparted = isSameIncarnation
        && (m_phase == upstream_phase::Draining || m_phase == upstream_phase::Absent);
    const upstream_phase previousPhase = m_phase;
    const bool hasSameValues = isSameIncarnation && report.slots == m_report->slots
        && report.address == m_report->address && report.service == m_report->service;
    m_report = report;
    m_lastReportAt = now;
    if (!hasDeparted) {
        m_phase = report.isDraining ? upstream_phase::Draining : upstream_phase::Ready;
    }
    return hasSameValues && m_phase == previousPhase ? verdict::Unchanged : verdict::Changed;
}

local_upstream::verdict local_upstream::onShutdownAnnounced(const upstream_id &id, steady_time now)
{
    if (!m_report || id.name != m_report->id.name
        || (id.startedAt != 0 && id.startedAt != m_report->id.startedAt)) {
        return verdict::Stale;
    }
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
