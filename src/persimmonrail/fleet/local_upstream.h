#pragma once

#include "persimmonrail/fleet/upstream_member.h"

#include <optional>

namespace persimmonrail {

struct local_upstream_options
{
    // Time between two reports.
    milliseconds reportInterval{1000};
    // Reports that may be missed before the upstream counts as silent.
    int missedReports = 3;
};

enum class upstream_phase {
    // Nothing was heard of an upstream, or it is known to have ended.
    Absent,
    // Takes work.
    Ready,
    // Announced that it leaves; takes no new work.
    Draining,
    // Reports are overdue. It may have stopped, or only its reports are held up.
    Silent,
};

// What the daemon believes of the upstream beside it. No clock, no I/O. Not thread safe.
class local_upstream
{
public:
    explicit local_upstream(local_upstream_options options = {});

    enum class verdict {
        // The belief changed: another life, another phase or other figures.
        Changed,
        Unchanged,
        // From an earlier life, or older than the newest report of this one.
        Stale,
    };
    verdict onReport(const upstream_report &report, steady_time now);
    // The upstream says that it leaves and sends no further reports. `id` without a start time
    // speaks for the present life of that name.
    verdict onDeparture(const upstream_id &id, steady_time now);
    // A connection to its address was refused: the process is gone.
    verdict onRefusedConnection(steady_time now);
    // Requests succeed although reports are overdue.
    void onResponse(steady_time now);
    // Notes overdue reports; returns whether the phase changed.
    bool expire(steady_time now);

    upstream_phase phase() const { return m_phase; }
    bool acceptsRequests() const { return m_phase == upstream_phase::Ready; }
    // The newest report; empty before the first one.
    const std::optional<upstream_report> &report() const { return m_report; }
    steady_time lastReportAt() const { return m_reportedAt; }

private:
    bool isOfEarlierIncarnation(const upstream_report &report) const;

    const local_upstream_options m_options;
    upstream_phase m_phase = upstream_phase::Absent;
    std::optional<upstream_report> m_report;
    steady_time m_reportedAt{};
    steady_time m_respondedAt{};
};

std::string_view toString(upstream_phase phase);

} // namespace persimmonrail
