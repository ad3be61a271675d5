#include "persimmonrail/proxy/upstream_picker.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "persimmonrail/base/text.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Assumed until an upstream has been measured.
constexpr double assumedServiceSeconds = 0.05;
// Entries of upstreams that no directory names any more are dropped beyond this number.
constexpr size_t maxEntries = 4096;

} // namespace

std::string encodeQueueReport(const queue_report &report)
{
    return absl::StrCat(report.running, ",", report.waiting, ",", report.limit, ",",
                        report.meanServiceTime.count());
}

std::optional<queue_report> parseQueueReport(std::string_view text)
{
    const std::vector<std::string> fields = absl::StrSplit(toAbsl(text), ',');
    queue_report report;
    int64_t service = 0;
    if (fields.size() != 4 || !absl::SimpleAtoi(fields[0], &report.running)
        || !absl::SimpleAtoi(fields[1], &report.waiting)
        || !absl::SimpleAtoi(fields[2], &report.limit) || !absl::SimpleAtoi(fields[3], &service)
        || report.running < 0 || report.waiting < 0 || report.limit < 1 || service < 0) {
        return std::nullopt;
    }
    report.meanServiceTime = std::chrono::microseconds(service);
    return report;
}

upstream_picker::upstream_picker(std::string availabilityZone, random_source random,
                                 upstream_picker_options options)
    : m_availabilityZone(std::move(availabilityZone))
    , m_options(options)
    , m_random(std::move(random))
{ }

double upstream_picker::expectedTime(const upstream_member &member, steady_time now) const
{
    const auto found = m_entries.find(member.id);
    double service = assumedServiceSeconds;
    double outstanding = 1;
    double limit = std::max(member.slots, 1);
    if (found != m_entries.end()) {
        const entry &known = found->second;
        outstanding += known.inFlight;
        if (known.report) {
            const double age = std::chrono::duration<double>(now - known.reportedAt).count();
            const double memory = std::chrono::duration<double>(m_options.reportMemory).count();
            const double weight = std::max(0.0, 1 - age / memory);
            outstanding += weight * (known.report->running + known.report->waiting);
            limit = known.report->limit;
            if (known.report->meanServiceTime.count() > 0) {
                service = std::chrono::duration<double>(known.report->meanServiceTime).count();
            }
        }
    }
    const double load = outstanding / limit;
    const double zone =
        member.availabilityZone == m_availabilityZone ? 1 : m_options.otherZoneFactor;
    return zone * service * (1 + load * load);
}

const upstream_member *upstream_picker::pick(const std::vector<const upstream_member *> &members,
                                             const std::vector<upstream_id> &tried, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<const upstream_member *> sound;
    std::vector<const upstream_member *> penalized;
    for (const upstream_member *member : members) {
        if (std::find(tried.begin(), tried.end(), member->id) != tried.end()) {
            continue;
        }
        const auto known = m_entries.find(member->id);
        const bool isSound = known == m_entries.end() || now >= known->second.penaltyEnd;
        (isSound ? sound : penalized).push_back(member);
    }
    std::vector<const upstream_member *> &candidates = sound.empty() ? penalized : sound;
    if (candidates.empty()) {
        return nullptr;
    }
    std::swap(candidates.front(), candidates[randomBelow(m_random, candidates.size())]);
    const upstream_member *chosen = candidates.front();
    if (candidates.size() > 1) {
        const upstream_member *other = candidates[1 + randomBelow(m_random, candidates.size() - 1)];
        if (expectedTime(*other, now) < expectedTime(*chosen, now)) {
            chosen = other;
        }
    }
    entry &known = m_entries[chosen->id];
    ++known.inFlight;
    if (known.failures > 0) {
        // One request at a time finds out whether it is back.
        known.penaltyEnd = std::max(known.penaltyEnd, now + m_options.initialPenalty);
    }
    return chosen;
}

void upstream_picker::begin(const upstream_id &id)
{
    const std::lock_guard lock(m_mutex);
    ++m_entries[id].inFlight;
}

void upstream_picker::finish(const upstream_id &id, result how,
                             const std::optional<queue_report> &report, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    entry &known = m_entries[id];
    known.inFlight = std::max(0, known.inFlight - 1);
    if (report) {
        known.report = report;
        known.reportedAt = now;
    }
    if (how == result::Reached) {
        known.failures = 0;
        known.penaltyEnd = {};
    } else if (how == result::Failed) {
        const int doublings = std::min(known.failures++, 8);
        known.penaltyEnd =
            now + std::min(m_options.maxPenalty, m_options.initialPenalty * (1 << doublings));
    }
    if (m_entries.size() > maxEntries) {
        std::erase_if(m_entries, [](const auto &item) { return item.second.inFlight == 0; });
    }
}

bool upstream_picker::isPenalized(const upstream_id &id, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto known = m_entries.find(id);
    return known != m_entries.end() && now < known->second.penaltyEnd;
}

} // namespace persimmonrail
