#include "persimmonrail/proxy/slot_queue.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace persimmonrail {
namespace {

constexpr milliseconds minRetryAfter{20};

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

slot_queue::slot_queue(slot_queue_options options)
    : m_options(options)
{ }

bool slot_queue::isBefore(const slot_request &a, const slot_request &b) const
{
    if (a.rank != b.rank) {
        return a.rank < b.rank;
    }
    if (m_defersRetries && a.isRetry != b.isRetry) {
        return b.isRetry;
    }
    return a.objective < b.objective;
}

double slot_queue::serviceTimeOf(const std::string &route) const
{
    const auto entry = m_serviceTimes.find(route);
    const double usual =
        entry == m_serviceTimes.end() ? seconds(m_options.initialServiceTime) : entry->second;
    return usual * m_workFactor;
}

double slot_queue::expectedWaitForLimit(const slot_request &request, steady_time now) const
{
    if (!m_coldLimit.isCold(now)) {
        return 0;
    }
    int position = 1;
    int equalPosition = 1;
    bool earlierWaits = false;
    for (const waiting_request &waiting : m_waiting) {
        const bool isEarlier = isBefore(waiting.request, request);
        const bool isLater = isBefore(request, waiting.request);
        earlierWaits = earlierWaits || isEarlier;
        position += isLater ? 0 : 1;
        equalPosition += isEarlier || isLater ? 0 : 1;
    }
    // Every laterStartInterval-th start goes to a later request, even while earlier ones wait.
    const int starts =
        earlierWaits ? std::min(position, equalPosition * m_options.laterStartInterval) : position;
    return seconds(m_coldLimit.startOfNth(starts, now) - now);
}

double slot_queue::expectedWaitForSlot(const slot_request &request, steady_time now) const
{
    // Slots that this request may use. The remaining slots serve requests that come earlier in the
    // order.
    const int usable = std::max(1, m_slots - slotsNeededBefore(request));
    // Times until the usable slots become free, soonest first. Each waiting request ahead takes the
    // next slot.
    std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
    for (const auto &[id, running] : m_running) {
        if (isBefore(running.request, request)) {
            continue;
        }
        // The remaining time of a request that has run for longer than its mean is unknown; a
        // quarter of the mean is assumed.
        const double meanTime = serviceTimeOf(running.request.route);
        freeAt.push(std::max(meanTime - seconds(now - running.startedAt), meanTime / 4));
    }
    while (freeAt.size() > static_cast<size_t>(usable)) {
        freeAt.pop();
    }
    for (int slot = running(); slot < m_slots && freeAt.size() < static_cast<size_t>(usable);
         ++slot) {
        freeAt.push(0);
    }
    // Requests earlier in the order hold all slots at this moment.
    if (freeAt.empty()) {
        freeAt.push(m_meanServiceTime * m_workFactor);
    }
    double equalPosition = 1;
    bool earlierWaits = false;
    bool laterWaits = false;
    for (const waiting_request &waiting : m_waiting) {
        const bool isEarlier = isBefore(waiting.request, request);
        const bool isLater = isBefore(request, waiting.request);
        earlierWaits = earlierWaits || isEarlier;
        laterWaits = laterWaits || isLater;
        equalPosition += isEarlier || isLater ? 0 : 1;
        if (!isLater) {
            const double startTime = freeAt.top();
            freeAt.pop();
            freeAt.push(startTime + serviceTimeOf(waiting.request.route));
        }
    }
    const double interval = m_options.laterStartInterval;
    const double waitInOrder = freeAt.top() * (laterWaits ? interval / (interval - 1) : 1);
    // Every laterStartInterval-th start goes to a later request, even while earlier ones wait.
    const double waitByInterval =
        equalPosition * interval * m_meanServiceTime * m_workFactor / m_slots;
    return earlierWaits ? std::min(waitInOrder, waitByInterval) : waitInOrder;
}

int slot_queue::slotsNeededBefore(const slot_request &request) const
{
    double offered = 0;
    for (const auto &[route, load] : m_loads) {
        if (isBefore(load.latestRequest, request)) {
            offered += load.offered;
        }
    }
    // Less than a tenth of a slot does not justify a reserved slot.
    const double needed = offered < 0.1 ? 0 : std::ceil(offered);
    return static_cast<int>(std::min(needed, std::floor(m_slots * m_options.maxReservedShare)));
}

int slot_queue::slotsReservedBefore(const slot_request &request) const
{
    const auto inUse = std::count_if(m_running.begin(), m_running.end(), [&](const auto &entry) {
        return isBefore(entry.second.request, request);
    });
    return std::max(0, slotsNeededBefore(request) - static_cast<int>(inUse));
}

void slot_queue::recordArrival(const slot_request &request, steady_time now)
{
    const double remainingWeight =
        std::exp(-seconds(now - m_loadsUpdatedAt) / seconds(m_options.loadDecayTime));
    m_loadsUpdatedAt = now;
    for (auto &[route, load] : m_loads) {
        load.offered *= remainingWeight;
    }
    std::erase_if(m_loads, [](const auto &entry) { return entry.second.offered < 1e-4; });
    route_load &load = m_loads[request.route];
    load.latestRequest = request;
    load.offered += serviceTimeOf(request.route) / seconds(m_options.loadDecayTime);
}

void slot_queue::prepare(const slot_request &request, steady_time now)
{
    updateOrder(now);
    m_workFactor = m_recentWorkFactor.factor(now);
    recordArrival(request, now);
}

slot_queue::expectation slot_queue::assess(const slot_request &request, steady_time now) const
{
    expectation expected{expectedWaitForSlot(request, now), expectedWaitForLimit(request, now),
                         serviceTimeOf(request.route),
                         std::min(seconds(request.objectiveEnd - now) * m_options.maxObjectiveShare,
                                  seconds(request.deadline - now)),
                         std::nullopt};
    const double time = expected.wait() + expected.serviceTime;
    if (expected.wait() > 0 && time > expected.maxTime) {
        // A request that can't meet its objective any more is accepted once there is no wait.
        const double usableTime = std::max(expected.maxTime, expected.serviceTime);
        const auto excess = static_cast<int64_t>(std::ceil((time - usableTime) * 1000));
        expected.rejected = rejection{std::max(minRetryAfter, milliseconds(excess))};
    }
    return expected;
}

slot_queue::expectation slot_queue::expect(const slot_request &request, steady_time now) const
{
    slot_queue copy = *this;
    copy.prepare(request, now);
    return copy.assess(request, now);
}

std::optional<uint64_t> slot_queue::submit(const slot_request &request, steady_time now,
                                           rejection &rejected)
{
    prepare(request, now);
    if (const auto rejection = assess(request, now).rejected) {
        rejected = *rejection;
        return std::nullopt;
    }
    const auto position =
        std::find_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request &waiting) {
            return isBefore(request, waiting.request);
        });
    m_waiting.insert(position, {++m_lastId, request, false});
    return m_lastId;
}

std::list<slot_queue::waiting_request>::iterator slot_queue::chooseNext()
{
    const auto first = m_waiting.begin();
    const auto other =
        std::find_if(first, m_waiting.end(), [this, first](const waiting_request &waiting) {
            return isBefore(first->request, waiting.request);
        });
    if (other != m_waiting.end() && ++m_startsWhileLaterWait >= m_options.laterStartInterval) {
        m_startsWhileLaterWait = 0;
        return other;
    }
    return m_slots - running() > slotsReservedBefore(first->request) ? first : m_waiting.end();
}

std::vector<uint64_t> slot_queue::startRequests(steady_time now)
{
    updateOrder(now);
    std::vector<uint64_t> started;
    while (running() < m_slots && !m_waiting.empty()) {
        if (m_coldLimit.nextStart(now) > now) {
            recordDelays();
            break;
        }
        const auto chosen = chooseNext();
        if (chosen == m_waiting.end()) {
            break;
        }
        started.push_back(chosen->id);
        m_running[chosen->id] = {chosen->request, now};
        m_waiting.erase(chosen);
        m_coldLimit.recordStart(now);
    }
    return started;
}

void slot_queue::updateOrder(steady_time now)
{
    const bool isCold = m_coldLimit.isCold(now);
    if (isCold == m_defersRetries) {
        return;
    }
    m_defersRetries = isCold;
    m_waiting.sort([this](const waiting_request &a, const waiting_request &b) {
        return isBefore(a.request, b.request);
    });
}

void slot_queue::recordDelays()
{
    int freeSlots = m_slots - running();
    for (waiting_request &waiting : m_waiting) {
        if (freeSlots-- == 0) {
            return;
        }
        m_delayedCount += waiting.isDelayed ? 0 : 1;
        waiting.isDelayed = true;
    }
}

steady_time slot_queue::nextDelayedStart(steady_time now) const
{
    if (running() >= m_slots || m_waiting.empty()) {
        return steady_time::max();
    }
    const steady_time next = m_coldLimit.nextStart(now);
    return next > now ? next : steady_time::max();
}

void slot_queue::cancel(uint64_t id)
{
    m_waiting.remove_if([id](const waiting_request &waiting) { return waiting.id == id; });
}

void slot_queue::finish(uint64_t id, bool isRepresentative, steady_time now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    if (isRepresentative) {
        const double took = seconds(now - found->second.startedAt) / m_recentWorkFactor.factor(now);
        const auto entry = m_serviceTimes.try_emplace(found->second.request.route, took).first;
        entry->second += (took - entry->second) * m_options.smoothingFactor;
        m_meanServiceTime = m_meanServiceTime > 0
            ? m_meanServiceTime + (took - m_meanServiceTime) * m_options.smoothingFactor
            : took;
    }
    m_running.erase(found);
}

void slot_queue::withdraw(uint64_t id)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    m_coldLimit.withdrawStart(found->second.startedAt);
    m_running.erase(found);
}

std::chrono::microseconds slot_queue::meanServiceTime() const
{
    return std::chrono::microseconds(static_cast<int64_t>(m_meanServiceTime * 1e6));
}

std::chrono::microseconds slot_queue::meanServiceTime(steady_time now) const
{
    const double present = m_meanServiceTime * m_recentWorkFactor.factor(now);
    return std::chrono::microseconds(static_cast<int64_t>(present * 1e6));
}

} // namespace persimmonrail
