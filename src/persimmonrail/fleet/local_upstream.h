#pragma once

#include "persimmonrail/fleet/upstream_member.h"

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// Settings of the failure detection of the local upstream.
struct local_upstream_options
{
    // Interval at which the upstream sends reports.
    milliseconds reportInterval{1000};
    // Number of missed reports in a row after which the upstream counts as unresponsive.
    int maxMissedReports = 3;
};

// State of the local upstream, as far as its daemon knows.
enum class upstream_phase {
    // The daemon has received no report yet, or the upstream is known to have ended.
    Absent,
    // The upstream accepts requests.
    Ready,
    // The upstream has announced its shutdown and accepts no new requests.
    Draining,
    // The upstream is unresponsive: reports are overdue and no request has succeeded meanwhile. The
    // upstream may have stopped, or only its reports may be delayed.
    Silent,
};

// Tracks the phase of the local upstream by its reports and by the results of requests. Reads no
// clock and does no I/O. Not thread safe.
class local_upstream
{
public:
    explicit local_upstream(local_upstream_options options = {});

    // Effect of an event on the tracked state.
    enum class verdict {
        // The incarnation, the phase, the slots, the address or the service has changed.
        Changed,
        Unchanged,
        // The event belongs to another incarnation than the present one, or is no newer than the
        // newest report of the present one. The event was ignored.
        Stale,
        // The event announces the shutdown of an incarnation that has not reported. Its reports
        // will not make it ready.
        Remembered,
    };
    // Handles a report. A report of another incarnation that did not start earlier than the present
    // one replaces the present one. An incarnation that has announced its shutdown, also before its
    // first report, or has ended does not become ready again.
    verdict onReport(const upstream_report &report, steady_time now);
    // Handles the announcement that the upstream shuts down and sends no further reports. An `id`
    // without a start time stands for the present incarnation of that name.
    verdict onShutdownAnnounced(const upstream_id &id, steady_time now);
    // Handles the member entry of an incarnation at `address`, which tells a daemon that has just
    // started what its predecessor knew: an incarnation whose entry says so has announced its
    // shutdown; one of which only the announcement has arrived becomes the present one, draining.
    verdict onMemberEntry(const upstream_member &entry, const std::string &address,
                          steady_time now);
    // Handles a refused connection to the upstream's address, which shows that its process has
    // ended.
    verdict onConnectionRefused(steady_time now);
    // Forgets an incarnation of which only late messages have arrived, so that the next report of
    // any other one is accepted.
    void forget();
    // Handles a response to a request. An unresponsive upstream becomes ready again, since only its
    // reports are delayed.
    void onResponse(steady_time now);
    // Marks a ready upstream as unresponsive if both its reports and its responses are overdue.
    // Returns whether the phase changed.
    bool expire(steady_time now);

    upstream_phase phase() const { return m_phase; }
    bool acceptsRequests() const { return m_phase == upstream_phase::Ready; }
    // Returns whether the incarnation, or a later one of the same name, has announced its shutdown.
    bool hasAnnouncedShutdown(const upstream_id &id) const;
    // Returns the names of the present upstream and of those that have announced their shutdown.
    std::vector<std::string> names() const;
    // Returns the newest report; empty before the first one.
    const std::optional<upstream_report> &report() const { return m_report; }
    // Returns when the newest report or the announcement of the shutdown arrived.
    steady_time lastReportAt() const { return m_lastReportAt; }

private:
    // Returns whether the report is from an incarnation that started before the present one.
    bool isOfEarlierIncarnation(const upstream_report &report) const;
    // Returns the latest incarnation of this name that has announced its shutdown, or null.
    const upstream_id *findAnnouncedShutdown(const std::string &name) const;
    void rememberShutdown(const upstream_id &id);
    // Makes the present incarnation drain, unless it has ended.
    verdict drain(steady_time now);

    const local_upstream_options m_options;
    upstream_phase m_phase = upstream_phase::Absent;
    std::optional<upstream_report> m_report;
    // Latest incarnation of each name that has announced its shutdown, the newest announcement
    // last.
    std::deque<upstream_id> m_announcedShutdowns;
    steady_time m_lastReportAt{};
    steady_time m_lastResponseAt{};
};

// Returns "absent", "ready", "draining" or "silent".
std::string_view toString(upstream_phase phase);

} // namespace persimmonrail
