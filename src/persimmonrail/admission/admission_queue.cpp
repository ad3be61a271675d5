#include "persimmonrail/admission/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// Time constant of the exponential decay of rank_state::recentSlotTime. The shares of the ranks are
// measured over this time.
constexpr double usageDecaySeconds = 1;
// A rank without demand accumulates the slot time of its floor over at most this time. With more
// credit, a burst of the rank would delay more urgent requests.
constexpr double maxFloorCreditSeconds = 0.1;
// Weight of a new sample in the moving average of the service time.
constexpr double serviceTimeWeight = 0.05;
// Smallest share of the slots that is assumed when the expected wait is computed.
constexpr double minShare = 0.01;
// A request whose remaining time is below this multiple of the mean service time is rejected when
// its turn comes, unless the rank has no running request (see submit()).
constexpr double minRemainingTimeRatio = 0.5;
// A missed deadline indicates overload only if the request ran for more than this multiple of the
// mean service time. Shorter deadlines can be missed by an upstream that is not overloaded.
constexpr double attainableDeadlineRatio = 3;

double toSeconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Returns whether the end of a request indicates that the upstream cannot run as many requests at
// a time as the limit allows. Both times are in seconds.
bool indicatesOverload(request_outcome outcome, std::string_view reason, double latencySeconds,
                       double meanServiceTime)
{
    if (outcome == request_outcome::NotRun) {
        return reason == "shed";
    }
    if (reason == "deadline-exceeded") {
        return latencySeconds > attainableDeadlineRatio * meanServiceTime;
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
    , m_lastUpdate(now)
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
            m_ranks[i].meanServiceTime = toSeconds(m_options.initialServiceTime);
        }
    }
}

void admission_queue::setSlots(int slots)
{
    m_slots = slots;
    m_limit.setSlots(slots);
}

void admission_queue::onUpstreamRestart(steady_time now)
{
    m_limit.restart(now);
}

// Accrues the floor credit of all ranks and decays their recent slot time up to `now`.
void admission_queue::updateUsage(steady_time now)
{
    const double passed = std::max(0.0, toSeconds(now - m_lastUpdate));
    m_lastUpdate = std::max(m_lastUpdate, now);
    const double limit = m_limit.current();
    const double decay = std::exp(-passed / usageDecaySeconds);
    for (rank_state &state : m_ranks) {
        state.floorCredit = std::min(state.floorCredit + state.floor * limit * passed,
                                     state.floor * limit * maxFloorCreditSeconds);
        state.recentSlotTime *= decay;
    }
}

// Returns the share of the slot time, from 0 to 1, that a rank gets while its requests wait: what
// more urgent ranks have not used, less the part of their floors that less urgent ranks have used.
// At least the floor of the rank itself and minShare.
double admission_queue::availableShare(size_t rank) const
{
    const double slotSecondsPerDecay = m_limit.current() * usageDecaySeconds;
    double share = 1;
    for (size_t i = 0; i < m_ranks.size(); ++i) {
        const double used = m_ranks[i].recentSlotTime / slotSecondsPerDecay;
        if (i < rank) {
            share -= used;
        } else if (i > rank) {
            share -= std::min(used, m_ranks[i].floor);
        }
    }
    return std::max({share, m_ranks[rank].floor, minShare});
}

// Returns the expected time in seconds until a request of this rank that arrives now starts.
double admission_queue::expectedWait(size_t rank) const
{
    const int limit = m_limit.current();
    if (runningCount() < limit && m_ranks[rank].waiting == 0) {
        return 0;
    }
    // The waiting requests and the new one each need a slot to become free.
    const double slotsNeeded = static_cast<double>(m_ranks[rank].waiting) + 1;
    return slotsNeeded * m_ranks[rank].meanServiceTime / (limit * availableShare(rank));
}

queue_rejection admission_queue::makeRejection(std::string reason, size_t rank) const
{
    const auto wait = static_cast<int64_t>(std::ceil(expectedWait(rank) * 1000));
    return {std::move(reason), milliseconds(std::max<int64_t>(wait, 1))};
}

size_t admission_queue::maxWaiting() const
{
    return static_cast<size_t>(m_options.maxWaitingPerSlot) * static_cast<size_t>(m_slots);
}

std::variant<uint64_t, queue_rejection> admission_queue::submit(size_t rank,
                                                                std::string_view subsidiary,
                                                                steady_time deadline,
                                                                steady_time now)
{
    updateUsage(now);
    rank = std::min(rank, m_ranks.size() - 1);
    rank_state &state = m_ranks[rank];
    // An idle rank accepts one request whose deadline has not passed, whatever the mean service
    // time. Otherwise, if the mean exceeded the time left to the deadlines of the rank, all of its
    // requests would be rejected and the mean would never be measured again.
    const bool skipsEstimate = state.running == 0 && state.waiting == 0 && deadline > now;
    if (!skipsEstimate && expectedWait(rank) + state.meanServiceTime > toSeconds(deadline - now)) {
        return makeRejection("deadline-unreachable", rank);
    }
    if (state.waiting >= maxWaiting() && !evictFromLongestQueue(state, subsidiary)) {
        return makeRejection("overload", rank);
    }
    auto found = state.subsidiaries.find(subsidiary);
    if (found == state.subsidiaries.end()) {
        removeIdleSubsidiaries(state);
        found = state.subsidiaries.emplace(subsidiary, subsidiary_queue()).first;
    }
    subsidiary_queue &queue = found->second;
    // A subsidiary gets no extra slot time for the time in which it had no requests.
    queue.virtualStartTime = std::max(queue.virtualStartTime, state.virtualTime);
    queue.requests.push_back({m_nextId, deadline});
    ++state.waiting;
    return m_nextId++;
}

// Evicts the newest request of the subsidiary with the most waiting requests, to make room for a
// request of `subsidiary` in the full queue. Returns false and evicts nothing if no subsidiary has
// at least two more waiting requests than `subsidiary`.
bool admission_queue::evictFromLongestQueue(rank_state &state, std::string_view subsidiary)
{
    const auto own = state.subsidiaries.find(subsidiary);
    const size_t ownCount = own == state.subsidiaries.end() ? 0 : own->second.requests.size();
    const auto longest = std::max_element(
        state.subsidiaries.begin(), state.subsidiaries.end(), [](const auto &a, const auto &b) {
            return a.second.requests.size() < b.second.requests.size();
        });
    if (longest == state.subsidiaries.end() || longest->second.requests.size() <= ownCount + 1) {
        return false;
    }
    const auto rank = static_cast<size_t>(&state - m_ranks.data());
    m_evicted.push_back({longest->second.requests.back().id, makeRejection("overload", rank)});
    longest->second.requests.pop_back();
    --state.waiting;
    return true;
}

// Removes all subsidiaries without waiting requests if the rank tracks maxTrackedSubsidiaries or
// more.
void admission_queue::removeIdleSubsidiaries(rank_state &state)
{
    if (state.subsidiaries.size() < m_options.maxTrackedSubsidiaries) {
        return;
    }
    std::erase_if(state.subsidiaries,
                  [](const auto &entry) { return entry.second.requests.empty(); });
}

// Returns the rank that gets the next free slot, or std::nullopt if no request waits.
std::optional<size_t> admission_queue::chooseRank() const
{
    std::optional<size_t> mostUrgent;
    for (size_t i = 0; i < m_ranks.size(); ++i) {
        if (m_ranks[i].waiting == 0) {
            continue;
        }
        if (m_ranks[i].floor > 0 && m_ranks[i].floorCredit > 0) {
            return i;
        }
        if (!mostUrgent) {
            mostUrgent = i;
        }
    }
    return mostUrgent;
}

// Returns the subsidiary with the earliest virtual start time among those with waiting requests.
admission_queue::subsidiary_iterator admission_queue::chooseSubsidiary(rank_state &state) const
{
    auto chosen = state.subsidiaries.end();
    for (auto it = state.subsidiaries.begin(); it != state.subsidiaries.end(); ++it) {
        if (!it->second.requests.empty()
            && (chosen == state.subsidiaries.end()
                || it->second.virtualStartTime < chosen->second.virtualStartTime)) {
            chosen = it;
        }
    }
    return chosen;
}

std::vector<queue_decision> admission_queue::poll(steady_time now)
{
    updateUsage(now);
    std::vector<queue_decision> decisions;
    decisions.swap(m_evicted);
    while (runningCount() < m_limit.current()) {
        const auto rank = chooseRank();
        if (!rank) {
            break;
        }
        rank_state &state = m_ranks[*rank];
        subsidiary_queue &queue = chooseSubsidiary(state)->second;
        const waiting_request request = queue.requests.front();
        queue.requests.pop_front();
        --state.waiting;
        // The only request of a rank measures its service time, so it starts unless its deadline
        // has passed.
        const double neededSeconds =
            state.running > 0 ? minRemainingTimeRatio * state.meanServiceTime : 0;
        if (toSeconds(request.deadline - now) < neededSeconds) {
            decisions.push_back({request.id, makeRejection("deadline-unreachable", *rank)});
        } else {
            startRequest(*rank, queue, request.id);
            decisions.push_back({request.id, std::nullopt});
        }
    }
    return decisions;
}

void admission_queue::startRequest(size_t rank, subsidiary_queue &from, uint64_t id)
{
    rank_state &state = m_ranks[rank];
    const double cost = state.meanServiceTime;
    chargeSlotTime(state, cost);
    ++state.running;
    state.virtualTime = std::max(state.virtualTime, from.virtualStartTime);
    from.virtualStartTime += cost;
    m_running[id] = {rank, cost};
}

// Charges slot time to a rank. Negative values correct an earlier charge that was too high.
void admission_queue::chargeSlotTime(rank_state &state, double seconds) const
{
    const double slotSecondsPerDecay = m_limit.current() * usageDecaySeconds;
    // Limits how far floorCredit falls below 0, to the slot time that the floor guarantees in
    // usageDecaySeconds. A rank that used much more than its floor thus soon gets its guaranteed
    // share again.
    state.floorCredit = std::max(state.floorCredit - seconds, -state.floor * slotSecondsPerDecay);
    state.recentSlotTime = std::clamp(state.recentSlotTime + seconds, 0.0, slotSecondsPerDecay);
}

void admission_queue::cancel(uint64_t id)
{
    for (rank_state &state : m_ranks) {
        for (auto &[name, queue] : state.subsidiaries) {
            const auto removed = std::erase_if(
                queue.requests, [id](const waiting_request &request) { return request.id == id; });
            state.waiting -= removed;
        }
    }
}

void admission_queue::finish(uint64_t id, request_outcome outcome, std::string_view reason,
                             std::chrono::nanoseconds latency, steady_time now)
{
    updateUsage(now);
    const auto found = m_running.find(id);
    if (found == m_running.end()) {
        return;
    }
    const running_request request = found->second;
    m_running.erase(found);
    rank_state &state = m_ranks[request.rank];
    const double latencySeconds = toSeconds(latency);
    // The mean service time was charged at the start.
    chargeSlotTime(state, latencySeconds - request.chargedSeconds);
    --state.running;
    if (outcome == request_outcome::Run) {
        state.meanServiceTime += (latencySeconds - state.meanServiceTime) * serviceTimeWeight;
        m_limit.recordResponse(request.rank, latency, now);
    } else if (indicatesOverload(outcome, reason, latencySeconds, state.meanServiceTime)) {
        m_limit.recordOverload(now);
    }
}

} // namespace persimmonrail
