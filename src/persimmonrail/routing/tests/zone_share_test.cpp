#include "persimmonrail/routing/zone_share.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr int zoneCount = 4;
constexpr double usualCapacity = 600;
constexpr auto tick = 20ms;
const steady_time start = steady_time(1000s);

std::string zoneName(int zone)
{
    return "zone-" + std::to_string(zone);
}

zone_share_options options()
{
    zone_share_options options;
    options.crossingCost = 5ms;
    options.crossingCostPerKb = 0.5;
    return options;
}

// Demand and capacity of the zones as multiples of the usual capacity.
struct simulated_load
{
    std::array<double, zoneCount> demand{};
    std::array<double, zoneCount> capacity{1, 1, 1, 1};
};

// Queues of four zones as fluids, and daemons that decide alone by reports of different ages.
class zone_simulation
{
public:
    zone_simulation(int daemons, milliseconds maxAge)
        : m_maxAge(maxAge)
    {
        for (int i = 0; i < daemons; ++i) {
            m_daemons.emplace_back(zoneName(i % zoneCount), options());
        }
    }

    // Reported demands and capacities deviate by up to this share, independently in each report.
    void setNoise(double noise) { m_noise = noise; }
    // Sets the time after which daemons get no new reports.
    void stopReportsAt(steady_time end) { m_reportsEnd = end; }

    void run(const simulated_load &load, milliseconds duration)
    {
        for (const steady_time end = m_now + duration; m_now < end; m_now += tick) {
            step(load);
        }
    }

    // Mean share that leaves the zone over its daemons.
    double leaving(int zone) const
    {
        double sum = 0;
        int count = 0;
        for (size_t i = zone; i < m_daemons.size(); i += zoneCount, ++count) {
            sum += m_daemons[i].split().leaving();
        }
        return sum / count;
    }
    double waiting(int zone) const { return m_waiting[zone]; }
    // Reversals of the zone's share by at least 5 percentage points since the start.
    int reversals(int zone) const { return m_turns[zone].count; }
    // Ticks in which the zone sent and received more than 5% of its capacity.
    int bothWays() const { return m_bothWays; }
    // Share of all requests that could not be served within 1 s.
    double lost() const { return m_lost / m_arrived; }
    void resetLosses() { m_lost = m_arrived = 0; }
    double lostOf(int origin) const { return m_lostByOrigin[origin]; }

private:
    struct turn_counter
    {
        double extreme = 0;
        int direction = 0;
        int count = 0;
    };

    void step(const simulated_load &load)
    {
        std::array<std::array<double, zoneCount>, zoneCount> sent{};
        for (int from = 0; from < zoneCount; ++from) {
            const double demand = load.demand[from] * usualCapacity;
            sent[from][from] = demand;
            int count = 0;
            for (size_t i = from; i < m_daemons.size(); i += zoneCount) {
                ++count;
            }
            for (size_t i = from; i < m_daemons.size(); i += zoneCount) {
                for (const auto &[zone, share] : m_daemons[i].split().shares) {
                    const int to = zone.back() - '0';
                    sent[from][to] += demand * share / count;
                    sent[from][from] -= demand * share / count;
                }
            }
        }
        serve(load, sent);
        report(load);
        for (size_t i = 0; i < m_daemons.size(); ++i) {
            // Each daemon decides every 100 ms, at a moment of its own.
            if ((m_step + i) % 5 == 0) {
                decide(m_daemons[i], i);
            }
        }
        for (int zone = 0; zone < zoneCount; ++zone) {
            countTurns(m_turns[zone], leaving(zone));
        }
        ++m_step;
    }

    void serve(const simulated_load &load,
               const std::array<std::array<double, zoneCount>, zoneCount> &sent)
    {
        const double elapsed = std::chrono::duration<double>(tick).count();
        for (int to = 0; to < zoneCount; ++to) {
            const double capacity = load.capacity[to] * usualCapacity;
            double arrived = 0;
            for (int from = 0; from < zoneCount; ++from) {
                arrived += sent[from][to] * elapsed;
            }
            const double queued = m_waiting[to] + arrived - capacity * elapsed;
            m_waiting[to] = std::clamp(queued, 0.0, capacity);
            const double lost = std::max(0.0, queued - capacity);
            m_lost += lost;
            m_arrived += arrived;
            for (int from = 0; from < zoneCount && arrived > 0; ++from) {
                m_lostByOrigin[from] += lost * sent[from][to] * elapsed / arrived;
            }
            const double away = load.demand[to] * usualCapacity - sent[to][to];
            const double incoming = arrived / elapsed - sent[to][to];
            m_bothWays += std::min(away, incoming) > 0.05 * usualCapacity ? 1 : 0;
        }
    }

    void report(const simulated_load &load)
    {
        std::vector<zone_load> zones;
        for (int zone = 0; zone < zoneCount; ++zone) {
            // The demand is a moving average over 500 ms.
            m_demand[zone] += (load.demand[zone] * usualCapacity - m_demand[zone]) * 0.04;
            const double capacity = load.capacity[zone] * usualCapacity * deviation();
            zones.push_back({zoneName(zone), capacity > 0 ? 6 : 0, 54, 0,
                             static_cast<int>(m_waiting[zone]), capacity,
                             m_demand[zone] * deviation(), m_now});
        }
        m_history.push_back(std::move(zones));
        if (m_history.size() > 400) {
            m_history.pop_front();
        }
    }

    double deviation()
    {
        return 1 + m_noise * std::uniform_real_distribution<double>(-1, 1)(m_random);
    }

    void decide(zone_share &daemon, size_t index)
    {
        // Daemons get their reports at intervals of their own, so that ages vary over time.
        const auto period = static_cast<int>(m_maxAge / tick) + 1;
        int age = static_cast<int>((m_step + index * 7) % period);
        if (m_now > m_reportsEnd) {
            age += static_cast<int>((m_now - m_reportsEnd) / tick);
        }
        const int last = static_cast<int>(m_history.size()) - 1;
        daemon.update(m_history[std::max(0, last - age)], m_now);
    }

    static void countTurns(turn_counter &turns, double share)
    {
        constexpr double width = 0.05;
        const bool isRising = turns.direction >= 0 && share > turns.extreme;
        const bool isFalling = turns.direction <= 0 && share < turns.extreme;
        turns.extreme = isRising || isFalling ? share : turns.extreme;
        const double change = share - turns.extreme;
        if (std::abs(change) >= width) {
            turns.count += turns.direction != 0 ? 1 : 0;
            turns.direction = change > 0 ? 1 : -1;
            turns.extreme = share;
        } else if (turns.direction == 0 && share >= width) {
            turns.direction = 1;
        }
    }

    const milliseconds m_maxAge;
    double m_noise = 0;
    std::mt19937_64 m_random{7};
    steady_time m_reportsEnd = steady_time::max();
    steady_time m_now = start;
    size_t m_step = 0;
    std::vector<zone_share> m_daemons;
    std::deque<std::vector<zone_load>> m_history;
    std::array<double, zoneCount> m_waiting{};
    std::array<double, zoneCount> m_demand{};
    std::array<double, zoneCount> m_lostByOrigin{};
    std::array<turn_counter, zoneCount> m_turns{};
    double m_lost = 0;
    double m_arrived = 0;
    int m_bothWays = 0;
};

zone_load stateOf(int zone, double demand, double capacity = 1, steady_time reportedAt = start)
{
    return {zoneName(zone),         6,         54, 0, 0, capacity * usualCapacity,
            demand * usualCapacity, reportedAt};
}

// Mean time per request of a split of zone 0 into three equal other zones, in seconds.
double meanTime(double demand, double otherDemand, double leaving)
{
    const auto total = [](double load) {
        // 54 slots at 6 upstreams count as 22.
        const double wait = 0.09 / 22 * std::pow(std::min(load, 0.97), std::sqrt(46.0) - 1)
                / (1 - std::min(load, 0.97))
            + std::max(0.0, load - 0.97) * 3;
        return load * wait;
    };
    const double moved = demand * leaving;
    const double time = total(demand - moved) + 3 * total(otherDemand + moved / 3) + moved * 0.005;
    return time / (demand + 3 * otherDemand);
}

} // namespace

// The load of one zone at 0.5 to 3 times its capacity, the others at 0.4. Bounds: the share that
// leaves, the waiting time over that of the best split within the limit on help, one reversal.
TEST_CASE("a zone sends as much as pays off", "[zone]")
{
    const auto [demand, least, most] = GENERATE(table<double, double, double>({
        {0.5, 0.0, 0.0},
        {0.75, 0.0, 0.0},
        {1.0, 0.1, 0.25},
        {1.5, 0.4, 0.5},
        {2.0, 0.55, 0.65},
        {3.0, 0.45, 0.5},
    }));
    const auto daemons = GENERATE(4, 20, 80);
    const auto age = GENERATE(0ms, 1000ms, 3000ms);
    CAPTURE(demand, daemons, age.count());
    zone_simulation simulation(daemons, age);
    simulation.run({{demand, 0.4, 0.4, 0.4}}, 10s);
    CHECK(simulation.leaving(0) >= least);
    CHECK(simulation.leaving(0) <= most);
    CHECK(simulation.reversals(0) <= 1);
    CHECK(simulation.bothWays() == 0);
    double best = 1e9;
    for (double leaving = 0; leaving <= 1; leaving += 0.002) {
        if (0.4 + demand * leaving / 3 <= options().maxHelpUtilization) {
            best = std::min(best, meanTime(demand, 0.4, leaving));
        }
    }
    CHECK(meanTime(demand, 0.4, simulation.leaving(0)) <= best * 1.25 + 0.002);
}

// Load: a zone with half of its upstreams at a third of their speed. Its own zone serves the rest.
TEST_CASE("a zone with slow upstreams sends what they can't serve", "[zone]")
{
    const auto age = GENERATE(0ms, 2000ms, 3000ms);
    zone_simulation simulation(20, age);
    simulation.run({{0.75, 0.5, 0.5, 0.5}}, 4s);
    CHECK(simulation.leaving(0) == 0);
    simulation.run({{0.75, 0.5, 0.5, 0.5}, {0.667, 1, 1, 1}}, 6s);
    CHECK(simulation.leaving(0) >= 0.17);
    CHECK(simulation.leaving(0) <= 0.35);
    CHECK(simulation.waiting(0) < 0.05 * usualCapacity);
    simulation.run({{0.75, 0.5, 0.5, 0.5}}, 6s);
    CHECK(simulation.leaving(0) == 0);
    CHECK(simulation.reversals(0) <= 2);
}

// Load: all zones full. Requests that leave would only displace others that leave.
TEST_CASE("nothing leaves while all zones are full", "[zone]")
{
    const auto age = GENERATE(0ms, 1000ms, 3000ms);
    zone_simulation simulation(80, age);
    simulation.run({{1.3, 1.2, 0.95, 1.6}}, 10s);
    for (int zone = 0; zone < zoneCount; ++zone) {
        CHECK(simulation.leaving(zone) == 0);
    }
    CHECK(simulation.bothWays() == 0);
}

// Load: zones that alternate at 1.8 times their capacity every 4 s. Bounds: at most one reversal of
// the share for each one of the load, and no zone that sends and receives for longer than a report
// is old plus 600 ms.
TEST_CASE("shifting traffic causes no oscillation", "[zone]")
{
    const auto daemons = GENERATE(4, 20, 80);
    const auto age = GENERATE(0ms, 1000ms, 2000ms);
    CAPTURE(daemons, age.count());
    zone_simulation simulation(daemons, age);
    for (int turn = 0; turn < 8; ++turn) {
        simulated_load load{{0.4, 0.4, 0.4, 0.4}};
        load.demand[turn % 2] = 1.8;
        simulation.run(load, 4s);
    }
    CHECK(simulation.reversals(0) <= 8);
    CHECK(simulation.reversals(1) <= 8);
    CHECK(simulation.bothWays() * tick <= 2 * 7 * (age + 600ms));
    CHECK(simulation.lost() <= 0.12);
}

// Load: a zone is lost for 5 s and comes back cold, at a tenth of its capacity.
TEST_CASE("a lost zone is left at once and used again as it warms up", "[zone]")
{
    zone_simulation simulation(20, 1000ms);
    simulation.run({{0.6, 0.6, 0.6, 0.6}}, 3s);
    simulation.run({{0.6, 0.6, 0.6, 0.6}, {0, 1, 1, 1}}, 1200ms);
    CHECK(simulation.leaving(0) == Approx(1));
    simulation.resetLosses();
    simulation.run({{0.6, 0.6, 0.6, 0.6}, {0, 1, 1, 1}}, 4s);
    CHECK(simulation.lost() == 0);
    simulation.run({{0.6, 0.6, 0.6, 0.6}, {0.1, 1, 1, 1}}, 4s);
    CHECK(simulation.leaving(0) >= 0.8);
    CHECK(simulation.leaving(0) <= 0.95);
    simulation.run({{0.6, 0.6, 0.6, 0.6}}, 4s);
    CHECK(simulation.leaving(0) == 0);
}

// Fault: reports stop while the zone sends half of its requests. After 6 s it sends nothing.
TEST_CASE("a share without reports is taken back", "[zone]")
{
    zone_simulation simulation(20, 1000ms);
    simulation.run({{2, 0.4, 0.4, 0.4}}, 5s);
    CHECK(simulation.leaving(0) > 0.4);
    simulation.stopReportsAt(start + 5s);
    simulation.run({{2, 0.4, 0.4, 0.4}}, 2s);
    CHECK(simulation.leaving(0) > 0.4);
    simulation.run({{2, 0.4, 0.4, 0.4}}, 7s);
    CHECK(simulation.leaving(0) < 0.01);
}

// A zone that helps keeps a part of its capacity for the growth of its own demand.
TEST_CASE("a helping zone is not filled", "[zone]")
{
    const auto otherDemand = GENERATE(0.1, 0.4, 0.7, 0.88, 1.2);
    zone_split split =
        planZoneSplit({stateOf(0, 4), stateOf(1, otherDemand)}, zoneName(0), options(), start);
    const double load = otherDemand + 4 * split.leaving();
    CHECK(load <= std::max(otherDemand, options().maxHelpUtilization) + 1e-9);
}

// Guards against reports whose zones are unknown or whose values are useless.
TEST_CASE("no plan without recent reports", "[zone]")
{
    CHECK(planZoneSplit({}, zoneName(0), options(), start).leaving() == 0);
    CHECK(planZoneSplit({stateOf(0, 3)}, zoneName(0), options(), start).reason
          == share_reason::NoReports);
    CHECK(planZoneSplit({stateOf(0, 3), stateOf(1, 0.1, 1, start - 7s)}, zoneName(0), options(),
                        start)
              .reason
          == share_reason::NoReports);
    CHECK(planZoneSplit({stateOf(1, 0.1), stateOf(0, 3)}, zoneName(7), options(), start).leaving()
          == 0);
}

// Load: a third of the requests have 60 KB. Bounds: the share within 3 points, and bytes that cross
// below a third of those that cross if size is ignored.
TEST_CASE("large requests stay in the zone", "[zone]")
{
    zone_share share(zoneName(0), options());
    const std::vector<zone_load> zones{stateOf(0, 1.3), stateOf(1, 0.3), stateOf(2, 0.3)};
    share.update(zones, start);
    const double expected = share.split().leaving();
    REQUIRE(expected > 0.1);
    int left = 0;
    double bytesLeft = 0;
    double bytes = 0;
    constexpr int requests = 20000;
    for (int i = 0; i < requests; ++i) {
        const double size = i % 3 == 0 ? 60000 : 1000;
        const bool leaves =
            share.choose((i * 7919 % requests) / double(requests), size) != zoneName(0);
        left += leaves ? 1 : 0;
        bytes += size;
        bytesLeft += leaves ? size : 0;
    }
    CHECK(left / double(requests) == Approx(expected).margin(0.03));
    CHECK(bytesLeft / bytes < expected / 3);
}

// Each request costs 35 ms to cross, more than it waits in the zone; small ones would leave.
TEST_CASE("a service of large requests leaves later", "[zone]")
{
    const std::vector<zone_load> zones{stateOf(0, 0.92), stateOf(1, 0.3), stateOf(2, 0.3)};
    for (const double bytes : {1000.0, 60000.0}) {
        zone_share share(zoneName(0), options());
        for (int i = 0; i < 200; ++i) {
            share.choose(0.5, bytes);
        }
        share.update(zones, start);
        CAPTURE(bytes);
        CHECK((share.split().leaving() > 0.05) == (bytes < 2000));
    }
}

// Fault: an upstream of the own zone has rejected a request. A second attempt goes where there is
// room after all planned requests, in proportion to it, and stays if there is none.
TEST_CASE("a rejected request goes where there is room", "[zone]")
{
    zone_share share(zoneName(0), options());
    CHECK(share.chooseAfterRejection(0.5) == zoneName(0));
    share.update({stateOf(0, 0.5), stateOf(1, 0.48), stateOf(2, 0.78)}, start);
    CHECK(share.split().leaving() == 0);
    std::map<std::string, int> chosen;
    for (int i = 0; i < 1000; ++i) {
        ++chosen[share.chooseAfterRejection(i / 1000.0)];
    }
    CHECK(chosen[zoneName(1)] == 800);
    CHECK(chosen[zoneName(2)] == 200);
    share.update({stateOf(0, 0.5), stateOf(1, 0.95)}, start + 1s);
    CHECK(share.chooseAfterRejection(0.5) == zoneName(0));
}

// Load: a zone that sends half of its requests has spare capacity again. The share must be gone
// once the reports and the moving average of the demand show it.
TEST_CASE("a share is taken back at once", "[zone]")
{
    const auto age = GENERATE(0ms, 1000ms, 2000ms);
    zone_simulation simulation(20, age);
    simulation.run({{1.8, 0.4, 0.4, 0.4}}, 5s);
    CHECK(simulation.leaving(0) > 0.45);
    simulation.run({{0.4, 0.4, 0.4, 0.4}}, age + 900ms);
    CAPTURE(age.count(), simulation.leaving(0));
    CHECK(simulation.leaving(0) < 0.05);
}

// Load: zones near their capacity, with reports that deviate by 15%. Bounds: ticks in which a zone
// sends and receives more than 5% of its capacity, reversals in 20 s, and requests lost.
TEST_CASE("deviating reports don't make zones send to each other", "[zone]")
{
    const auto demand = GENERATE(0.7, 0.8, 0.9, 1.0, 1.1);
    const auto age = GENERATE(0ms, 1000ms, 3000ms);
    zone_simulation simulation(20, age);
    simulation.run({{0.5, 0.5, 0.5, 0.5}}, 4s);
    simulation.setNoise(0.15);
    simulation.run({{demand, demand, demand, demand}}, 20s);
    CAPTURE(demand, age.count(), simulation.reversals(0), simulation.lost());
    // Of 4,000 ticks of a zone.
    CHECK(simulation.bothWays() <= (age > 1000ms ? 40 : 0));
    CHECK(simulation.reversals(0) <= 2);
}

// One line for each change, so that a log reader sees why requests began to leave.
TEST_CASE("a change of the share is reported once", "[zone]")
{
    zone_share share(zoneName(0), options());
    share.update({stateOf(0, 0.5), stateOf(1, 0.3)}, start);
    CHECK(share.takeChange()->reason == share_reason::Spare);
    share.update({stateOf(0, 0.5), stateOf(1, 0.3)}, start + 100ms);
    CHECK_FALSE(share.takeChange().has_value());
    share.update({stateOf(0, 2, 1, start + 2s), stateOf(1, 0.3, 1, start + 2s)}, start + 2s);
    const auto change = share.takeChange();
    REQUIRE(change.has_value());
    CHECK(change->from == 0);
    CHECK(change->to > 0.2);
    CHECK(change->reason == share_reason::OthersFull);
    CHECK(change->ownDemand == Approx(1200));
}
