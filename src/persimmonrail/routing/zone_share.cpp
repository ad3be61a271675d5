#include "persimmonrail/routing/zone_share.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace persimmonrail {
namespace {

// Utilization above which the approximation of the waiting time is continued by a line, since the
// approximation has a pole at 1.
constexpr double maxModelUtilization = 0.97;
// Growth of the waiting time with the utilization above that, in seconds: a queue that grows for
// the length of a burst of a few seconds.
constexpr double overloadSeconds = 3;
// The total demand is moved in this many equal steps at most.
constexpr double planSteps = 256;
// Ends the loop in any case; above planSteps, since rounding may add steps.
constexpr int maxPlanSteps = 1024;
// A rejected request is not tried again over a link that costs more; it has little time left.
constexpr milliseconds maxRetryExcess{100};
// A zone whose capacity falls below this share of the previous one has lost upstreams, or they are
// cold.
constexpr double collapsedShare = 0.5;
// Weight of one request in the mean of the inverse cost.
constexpr double costSmoothingWeight = 0.02;
// Changes of the share below this are not logged.
constexpr double loggedChange = 0.1;
// Keeps a share near a bound from filling the log.
constexpr milliseconds minLogInterval{1000};

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

// A zone while the plan is made. Rates are in requests a second.
struct planned_zone
{
    const zone_load *state = nullptr;
    double load = 0;
    // Own demand that has not been sent elsewhere.
    double movable = 0;
    // Load up to which the zone takes requests of others.
    double maxHelp = 0;
    bool isSender = false;
    bool isReceiver = false;
};

// Returns the time in seconds that a request waits in the zone, by Sakasegawa's approximation. The
// service time is left out: a zone with some slow upstreams sends what the zone can't serve, not
// what its fast upstreams serve as well as others.
double waitingTime(const zone_load &zone, double load)
{
    if (zone.capacity <= 0) {
        return std::numeric_limits<double>::infinity();
    }
    const double slots = std::max(zone.slots, 1);
    // Power of two choices pools the upstreams of a zone only in part: between the slots of one
    // upstream and those of all.
    const double pooledSlots = slots / std::sqrt(std::max(zone.upstreams, 1));
    const double utilization = load / zone.capacity;
    const double modelled = std::min(utilization, maxModelUtilization);
    const double exponent = std::sqrt(2 * (pooledSlots + 1)) - 1;
    const double serviceTime = slots / zone.capacity;
    const double wait = serviceTime / pooledSlots * std::pow(modelled, exponent) / (1 - modelled);
    return wait + std::max(0.0, utilization - maxModelUtilization) * overloadSeconds;
}

// Returns the weight of a report, which falls linearly between the two ages.
double reportWeight(const zone_load &zone, const zone_share_options &options, steady_time now)
{
    const double age = seconds(now - zone.reportedAt);
    const double full = seconds(options.fullReportAge);
    const double end = seconds(options.maxReportAge);
    return std::clamp((end - age) / (end - full), 0.0, 1.0);
}

planned_zone plannedZone(const zone_load &state, const zone_share_options &options, steady_time now)
{
    planned_zone zone;
    zone.state = &state;
    zone.movable = std::max(0.0, state.demand);
    zone.load = zone.movable + state.waiting / seconds(options.backlogTime);
    // What an old report allows beyond the zone's own load is taken back gradually.
    const double help = state.capacity * options.maxHelpUtilization - zone.load;
    zone.maxHelp = zone.load + help * reportWeight(state, options, now);
    return zone;
}

// Returns the zone whose next request waits longest and may still be moved; null if there is none.
planned_zone *findSender(std::vector<planned_zone> &zones, double step)
{
    planned_zone *found = nullptr;
    double longest = 0;
    for (planned_zone &zone : zones) {
        const double wait = waitingTime(*zone.state, zone.load);
        if (!zone.isReceiver && zone.movable >= step && wait > longest) {
            longest = wait;
            found = &zone;
        }
    }
    return found;
}

// Returns what a request costs in the zone, in seconds: its wait, and what the link of this daemon
// adds if it is sent by the own zone.
double costAt(const planned_zone &zone, double load, bool isOwnRequest)
{
    return waitingTime(*zone.state, load) + (isOwnRequest ? seconds(zone.state->linkExcess) : 0);
}

// Returns the zone in which another request costs least; null if all are full.
planned_zone *findReceiver(std::vector<planned_zone> &zones, const planned_zone &sender,
                           bool isOwnRequest, double step)
{
    planned_zone *found = nullptr;
    double shortest = std::numeric_limits<double>::infinity();
    for (planned_zone &zone : zones) {
        if (&zone == &sender || zone.isSender || zone.load + step > zone.maxHelp) {
            continue;
        }
        const double cost = costAt(zone, zone.load + step, isOwnRequest);
        if (cost < shortest) {
            shortest = cost;
            found = &zone;
        }
    }
    return found;
}

// Distributes what a zone without upstreams could not place, by capacity: each of its requests has
// to cross anyway.
void shareByCapacity(const std::vector<planned_zone> &zones, double remaining,
                     std::map<std::string, double> &moved)
{
    const double capacity =
        std::accumulate(zones.begin(), zones.end(), 0.0, [](double sum, const planned_zone &zone) {
            return sum + zone.state->capacity;
        });
    for (const planned_zone &zone : zones) {
        if (zone.state->capacity > 0) {
            moved[zone.state->zone] += remaining * zone.state->capacity / capacity;
        }
    }
}

const zone_load *findZone(const std::vector<zone_load> &zones, std::string_view name)
{
    const auto found = std::find_if(zones.begin(), zones.end(),
                                    [&](const zone_load &zone) { return zone.zone == name; });
    return found == zones.end() ? nullptr : &*found;
}

double crossingSeconds(const zone_share_options &options, double bytes)
{
    return seconds(options.crossingCost) + options.crossingCostPerKb * bytes / 1e6;
}

} // namespace

std::string_view toString(share_reason reason)
{
    switch (reason) {
    case share_reason::Spare:
        return "spare";
    case share_reason::Overload:
        return "overload";
    case share_reason::OthersFull:
        return "others-full";
    case share_reason::NoUpstream:
        return "no-upstream";
    case share_reason::NoReports:
        return "no-reports";
    }
    return "";
}

double zone_split::leaving() const
{
    return std::accumulate(shares.begin(), shares.end(), 0.0,
                           [](double sum, const auto &entry) { return sum + entry.second; });
}

zone_split planZoneSplit(const std::vector<zone_load> &zones, std::string_view ownZone,
                         const zone_share_options &options, steady_time now, double bytes)
{
    zone_split split;
    const zone_load *own = findZone(zones, ownZone);
    const bool hasRecent = std::any_of(zones.begin(), zones.end(), [&](const zone_load &zone) {
        return zone.zone != ownZone && zone.capacity > 0 && reportWeight(zone, options, now) > 0;
    });
    if (own == nullptr || !hasRecent || reportWeight(*own, options, now) <= 0) {
        return split;
    }
    std::vector<planned_zone> planned;
    double demand = 0;
    for (const zone_load &zone : zones) {
        planned.push_back(plannedZone(zone, options, now));
        demand += planned.back().movable;
    }
    const double step = std::max(demand, 1.0) / planSteps;
    const double cost = crossingSeconds(options, bytes);
    std::map<std::string, double> moved;
    split.reason = share_reason::Spare;
    for (int i = 0; i < maxPlanSteps; ++i) {
        planned_zone *sender = findSender(planned, step);
        if (sender == nullptr) {
            break;
        }
        const bool isOwn = sender->state == own;
        planned_zone *receiver = findReceiver(planned, *sender, isOwn, step);
        if (receiver == nullptr) {
            const bool pays = own->capacity > 0 && own->demand > own->capacity;
            split.reason = pays ? share_reason::OthersFull : split.reason;
            break;
        }
        if (waitingTime(*sender->state, sender->load)
                - costAt(*receiver, receiver->load + step, isOwn)
            <= cost) {
            break;
        }
        sender->isSender = receiver->isReceiver = true;
        sender->movable -= step;
        sender->load -= step;
        receiver->load += step;
        if (isOwn) {
            moved[receiver->state->zone] += step;
        }
    }
    for (const planned_zone &zone : planned) {
        if (zone.state != own && !zone.isSender && zone.maxHelp > zone.load
            && zone.state->linkExcess < maxRetryExcess) {
            split.room[zone.state->zone] = zone.maxHelp - zone.load;
        }
    }
    if (own->capacity <= 0) {
        const auto self = std::find_if(planned.begin(), planned.end(),
                                       [&](const auto &zone) { return zone.state == own; });
        shareByCapacity(planned, std::max(self->movable, step / planSteps), moved);
        split.reason = share_reason::NoUpstream;
    } else if (!moved.empty() && split.reason == share_reason::Spare) {
        split.reason = share_reason::Overload;
    }
    const double total = own->capacity > 0
        ? own->demand
        : std::accumulate(moved.begin(), moved.end(), 0.0,
                          [](double sum, const auto &entry) { return sum + entry.second; });
    const double weight = own->capacity > 0 ? reportWeight(*own, options, now) : 1;
    for (const auto &[zone, rate] : moved) {
        split.shares[zone] = total > 0 ? weight * rate / total : 0;
    }
    return split;
}

zone_share::zone_share(std::string ownZone, zone_share_options options)
    : m_ownZone(std::move(ownZone))
    , m_options(options)
{ }

void zone_share::update(const std::vector<zone_load> &zones, steady_time now)
{
    zone_split plan = planZoneSplit(zones, m_ownZone, m_options, now, meanBytes());
    m_split.room = std::move(plan.room);
    const zone_load *own = findZone(zones, m_ownZone);
    const double capacity = own != nullptr ? own->capacity : 0;
    const bool hasCollapsed = own != nullptr && capacity < m_ownCapacity * collapsedShare;
    m_ownCapacity = capacity;
    follow(plan, now, hasCollapsed);
    m_updatedAt = now;
    noteChange(zones, now);
}

void zone_share::follow(const zone_split &plan, steady_time now, bool hasCollapsed)
{
    const double elapsed = seconds(now - m_updatedAt);
    // A zone whose upstreams are lost or cold can't wait, and neither can one that has them back.
    const bool isImmediate = hasCollapsed || plan.reason == share_reason::NoUpstream
        || m_split.reason == share_reason::NoUpstream || m_updatedAt == steady_time{};
    const double planned = plan.leaving();
    const milliseconds time =
        planned < m_split.leaving() ? m_options.fallingSmoothingTime : m_options.smoothingTime;
    const double weight = isImmediate ? 1 : 1 - std::exp(-elapsed / seconds(time));
    const bool stays =
        planned < (m_split.leaving() > 0 ? m_options.minShare : m_options.firstShare);
    for (auto &[zone, share] : m_split.shares) {
        share -= weight * share;
    }
    if (!stays) {
        for (const auto &[zone, share] : plan.shares) {
            m_split.shares[zone] += weight * share;
        }
    }
    std::erase_if(m_split.shares, [](const auto &entry) { return entry.second < 1e-4; });
    if (stays && m_split.leaving() < m_options.minShare) {
        m_split.shares.clear();
    }
    m_split.reason =
        stays && plan.reason == share_reason::Overload ? share_reason::Spare : plan.reason;
}

void zone_share::noteChange(const std::vector<zone_load> &zones, steady_time now)
{
    const double share = m_split.leaving();
    const bool hasStarted = (share > 0) != (m_loggedShare > 0);
    if (!hasStarted && m_split.reason == m_loggedReason
        && std::abs(share - m_loggedShare) < loggedChange) {
        return;
    }
    // A change that is still in force is noted later.
    if (m_loggedAt != steady_time{} && now - m_loggedAt < minLogInterval) {
        return;
    }
    m_loggedAt = now;
    share_change change{m_loggedShare, share, m_split.reason};
    for (const zone_load &zone : zones) {
        const bool isOwn = zone.zone == m_ownZone;
        (isOwn ? change.ownDemand : change.otherDemand) += zone.demand;
        (isOwn ? change.ownCapacity : change.otherCapacity) += zone.capacity;
        change.largestLinkExcess = std::max(change.largestLinkExcess, zone.linkExcess);
        if (!isOwn) {
            const auto found = m_split.shares.find(zone.zone);
            change.shares[zone.zone] = found == m_split.shares.end() ? 0 : found->second;
        }
        change.oldestReport = std::max(
            change.oldestReport, std::chrono::duration_cast<milliseconds>(now - zone.reportedAt));
    }
    m_change = change;
    m_loggedShare = share;
    m_loggedReason = m_split.reason;
}

std::optional<share_change> zone_share::takeChange()
{
    return std::exchange(m_change, std::nullopt);
}

double zone_share::meanBytes() const
{
    if (m_meanInverseCost <= 0 || m_options.crossingCostPerKb <= 0) {
        return 0;
    }
    const double cost = 1 / m_meanInverseCost - seconds(m_options.crossingCost);
    return std::max(0.0, cost / m_options.crossingCostPerKb * 1e6);
}

double zone_share::sizeFactor(double bytes)
{
    const double inverse = 1 / std::max(crossingSeconds(m_options, bytes), 1e-6);
    m_meanInverseCost = m_meanInverseCost > 0
        ? m_meanInverseCost + (inverse - m_meanInverseCost) * costSmoothingWeight
        : inverse;
    return inverse / m_meanInverseCost;
}

double zone_share::leavingChance(double factor) const
{
    const double leaving = m_split.leaving();
    // A share near 1 leaves no choice between requests.
    return leaving >= 0.99 ? leaving : std::min(leaving * factor, 1.0);
}

std::map<std::string, double> zone_share::chances(double bytes) const
{
    std::map<std::string, double> result;
    const double leaving = m_split.leaving();
    if (leaving <= 0) {
        return result;
    }
    zone_share copy = *this;
    const double wanted = leavingChance(copy.sizeFactor(bytes));
    for (const auto &[zone, share] : m_split.shares) {
        result[zone] = share / leaving * wanted;
    }
    return result;
}

const std::string &zone_share::choose(double fraction, double bytes)
{
    const double leaving = m_split.leaving();
    const double factor = sizeFactor(bytes);
    if (leaving <= 0) {
        return m_ownZone;
    }
    const double wanted = leavingChance(factor);
    double position = fraction;
    for (const auto &[zone, share] : m_split.shares) {
        position -= share / leaving * wanted;
        if (position < 0) {
            return zone;
        }
    }
    return m_ownZone;
}

const std::string &zone_share::chooseAfterRejection(double fraction) const
{
    double room = 0;
    for (const auto &[zone, rate] : m_split.room) {
        room += rate;
    }
    double position = fraction * room;
    for (const auto &[zone, rate] : m_split.room) {
        position -= rate;
        if (position < 0) {
            return zone;
        }
    }
    return m_ownZone;
}

} // namespace persimmonrail
