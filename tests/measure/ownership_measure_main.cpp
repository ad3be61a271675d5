// Measures the promises of ownership and configuration on a site of real processes: 4 instances of
// haulbook and 3 of ledger on this machine. Prints one JSON line per scenario. Times are measured
// by a caller; the load of other programs on the machine is part of them.

#include "process/site.h"

#include <Poco/JSON/Array.h>

#include <absl/strings/numbers.h>
#include <absl/strings/str_cat.h>
#include <absl/strings/str_split.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

using namespace process_tests;

namespace {

using Poco::JSON::Object;

constexpr int lossCount = 10;
constexpr int configurationChanges = 10;
constexpr double unavailableBoundMs = 2000;
constexpr double configurationBoundMs = 19'000;
constexpr double configurationAimMs = 2000;
constexpr double cpuBoundPercent = 4.1;
constexpr double memoryBoundMb = 128;
constexpr double controlBoundKbPerSecond = 30;
constexpr milliseconds idleWindow{10'000};
// A caller gives up an attempt after this time and tries again.
constexpr milliseconds probeTimeout{1'000};

double msSince(steady_time begun)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begun)
        .count();
}

void print(const std::string &scenario, Object &line)
{
    line.set("scenario", scenario);
    line.stringify(std::cout);
    std::cout << std::endl;
}

double round1(double value)
{
    return std::round(value * 10) / 10;
}

void setSpread(Object &line, std::vector<double> values, const std::string &unit)
{
    std::sort(values.begin(), values.end());
    line.set("count", values.size());
    if (!values.empty()) {
        line.set("min_" + unit, round1(values.front()));
        line.set("median_" + unit, round1(values[values.size() / 2]));
        line.set("max_" + unit, round1(values.back()));
    }
}

Object::Ptr platformCalls(const site &all)
{
    return parseJson(call("GET", all.platform(), "/control/calls").body);
}

// Calls per second between two readings, and the watches that wait at the end.
void setCallRates(Object &line, const Object::Ptr &before, const Object::Ptr &after, double seconds)
{
    for (const char *name : {"reads", "writes"}) {
        const auto count = after->getValue<double>(name) - before->getValue<double>(name);
        line.set(absl::StrCat(name, "_per_second"), round1(count / seconds));
    }
    line.set("waiting_watches", after->getValue<int>("waiting_watches"));
    line.set("refused", after->getValue<int>("refused") - before->getValue<int>("refused"));
}

double metric(const site_instance &instance, const std::string &name)
{
    const std::string text = "\n" + call("GET", instance.admin(), "/metrics").body;
    const size_t at = text.find("\n" + name + " ");
    double value = NAN;
    if (at != std::string::npos) {
        const size_t begin = at + name.size() + 2;
        (void)absl::SimpleAtod(text.substr(begin, text.find('\n', begin) - begin), &value);
    }
    return value;
}

double residentMb(const child_process &process)
{
    std::ifstream status(absl::StrCat("/proc/", process.pid(), "/status"));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::strtod(line.c_str() + sizeof "VmRSS:", nullptr) / 1024;
        }
    }
    return NAN;
}

void measureIdle(site &all)
{
    struct reading
    {
        double cpu;
        double bytes;
    };
    const auto read = [&] {
        std::vector<reading> readings;
        for (const auto &instance : all.instances()) {
            readings.push_back({metric(*instance, "persimmonrail_process_cpu_seconds"),
                                metric(*instance, "persimmonrail_control_sent_bytes")});
        }
        return readings;
    };
    const auto begun = std::chrono::steady_clock::now();
    const auto callsBefore = platformCalls(all);
    const auto before = read();
    std::this_thread::sleep_for(idleWindow);
    const auto after = read();
    const auto callsAfter = platformCalls(all);
    const double seconds = msSince(begun) / 1000;

    std::vector<double> cpu;
    std::vector<double> memory;
    std::vector<double> control;
    for (size_t i = 0; i < before.size(); ++i) {
        cpu.push_back((after[i].cpu - before[i].cpu) / seconds * 100);
        control.push_back((after[i].bytes - before[i].bytes) / seconds / 1000);
        memory.push_back(residentMb(*all.instances()[i]->daemon));
    }
    const auto report = [](const std::string &name, const std::vector<double> &values,
                           const std::string &unit, double bound) {
        Object line;
        setSpread(line, values, unit);
        line.set("bound_" + unit, bound);
        line.set("within", *std::max_element(values.begin(), values.end()) <= bound);
        print(name, line);
    };
    report("idle-daemon-cpu", cpu, "percent_of_core", cpuBoundPercent);
    report("idle-daemon-memory", memory, "mb", memoryBoundMb);
    report("idle-daemon-control-sent", control, "kb_per_second", controlBoundKbPerSecond);
    Object line;
    setCallRates(line, callsBefore, callsAfter, seconds);
    print("idle-platform-calls", line);
}

std::map<std::string, std::string> ownersOf(const site &all, const std::string &service)
{
    std::map<std::string, std::string> owners;
    for (const auto &record : all.placements(service)) {
        owners[record.partition] = record.owner.name;
    }
    return owners;
}

// Waits until the owners stay the same for a while; returns them.
std::map<std::string, std::string> settledOwners(const site &all, const std::string &service)
{
    constexpr milliseconds quietTime{3'000};
    auto owners = ownersOf(all, service);
    auto since = std::chrono::steady_clock::now();
    awaitTrue(
        [&] {
            auto current = ownersOf(all, service);
            if (current != owners) {
                owners = std::move(current);
                since = std::chrono::steady_clock::now();
            }
            return std::chrono::steady_clock::now() - since >= quietTime;
        },
        milliseconds(60'000));
    return owners;
}

std::map<std::string, size_t> countsOf(const std::map<std::string, std::string> &owners)
{
    std::map<std::string, size_t> counts;
    for (const auto &[partition, owner] : owners) {
        ++counts[owner];
    }
    return counts;
}

void setImbalance(Object &line, const std::map<std::string, std::string> &owners, size_t instances)
{
    size_t most = 0;
    for (const auto &[owner, count] : countsOf(owners)) {
        most = std::max(most, count);
    }
    const double mean = static_cast<double>(owners.size()) / static_cast<double>(instances);
    line.set("partitions", owners.size());
    line.set("instances", instances);
    line.set("max_over_mean", std::round(static_cast<double>(most) / mean * 100) / 100);
}

size_t moved(const std::map<std::string, std::string> &before,
             const std::map<std::string, std::string> &after)
{
    return static_cast<size_t>(std::count_if(before.begin(), before.end(), [&](const auto &entry) {
        const auto found = after.find(entry.first);
        return found == after.end() || found->second != entry.second;
    }));
}

// Time from the loss of the owner to the first answer, for each probe key of the owner.
std::vector<double> unavailableTimes(const site_instance &through,
                                     const std::vector<std::string> &keys, steady_time lost)
{
    std::vector<double> times(keys.size(), NAN);
    std::vector<std::thread> callers;
    for (size_t i = 0; i < keys.size(); ++i) {
        callers.emplace_back([&, i] {
            const bool served = awaitTrue([&] {
                const auto reply = call("PUT", through.callers(), "/haulbook/hauls/" + keys[i],
                                        "probe", "", probeTimeout);
                return reply.ran();
            });
            times[i] = served ? msSince(lost) : NAN;
        });
    }
    for (auto &caller : callers) {
        caller.join();
    }
    return times;
}

// Waits until every instance is ready and owns partitions as before the loss.
bool awaitRestored(site &all)
{
    return awaitTrue(
        [&] {
            const auto counts = countsOf(ownersOf(all, "haulbook"));
            return counts.size() == 4
                && std::all_of(all.instances().begin(), all.instances().end(),
                               [](const auto &instance) { return site::isReady(*instance); });
        },
        milliseconds(60'000));
}

enum class loss_kind { Instance, Daemon, FrozenDaemon };

void begin(loss_kind kind, site_instance &owner)
{
    switch (kind) {
    case loss_kind::Instance:
        site::lose(owner);
        break;
    case loss_kind::Daemon:
        owner.daemon->killAndReap();
        break;
    case loss_kind::FrozenDaemon:
        owner.daemon->signal(SIGSTOP);
        break;
    }
}

void end(loss_kind kind, const site &all, site_instance &owner)
{
    if (kind == loss_kind::FrozenDaemon) {
        owner.daemon->signal(SIGCONT);
        return;
    }
    all.startDaemon(owner);
    if (kind == loss_kind::Instance) {
        all.startUpstream(owner);
    }
}

void measureLosses(site &all, const std::string &name, loss_kind kind)
{
    std::vector<double> times;
    int unserved = 0;
    const auto &through = all.instance("ledger-1");
    double failoverSeconds = 0;
    Object::Ptr callsAfter;
    double reads = 0;
    double writes = 0;
    for (int i = 0; i < lossCount; ++i) {
        auto &owner = all.instance(absl::StrCat("haulbook-", i % 4));
        std::vector<std::string> keys = site::probeKeys();
        std::erase_if(keys, [&](const std::string &key) {
            return site::ownerOf(through, key) != owner.name;
        });
        const auto before = platformCalls(all);
        const auto lost = std::chrono::steady_clock::now();
        begin(kind, owner);
        for (const double time : unavailableTimes(through, keys, lost)) {
            if (std::isnan(time)) {
                ++unserved;
            } else {
                times.push_back(time);
            }
        }
        std::this_thread::sleep_until(lost + std::chrono::seconds(3));
        const auto after = platformCalls(all);
        reads += after->getValue<double>("reads") - before->getValue<double>("reads");
        writes += after->getValue<double>("writes") - before->getValue<double>("writes");
        failoverSeconds += msSince(lost) / 1000;
        callsAfter = after;
        end(kind, all, owner);
        if (!awaitRestored(all)) {
            std::cerr << "the site is not as before after loss " << i + 1 << "\n";
        }
        settledOwners(all, "haulbook");
    }
    Object line;
    setSpread(line, times, "ms");
    line.set("losses", lossCount);
    line.set("unserved_keys", unserved);
    line.set("bound_ms", unavailableBoundMs);
    const auto beyond = std::count_if(times.begin(), times.end(),
                                      [](double time) { return time > unavailableBoundMs; });
    line.set("keys_beyond_bound", beyond);
    line.set("within", unserved == 0 && beyond == 0 && !times.empty());
    print(name, line);
    Object calls;
    calls.set("reads_per_second", round1(reads / failoverSeconds));
    calls.set("writes_per_second", round1(writes / failoverSeconds));
    calls.set("waiting_watches", callsAfter->getValue<int>("waiting_watches"));
    print(name + "-platform-calls", calls);
}

void measureImbalance(site &all)
{
    for (const char *service : {"haulbook", "ledger"}) {
        Object line;
        setImbalance(line, settledOwners(all, service), std::string(service) == "haulbook" ? 4 : 3);
        print(absl::StrCat("imbalance-", service), line);
    }
}

// Partitions that move when an instance stops gracefully and joins again. The minimum is the share
// of the instance: all of it when it leaves, partitions/instances when it joins.
void measureChurn(site &all)
{
    const auto before = settledOwners(all, "haulbook");
    auto &instance = all.instance("haulbook-2");
    instance.daemon->signal(SIGTERM);
    instance.daemon->awaitExit(milliseconds(60'000));
    const auto without = settledOwners(all, "haulbook");
    Object leave;
    leave.set("moved", moved(before, without));
    leave.set("minimum", countsOf(before)[instance.name]);
    setImbalance(leave, without, 3);
    print("churn-leave", leave);

    all.startDaemon(instance);
    awaitRestored(all);
    const auto after = settledOwners(all, "haulbook");
    Object join;
    join.set("moved", moved(without, after));
    join.set("minimum", after.size() / 4);
    setImbalance(join, after, 4);
    print("churn-join", join);
}

// Time from the start of persimmonctl until every daemon answers by the new document. The change
// adds an operation without which the request is refused.
void measureConfiguration(site &all)
{
    std::vector<double> times;
    const std::string document = readFile(std::string(EXAMPLE_DIR) + "/haulbook.json");
    const std::string marker = "\"operations\": [";
    for (int i = 0; i < configurationChanges; ++i) {
        const std::string prefix = absl::StrCat("/change-", i);
        std::string text = document;
        text.insert(text.find(marker) + marker.size(),
                    absl::StrCat("{\"name\": \"change\", \"method\": \"PUT\", \"path_prefix\": \"",
                                 prefix,
                                 "\", \"rank\": \"crew\", \"timeout_ms\": 5000, "
                                 "\"repeatable\": true},"));
        const auto file = all.dataFile(absl::StrCat("change-", i), text);
        const auto begun = std::chrono::steady_clock::now();
        child_process apply("persimmonctl", {"apply", file, "--platform-address", all.platform()},
                            file + ".out");
        bool inForce = true;
        for (const auto &instance : all.instances()) {
            inForce &= awaitTrue([&] {
                return call("PUT", instance->callers(), "/haulbook" + prefix + "/basin", "x").ran();
            });
        }
        if (inForce) {
            times.push_back(msSince(begun));
        } else {
            std::cerr << "not in force everywhere: " << apply.output() << "\n";
        }
    }
    Object line;
    setSpread(line, times, "ms");
    line.set("changes", configurationChanges);
    line.set("bound_ms", configurationBoundMs);
    line.set("aim_ms", configurationAimMs);
    line.set("within",
             times.size() == configurationChanges
                 && *std::max_element(times.begin(), times.end()) <= configurationBoundMs);
    print("configuration", line);
}

} // namespace

// Arguments name the scenarios to run; without any all run.
int main(int argc, char **argv)
{
    const std::vector<std::string> chosen(argv + 1, argv + argc);
    const auto runs = [&](const char *scenario) {
        return chosen.empty() || std::find(chosen.begin(), chosen.end(), scenario) != chosen.end();
    };
    const std::vector<std::pair<const char *, std::function<void(site &)>>> scenarios = {
        {"imbalance", measureImbalance},
        {"idle", measureIdle},
        {"configuration", measureConfiguration},
        {"churn", measureChurn},
        {"owner-lost",
         [](site &all) { measureLosses(all, "unavailable-owner-lost", loss_kind::Instance); }},
        {"daemon-lost",
         [](site &all) { measureLosses(all, "unavailable-daemon-lost", loss_kind::Daemon); }},
        {"daemon-frozen",
         [](site &all) {
             measureLosses(all, "unavailable-daemon-frozen", loss_kind::FrozenDaemon);
         }},
    };
    try {
        site all;
        settledOwners(all, "haulbook");
        for (const auto &[name, measure] : scenarios) {
            if (runs(name)) {
                measure(all);
            }
        }
    } catch (const std::exception &error) {
        std::cerr << "ownership_measure: " << error.what() << "\n";
        return 1;
    }
    return 0;
}
