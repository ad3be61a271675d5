#include "persimmonrail/router/zone_load_monitor.h"

#include "persimmonrail/base/text.h"
#include "persimmonrail/routing/zone_summary.h"

#include <absl/strings/match.h>
#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <set>

namespace persimmonrail {
namespace {

constexpr char linePrefix[] = "arrivals;";
// Older counts say little about the present, and their upstream may have ended.
constexpr milliseconds maxArrivalAge{6000};
// Upstreams from which lines are kept until update() tells which exist.
constexpr size_t maxUpstreams = 1024;
constexpr double maxRate = 1e6;
// An upstream without a response for this long takes no requests; a single poll of a busy host may
// time out.
constexpr milliseconds unreachableAge{1500};
// Age given to the knowledge that no upstream of a zone can be reached. A daemon that still reaches
// one of them has a newer report, which prevails.
constexpr milliseconds unreachableZoneAge{2000};
// Assumed for an upstream that has ended no request yet, as by slot_queue.
constexpr double initialServiceSeconds = 0.05;

std::string encodeRates(const std::map<std::string, double> &rates)
{
    std::vector<std::string> parts;
    for (const auto &[zone, rate] : rates) {
        if (isPlainZoneName(zone)) {
            parts.push_back(absl::StrCat(zone, "=", absl::StrFormat("%.2f", rate)));
        }
    }
    return absl::StrJoin(parts, ",");
}

// Returns false if the text is malformed.
bool parseRates(const std::string &text, std::map<std::string, double> &rates)
{
    if (text.empty()) {
        return true;
    }
    for (const absl::string_view part : absl::StrSplit(text, ',')) {
        const std::vector<std::string> fields = absl::StrSplit(part, '=');
        double rate = 0;
        if (fields.size() != 2 || !isPlainZoneName(fields[0]) || !absl::SimpleAtod(fields[1], &rate)
            || !(rate >= 0 && rate <= maxRate)) {
            return false;
        }
        rates[fields[0]] = rate;
    }
    return true;
}

std::string encodeLine(const upstream_id &id, const std::map<std::string, double> &rates,
                       milliseconds age)
{
    return absl::StrCat("\n", linePrefix, id.name, ";", id.startedAt, ";", encodeRates(rates), ";",
                        age.count());
}

} // namespace

void zone_load_monitor::recordArrival(std::string_view zone, steady_time now)
{
    if (!isPlainZoneName(zone)) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_own.record(zone, now);
    m_hasArrivals = true;
}

void zone_load_monitor::readArrivals(std::string_view statuses, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    for (const absl::string_view line : absl::StrSplit(toAbsl(statuses), '\n')) {
        if (absl::StartsWith(line, linePrefix)) {
            readLine(std::string_view(line.data(), line.size()), now);
        }
    }
}

void zone_load_monitor::readLine(std::string_view line, steady_time now)
{
    const std::vector<std::string> fields = absl::StrSplit(toAbsl(line), ';');
    upstream_arrivals arrivals;
    int64_t age = 0;
    if (fields.size() != 5 || fields[1].empty()
        || !absl::SimpleAtoi(fields[2], &arrivals.id.startedAt)
        || !parseRates(fields[3], arrivals.rates) || !absl::SimpleAtoi(fields[4], &age) || age < 0
        || age > maxArrivalAge.count()) {
        return;
    }
    arrivals.id.name = fields[1];
    arrivals.reportedAt = now - milliseconds(age);
    const auto known = m_arrivals.find(arrivals.id.name);
    if (known == m_arrivals.end() ? m_arrivals.size() < maxUpstreams
                                  : known->second.reportedAt < arrivals.reportedAt) {
        m_arrivals[arrivals.id.name] = std::move(arrivals);
    }
}

std::string zone_load_monitor::encodeArrivals(const upstream_id &self, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    if (!self.isEmpty() && m_hasArrivals) {
        text = encodeLine(self, m_own.rates(now), milliseconds(0));
    }
    for (const auto &[name, arrivals] : m_arrivals) {
        const auto age = std::chrono::duration_cast<milliseconds>(now - arrivals.reportedAt);
        if (name != self.name && age <= maxArrivalAge) {
            text += encodeLine(arrivals.id, arrivals.rates, age);
        }
    }
    return text;
}

void zone_load_monitor::addUpstream(std::map<std::string, zone_load> &zones,
                                    const upstream_member &member, const queue_report &queue,
                                    steady_time reportedAt) const
{
    zone_load &zone = zones[member.availabilityZone];
    const double serviceTime = std::chrono::duration<double>(queue.meanServiceTime).count();
    const int limit = std::max(queue.limit, 1);
    zone.reportedAt = zone.upstreams == 0 ? reportedAt : std::min(zone.reportedAt, reportedAt);
    ++zone.upstreams;
    zone.slots += limit;
    zone.running += queue.running;
    zone.waiting += queue.waiting;
    zone.capacity += limit / (serviceTime > 0 ? serviceTime : initialServiceSeconds);
}

void zone_load_monitor::addDemand(std::map<std::string, zone_load> &zones, steady_time now) const
{
    for (const auto &[zone, rate] : m_own.rates(now)) {
        zones[zone].demand += rate;
    }
    for (const auto &[name, arrivals] : m_arrivals) {
        if (name == m_self.name || now - arrivals.reportedAt > maxArrivalAge) {
            continue;
        }
        for (const auto &[zone, rate] : arrivals.rates) {
            zones[zone].demand += rate;
        }
    }
}

void zone_load_monitor::update(const std::vector<const upstream_member *> &members,
                               const peer_status &self, const std::vector<forwarded_status> &peers,
                               steady_time now)
{
    const std::lock_guard lock(m_mutex);
    m_self = self.upstream;
    std::map<upstream_id, const forwarded_status *> statuses;
    for (const forwarded_status &peer : peers) {
        statuses[peer.status.upstream] = &peer;
    }
    std::map<std::string, zone_load> zones;
    std::set<std::string, std::less<>> names;
    std::set<std::string, std::less<>> unknownZones;
    std::set<std::string, std::less<>> unreachableZones;
    size_t unreachable = 0;
    for (const upstream_member *member : members) {
        names.insert(member->id.name);
        // Adds the zone, since a zone may have no upstream that accepts requests.
        zones[member->availabilityZone];
        const auto known = statuses.find(member->id);
        if (member->isDraining) {
            continue;
        }
        if (member->id == self.upstream) {
            if (self.acceptsRequests) {
                addUpstream(zones, *member, self.queue, now);
            }
        } else if (known == statuses.end()) {
            unknownZones.insert(member->availabilityZone);
        } else if (known->second->isUnresponsive && known->second->age >= unreachableAge) {
            ++unreachable;
            unreachableZones.insert(member->availabilityZone);
        } else if (known->second->status.acceptsRequests) {
            addUpstream(zones, *member, known->second->status.queue, now - known->second->age);
        }
    }
    std::erase_if(m_arrivals, [&](const auto &entry) { return !names.contains(entry.first); });
    addDemand(zones, now);
    m_states.clear();
    // If most peers are unreachable, this daemon is likely the one that is cut off.
    if (unreachable * 2 > members.size()) {
        return;
    }
    for (auto &[name, zone] : zones) {
        if (unknownZones.contains(name)) {
            continue;
        }
        zone.zone = name;
        if (zone.upstreams == 0) {
            zone.reportedAt = unreachableZones.contains(name) ? now - unreachableZoneAge : now;
        }
        m_states.push_back(zone);
    }
}

std::vector<zone_load> zone_load_monitor::states() const
{
    const std::lock_guard lock(m_mutex);
    return m_states;
}

} // namespace persimmonrail
