#include "persimmonrail/ownership/tests/simulation.h"

#include "persimmonrail/ownership/witness_choice.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <tuple>

namespace persimmonrail {
namespace {

constexpr size_t nodeCount = 6;
constexpr size_t partitionCount = 4;
constexpr milliseconds tickInterval{20};
constexpr milliseconds probeInterval{5};
constexpr milliseconds faultDuration{12000};

} // namespace

simulation::simulation(uint64_t seed, disabled_mechanisms disabled)
    : m_disabled(disabled)
    , m_random(seed)
    , m_nodes(nodeCount)
    , m_faultsEnd(m_now + faultDuration)
{
    if (disabled.waitForExpiry) {
        m_timing.driftMargin = milliseconds(-600);
    }
    for (size_t i = 0; i < nodeCount; ++i) {
        m_nodes[i].id.name = absl::StrCat("berthdesk-", i);
        m_nodes[i].zone = absl::StrCat("zone-", i % 3);
        m_nodes[i].clockRate = 1 + 0.0002 * static_cast<double>(randomDuration(-100, 100).count());
        startNode(i);
    }
    registerMembers();
    createRecords();
    for (size_t i = 0; i < nodeCount; ++i) {
        scheduleTick(i);
    }
    scheduleProbe();
    scheduleFault();
}

simulation_result simulation::run()
{
    runUntil(m_faultsEnd);
    const bool isPlatformUp = randomBool(0.5);
    stopFaults(isPlatformUp);
    const auto stoppedAt = m_now;
    const auto quicklyRecoverable = quicklyRecoverablePartitions();
    runUntil(stoppedAt + milliseconds(2000));
    const auto requireServed = [&](const std::string &partition, std::string_view when) {
        if (m_history[partition].lastServed < stoppedAt) {
            recordViolation(
                absl::StrCat(partition, " is not served ", std::string(when),
                             isPlatformUp ? " with the platform" : " without the platform"));
        }
    };
    for (const auto &partition : quicklyRecoverable) {
        requireServed(partition, "2 s after the faults");
    }
    if (isPlatformUp && m_result.violation.empty()) {
        runUntil(stoppedAt + milliseconds(15000));
        for (const auto &[partition, history] : m_history) {
            requireServed(partition, "15 s after the faults");
        }
    }
    return m_result;
}

void simulation::simulateWitnessReplacementWithStaleViews()
{
    m_areFaultsEnabled = false;
    const auto record = m_view->records.at("berthdesk/0").record;
    const auto standby =
        *std::find_if(record.standbys.begin(), record.standbys.end(), [&](auto &id) {
            return id != record.witnesses[0] && id != record.witnesses[1];
        });
    for (const auto &id : {standby, record.witnesses[0], record.witnesses[1]}) {
        m_nodes[indexOf(id)].viewFrozenUntil = m_faultsEnd;
        m_nodes[indexOf(id)].engine->onView(m_view, m_now);
    }
    const auto breakLinkBetween = [this](const instance_id &a, const instance_id &b,
                                         milliseconds delay) {
        schedule(m_now + delay, [this, a = indexOf(a), b = indexOf(b)] {
            m_brokenLinks.insert({a, b});
            m_brokenLinks.insert({b, a});
        });
    };
    breakLinkBetween(record.owner, record.witnesses[0], milliseconds(1000));
    breakLinkBetween(record.owner, record.witnesses[1], milliseconds(7500));
    // The platform is down, because the standby would read the new record back otherwise.
    schedule(m_now + milliseconds(7500), [this] { m_isPlatformUp = false; });
}

void simulation::simulateGracefulShutdown(bool isPlatformUp)
{
    m_areFaultsEnabled = false;
    scheduleOnNode(0, m_now + milliseconds(3000), [this, isPlatformUp](node &node) {
        m_isPlatformUp = isPlatformUp;
        node.engine->startShutdown(localTime(node));
    });
    scheduleOnNode(0, m_now + milliseconds(6000), [this](node &node) {
        if (!node.engine->isDrained()) {
            recordViolation("not drained 3 s after the start of the shutdown");
        }
    });
}

void simulation::schedule(steady_time time, std::function<void()> action)
{
    m_events.push({time, m_nextEventOrder++, std::move(action)});
}

void simulation::scheduleOnNode(size_t index, steady_time time,
                                const std::function<void(node &)> &action)
{
    schedule(time, [this, index, generation = m_nodes[index].generation, action] {
        auto &node = m_nodes[index];
        if (node.generation != generation) {
            return;
        }
        if (m_now < node.pausedUntil) {
            scheduleOnNode(index, node.pausedUntil, action);
            return;
        }
        action(node);
    });
}

void simulation::runUntil(steady_time end)
{
    while (!m_events.empty() && m_events.top().at <= end && m_result.violation.empty()) {
        const auto next = m_events.top();
        m_events.pop();
        m_now = next.at;
        next.action();
    }
    m_now = end;
}

steady_time simulation::localTime(const node &node) const
{
    const auto elapsed = m_now - node.startedAt;
    return node.startedAt
        + std::chrono::duration_cast<steady_time::duration>(elapsed * node.clockRate);
}

bool simulation::randomBool(double probability)
{
    return std::uniform_real_distribution<double>(0, 1)(m_random) < probability;
}

milliseconds simulation::randomDuration(int minMs, int maxMs)
{
    return milliseconds(std::uniform_int_distribution<int>(minMs, maxMs)(m_random));
}

size_t simulation::indexOf(const instance_id &id) const
{
    const auto it = std::find_if(m_nodes.begin(), m_nodes.end(),
                                 [&](const node &node) { return node.id.name == id.name; });
    return static_cast<size_t>(it - m_nodes.begin());
}

void simulation::startNode(size_t index)
{
    auto &node = m_nodes[index];
    ++node.generation;
    node.id.incarnation = m_random() | 1;
    node.startedAt = m_now;
    node.isRegistered = false;
    node.upstreamTerms.clear();
    node.table = std::make_unique<serving_table>(m_timing);
    node.engine = std::make_unique<ownership_engine>(ownership_engine::builder()
                                                         .self(node.id)
                                                         .hooks(hooksFor(index))
                                                         .servingTable(*node.table)
                                                         .timing(m_timing)
                                                         .seed(m_random())
                                                         .build());
    if (node.isUpstreamUp) {
        node.engine->onUpstreamUp(localTime(node));
    }
}

ownership_hooks simulation::hooksFor(size_t index)
{
    ownership_hooks hooks;
    hooks.send = std::bind_front(&simulation::sendMessage, this, index);
    hooks.putRecord = std::bind_front(&simulation::put, this, index);
    hooks.getRecord = std::bind_front(&simulation::get, this, index);
    hooks.applyGrants = std::bind_front(&simulation::applyGrants, this, index);
    hooks.log = [this, index](const std::string &line) {
        const auto ms = std::chrono::floor<milliseconds>(m_now.time_since_epoch()).count();
        m_log.push_back(absl::StrCat(ms % 3600000, " ", m_nodes[index].id.name, " ", line));
    };
    return hooks;
}

void simulation::createRecords()
{
    const uint64_t width = ~uint64_t{0} / partitionCount;
    for (size_t i = 0; i < partitionCount; ++i) {
        placement_record record;
        record.partition = absl::StrCat("berthdesk/", i);
        record.range = {i * width, (i + 1) * width - 1};
        record.owner = m_nodes[i % nodeCount].id;
        record.term = 1;
        record.witnesses = chooseWitnesses(*m_view, record.owner, record.partition);
        record.standbys = chooseStandbys(*m_view, "berthdesk", record.owner, record.partition);
        (void)applyPut(placementKey(record.partition), 0, encodeRecord(record));
        m_history[record.partition].hash = record.range.first;
    }
}

void simulation::scheduleTick(size_t index)
{
    // Ticks continue across restarts, so the tick itself checks whether the node is paused. The
    // random delay after a pause lets traffic threads run before the control thread.
    const auto pauseEnd = m_nodes[index].pausedUntil + randomDuration(0, 15);
    schedule(std::max(m_now + tickInterval, pauseEnd), [this, index] {
        auto &node = m_nodes[index];
        if (m_now >= node.pausedUntil) {
            const auto local = localTime(node);
            if (m_now >= node.viewFrozenUntil) {
                node.engine->onView(m_view, local);
            }
            node.engine->tick(local);
            node.lastTick = local;
        }
        scheduleTick(index);
    });
}

void simulation::scheduleProbe()
{
    schedule(m_now + probeInterval, [this] {
        for (size_t i = 0; i < nodeCount; ++i) {
            for (auto &[partition, history] : m_history) {
                probeNode(i, partition, history);
            }
        }
        scheduleProbe();
    });
}

void simulation::scheduleFault()
{
    schedule(m_now + randomDuration(50, 600), [this] {
        if (m_areFaultsEnabled) {
            injectFault();
            scheduleFault();
        }
    });
}

void simulation::injectFault()
{
    const auto node = randomNode();
    const auto other = randomNode();
    switch (randomDuration(0, 9).count()) {
    case 0:
    case 1:
        m_brokenLinks.insert({node, other});
        schedule(m_now + randomDuration(200, 7000), [this, node, other] {
            m_brokenLinks.erase({node, other});
        });
        break;
    case 2:
        for (size_t i = 0; i < nodeCount; ++i) {
            m_brokenLinks.insert({node, i});
            schedule(m_now + randomDuration(200, 2500), [this, node, i] {
                m_brokenLinks.erase({node, i});
            });
        }
        break;
    case 3:
    case 4:
        pauseNode(node, randomDuration(50, 2500));
        break;
    case 5:
        if (randomBool(0.5)) {
            restartNode(node);
        } else if (randomBool(0.5)) {
            scheduleOnNode(node, m_now,
                           [this](simulation::node &n) { n.engine->startShutdown(localTime(n)); });
            schedule(std::min(m_now + randomDuration(200, 2000), m_faultsEnd),
                     [this, node] { restartNode(node); });
        }
        break;
    case 6:
        m_isPlatformUp = false;
        schedule(m_now + randomDuration(500, 4000),
                 [this] { m_isPlatformUp |= m_areFaultsEnabled; });
        break;
    case 7:
        m_nodes[node].viewFrozenUntil = m_now + randomDuration(500, 8000);
        break;
    case 8:
        setUpstream(node, false);
        schedule(m_now + randomDuration(100, 1500), [this, node] { setUpstream(node, true); });
        break;
    default:
        m_lossRate = 0.25;
        schedule(m_now + randomDuration(200, 1500), [this] { m_lossRate = 0; });
        requestMove();
        break;
    }
}

void simulation::pauseNode(size_t index, milliseconds duration)
{
    m_nodes[index].pausedUntil = std::min(m_now + duration, m_faultsEnd);
}

void simulation::removeRequestsInFlight(size_t index)
{
    for (auto &[partition, history] : m_history) {
        std::erase_if(history.inFlight, [&](const auto &r) { return r.node == index; });
    }
}

void simulation::restartNode(size_t index)
{
    removeRequestsInFlight(index);
    startNode(index);
    pauseNode(index, randomDuration(20, 500));
}

void simulation::setUpstream(size_t index, bool isUp)
{
    m_nodes[index].isUpstreamUp = isUp;
    if (!isUp) {
        removeRequestsInFlight(index);
    }
    scheduleOnNode(index, m_now, [this](node &node) {
        node.isUpstreamUp ? node.engine->onUpstreamUp(localTime(node))
                          : node.engine->onUpstreamDown(localTime(node));
    });
}

void simulation::stopFaults(bool isPlatformUp)
{
    m_areFaultsEnabled = false;
    m_brokenLinks.clear();
    m_lossRate = 0;
    m_isPlatformUp = isPlatformUp;
    for (size_t i = 0; i < nodeCount; ++i) {
        m_nodes[i].viewFrozenUntil = m_now;
        setUpstream(i, true);
    }
}

void simulation::probeNode(size_t index, const std::string &partition, partition_history &history)
{
    auto &node = m_nodes[index];
    while (!history.inFlight.empty() && history.inFlight.front().end <= m_now) {
        history.inFlight.pop_front();
    }
    if (m_now < node.pausedUntil || !node.isUpstreamUp) {
        return;
    }
    const auto checkedAt = m_disabled.leaseCheck ? node.lastTick : localTime(node);
    auto ticket = node.table->begin("berthdesk", history.hash, checkedAt);
    if (!ticket) {
        return;
    }
    const auto term = ticket->lease().term;
    const bool hasOverlap =
        std::any_of(history.inFlight.begin(), history.inFlight.end(),
                    [&](const request_in_flight &other) { return other.node != index; });
    const bool isSameTermElsewhere = term == history.term && index != history.node;
    if (hasOverlap || isSameTermElsewhere || term < history.term) {
        recordViolation(absl::StrCat(partition, " served by ", node.id.name, " in term ", term,
                                     " after ", m_nodes[history.node].id.name, " in term ",
                                     history.term, hasOverlap ? ", requests overlap" : ""));
    }
    history.term = term;
    history.node = index;
    if (history.lastServed != steady_time::min()) {
        const auto gap = std::chrono::floor<milliseconds>(m_now - history.lastServed);
        m_result.maxGap = std::max(m_result.maxGap, gap);
    }
    history.lastServed = m_now;
    ++m_result.served;
    // Requests are shorter than the dispatch margin of 20 ms, so that they end within the lease.
    history.inFlight.push_back({index, m_now + randomDuration(1, 15), std::move(ticket)});
}

std::set<std::string> simulation::quicklyRecoverablePartitions() const
{
    std::set<std::string> partitions;
    for (const auto &[partition, entry] : m_view->records) {
        const auto &record = entry.record;
        const auto hasRunningMajority = [&](const std::vector<instance_id> &set) {
            return std::count_if(set.begin(), set.end(),
                                 [&](const auto &id) { return isRunning(id); })
                >= 2;
        };
        auto claimants = record.standbys;
        claimants.push_back(record.owner);
        if (hasRunningMajority(record.witnesses)
            && (record.previousWitnesses.empty() || hasRunningMajority(record.previousWitnesses))
            && std::any_of(claimants.begin(), claimants.end(),
                           [&](const auto &id) { return isRunning(id); })) {
            partitions.insert(partition);
        }
    }
    return partitions;
}

bool simulation::isRunning(const instance_id &id) const
{
    return m_nodes[indexOf(id)].id == id;
}

void simulation::recordViolation(const std::string &text)
{
    if (m_result.violation.empty()) {
        const auto ms = std::chrono::floor<milliseconds>(m_now.time_since_epoch()).count();
        m_result.violation = absl::StrCat(ms % 3600000, " ms: ", text);
    }
}

} // namespace persimmonrail
