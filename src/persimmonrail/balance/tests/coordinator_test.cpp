#include "persimmonrail/balance/coordinator.h"

#include "simulated_fleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Simulates the coordinators of all members of a fleet and the pings between them.
class coordinator_simulation
{
public:
    coordinator_simulation(int instances, int partitions)
        : m_fleet(instances, partitions)
    {
        publish();
    }

    // Passes the present view to all coordinators; adds coordinators for new members.
    void publish()
    {
        for (const auto &[name, member] : m_fleet.view().members) {
            m_coordinators.try_emplace(name, member.id, member.availabilityZone, hooks(name));
        }
        for (auto &[name, coordinator] : m_coordinators) {
            coordinator.setView(m_fleet.sharedView(), m_now);
        }
    }

    // Lets time pass in steps of 250 ms. Planned writes and moves complete within one step.
    void advance(std::chrono::seconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += 250ms) {
            for (auto &[name, coordinator] : m_coordinators) {
                for (const auto &target : coordinator.takeDuePings(m_now)) {
                    if (stoppedDaemons.count(target.id.name) + stoppedDaemons.count(name) == 0
                        && brokenLinks.count({name, target.id.name}) == 0) {
                        coordinator.recordReply(target.id, m_now);
                    }
                }
                if (stoppedDaemons.count(name) == 0) {
                    coordinator.tick(m_now);
                }
            }
            apply();
        }
    }

    // Returns the running daemons that coordinate the service "s".
    std::vector<std::string> activeCoordinators() const
    {
        std::vector<std::string> names;
        for (const auto &[name, coordinator] : m_coordinators) {
            if (stoppedDaemons.count(name) == 0 && coordinator.isCoordinatorOf("s", m_now)) {
                names.push_back(name);
            }
        }
        return names;
    }

    simulated_fleet &fleet() { return m_fleet; }

    // Daemons that have stopped.
    std::set<std::string> stoppedDaemons;
    // Pairs (sender, receiver) whose pings get no reply.
    std::set<std::pair<std::string, std::string>> brokenLinks;
    // Documents that are not evaluated yet.
    std::vector<stored_object> unevaluatedDocuments;
    // Service of each evaluated document, in order of the evaluations.
    std::vector<std::string> evaluatedServices;
    // Names of the removed members.
    std::vector<std::string> removedMembers;
    int recordWrites = 0;

private:
    coordinator::hooks hooks(const std::string &self)
    {
        coordinator::hooks hooks;
        hooks.placement = simulated_fleet::hooks();
        hooks.writeRecord = [this](const record_change &change) {
            ++recordWrites;
            m_pending.push_back(change);
        };
        hooks.unevaluatedDocuments = [this] { return unevaluatedDocuments; };
        hooks.evaluateDocument = [this](const std::string &service, const stored_object &) {
            evaluatedServices.push_back(service);
        };
        hooks.requestProbe = [this, self](const member_record &helper,
                                          const member_record &suspect) {
            if (stoppedDaemons.count(helper.id.name) == 0) {
                m_coordinators.at(self).recordProbeResult(
                    helper.id, suspect.id, stoppedDaemons.count(suspect.id.name) == 0, m_now);
            }
        };
        hooks.removeMember = [this](const member_record &member) {
            removedMembers.push_back(member.id.name);
        };
        return hooks;
    }

    void apply()
    {
        if (!m_pending.empty()) {
            for (const auto &change : m_pending) {
                m_fleet.write(change);
            }
            m_pending.clear();
            m_fleet.completeMoves();
            publish();
        }
    }

    simulated_fleet m_fleet;
    std::map<std::string, coordinator> m_coordinators;
    std::vector<record_change> m_pending;
    steady_time m_now = steady_time{} + 1h;
};

} // namespace

// Guards against a service without coordinator after its coordinator fails, and against duplicate
// writes.
TEST_CASE("one coordinator places the service and another replaces it after a failure")
{
    coordinator_simulation simulation(5, 20);
    simulation.advance(10s);
    REQUIRE(simulation.activeCoordinators().size() == 1);
    CHECK(simulation.recordWrites == 20);
    CHECK(simulation.fleet().view().records.size() == 20);
    CHECK(simulation.fleet().partitionSpread() <= 1);
    const auto firstCoordinator = simulation.activeCoordinators().front();
    simulation.stoppedDaemons.insert(firstCoordinator);
    simulation.advance(8s);
    REQUIRE(simulation.activeCoordinators().size() == 1);
    CHECK(simulation.activeCoordinators().front() != firstCoordinator);
    CHECK(simulation.recordWrites == 20);
}

// Guards against moves at the start of a service whose instances start one after the other.
TEST_CASE("the first placement waits until no more members join")
{
    coordinator_simulation simulation(1, 12);
    for (const auto *name : {"i1", "i2", "i3"}) {
        simulation.advance(1s);
        CHECK(simulation.recordWrites == 0);
        simulation.fleet().addMember(name);
        simulation.publish();
    }
    simulation.advance(30s);
    CHECK(simulation.recordWrites == 12);
    CHECK(simulation.fleet().partitionSpread() == 0);
}

// Guards against the removal of members that only the coordinator cannot reach, and against failed
// members that are never removed.
TEST_CASE("a member is removed after 60 s without reply and a confirmation")
{
    const auto [name, isStopped, seconds, expected] = GENERATE(table<std::string, bool, int, bool>(
        {{"stopped", true, 75, true},
         {"stopped for less than 60 s", true, 50, false},
         {"unreachable from the coordinator only", false, 200, false},
         {"alive", false, 0, false}}));
    CAPTURE(name);
    coordinator_simulation simulation(5, 20);
    simulation.advance(10s);
    const auto activeCoordinator = simulation.activeCoordinators().front();
    const std::string failedMember = activeCoordinator == "i1" ? "i2" : "i1";
    if (isStopped) {
        simulation.stoppedDaemons.insert(failedMember);
    } else if (seconds > 0) {
        simulation.brokenLinks.insert({activeCoordinator, failedMember});
    }
    simulation.advance(std::chrono::seconds(seconds == 0 ? 100 : seconds));
    CHECK(simulation.removedMembers.empty() == !expected);
    CHECK(std::all_of(simulation.removedMembers.begin(), simulation.removedMembers.end(),
                      [&](const std::string &member) { return member == failedMember; }));
}

// Guards against the evaluation of a document by many daemons or in a tight loop, and against
// documents that are never evaluated because their service has no members.
TEST_CASE("newer documents are evaluated by one coordinator")
{
    const std::string service = GENERATE("s", "other");
    coordinator_simulation simulation(5, 20);
    simulation.advance(10s);
    simulation.unevaluatedDocuments = {{"config/" + service, 7, false, "{}"}};
    simulation.advance(12s);
    CHECK(simulation.evaluatedServices == std::vector<std::string>(3, service));
    simulation.unevaluatedDocuments = {{"config/" + service, 8, false, "{}"}};
    simulation.advance(2s);
    CHECK(simulation.evaluatedServices.size() == 4);
}

// Guards against moves of partitions to a member that does not reply to pings.
TEST_CASE("an unresponsive member receives no partitions")
{
    const bool repliesAtFirst = GENERATE(false, true);
    coordinator_simulation simulation(5, 600);
    simulation.advance(20s);
    REQUIRE(simulation.fleet().partitionSpread() == 0);
    simulation.fleet().addMember("i5");
    if (!repliesAtFirst) {
        simulation.stoppedDaemons.insert("i5");
    }
    simulation.publish();
    simulation.advance(2s);
    simulation.stoppedDaemons.insert("i5");
    // Two moves start every 250 ms until "i5" has missed three pings. Its full share would be 100
    // partitions.
    simulation.advance(10s);
    const int received = simulation.fleet().counts()["i5"];
    CHECK(received >= (repliesAtFirst ? 1 : 0));
    CHECK(received <= (repliesAtFirst ? 50 : 0));
    simulation.advance(40s);
    CHECK(simulation.fleet().counts()["i5"] == received);
}
