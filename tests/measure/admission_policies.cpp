#include "measure/admission_policies.h"

#include <deque>
#include <map>

namespace persimmonrail {
namespace {

struct waiting_request
{
    uint64_t id = 0;
    steady_time deadline;
};

// Base of strict priority and weighted fair queueing: one bounded FIFO queue per rank and a fixed
// concurrency limit. Derived classes choose the rank of the next request.
class bounded_queue_policy : public admission_policy
{
public:
    bounded_queue_policy(size_t ranks, int slots)
        : m_queues(ranks)
        , m_slots(slots)
    { }

    std::optional<uint64_t> submit(size_t rank, std::string_view, steady_time deadline,
                                   steady_time) override
    {
        const admission_options options;
        const auto maxWaiting = static_cast<size_t>(options.maxWaitingPerSlot) * m_slots;
        if (m_queues[rank].size() >= maxWaiting) {
            return std::nullopt;
        }
        onEnqueue(rank);
        m_queues[rank].push_back({m_nextId, deadline});
        return m_nextId++;
    }

    std::vector<queue_decision> poll(steady_time now) override
    {
        std::vector<queue_decision> decisions;
        while (m_running.size() < static_cast<size_t>(m_slots)) {
            const auto rank = chooseRank();
            if (!rank) {
                break;
            }
            const waiting_request request = m_queues[*rank].front();
            m_queues[*rank].pop_front();
            if (request.deadline <= now) {
                decisions.push_back({request.id, queue_rejection{"deadline-unreachable", {}}});
                continue;
            }
            m_running[request.id] = *rank;
            decisions.push_back({request.id, std::nullopt});
        }
        return decisions;
    }

    void finish(uint64_t id, request_outcome, std::string_view, std::chrono::nanoseconds latency,
                steady_time) override
    {
        onFinish(m_running[id], std::chrono::duration<double>(latency).count());
        m_running.erase(id);
    }

    int limit() const override { return m_slots; }

protected:
    // Returns the rank whose first waiting request is decided on next, or nullopt if no request
    // waits.
    virtual std::optional<size_t> chooseRank() = 0;
    // Called before a request of this rank is added to its queue.
    virtual void onEnqueue(size_t) { }
    // Called after a request of this rank has run for this number of seconds.
    virtual void onFinish(size_t, double) { }

    // Waiting requests per rank, the most urgent rank first.
    std::vector<std::deque<waiting_request>> m_queues;

private:
    const int m_slots;
    // Rank of each running request, by request id.
    std::map<uint64_t, size_t> m_running;
    uint64_t m_nextId = 1;
};

// Starts the first request of the most urgent rank that has waiting requests.
class strict_priority_policy : public bounded_queue_policy
{
public:
    using bounded_queue_policy::bounded_queue_policy;

protected:
    std::optional<size_t> chooseRank() override
    {
        for (size_t i = 0; i < m_queues.size(); ++i) {
            if (!m_queues[i].empty()) {
                return i;
            }
        }
        return std::nullopt;
    }
};

// Start-time fair queueing over ranks; the cost of a request is the mean service time of its rank.
class weighted_fair_policy : public bounded_queue_policy
{
public:
    weighted_fair_policy(const std::vector<double> &weights, int slots)
        : bounded_queue_policy(weights.size(), slots)
        , m_weights(weights)
        , m_startTags(weights.size())
        // Assumed until the first request of a rank finishes: 5 ms, as in admission_options.
        , m_meanServiceTimes(weights.size(), 0.005)
    { }

protected:
    std::optional<size_t> chooseRank() override
    {
        std::optional<size_t> chosen;
        for (size_t i = 0; i < m_queues.size(); ++i) {
            if (!m_queues[i].empty() && (!chosen || m_startTags[i] < m_startTags[*chosen])) {
                chosen = i;
            }
        }
        if (chosen) {
            m_virtualTime = m_startTags[*chosen];
            m_startTags[*chosen] += m_meanServiceTimes[*chosen] / m_weights[*chosen];
        }
        return chosen;
    }
    void onEnqueue(size_t rank) override
    {
        if (m_queues[rank].empty()) {
            m_startTags[rank] = std::max(m_startTags[rank], m_virtualTime);
        }
    }
    void onFinish(size_t rank, double seconds) override
    {
        // Exponentially weighted moving average.
        m_meanServiceTimes[rank] += (seconds - m_meanServiceTimes[rank]) * 0.05;
    }

private:
    const std::vector<double> m_weights;
    // Virtual start time of the next request of each rank.
    std::vector<double> m_startTags;
    // Mean service time of each rank in seconds.
    std::vector<double> m_meanServiceTimes;
    // Start tag of the last started request.
    double m_virtualTime = 0;
};

// Adapts admission_queue, which has floors per rank and an adaptive concurrency limit.
class admission_queue_policy : public admission_policy
{
public:
    admission_queue_policy(const std::vector<double> &floors, int slots, steady_time now)
        : m_queue({}, floors, slots, now)
    { }

    std::optional<uint64_t> submit(size_t rank, std::string_view subsidiary, steady_time deadline,
                                   steady_time now) override
    {
        const auto result = m_queue.submit(rank, subsidiary, deadline, now);
        const auto *const id = std::get_if<uint64_t>(&result);
        return id == nullptr ? std::nullopt : std::optional(*id);
    }
    std::vector<queue_decision> poll(steady_time now) override { return m_queue.poll(now); }
    void finish(uint64_t id, request_outcome outcome, std::string_view reason,
                std::chrono::nanoseconds latency, steady_time now) override
    {
        m_queue.finish(id, outcome, reason, latency, now);
    }
    int limit() const override { return m_queue.concurrencyLimit(); }

private:
    admission_queue m_queue;
};

} // namespace

std::vector<policy_factory> allPolicyFactories()
{
    return {{"strict-priority",
             [](const std::vector<double> &floors, int slots, steady_time) {
                 return std::make_unique<strict_priority_policy>(floors.size(), slots);
             }},
            {"weighted-fair",
             [](const std::vector<double> &floors, int slots, steady_time) {
                 return std::make_unique<weighted_fair_policy>(floors, slots);
             }},
            {"floors-and-limit", [](const std::vector<double> &floors, int slots, steady_time now) {
                 return std::make_unique<admission_queue_policy>(floors, slots, now);
             }}};
}

} // namespace persimmonrail
