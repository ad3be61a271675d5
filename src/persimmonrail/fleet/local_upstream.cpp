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
    const bool isSameLife = m_report && report.id == m_report->id;
    if (isSameLife && report.sequence <= m_report->sequence) {
        return verdict::Stale;
    }
    // A life that has ended or said that it leaves does not come back.
    const bool hasLeft =
        isSameLife && (m_phase == upstream_phase::Draining || m_phase == upstream_phase::Absent);
    const upstream_phase before = m_phase;
    const bool sameFigures = isSameLife && report.slots == m_report->slots
        && report.address == m_report->address && report.service == m_report->service;
    m_report = report;
    m_reportedAt = now;
    if (!hasLeft) {
        m_phase = report.isDraining ? upstream_phase::Draining : upstream_phase::Ready;
    }
    return sameFigures && m_phase == before ? verdict::Unchanged : verdict::Changed;
}

local_upstream::verdict local_upstream::onDeparture(const upstream_id &id, steady_time now)
{
    if (!m_report || id.name != m_report->id.name
        || (id.startedAt != 0 && id.startedAt != m_report->id.startedAt)) {
        return verdict::Stale;
    }
    m_reportedAt = now;
    if (m_phase == upstream_phase::Draining || m_phase == upstream_phase::Absent) {
        return verdict::Unchanged;
    }
    m_phase = upstream_phase::Draining;
    return verdict::Changed;
}

local_upstream::verdict local_upstream::onRefusedConnection(steady_time)
{
    if (m_phase == upstream_phase::Absent) {
        return verdict::Unchanged;
    }
    m_phase = upstream_phase::Absent;
    return verdict::Changed;
}

void local_upstream::onResponse(steady_time now)
{
    m_respondedAt = std::max(m_respondedAt, now);
    if (m_phase == upstream_phase::Silent) {
        m_phase = upstream_phase::Ready;
    }
}

bool local_upstream::expire(steady_time now)
{
    const auto limit = m_options.reportInterval * m_options.missedReports;
    if (m_phase != upstream_phase::Ready || now - m_reportedAt < limit
        || now - m_respondedAt < limit) {
        return false;
    }
    m_phase = upstream_phase::Silent;
    return true;
}

} // namespace persimmonrail
