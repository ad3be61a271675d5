#include "measure/policies.h"

#include <deque>
#include <map>

namespace persimmonrail {
namespace {

struct waiting_request
{
    uint64_t id = 0;
    steady_time deadline;
};

// The parts that strict priority and weighted fair queueing have in common.
class bounded_queues : public admission_policy
{
public:
    bounded_queues(size_t ranks, int slots)
        : m_queues(ranks)
        , m_slots(slots)
    { }

    std::optional<uint64_t> submit(size_t rank, std::string_view, steady_time deadline,
                                   steady_time) override
    {
        const admission_options options;
        const auto bound = static_cast<size_t>(options.maxWaitingPerSlot) * m_slots;
        if (m_queues[rank].size() >= bound) {
            return std::nullopt;
        }
        joined(rank);
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
        ended(m_running[id], std::chrono::duration<double>(latency).count());
        m_running.erase(id);
    }

    int limit() const override { return m_slots; }

protected:
    virtual std::optional<size_t> chooseRank() = 0;
    virtual void joined(size_t) { }
    virtual void ended(size_t, double) { }

    std::vector<std::deque<waiting_request>> m_queues;

private:
    const int m_slots;
    std::map<uint64_t, size_t> m_running;
    uint64_t m_nextId = 1;
};

class strict_priority : public bounded_queues
{
public:
    using bounded_queues::bounded_queues;

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
class weighted_fair : public bounded_queues
{
public:
    weighted_fair(const std::vector<double> &weights, int slots)
        : bounded_queues(weights.size(), slots)
        , m_weights(weights)
        , m_start(weights.size())
        , m_service(weights.size(), 0.005)
    { }

protected:
    std::optional<size_t> chooseRank() override
    {
        std::optional<size_t> chosen;
        for (size_t i = 0; i < m_queues.size(); ++i) {
            if (!m_queues[i].empty() && (!chosen || m_start[i] < m_start[*chosen])) {
                chosen = i;
            }
        }
        if (chosen) {
            m_virtualTime = m_start[*chosen];
            m_start[*chosen] += m_service[*chosen] / m_weights[*chosen];
        }
        return chosen;
    }
    void joined(size_t rank) override
    {
        if (m_queues[rank].empty()) {
            m_start[rank] = std::max(m_start[rank], m_virtualTime);
        }
    }
    void ended(size_t rank, double seconds) override
    {
        m_service[rank] += (seconds - m_service[rank]) * 0.05;
    }

private:
    const std::vector<double> m_weights;
    std::vector<double> m_start;
    std::vector<double> m_service;
    double m_virtualTime = 0;
};

class floors_and_limit : public admission_policy
{
public:
    floors_and_limit(const std::vector<double> &floors, int slots, steady_time now)
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
    int limit() const override { return m_queue.limit(); }

private:
    admission_queue m_queue;
};

} // namespace

std::vector<policy_kind> allPolicies()
{
    return {{"strict-priority",
             [](const std::vector<double> &floors, int slots, steady_time) {
                 return std::make_unique<strict_priority>(floors.size(), slots);
             }},
            {"weighted-fair",
             [](const std::vector<double> &floors, int slots, steady_time) {
                 return std::make_unique<weighted_fair>(floors, slots);
             }},
            {"floors-and-limit", [](const std::vector<double> &floors, int slots, steady_time now) {
                 return std::make_unique<floors_and_limit>(floors, slots, now);
             }}};
}

} // namespace persimmonrail
