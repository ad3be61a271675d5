#include "measure/policy_simulation.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <random>
#include <tuple>

namespace persimmonrail {
namespace {

constexpr double endOfRun = warmUpSeconds + measuredSeconds;
constexpr double serviceSigma = 0.6;
// Time in which an upstream refuses a request.
constexpr double shedSeconds = 0.0005;

steady_time toTime(double seconds)
{
    return steady_time()
        + std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(seconds));
}

struct sim_request
{
    size_t rank = 0;
    double arrived = 0;
    double dispatchedAt = 0;
    double service = 0;
    bool isQuiet = false;
    size_t instance = 0;
    uint64_t policyId = 0;
};

struct event
{
    double at = 0;
    enum class kind { Arrival, Done, Shed, Change } what = kind::Arrival;
    // Stream of arrivals, or number of the request.
    uint64_t subject = 0;
    uint64_t order = 0;

    bool operator>(const event &other) const
    {
        return std::tie(at, order) > std::tie(other.at, other.order);
    }
};

struct arrival_stream
{
    size_t rank = 0;
    double perSecond = 0;
    bool floods = false;
};

struct sim_instance
{
    std::unique_ptr<admission_policy> policy;
    std::map<uint64_t, uint64_t> byPolicyId;
    // Requests that wait inside the upstream.
    std::deque<uint64_t> queued;
    int running = 0;
    bool isLost = false;
};

class simulation
{
public:
    simulation(const policy_scenario &scenario, const policy_kind &policy, uint64_t seed)
        : m_scenario(scenario)
        , m_random(seed)
        , m_latencies(scenario.ranks.size())
    {
        std::vector<double> floors;
        for (const rank_load &rank : scenario.ranks) {
            floors.push_back(rank.floor);
        }
        for (int i = 0; i < scenario.instances; ++i) {
            m_instances.emplace_back();
            m_instances.back().policy = policy.make(floors, scenario.slots, toTime(0));
        }
        m_result.ranks.resize(scenario.ranks.size());
        for (size_t i = 0; i < scenario.ranks.size(); ++i) {
            addStream(i, scenario.ranks[i].offered, false);
            addStream(i, scenario.ranks[i].floodOfOne, true);
        }
        for (const disturbance &part : scenario.disturbances) {
            schedule(part.until, event::kind::Change, 0);
        }
        schedule(scenario.instanceLostAt, event::kind::Change, 1);
    }

    policy_result run()
    {
        while (!m_events.empty() && m_events.top().at < endOfRun) {
            const event next = m_events.top();
            m_events.pop();
            account(next.at);
            handle(next);
        }
        account(endOfRun);
        summarize();
        return m_result;
    }

private:
    void addStream(size_t rank, double offered, bool floods)
    {
        if (offered <= 0) {
            return;
        }
        const double slots = m_scenario.slots * m_scenario.instances;
        m_streams.push_back({rank, offered * slots / m_scenario.ranks[rank].meanService, floods});
        scheduleArrival(m_streams.size() - 1);
    }
    void scheduleArrival(size_t stream)
    {
        std::exponential_distribution<double> gap(m_streams[stream].perSecond);
        schedule(m_now + gap(m_random), event::kind::Arrival, stream);
    }
    void schedule(double at, event::kind what, uint64_t subject)
    {
        m_events.push({at, what, subject, m_nextOrder++});
    }

    disturbance current() const
    {
        for (const disturbance &part : m_scenario.disturbances) {
            if (m_now >= part.from && m_now < part.until) {
                return part;
            }
        }
        return {};
    }
    int capacity() const
    {
        return static_cast<int>(std::lround(m_scenario.slots * current().capacity));
    }
    bool isMeasured(double arrived) const { return arrived >= warmUpSeconds; }

    // Adds the capacity and the limits of the time up to `at`.
    void account(double at)
    {
        const double from = std::max(m_now, warmUpSeconds);
        if (at > from) {
            for (const sim_instance &instance : m_instances) {
                if (!instance.isLost) {
                    m_capacityTime += (at - from) * capacity() / current().slowness;
                    m_limitTime += (at - from) * instance.policy->limit();
                    m_instanceTime += at - from;
                }
            }
        }
        m_now = at;
    }

    void handle(const event &next)
    {
        switch (next.what) {
        case event::kind::Arrival:
            scheduleArrival(next.subject);
            arrive(m_streams[next.subject]);
            break;
        case event::kind::Done:
        case event::kind::Shed:
            end(next.subject, next.what == event::kind::Done);
            break;
        case event::kind::Change:
            if (next.subject == 1) {
                loseInstance();
            }
            for (sim_instance &instance : m_instances) {
                startQueued(instance);
            }
            break;
        }
    }

    void arrive(const arrival_stream &stream)
    {
        const rank_load &load = m_scenario.ranks[stream.rank];
        sim_request request;
        request.rank = stream.rank;
        request.arrived = m_now;
        request.isQuiet = !stream.floods;
        std::lognormal_distribution<double> service(
            std::log(load.meanService) - serviceSigma * serviceSigma / 2, serviceSigma);
        request.service = service(m_random);
        const auto live = static_cast<size_t>(
            std::count_if(m_instances.begin(), m_instances.end(),
                          [](const sim_instance &instance) { return !instance.isLost; }));
        request.instance = std::uniform_int_distribution<size_t>(0, live - 1)(m_random);
        const std::string subsidiary = stream.floods
            ? "flooding"
            : std::to_string(std::uniform_int_distribution<int>(0, 3)(m_random));
        if (isMeasured(m_now)) {
            ++m_result.ranks[stream.rank].offered;
            m_result.ranks[stream.rank].quietOffered += request.isQuiet ? 1 : 0;
        }
        sim_instance &instance = m_instances[request.instance];
        const auto id = instance.policy->submit(stream.rank, subsidiary,
                                                toTime(m_now + load.timeout), toTime(m_now));
        if (!id) {
            refuse(request);
            return;
        }
        request.policyId = *id;
        m_requests[m_nextRequest] = request;
        instance.byPolicyId[*id] = m_nextRequest++;
        poll(instance);
    }

    void refuse(const sim_request &request)
    {
        if (isMeasured(request.arrived)) {
            ++m_result.ranks[request.rank].refused;
        }
    }

    void poll(sim_instance &instance)
    {
        for (const queue_decision &decision : instance.policy->poll(toTime(m_now))) {
            const uint64_t number = instance.byPolicyId[decision.id];
            instance.byPolicyId.erase(decision.id);
            sim_request &request = m_requests[number];
            if (decision.rejection) {
                refuse(request);
                m_requests.erase(number);
                continue;
            }
            request.dispatchedAt = m_now;
            if (instance.running < capacity()) {
                startInUpstream(instance, number);
            } else if (current().treatment == excess::Shed) {
                schedule(m_now + shedSeconds, event::kind::Shed, number);
            } else {
                instance.queued.push_back(number);
            }
        }
    }

    void startInUpstream(sim_instance &instance, uint64_t number)
    {
        ++instance.running;
        schedule(m_now + m_requests[number].service * current().slowness, event::kind::Done,
                 number);
    }
    void startQueued(sim_instance &instance)
    {
        while (!instance.queued.empty() && instance.running < capacity()) {
            const uint64_t number = instance.queued.front();
            instance.queued.pop_front();
            startInUpstream(instance, number);
        }
    }

    void end(uint64_t number, bool wasRun)
    {
        const auto found = m_requests.find(number);
        if (found == m_requests.end()) {
            return;
        }
        const sim_request request = found->second;
        m_requests.erase(found);
        sim_instance &instance = m_instances[request.instance];
        instance.running -= wasRun ? 1 : 0;
        startQueued(instance);
        const auto latency = std::chrono::duration_cast<std::chrono::nanoseconds>(
            std::chrono::duration<double>(m_now - request.dispatchedAt));
        instance.policy->finish(request.policyId,
                                wasRun ? request_outcome::Run : request_outcome::NotRun,
                                wasRun ? "answered" : "shed", latency, toTime(m_now));
        const double total = m_now - request.arrived;
        if (isMeasured(request.arrived)) {
            rank_result &rank = m_result.ranks[request.rank];
            if (wasRun && total <= m_scenario.ranks[request.rank].timeout) {
                ++rank.good;
                rank.quietGood += request.isQuiet ? 1 : 0;
                rank.share += request.service;
                m_latencies[request.rank].push_back(total);
            } else {
                ++rank.failed;
            }
        }
        poll(instance);
    }

    void loseInstance()
    {
        const size_t index = m_instances.size() - 1;
        m_instances[index].isLost = true;
        m_instances[index].queued.clear();
        std::erase_if(m_requests, [&](const auto &entry) {
            const sim_request &request = entry.second;
            if (request.instance == index && isMeasured(request.arrived)) {
                ++m_result.ranks[request.rank].failed;
            }
            return request.instance == index;
        });
    }

    void summarize()
    {
        for (size_t i = 0; i < m_latencies.size(); ++i) {
            std::vector<double> &values = m_latencies[i];
            std::sort(values.begin(), values.end());
            const auto quantile = [&values](double part) {
                const auto at = static_cast<size_t>(part * static_cast<double>(values.size()));
                return values.empty() ? 0 : values[std::min(at, values.size() - 1)];
            };
            rank_result &rank = m_result.ranks[i];
            rank.p50 = quantile(0.5);
            rank.p99 = quantile(0.99);
            rank.p999 = quantile(0.999);
            rank.share /= m_capacityTime;
            m_result.goodputShare += rank.share;
        }
        m_result.meanLimit = m_limitTime / m_instanceTime;
    }

    const policy_scenario &m_scenario;
    std::mt19937_64 m_random;
    std::vector<std::vector<double>> m_latencies;
    std::vector<sim_instance> m_instances;
    std::vector<arrival_stream> m_streams;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    std::map<uint64_t, sim_request> m_requests;
    uint64_t m_nextRequest = 1;
    uint64_t m_nextOrder = 0;
    double m_now = 0;
    double m_capacityTime = 0;
    double m_limitTime = 0;
    double m_instanceTime = 0;
    policy_result m_result;
};

} // namespace

policy_result simulatePolicy(const policy_scenario &scenario, const policy_kind &policy,
                             uint64_t seed)
{
    return simulation(scenario, policy, seed).run();
}

} // namespace persimmonrail
