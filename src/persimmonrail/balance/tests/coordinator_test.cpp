#include "persimmonrail/balance/coordinator.h"

#include "simulated_fleet.h"

#include <catch2/catch.hpp>

#include <set>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Runs the coordinators of all members of a fleet against simulated pings.
class coordinator_fleet
{
public:
    coordinator_fleet(int instances, int partitions)
        : m_fleet(instances, partitions)
    {
        publish();
    }

    void publish()
    {
        for (const auto &[name, member] : m_fleet.view().members) {
            m_coordinators.try_emplace(name, member.id, member.availabilityZone, hooks(name));
        }
        for (auto &[name, coordinator] : m_coordinators) {
            coordinator.setView(m_fleet.sharedView(), m_now);
        }
    }

    void run(std::chrono::seconds duration)
    {
        for (const auto end = m_now + duration; m_now < end; m_now += 250ms) {
            for (auto &[name, coordinator] : m_coordinators) {
                for (const auto &target : coordinator.duePings(m_now)) {
                    if (dead.count(target.id.name) + dead.count(name) == 0
                        && cut.count({name, target.id.name}) == 0) {
                        coordinator.recordResponse(target.id, m_now);
                    }
                }
                if (dead.count(name) == 0) {
                    coordinator.tick(m_now);
                }
            }
            apply();
        }
    }

    std::vector<std::string> holders() const
    {
        std::vector<std::string> names;
        for (const auto &[name, coordinator] : m_coordinators) {
            if (dead.count(name) == 0 && coordinator.coordinates("s", m_now)) {
                names.push_back(name);
            }
        }
        return names;
    }

    simulated_fleet &fleet() { return m_fleet; }

    std::set<std::string> dead;
    // Pairs that can't reach each other.
    std::set<std::pair<std::string, std::string>> cut;
    std::vector<stored_object> documents;
    std::vector<std::string> accepted;
    std::vector<std::string> removed;
    int writes = 0;

private:
    coordinator::hooks hooks(const std::string &self)
    {
        coordinator::hooks hooks;
        hooks.placement = simulated_fleet::hooks();
        hooks.writeRecord = [this](const record_change &change) {
            ++writes;
            m_pending.push_back(change);
        };
        hooks.newerDocuments = [this] { return documents; };
        hooks.acceptDocument = [this](const std::string &service, const stored_object &) {
            accepted.push_back(service);
        };
        hooks.askConfirmation = [this, self](const member_record &helper,
                                             const member_record &suspect) {
            if (dead.count(helper.id.name) == 0) {
                m_coordinators.at(self).noteConfirmation(helper.id, suspect.id,
                                                         dead.count(suspect.id.name) == 0, m_now);
            }
        };
        hooks.removeMember = [this](const member_record &member) {
            removed.push_back(member.id.name);
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

// Guards against a service without coordinator after losses, and against duplicate writes.
TEST_CASE("one coordinator places the service and another takes over")
{
    coordinator_fleet run(5, 20);
    run.run(10s);
    REQUIRE(run.holders().size() == 1);
    CHECK(run.writes == 20);
    CHECK(run.fleet().view().records.size() == 20);
    CHECK(run.fleet().spread() <= 1);
    const auto first = run.holders().front();
    run.dead.insert(first);
    run.run(8s);
    REQUIRE(run.holders().size() == 1);
    CHECK(run.holders().front() != first);
    CHECK(run.writes == 20);
}

// Guards against moves at the start of a service whose instances come up one after the other.
TEST_CASE("the first placement waits until the members have settled")
{
    coordinator_fleet run(1, 12);
    for (const auto *name : {"i1", "i2", "i3"}) {
        run.run(1s);
        CHECK(run.writes == 0);
        run.fleet().join(name);
        run.publish();
    }
    run.run(30s);
    CHECK(run.writes == 12);
    CHECK(run.fleet().spread() == 0);
}

// Guards against the removal of members that only the coordinator can't reach, and against members
// that fail and stay.
TEST_CASE("a member is removed after 60 s of silence and a confirmation")
{
    const auto [name, dies, seconds, expected] =
        GENERATE(table<std::string, bool, int, bool>({{"dead", true, 75, true},
                                                      {"dead, too early", true, 50, false},
                                                      {"unreachable from one", false, 200, false},
                                                      {"alive", false, 0, false}}));
    CAPTURE(name);
    coordinator_fleet run(5, 20);
    run.run(10s);
    const auto holder = run.holders().front();
    const std::string victim = holder == "i1" ? "i2" : "i1";
    if (dies) {
        run.dead.insert(victim);
    } else if (seconds > 0) {
        run.cut.insert({holder, victim});
    }
    run.run(std::chrono::seconds(seconds == 0 ? 100 : seconds));
    CHECK(run.removed.empty() == !expected);
    CHECK(std::all_of(run.removed.begin(), run.removed.end(),
                      [&](const std::string &removed) { return removed == victim; }));
}

// Guards against the evaluation of a document by many daemons or in a tight loop, and against
// documents of services without members that nobody evaluates.
TEST_CASE("newer documents are evaluated by one coordinator")
{
    const std::string service = GENERATE("s", "other");
    coordinator_fleet run(5, 20);
    run.run(10s);
    run.documents = {{"config/" + service, 7, false, "{}"}};
    run.run(12s);
    CHECK(run.accepted == std::vector<std::string>(3, service));
    run.documents = {{"config/" + service, 8, false, "{}"}};
    run.run(2s);
    CHECK(run.accepted.size() == 4);
}

// Guards against partitions that are given to a member which doesn't answer.
TEST_CASE("a silent member is given nothing")
{
    const bool repliesAtFirst = GENERATE(false, true);
    coordinator_fleet run(5, 600);
    run.run(20s);
    REQUIRE(run.fleet().spread() == 0);
    run.fleet().join("i5");
    if (!repliesAtFirst) {
        run.dead.insert("i5");
    }
    run.publish();
    run.run(2s);
    run.dead.insert("i5");
    // Two moves start every 250 ms until three pings are missed; its share would be 100.
    run.run(10s);
    const int given = run.fleet().counts()["i5"];
    CHECK(given >= (repliesAtFirst ? 1 : 0));
    CHECK(given <= (repliesAtFirst ? 50 : 0));
    run.run(40s);
    CHECK(run.fleet().counts()["i5"] == given);
}
