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

bool slot_queue::isBefore(const slot_request &a, const slot_request &b)
{
    return a.rank != b.rank ? a.rank < b.rank : a.objective < b.objective;
}

double slot_queue::serviceOf(const std::string &kind) const
{
    const auto known = m_service.find(kind);
    return known == m_service.end() ? seconds(m_options.assumedService) : known->second;
}

double slot_queue::expectedWait(const slot_request &request, steady_time now) const
{
    // Slots that this request may use: the others serve what comes before it in the order.
    const int usable = std::max(1, m_slots - slotsBefore(request));
    // Times at which these become free, soonest first; each request ahead takes the next one.
    std::priority_queue<double, std::vector<double>, std::greater<>> freeAt;
    for (const auto &[id, running] : m_running) {
        if (isBefore(running.request, request)) {
            continue;
        }
        // What is left of a request that runs longer than usual is unknown; a part of the usual
        // time is assumed.
        const double usual = serviceOf(running.request.kind);
        freeAt.push(std::max(usual - seconds(now - running.startedAt), usual / 4));
    }
    while (freeAt.size() > static_cast<size_t>(usable)) {
        freeAt.pop();
    }
    for (int slot = running(); slot < m_slots && freeAt.size() < static_cast<size_t>(usable);
         ++slot) {
        freeAt.push(0);
    }
    // More urgent work holds all slots at this moment.
    if (freeAt.empty()) {
        freeAt.push(m_meanService);
    }
    double equalAhead = 1;
    bool earlierWaits = false;
    bool laterWaits = false;
    for (const waiting_request &waiting : m_waiting) {
        const bool isEarlier = isBefore(waiting.request, request);
        const bool isLater = isBefore(request, waiting.request);
        earlierWaits = earlierWaits || isEarlier;
        laterWaits = laterWaits || isLater;
        equalAhead += isEarlier || isLater ? 0 : 1;
        if (!isLater) {
            const double start = freeAt.top();
            freeAt.pop();
            freeAt.push(start + serviceOf(waiting.request.kind));
        }
    }
    const double turns = m_options.laterTurn;
    const double inOrder = freeAt.top() * (laterWaits ? turns / (turns - 1) : 1);
    // What comes later in the order gets its turns whatever waits before it.
    const double byTurn = equalAhead * turns * m_meanService / m_slots;
    return earlierWaits ? std::min(inOrder, byTurn) : inOrder;
}

int slot_queue::slotsBefore(const slot_request &request) const
{
    double offered = 0;
    for (const auto &[kind, load] : m_loads) {
        if (isBefore(load.example, request)) {
            offered += load.offered;
        }
    }
    // Less than a tenth of a slot is not worth keeping one free.
    const double wanted = offered < 0.1 ? 0 : std::ceil(offered);
    return static_cast<int>(std::min(wanted, std::floor(m_slots * m_options.maxReserved)));
}

int slot_queue::reservedBefore(const slot_request &request) const
{
    const auto inUse = std::count_if(m_running.begin(), m_running.end(), [&](const auto &entry) {
        return isBefore(entry.second.request, request);
    });
    return std::max(0, slotsBefore(request) - static_cast<int>(inUse));
}

void slot_queue::noteArrival(const slot_request &request, steady_time now)
{
    const double kept = std::exp(-seconds(now - m_loadsAt) / seconds(m_options.loadMemory));
    m_loadsAt = now;
    for (auto &[kind, load] : m_loads) {
        load.offered *= kept;
    }
    std::erase_if(m_loads, [](const auto &entry) { return entry.second.offered < 1e-4; });
    kind_load &load = m_loads[request.kind];
    load.example = request;
    load.offered += serviceOf(request.kind) / seconds(m_options.loadMemory);
}

std::optional<uint64_t> slot_queue::submit(const slot_request &request, steady_time now,
                                           refusal &refused)
{
    noteArrival(request, now);
    const double wait = expectedWait(request, now);
    const double service = serviceOf(request.kind);
    const double useful = std::min(seconds(request.objectiveEnd - now) * m_options.acceptedShare,
                                   seconds(request.deadline - now));
    if (wait > 0 && wait + service > useful) {
        const auto excess = static_cast<int64_t>(std::ceil((wait + service - useful) * 1000));
        refused.retryAfter = std::max(minRetryAfter, milliseconds(excess));
        return std::nullopt;
    }
    const auto position =
        std::find_if(m_waiting.begin(), m_waiting.end(), [&](const waiting_request &waiting) {
            return isBefore(request, waiting.request);
        });
    m_waiting.insert(position, {++m_lastId, request});
    return m_lastId;
}

std::list<slot_queue::waiting_request>::iterator slot_queue::next()
{
    const auto first = m_waiting.begin();
    const auto other =
        std::find_if(first, m_waiting.end(), [first](const waiting_request &waiting) {
            return isBefore(first->request, waiting.request);
        });
    if (other != m_waiting.end() && ++m_startsWhileOthersWait >= m_options.laterTurn) {
        m_startsWhileOthersWait = 0;
        return other;
    }
    return m_slots - running() > reservedBefore(first->request) ? first : m_waiting.end();
}

std::vector<uint64_t> slot_queue::start(steady_time now)
{
    std::vector<uint64_t> started;
    while (running() < m_slots && !m_waiting.empty()) {
        const auto chosen = next();
        if (chosen == m_waiting.end()) {
            break;
        }
        started.push_back(chosen->id);
        m_running[chosen->id] = {chosen->request, now};
        m_waiting.erase(chosen);
    }
    return started;
}

void slot_queue::cancel(uint64_t id)
{
    m_waiting.remove_if([id](const waiting_request &waiting) { return waiting.id == id; });
}

void slot_queue::finish(uint64_t id, bool isTypical, steady_time now)
{
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    if (isTypical) {
        const double took = seconds(now - found->second.startedAt);
        const auto known = m_service.try_emplace(found->second.request.kind, took).first;
        known->second += (took - known->second) * m_options.smoothing;
        m_meanService =
            m_meanService > 0 ? m_meanService + (took - m_meanService) * m_options.smoothing : took;
    }
    m_running.erase(found);
}

std::chrono::microseconds slot_queue::meanService() const
{
    return std::chrono::microseconds(static_cast<int64_t>(m_meanService * 1e6));
}

} // namespace persimmonrail
