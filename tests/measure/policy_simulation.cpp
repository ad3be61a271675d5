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

constexpr double runEnd = warmUpSeconds + measuredSeconds;
// Parameter of the lognormal distribution of service times.
constexpr double serviceSigma = 0.6;
// Seconds after which an upstream responds to a request that it sheds.
constexpr double shedResponseSeconds = 0.0005;

// Converts seconds of virtual time.
steady_time toTime(double seconds)
{
    return steady_time()
        + std::chrono::duration_cast<steady_time::duration>(std::chrono::duration<double>(seconds));
}

// A request that waits for admission or is at its upstream. Times are in seconds of virtual time.
struct sim_request
{
    size_t rank = 0;
    double arrived = 0;
    double dispatchedAt = 0;
    // Undisturbed service time.
    double serviceTime = 0;
    // Whether a subsidiary other than the flooding one sent the request.
    bool isNonFlooding = false;
    // Index of the instance that receives the request.
    size_t instance = 0;
    // Id that the admission policy gave to the request.
    uint64_t policyId = 0;
};

// A scheduled event of the simulation.
struct event
{
    // Virtual time in seconds.
    double at = 0;
    enum class event_type { Arrival, Completion, Shed, CapacityChange } type = event_type::Arrival;
    // Index of the arrival stream, or id of the completed or shed request. For a capacity change, 1
    // means that the last instance fails and 0 that a disturbance ends.
    uint64_t subject = 0;
    // Events of the same time are processed in the order in which they were scheduled.
    uint64_t sequence = 0;

    bool operator>(const event &other) const
    {
        return std::tie(at, sequence) > std::tie(other.at, other.sequence);
    }
};

// Poisson arrivals of one rank, either of the flooding subsidiary or of the four others.
struct arrival_stream
{
    size_t rank = 0;
    double requestsPerSecond = 0;
    bool isFlooding = false;
};

// One daemon's admission policy and its upstream.
struct sim_instance
{
    std::unique_ptr<admission_policy> policy;
    // Requests that wait for admission, by the id of the policy.
    std::map<uint64_t, uint64_t> requestIdByPolicyId;
    // Ids of admitted requests that wait inside the upstream.
    std::deque<uint64_t> queued;
    // Number of requests that the upstream runs.
    int running = 0;
    bool isLost = false;
};

// Discrete-event simulation of one scenario with one policy.
class simulation
{
public:
    simulation(const policy_scenario &scenario, const policy_factory &factory, uint64_t seed)
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
            m_instances.back().policy = factory.make(floors, scenario.slots, toTime(0));
        }
        m_result.ranks.resize(scenario.ranks.size());
        for (size_t i = 0; i < scenario.ranks.size(); ++i) {
            addStream(i, scenario.ranks[i].offered, false);
            addStream(i, scenario.ranks[i].floodingOffered, true);
        }
        for (const disturbance &period : scenario.disturbances) {
            schedule(period.end, event::event_type::CapacityChange, 0);
        }
        schedule(scenario.instanceLostAt, event::event_type::CapacityChange, 1);
    }

    policy_result run()
    {
        while (!m_events.empty() && m_events.top().at < runEnd) {
            const event next = m_events.top();
            m_events.pop();
            advanceTo(next.at);
            process(next);
        }
        advanceTo(runEnd);
        summarize();
        return m_result;
    }

private:
    void addStream(size_t rank, double offered, bool isFlooding)
    {
        if (offered <= 0) {
            return;
        }
        const double slots = m_scenario.slots * m_scenario.instances;
        m_streams.push_back(
            {rank, offered * slots / m_scenario.ranks[rank].meanServiceTime, isFlooding});
        scheduleArrival(m_streams.size() - 1);
    }
    void scheduleArrival(size_t stream)
    {
        std::exponential_distribution<double> interarrivalTime(m_streams[stream].requestsPerSecond);
        schedule(m_now + interarrivalTime(m_random), event::event_type::Arrival, stream);
    }
    void schedule(double at, event::event_type type, uint64_t subject)
    {
        m_events.push({at, type, subject, m_nextSequence++});
    }

    // Returns the disturbance in effect now, or the normal capacity and speed.
    disturbance currentDisturbance() const
    {
        for (const disturbance &period : m_scenario.disturbances) {
            if (m_now >= period.start && m_now < period.end) {
                return period;
            }
        }
        return {};
    }
    // Returns the number of slots per instance that can run requests now.
    int usableSlots() const
    {
        return static_cast<int>(std::lround(m_scenario.slots * currentDisturbance().capacityShare));
    }
    bool isMeasured(double arrived) const { return arrived >= warmUpSeconds; }

    // Adds the capacity and the concurrency limits between the current time and `at` to the sums,
    // then sets the current time to `at`.
    void advanceTo(double at)
    {
        const double start = std::max(m_now, warmUpSeconds);
        if (at > start) {
            for (const sim_instance &instance : m_instances) {
                if (!instance.isLost) {
                    m_capacitySeconds +=
                        (at - start) * usableSlots() / currentDisturbance().serviceTimeFactor;
                    m_limitSeconds += (at - start) * instance.policy->limit();
                    m_instanceSeconds += at - start;
                }
            }
        }
        m_now = at;
    }

    void process(const event &next)
    {
        switch (next.type) {
        case event::event_type::Arrival:
            scheduleArrival(next.subject);
            onArrival(m_streams[next.subject]);
            break;
        case event::event_type::Completion:
        case event::event_type::Shed:
            onResponse(next.subject, next.type == event::event_type::Completion);
            break;
        case event::event_type::CapacityChange:
            if (next.subject == 1) {
                failLastInstance();
            }
            for (sim_instance &instance : m_instances) {
                startQueuedRequests(instance);
            }
            break;
        }
    }

    void onArrival(const arrival_stream &stream)
    {
        const rank_load &load = m_scenario.ranks[stream.rank];
        sim_request request;
        request.rank = stream.rank;
        request.arrived = m_now;
        request.isNonFlooding = !stream.isFlooding;
        std::lognormal_distribution<double> distribution(
            std::log(load.meanServiceTime) - serviceSigma * serviceSigma / 2, serviceSigma);
        request.serviceTime = distribution(m_random);
        const auto liveCount = static_cast<size_t>(
            std::count_if(m_instances.begin(), m_instances.end(),
                          [](const sim_instance &instance) { return !instance.isLost; }));
        request.instance = std::uniform_int_distribution<size_t>(0, liveCount - 1)(m_random);
        const std::string subsidiary = stream.isFlooding
            ? "flooding"
            : std::to_string(std::uniform_int_distribution<int>(0, 3)(m_random));
        if (isMeasured(m_now)) {
            ++m_result.ranks[stream.rank].offered;
            m_result.ranks[stream.rank].nonFloodingOffered += request.isNonFlooding ? 1 : 0;
        }
        sim_instance &instance = m_instances[request.instance];
        const auto id = instance.policy->submit(stream.rank, subsidiary,
                                                toTime(m_now + load.timeout), toTime(m_now));
        if (!id) {
            countRejected(request);
            return;
        }
        request.policyId = *id;
        m_requests[m_nextRequestId] = request;
        instance.requestIdByPolicyId[*id] = m_nextRequestId++;
        dispatchAdmitted(instance);
    }

    void countRejected(const sim_request &request)
    {
        if (isMeasured(request.arrived)) {
            ++m_result.ranks[request.rank].refused;
        }
    }

    // Applies the decisions of the policy: dispatches the admitted requests to the upstream and
    // counts the rejected ones.
    void dispatchAdmitted(sim_instance &instance)
    {
        for (const queue_decision &decision : instance.policy->poll(toTime(m_now))) {
            const uint64_t requestId = instance.requestIdByPolicyId[decision.id];
            instance.requestIdByPolicyId.erase(decision.id);
            sim_request &request = m_requests[requestId];
            if (decision.rejection) {
                countRejected(request);
                m_requests.erase(requestId);
                continue;
            }
            request.dispatchedAt = m_now;
            if (instance.running < usableSlots()) {
                startInUpstream(instance, requestId);
            } else if (currentDisturbance().overflow == overflow_handling::Shed) {
                schedule(m_now + shedResponseSeconds, event::event_type::Shed, requestId);
            } else {
                instance.queued.push_back(requestId);
            }
        }
    }

    void startInUpstream(sim_instance &instance, uint64_t requestId)
    {
        ++instance.running;
        schedule(m_now + m_requests[requestId].serviceTime * currentDisturbance().serviceTimeFactor,
                 event::event_type::Completion, requestId);
    }
    void startQueuedRequests(sim_instance &instance)
    {
        while (!instance.queued.empty() && instance.running < usableSlots()) {
            const uint64_t requestId = instance.queued.front();
            instance.queued.pop_front();
            startInUpstream(instance, requestId);
        }
    }

    // Handles the response of the upstream; `wasRun` is false if the upstream shed the request.
    // Requests of a failed instance are no longer known and are ignored.
    void onResponse(uint64_t requestId, bool wasRun)
    {
        const auto found = m_requests.find(requestId);
        if (found == m_requests.end()) {
            return;
        }
        const sim_request request = found->second;
        m_requests.erase(found);
        sim_instance &instance = m_instances[request.instance];
        instance.running -= wasRun ? 1 : 0;
        startQueuedRequests(instance);
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
                rank.nonFloodingGood += request.isNonFlooding ? 1 : 0;
                rank.share += request.serviceTime;
                m_latencies[request.rank].push_back(total);
            } else {
                ++rank.failed;
            }
        }
        dispatchAdmitted(instance);
    }

    // Fails the last instance with all its waiting and running requests.
    void failLastInstance()
    {
        const size_t lastIndex = m_instances.size() - 1;
        m_instances[lastIndex].isLost = true;
        m_instances[lastIndex].queued.clear();
        std::erase_if(m_requests, [&](const auto &entry) {
            const sim_request &request = entry.second;
            if (request.instance == lastIndex && isMeasured(request.arrived)) {
                ++m_result.ranks[request.rank].failed;
            }
            return request.instance == lastIndex;
        });
    }

    void summarize()
    {
        for (size_t i = 0; i < m_latencies.size(); ++i) {
            std::vector<double> &values = m_latencies[i];
            std::sort(values.begin(), values.end());
            const auto quantile = [&values](double fraction) {
                const auto index =
                    static_cast<size_t>(fraction * static_cast<double>(values.size()));
                return values.empty() ? 0 : values[std::min(index, values.size() - 1)];
            };
            rank_result &rank = m_result.ranks[i];
            rank.p50 = quantile(0.5);
            rank.p99 = quantile(0.99);
            rank.p999 = quantile(0.999);
            rank.share /= m_capacitySeconds;
            m_result.goodputShare += rank.share;
        }
        m_result.meanLimit = m_limitSeconds / m_instanceSeconds;
    }

    const policy_scenario &m_scenario;
    std::mt19937_64 m_random;
    // Latencies of the good requests in seconds, per rank.
    std::vector<std::vector<double>> m_latencies;
    std::vector<sim_instance> m_instances;
    std::vector<arrival_stream> m_streams;
    std::priority_queue<event, std::vector<event>, std::greater<>> m_events;
    // Unfinished requests by id.
    std::map<uint64_t, sim_request> m_requests;
    uint64_t m_nextRequestId = 1;
    uint64_t m_nextSequence = 0;
    double m_now = 0;
    // Sums over the live instances since the end of the warm-up: capacity in slot seconds, the
    // concurrency limit multiplied by seconds, and seconds.
    double m_capacitySeconds = 0;
    double m_limitSeconds = 0;
    double m_instanceSeconds = 0;
    policy_result m_result;
};

} // namespace

policy_result simulatePolicy(const policy_scenario &scenario, const policy_factory &factory,
                             uint64_t seed)
{
    return simulation(scenario, factory, seed).run();
}

} // namespace persimmonrail
