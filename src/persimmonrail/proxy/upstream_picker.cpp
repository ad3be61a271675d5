#include "persimmonrail/proxy/upstream_picker.h"

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include "persimmonrail/base/text.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Assumed service time of an upstream that has not reported one.
constexpr double initialServiceSeconds = 0.05;
// Shorter transfers matter less than the inaccuracy of queue reports, so they don't make the
// upstream on the own host a third candidate.
constexpr double minTransferSeconds = 0.005;
// Entries without requests in flight are erased when there are more entries than this, since no
// directory may name their upstreams any more.
constexpr size_t maxEntries = 4096;
// An upstream that reports less than this share of the mean capacity of its zone counts with what
// it reports. Cold upstreams report less than a fifth. Upstreams in a slow span report a third; for
// these the reports of the zones suffice.
constexpr double coldCapacityShare = 0.25;
// Zones of which reports are kept; their names come from other daemons.
constexpr size_t maxZones = 16;

using member_list = std::vector<const upstream_member *>;

// Removes the members outside the zone, unless none is in it.
void narrowToZone(member_list &members, std::string_view zone)
{
    const auto otherZones =
        std::stable_partition(members.begin(), members.end(), [&](const upstream_member *member) {
            return member->availabilityZone == zone;
        });
    if (otherZones != members.begin()) {
        members.erase(otherZones, members.end());
    }
}

// Adds to the chance of each of `candidates` among the members: `weight` times the probability with
// which it is chosen by a comparison of two random ones. If their expected times are equal, either
// is chosen with probability 1/2. The upstream on this host, `local`, is compared as well if a
// transfer to the chosen one takes long.
void addChances(std::vector<member_assessment> &members, const member_list &candidates,
                const upstream_id &local, double weight)
{
    std::vector<member_assessment *> drawn;
    std::vector<double> times;
    const std::set<const upstream_member *> candidateSet(candidates.begin(), candidates.end());
    for (member_assessment &entry : members) {
        if (candidateSet.contains(entry.member)) {
            drawn.push_back(&entry);
            times.push_back(entry.time.seconds());
        }
    }
    std::sort(times.begin(), times.end());
    const auto count = static_cast<double>(drawn.size());
    for (member_assessment *entry : drawn) {
        const auto [first, last] =
            std::equal_range(times.begin(), times.end(), entry->time.seconds());
        const auto slower = static_cast<double>(times.end() - last);
        const auto equal = static_cast<double>(last - first - 1);
        const double chance =
            weight * (drawn.size() == 1 ? 1 : (2 * slower + equal) / (count * (count - 1)));
        const auto own =
            std::find_if(drawn.begin(), drawn.end(), [&](const member_assessment *other) {
                return other->member->id == local;
            });
        const bool isReplaced = entry->time.transferSeconds >= minTransferSeconds
            && own != drawn.end() && (*own)->time.seconds() < entry->time.seconds();
        (isReplaced ? *own : entry)->chance += chance;
    }
}

// Members of one zone in the directory.
struct zone_members
{
    // Those that are not under a penalty.
    std::vector<const upstream_member *> healthy;
};

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
    int64_t serviceTime = 0;
    if (fields.size() != 4 || !absl::SimpleAtoi(fields[0], &report.running)
        || !absl::SimpleAtoi(fields[1], &report.waiting)
        || !absl::SimpleAtoi(fields[2], &report.limit) || !absl::SimpleAtoi(fields[3], &serviceTime)
        || report.running < 0 || report.waiting < 0 || report.limit < 1 || serviceTime < 0) {
        return std::nullopt;
    }
    report.meanServiceTime = std::chrono::microseconds(serviceTime);
    return report;
}

upstream_picker::upstream_picker(std::string availabilityZone, random_source random,
                                 upstream_picker_options options)
    : m_availabilityZone(std::move(availabilityZone))
    , m_options(std::move(options))
    , m_random(std::move(random))
    , m_share(m_availabilityZone, m_options.zoneShare)
{ }

expected_time upstream_picker::expectedTime(const upstream_member &member, steady_time now) const
{
    const auto found = m_entries.find(member.id);
    expected_time time;
    time.serviceSeconds = initialServiceSeconds;
    time.limit = std::max(member.slots, 1);
    time.zoneFactor = member.availabilityZone == m_availabilityZone ? 1 : m_options.crossZoneFactor;
    if (found == m_entries.end()) {
        return time;
    }
    const upstream_load &entry = found->second;
    time.inFlight = entry.inFlight;
    time.outstanding += entry.inFlight;
    if (entry.report) {
        time.report = entry.report;
        time.reportAge = now - entry.reportedAt;
        const double age = std::chrono::duration<double>(time.reportAge).count();
        const double lifetime = std::chrono::duration<double>(m_options.reportLifetime).count();
        const double weight = std::max(0.0, 1 - age / lifetime);
        time.outstanding += weight * (entry.report->running + entry.report->waiting);
        time.limit = entry.report->limit;
        if (entry.report->meanServiceTime.count() > 0) {
            time.serviceSeconds =
                std::chrono::duration<double>(entry.report->meanServiceTime).count();
        }
    }
    return time;
}

upstream_picker::member_choice
upstream_picker::untriedMembers(const std::vector<const upstream_member *> &members,
                                const std::vector<upstream_id> &tried, steady_time now) const
{
    member_choice choice;
    for (const upstream_member *member : members) {
        if (std::find(tried.begin(), tried.end(), member->id) != tried.end()) {
            continue;
        }
        (isHealthy(member->id, now) ? choice.healthy : choice.penalized).push_back(member);
    }
    return choice;
}

member_assessment upstream_picker::assessMember(const upstream_member &member,
                                                steady_time now) const
{
    member_assessment result;
    result.member = &member;
    result.time = expectedTime(member, now);
    if (const auto entry = m_entries.find(member.id); entry != m_entries.end()) {
        result.failures = entry->second.failures;
        result.penaltyLeft = std::max<std::chrono::nanoseconds>(entry->second.penaltyEnd - now,
                                                                std::chrono::nanoseconds(0));
    }
    return result;
}

picker_assessment upstream_picker::assess(const std::vector<const upstream_member *> &members,
                                          const std::vector<const upstream_member *> &candidates,
                                          steady_time now, double bytes,
                                          const body_transfer &body) const
{
    picker_assessment result;
    std::unique_lock lock(m_mutex);
    for (const upstream_member *member : members) {
        result.members.push_back(assessMember(*member, now));
        result.members.back().time.transferSeconds = transferTime(body, *member);
    }
    const auto [healthy, penalized] = untriedMembers(candidates, {}, now);
    for (const auto &[name, zone] : m_zones) {
        result.zonesAge =
            std::max<std::chrono::nanoseconds>(result.zonesAge, now - zone.reportedAt);
    }
    zone_share share = m_share;
    const bool isDue = isShareDue(now);
    std::map<std::string, zone_load> reports = m_zones;
    std::optional<steady_time> ownZoneEmptyAt = m_ownZoneEmptyAt;
    const std::vector<zone_load> zones = recentZones(reports, ownZoneEmptyAt, candidates, now);
    lock.unlock();
    if (isDue) {
        share.update(zones, now);
    }
    result.split = share.split();
    if (healthy.empty() || !usesZoneShare() || result.split.reason == share_reason::NoReports) {
        addChances(result.members, healthy.empty() ? penalized : healthy, body.local, 1);
        return result;
    }
    std::map<std::string, double> chances = share.chances(bytes);
    double stays = 1;
    for (const auto &[zone, chance] : chances) {
        stays -= chance;
    }
    chances[m_availabilityZone] += std::max(stays, 0.0);
    for (const auto &[zone, chance] : chances) {
        member_list inZone = healthy;
        narrowToZone(inZone, zone);
        addChances(result.members, inZone, body.local, chance);
    }
    return result;
}

double transferTime(const body_transfer &body, const upstream_member &member)
{
    if (body.bytes <= 0 || member.id == body.local) {
        return 0;
    }
    const double memberLink = member.host.linkMbps * 1e6 / 8;
    return (body.ownLinkBytesPerSecond > 0 ? body.bytes / body.ownLinkBytesPerSecond : 0)
        + (memberLink > 0 ? body.bytes / memberLink : 0);
}

const upstream_member *
upstream_picker::chooseByTime(std::vector<const upstream_member *> &candidates,
                              const body_transfer &body, steady_time now)
{
    const auto timeAt = [&](const upstream_member *member) {
        return expectedTime(*member, now).seconds() + transferTime(body, *member);
    };
    std::swap(candidates.front(), candidates[randomBelow(m_random, candidates.size())]);
    const upstream_member *chosen = candidates.front();
    if (candidates.size() > 1) {
        const upstream_member *other = candidates[1 + randomBelow(m_random, candidates.size() - 1)];
        if (timeAt(other) < timeAt(chosen)) {
            chosen = other;
        }
    }
    if (transferTime(body, *chosen) < minTransferSeconds) {
        return chosen;
    }
    const auto local =
        std::find_if(candidates.begin(), candidates.end(),
                     [&](const upstream_member *member) { return member->id == body.local; });
    return local != candidates.end() && timeAt(*local) < timeAt(chosen) ? *local : chosen;
}

const upstream_member *upstream_picker::pick(const std::vector<const upstream_member *> &members,
                                             const std::vector<upstream_id> &tried, steady_time now,
                                             double bytes, const body_transfer &body)
{
    const std::lock_guard lock(m_mutex);
    updateShare(members, now);
    auto [healthy, penalized] = untriedMembers(members, tried, now);
    keepChosenZone(healthy, bytes, wasRejectedByOwnZone(members, tried));
    std::vector<const upstream_member *> &candidates = healthy.empty() ? penalized : healthy;
    if (candidates.empty()) {
        return nullptr;
    }
    const upstream_member *chosen = chooseByTime(candidates, body, now);
    upstream_load &entry = m_entries[chosen->id];
    ++entry.inFlight;
    if (entry.failures > 0) {
        // Renews the penalty, so that only one request at a time tests whether the upstream has
        // recovered.
        entry.penaltyEnd = std::max(entry.penaltyEnd, now + m_options.initialPenalty);
    }
    return chosen;
}

bool upstream_picker::isHealthy(const upstream_id &id, steady_time now) const
{
    const auto entry = m_entries.find(id);
    return entry == m_entries.end() || now >= entry->second.penaltyEnd;
}

bool upstream_picker::wasRejectedByOwnZone(const std::vector<const upstream_member *> &members,
                                           const std::vector<upstream_id> &tried) const
{
    return std::any_of(members.begin(), members.end(), [&](const upstream_member *member) {
        const auto entry = m_entries.find(member->id);
        return member->availabilityZone == m_availabilityZone
            && std::find(tried.begin(), tried.end(), member->id) != tried.end()
            && entry != m_entries.end() && entry->second.report
            && entry->second.report->running >= entry->second.report->limit;
    });
}

double upstream_picker::presentCapacity(const zone_load &zone,
                                        const std::vector<const upstream_member *> &healthy) const
{
    if (zone.upstreams == 0) {
        return zone.capacity;
    }
    const double mean = zone.capacity / zone.upstreams;
    // Reports made after a loss already count fewer upstreams.
    double present = mean * std::min<double>(zone.upstreams, static_cast<double>(healthy.size()));
    for (const upstream_member *member : healthy) {
        const auto entry = m_entries.find(member->id);
        if (entry == m_entries.end() || !entry->second.report
            || entry->second.reportedAt <= zone.reportedAt
            || entry->second.report->meanServiceTime.count() == 0) {
            continue;
        }
        const queue_report &report = *entry->second.report;
        const double capacity =
            report.limit / std::chrono::duration<double>(report.meanServiceTime).count();
        present -= capacity < mean * coldCapacityShare ? mean - capacity : 0;
    }
    return std::max(present, 0.0);
}

void upstream_picker::updateShare(const std::vector<const upstream_member *> &members,
                                  steady_time now)
{
    if (!isShareDue(now)) {
        return;
    }
    m_shareUpdatedAt = now;
    if (m_options.linkExcess) {
        m_linkExcess = m_options.linkExcess(now);
    }
    m_share.update(recentZones(m_zones, m_ownZoneEmptyAt, members, now), now);
}

std::vector<zone_load> upstream_picker::recentZones(
    std::map<std::string, zone_load> &reports, std::optional<steady_time> &ownZoneEmptyAt,
    const std::vector<const upstream_member *> &members, steady_time now) const
{
    std::map<std::string, zone_members, std::less<>> zoneMembers;
    for (const upstream_member *member : members) {
        zone_members &zone = zoneMembers[member->availabilityZone];
        if (isHealthy(member->id, now)) {
            zone.healthy.push_back(member);
        }
    }
    std::erase_if(reports, [&](const auto &entry) {
        return now - entry.second.reportedAt > m_options.zoneShare.maxReportAge;
    });
    if (!zoneMembers.contains(m_availabilityZone)) {
        ownZoneEmptyAt = now;
    }
    std::vector<zone_load> zones;
    for (auto [name, zone] : reports) {
        const auto excess = m_linkExcess.find(name);
        zone.linkExcess =
            excess == m_linkExcess.end() ? std::chrono::microseconds(0) : excess->second;
        // The directory shows sooner than reports that a zone has no upstream.
        const auto found = zoneMembers.find(name);
        zone.capacity =
            found == zoneMembers.end() ? 0 : presentCapacity(zone, found->second.healthy);
        zones.push_back(zone);
    }
    leaveEmptyOwnZone(zones, ownZoneEmptyAt, now);
    return zones;
}

void upstream_picker::leaveEmptyOwnZone(std::vector<zone_load> &zones,
                                        const std::optional<steady_time> &ownZoneEmptyAt,
                                        steady_time now) const
{
    if (!ownZoneEmptyAt || now - *ownZoneEmptyAt > m_options.zoneShare.maxReportAge) {
        return;
    }
    const auto own = std::find_if(zones.begin(), zones.end(), [&](const zone_load &zone) {
        return zone.zone == m_availabilityZone;
    });
    if (own == zones.end()) {
        zones.push_back({m_availabilityZone, 0, 0, 0, 0, 0, 0, now});
    } else if (own->reportedAt <= *ownZoneEmptyAt) {
        own->capacity = 0;
        own->reportedAt = now;
    }
}

void upstream_picker::keepChosenZone(std::vector<const upstream_member *> &healthy, double bytes,
                                     bool wasRejected)
{
    if (!usesZoneShare() || m_share.split().reason == share_reason::NoReports) {
        return;
    }
    const double fraction = randomFraction(m_random);
    narrowToZone(healthy,
                 wasRejected ? m_share.chooseAfterRejection(fraction)
                             : m_share.choose(fraction, bytes));
}

void upstream_picker::learnZones(const std::vector<zone_load> &zones, steady_time now)
{
    if (zones.empty()) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    m_zonesLearnedAt = now;
    for (const zone_load &zone : zones) {
        const auto known = m_zones.find(zone.zone);
        if (known == m_zones.end() ? m_zones.size() < maxZones
                                   : known->second.reportedAt < zone.reportedAt) {
            m_zones[zone.zone] = zone;
        }
    }
}

bool upstream_picker::wantsZones(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return usesZoneShare() && now - m_zonesLearnedAt >= m_options.zonesWantedAge;
}

std::optional<share_change> upstream_picker::takeShareChange()
{
    const std::lock_guard lock(m_mutex);
    return m_share.takeChange();
}

share_reason upstream_picker::shareReason() const
{
    const std::lock_guard lock(m_mutex);
    return m_share.split().reason;
}

void upstream_picker::begin(const upstream_id &id)
{
    const std::lock_guard lock(m_mutex);
    ++m_entries[id].inFlight;
}

void upstream_picker::finish(const upstream_id &id, result outcome,
                             const std::optional<queue_report> &report, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    upstream_load &entry = m_entries[id];
    entry.inFlight = std::max(0, entry.inFlight - 1);
    if (report) {
        entry.report = report;
        entry.reportedAt = now;
    }
    if (outcome == result::Reached) {
        entry.failures = 0;
        entry.penaltyEnd = {};
    } else if (outcome == result::Failed) {
        const int doublings = std::min(entry.failures++, 8);
        entry.penaltyEnd =
            now + std::min(m_options.maxPenalty, m_options.initialPenalty * (1 << doublings));
    }
    if (m_entries.size() > maxEntries) {
        std::erase_if(m_entries, [](const auto &item) { return item.second.inFlight == 0; });
    }
}

bool upstream_picker::isPenalized(const upstream_id &id, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return !isHealthy(id, now);
}

} // namespace persimmonrail
