#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/base/random_source.h"
#include "persimmonrail/fleet/upstream_member.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

// State of the queue in front of one upstream, as the daemon beside it reports it.
struct queue_report
{
    int running = 0;
    int waiting = 0;
    int limit = 0;
    // Mean time that a request takes.
    std::chrono::microseconds meanServiceTime{0};
};

std::string encodeQueueReport(const queue_report &report);
// Nothing if the text is no report.
std::optional<queue_report> parseQueueReport(std::string_view text);

struct upstream_picker_options
{
    // Pause after a failed attempt; doubles with each further one.
    milliseconds initialPenalty{250};
    milliseconds maxPenalty{4000};
    // A report loses its weight over this time.
    milliseconds reportMemory{500};
    // Factor on the expected time at an upstream in another availability zone: two crossings cost
    // a few percent of a request, and bytes between zones are paid for.
    double otherZoneFactor = 1.15;
};

// Chooses among the upstreams of one service by the time that a request can be expected to take
// there. Thread safe.
class upstream_picker
{
public:
    upstream_picker(std::string availabilityZone, random_source random,
                    upstream_picker_options options = {});

    // Chooses the better of two drawn at random among `members` that are not in `tried`, and counts
    // a request on it until finish(). Members under a penalty are chosen only if no other is left.
    // Null if none is left.
    const upstream_member *pick(const std::vector<const upstream_member *> &members,
                                const std::vector<upstream_id> &tried, steady_time now);
    // Counts a request on a member that was chosen otherwise.
    void begin(const upstream_id &id);

    enum class result {
        // It answered, or refused in order.
        Reached,
        // It could not be reached or fell silent.
        Failed,
        // Nothing follows about it.
        Neutral,
    };
    void finish(const upstream_id &id, result how, const std::optional<queue_report> &report,
                steady_time now);
    bool isPenalized(const upstream_id &id, steady_time now) const;

private:
    struct entry
    {
        int inFlight = 0;
        std::optional<queue_report> report;
        steady_time reportedAt{};
        int failures = 0;
        steady_time penaltyEnd{};
    };
    double expectedTime(const upstream_member &member, steady_time now) const;

    const std::string m_availabilityZone;
    const upstream_picker_options m_options;
    mutable std::mutex m_mutex;
    random_source m_random;
    std::map<upstream_id, entry> m_entries;
};

} // namespace persimmonrail
