// Losses, freezes and outages of real processes under load. Each scenario guards against two
// owners of a key, a request that runs twice or after a "not-run" answer, a wrong body, and keys
// that stay unserved after the loss.
#include "process/load.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>

using namespace process_tests;

namespace {

// Runs before and after the failure, so that both sides of it have load.
constexpr int steadyRuns = 200;

struct scenario_state
{
    site &all;
    caller_load &load;
    // Owner of the probe key "basin-1" when the scenario begins.
    site_instance &owner;
    // Daemon that outlives the scenario.
    site_instance &survivor;
    // Keys that must be served again.
    std::vector<std::string> keys = site::probeKeys();
};

struct scenario
{
    const char *name;
    void (*fail)(scenario_state &state);
    // Ends the failure after the keys are served again.
    void (*heal)(scenario_state &state);
};

void nothing(scenario_state & /*state*/) { }

void loseOwner(scenario_state &state)
{
    state.load.avoid(state.owner.name);
    site::lose(state.owner);
}

void loseOwnerDaemon(scenario_state &state)
{
    state.load.avoid(state.owner.name);
    state.owner.daemon->killAndReap();
}

void freezeOwnerDaemon(scenario_state &state)
{
    state.load.avoid(state.owner.name);
    state.owner.daemon->signal(SIGSTOP);
}

void resumeOwnerDaemon(scenario_state &state)
{
    state.owner.daemon->signal(SIGCONT);
    CHECK(awaitTrue([&] { return site::isReady(state.owner); }));
    CHECK(state.load.awaitRuns(steadyRuns));
}

void loseOwnerInOutage(scenario_state &state)
{
    state.all.control("outage?state=on");
    loseOwner(state);
}

// The new owners must record themselves once the platform answers again.
void endOutage(scenario_state &state)
{
    state.all.control("outage?state=off");
    CHECK(awaitTrue(
        [&] {
            const auto records = state.all.placements("haulbook");
            return std::none_of(records.begin(), records.end(), [&](const auto &record) {
                return record.owner.name == state.owner.name;
            });
        },
        3 * waitBound));
}

// Partitions that lose two witnesses of a set are beyond what the protocol tolerates without
// evidence (R3), so only the keys of the others must be served again and get load. Requests to
// ledger would wait for lost partitions until their deadlines, so they end.
void keepTolerated(scenario_state &state, const std::vector<std::string> &lost)
{
    std::map<std::string, bool> tolerated;
    for (const auto &record : state.all.placements("haulbook")) {
        const auto isLost = [&](const auto &id) {
            return std::find(lost.begin(), lost.end(), id.name) != lost.end();
        };
        tolerated[record.partition] =
            std::count_if(record.witnesses.begin(), record.witnesses.end(), isLost) < 2;
    }
    std::erase_if(state.keys, [&](const std::string &key) {
        const auto partition =
            site::explain(state.survivor, key)->optValue<std::string>("partition", "");
        if (!tolerated[partition]) {
            state.load.avoidKey(key);
        }
        return !tolerated[partition];
    });
    state.load.avoidLedger();
    INFO("tolerated keys: " << state.keys.size());
    CHECK(!state.keys.empty());
}

void loseOwnerAndWitness(scenario_state &state)
{
    std::string witness;
    for (const auto &record : state.all.placements("haulbook")) {
        for (const auto &id : record.witnesses) {
            if (record.owner.name == state.owner.name && id.name != state.survivor.name) {
                witness = id.name;
            }
        }
    }
    REQUIRE(!witness.empty());
    keepTolerated(state, {state.owner.name, witness});
    state.load.avoid(witness);
    state.all.control("outage?state=on");
    loseOwner(state);
    site::lose(state.all.instance(witness));
}

void loseZone(scenario_state &state)
{
    std::vector<std::string> lost;
    for (const auto &instance : state.all.instances()) {
        if (instance->zone == state.owner.zone) {
            lost.push_back(instance->name);
            state.load.avoid(instance->name);
        }
    }
    keepTolerated(state, lost);
    for (const auto &name : lost) {
        site::lose(state.all.instance(name));
    }
}

// Writes of the failover take effect although their answers are lost.
void loseOwnerWithLostResponses(scenario_state &state)
{
    state.all.control("drop-answers?count=6");
    loseOwner(state);
}

void restartOwnerDaemonInOutage(scenario_state &state)
{
    state.all.control("outage?state=on");
    loseOwnerDaemon(state);
    state.all.startDaemon(state.owner);
}

void awaitReadyInOutage(scenario_state &state)
{
    // Ready by the state of its peers, under a new incarnation.
    CHECK(awaitTrue([&] { return site::isReady(state.owner); }));
    CHECK(call("PUT", state.owner.callers(), "/haulbook/hauls/basin-1", "probe").ran());
    state.all.control("outage?state=off");
}

void takePlatformDown(scenario_state &state)
{
    state.all.control("outage?state=on");
    CHECK(state.load.awaitRuns(3 * steadyRuns));
    state.all.control("outage?state=off");
    // Above the time limit of a daemon's call.
    state.all.control("delay?ms=3000");
    CHECK(state.load.awaitRuns(3 * steadyRuns));
    state.all.control("delay?ms=0");
}

const scenario scenarios[] = {
    {"owner lost", loseOwner, nothing},
    {"daemon of the owner lost, its upstream lives", loseOwnerDaemon, nothing},
    {"daemon of the owner frozen past its lease", freezeOwnerDaemon, resumeOwnerDaemon},
    {"owner lost while the platform is down", loseOwnerInOutage, endOutage},
    {"owner and a witness lost while the platform is down", loseOwnerAndWitness, nothing},
    {"availability zone lost", loseZone, nothing},
    {"owner lost and answers of writes lost", loseOwnerWithLostResponses, endOutage},
    {"daemon restarted while the platform is down", restartOwnerDaemonInOutage, awaitReadyInOutage},
    {"platform down, then slow", takePlatformDown, nothing},
};

} // namespace

TEST_CASE("Keys are served again, once, after a failure", "[failover]")
{
    const auto &scenario = GENERATE(from_range(std::begin(scenarios), std::end(scenarios)));
    DYNAMIC_SECTION(scenario.name)
    {
        site all;
        caller_load load(all);
        REQUIRE(load.awaitRuns(steadyRuns));
        const std::string ownerName = site::ownerOf(*all.instances().front(), "basin-1");
        auto &owner = all.instance(ownerName);
        // In another availability zone than the owner.
        auto &survivor = all.instance(owner.zone == "bayern-mitte" ? "ledger-2" : "ledger-1");
        scenario_state state{all, load, owner, survivor};

        const auto begun = std::chrono::steady_clock::now();
        scenario.fail(state);
        CHECK(site::awaitServed(survivor, state.keys));
        const auto took =
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun);
        scenario.heal(state);
        CHECK(load.awaitRuns(steadyRuns));
        const auto failures = load.finish();
        CAPTURE(all.folder(), ownerName);
        for (const auto &failure : failures) {
            UNSCOPED_INFO(failure);
        }
        CHECK(failures.empty());
        WARN(scenario.name << ": all keys served after " << took.count()
                           << " ms, load: " << load.summary());
    }
}
