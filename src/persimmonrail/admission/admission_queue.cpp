#include "persimmonrail/admission/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// Period over which shares of the slot time are measured.
constexpr double memorySeconds = 1;
// A rank without demand saves up at most this much time of its floor; more would delay more urgent
// work by a burst.
constexpr double creditSeconds = 0.1;
constexpr double smoothing = 0.05;
// Expected waits are not computed with less than this share of the slots.
constexpr double minShare = 0.01;
// A request with less time left than this part of the usual service time is refused at its turn.
constexpr double minServiceLeft = 0.5;
// Requests whose deadline leaves less time than this multiple of the usual service time say
// nothing about the upstream when they miss it.
constexpr double fairDeadline = 3;

double toSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Whether the end of a request means that the upstream has less room than assumed.
bool isOverload(request_outcome outcome, std::string_view reason, double seconds, double service)
{
    if (outcome == request_outcome::NotRun) {
        return reason == "shed";
    }
    if (reason == "deadline-exceeded") {
        return seconds > fairDeadline * service;
    }
    return outcome == request_outcome::Unknown
        && (reason == "no-answer" || reason == "silent-connection");
}

} // namespace

admission_queue::admission_queue(const admission_options &options,
                                 const std::vector<double> &floors, int slots, steady_time now)
    : m_options(options)
    , m_limit(slots)
    , m_slots(slots)
    , m_advancedTo(now)
{
    setFloors(floors);
}

void admission_queue::setFloors(const std::vector<double> &floors)
{
    const size_t oldCount = m_ranks.size();
    const size_t count = std::max<size_t>(floors.size(), 1);
    for (size_t i = count; i < oldCount; ++i) {
        for (auto &[name, from] : m_ranks[i].subsidiaries) {
            subsidiary_queue &to = m_ranks[count - 1].subsidiaries[name];
            m_ranks[count - 1].waiting += from.requests.size();
            to.requests.insert(to.requests.end(), from.requests.begin(), from.requests.end());
        }
    }
    for (auto &[id, request] : m_running) {
        if (request.rank >= count) {
            request.rank = count - 1;
            ++m_ranks[count - 1].running;
        }
    }
    m_ranks.resize(count);
    for (size_t i = 0; i < count; ++i) {
        m_ranks[i].floor = i < floors.size() ? floors[i] : 0;
        if (i >= oldCount) {
            m_ranks[i].service = toSeconds(m_options.assumedService);
        }
    }
}

void admission_queue::setSlots(int slots)
{
    m_slots = slots;
    m_limit.setSlots(slots);
}

void admission_queue::upstreamRestarted(steady_time now)
{
    m_limit.restart(now);
}

void admission_queue::advance(steady_time now)
{
    const double passed = std::max(0.0, toSeconds(now - m_advancedTo));
    m_advancedTo = std::max(m_advancedTo, now);
    const double limit = m_limit.current();
    const double decay = std::exp(-passed / memorySeconds);
    for (rank_state &rank : m_ranks) {
        rank.credit =
            std::min(rank.credit + rank.floor * limit * passed, rank.floor * limit * creditSeconds);
        rank.recentUse *= decay;
    }
}

// Share of the slot time that a rank gets while it waits: what more urgent ranks and the floors of
// less urgent ones leave, and at least its floor.
double admission_queue::shareOf(size_t rank) const
{
    const double available = m_limit.current() * memorySeconds;
    double share = 1;
    for (size_t i = 0; i < m_ranks.size(); ++i) {
        const double used = m_ranks[i].recentUse / available;
        if (i < rank) {
            share -= used;
        } else if (i > rank) {
            share -= std::min(used, m_ranks[i].floor);
        }
    }
    return std::max({share, m_ranks[rank].floor, minShare});
}

// Seconds until a request that arrives now starts.
double admission_queue::expectedWait(size_t rank) const
{
    const int limit = m_limit.current();
    if (running() < limit && m_ranks[rank].waiting == 0) {
        return 0;
    }
    const double ahead = static_cast<double>(m_ranks[rank].waiting) + 1;
    return ahead * m_ranks[rank].service / (limit * shareOf(rank));
}

queue_refusal admission_queue::makeRefusal(std::string reason, size_t rank) const
{
    const auto wait = static_cast<int64_t>(std::ceil(expectedWait(rank) * 1000));
    return {std::move(reason), milliseconds(std::max<int64_t>(wait, 1))};
}

size_t admission_queue::maxWaiting() const
{
    return static_cast<size_t>(m_options.queuePerSlot) * static_cast<size_t>(m_slots);
}

std::variant<uint64_t, queue_refusal> admission_queue::submit(size_t rank,
                                                              std::string_view subsidiary,
                                                              steady_time deadline, steady_time now)
{
    advance(now);
    rank = std::min(rank, m_ranks.size() - 1);
    rank_state &state = m_ranks[rank];
    // An idle rank always gets one request through, so that a service time that was once too long
    // for its deadlines is measured again.
    const bool isIdle = state.running == 0 && state.waiting == 0 && deadline > now;
    if (!isIdle && expectedWait(rank) + state.service > toSeconds(deadline - now)) {
        return makeRefusal("deadline-unreachable", rank);
    }
    if (state.waiting >= maxWaiting() && !evictFor(state, subsidiary)) {
        return makeRefusal("overload", rank);
    }
    auto found = state.subsidiaries.find(subsidiary);
    if (found == state.subsidiaries.end()) {
        forgetIdle(state);
        found = state.subsidiaries.emplace(subsidiary, subsidiary_queue()).first;
    }
    subsidiary_queue &queue = found->second;
    // Time without demand earns nothing.
    queue.received = std::max(queue.received, state.virtualTime);
    queue.requests.push_back({m_nextId, deadline});
    ++state.waiting;
    return m_nextId++;
}

// Makes room in a full queue for a subsidiary that has fewer waiting requests than another one.
bool admission_queue::evictFor(rank_state &rank, std::string_view subsidiary)
{
    const auto own = rank.subsidiaries.find(subsidiary);
    const size_t ownCount = own == rank.subsidiaries.end() ? 0 : own->second.requests.size();
    const auto longest = std::max_element(
        rank.subsidiaries.begin(), rank.subsidiaries.end(), [](const auto &a, const auto &b) {
            return a.second.requests.size() < b.second.requests.size();
        });
    if (longest == rank.subsidiaries.end() || longest->second.requests.size() <= ownCount + 1) {
        return false;
    }
    const auto index = static_cast<size_t>(&rank - m_ranks.data());
    m_evicted.push_back({longest->second.requests.back().id, makeRefusal("overload", index)});
    longest->second.requests.pop_back();
    --rank.waiting;
    return true;
}

void admission_queue::forgetIdle(rank_state &rank)
{
    if (rank.subsidiaries.size() < m_options.maxIdleSubsidiaries) {
        return;
    }
    std::erase_if(rank.subsidiaries,
                  [](const auto &entry) { return entry.second.requests.empty(); });
}

std::optional<size_t> admission_queue::chooseRank() const
{
    std::optional<size_t> mostUrgent;
    for (size_t i = 0; i < m_ranks.size(); ++i) {
        if (m_ranks[i].waiting == 0) {
            continue;
        }
        if (m_ranks[i].floor > 0 && m_ranks[i].credit > 0) {
            return i;
        }
        if (!mostUrgent) {
            mostUrgent = i;
        }
    }
    return mostUrgent;
}

admission_queue::subsidiary_iterator admission_queue::chooseSubsidiary(rank_state &rank) const
{
    auto chosen = rank.subsidiaries.end();
    for (auto it = rank.subsidiaries.begin(); it != rank.subsidiaries.end(); ++it) {
        if (!it->second.requests.empty()
            && (chosen == rank.subsidiaries.end()
                || it->second.received < chosen->second.received)) {
            chosen = it;
        }
    }
    return chosen;
}

std::vector<queue_decision> admission_queue::poll(steady_time now)
{
    advance(now);
    std::vector<queue_decision> decisions;
    decisions.swap(m_evicted);
    while (running() < m_limit.current()) {
        const auto index = chooseRank();
        if (!index) {
            break;
        }
        rank_state &rank = m_ranks[*index];
        subsidiary_queue &queue = chooseSubsidiary(rank)->second;
        const waiting_request request = queue.requests.front();
        queue.requests.pop_front();
        --rank.waiting;
        const double needed = rank.running > 0 ? minServiceLeft * rank.service : 0;
        if (toSeconds(request.deadline - now) < needed) {
            decisions.push_back({request.id, makeRefusal("deadline-unreachable", *index)});
        } else {
            start(*index, queue, request.id);
            decisions.push_back({request.id, std::nullopt});
        }
    }
    return decisions;
}

void admission_queue::start(size_t rank, subsidiary_queue &from, uint64_t id)
{
    rank_state &state = m_ranks[rank];
    const double cost = state.service;
    charge(state, cost);
    ++state.running;
    state.virtualTime = std::max(state.virtualTime, from.received);
    from.received += cost;
    m_running[id] = {rank, cost};
}

// Counts slot time in seconds; negative values take back what was counted too much.
void admission_queue::charge(rank_state &rank, double seconds) const
{
    const double available = m_limit.current() * memorySeconds;
    // Use beyond the floor counts against it for the memory only, so that a rank keeps its floor
    // soon after it had more.
    rank.credit = std::max(rank.credit - seconds, -rank.floor * available);
    rank.recentUse = std::clamp(rank.recentUse + seconds, 0.0, available);
}

void admission_queue::cancel(uint64_t id)
{
    for (rank_state &rank : m_ranks) {
        for (auto &[name, queue] : rank.subsidiaries) {
            const auto removed = std::erase_if(
                queue.requests, [id](const waiting_request &request) { return request.id == id; });
            rank.waiting -= removed;
        }
    }
}

void admission_queue::finish(uint64_t id, request_outcome outcome, std::string_view reason,
                             std::chrono::nanoseconds latency, steady_time now)
{
    advance(now);
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const running_request request = found->second;
    m_running.erase(found);
    rank_state &rank = m_ranks[request.rank];
    const double seconds = toSeconds(latency);
    // The start was charged with the usual service time.
    charge(rank, seconds - request.charged);
    --rank.running;
    if (outcome == request_outcome::Run) {
        rank.service += (seconds - rank.service) * smoothing;
        m_limit.recordResponse(request.rank, latency, now);
    } else if (isOverload(outcome, reason, seconds, rank.service)) {
        m_limit.noteOverload(now);
    }
}

} // namespace persimmonrail
