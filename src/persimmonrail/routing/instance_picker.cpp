#include "persimmonrail/routing/instance_picker.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// Least weight of a new sample in the moving average of the latency.
constexpr double minSampleWeight = 0.2;
constexpr std::chrono::duration<double> latencyHalfLife{5};
// Probability of selecting an instance at the beginning of its slow start, relative to the others.
constexpr double minSlowStartProbability = 0.1;
// Smaller differences in latency do not indicate load, since a round trip between availability
// zones takes about 3 ms.
constexpr double latencyNoiseMicroseconds = 3000;
// Number of random draws for one choice. The last drawn instance is accepted even during its slow
// start.
constexpr int maxSlowStartDraws = 4;

} // namespace

instance_picker::instance_picker(std::string availabilityZone, random_source random,
                                 instance_picker_options options)
    : m_availabilityZone(std::move(availabilityZone))
    , m_options(options)
    , m_random(std::move(random))
{ }

void instance_picker::setInstances(const std::vector<const member_record *> &members,
                                   steady_time now)
{
    const std::lock_guard lock(m_mutex);
    std::map<instance_id, instance> updated;
    for (const auto *member : members) {
        const auto known = m_instances.find(member->id);
        auto &entry = updated[member->id];
        if (known != m_instances.end()) {
            entry = std::move(known->second);
        } else if (m_populated) {
            entry.slowStartBegin = now;
        }
        entry.member = *member;
    }
    m_instances = std::move(updated);
    m_populated = m_populated || !m_instances.empty();
}

std::optional<member_record> instance_picker::pick(const std::vector<instance_id> &tried,
                                                   steady_time now)
{
    const std::lock_guard lock(m_mutex);
    std::vector<instance *> local;
    std::vector<instance *> remote;
    std::vector<instance *> ejected;
    for (auto &[id, entry] : m_instances) {
        if (std::find(tried.begin(), tried.end(), id) != tried.end()) {
            continue;
        }
        if (now < entry.ejectedUntil) {
            ejected.push_back(&entry);
        } else if (entry.member.availabilityZone == m_availabilityZone) {
            local.push_back(&entry);
        } else {
            remote.push_back(&entry);
        }
    }
    instance *chosen = chooseBetterOfTwo(local, now);
    if (chosen == nullptr) {
        chosen = chooseBetterOfTwo(remote, now);
    } else if (auto *other = chooseBetterOfTwo(remote, now)) {
        chosen =
            isOverloaded(*chosen, *other, now) && loadScore(*other, now) < loadScore(*chosen, now)
            ? other
            : chosen;
    }
    if (chosen == nullptr) {
        // An ejected instance may have recovered, so the request is not rejected without an
        // attempt.
        chosen = chooseBetterOfTwo(ejected, now);
    }
    if (chosen == nullptr) {
        return std::nullopt;
    }
    ++chosen->inFlight;
    return chosen->member;
}

void instance_picker::finish(const instance_id &id, result outcome,
                             std::chrono::microseconds latency, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_instances.find(id);
    if (entry == m_instances.end()) {
        return;
    }
    auto &finished = entry->second;
    finished.inFlight = std::max(0, finished.inFlight - 1);
    const auto sample = static_cast<double>(latency.count());
    if (outcome == result::Responded) {
        finished.consecutiveFailures = 0;
    }
    // A failure counts only if it took longer than the average; fast failures must not lower the
    // latency of the instance.
    if (outcome == result::Responded
        || (outcome == result::Failed && sample > finished.averageLatency)) {
        // The weight of the sample grows with the age of the average.
        const double ageWeight = 1 - decayFactor(finished, now);
        const double weight =
            finished.averageLatency == 0 ? 1 : std::max(minSampleWeight, ageWeight);
        finished.averageLatency += weight * (sample - finished.averageLatency);
        finished.sampledAt = now;
    }
    if (outcome == result::Failed) {
        ++finished.consecutiveFailures;
        if (finished.consecutiveFailures >= m_options.failuresBeforeEjection
            && now >= finished.ejectedUntil) {
            eject(finished, now);
        }
    }
}

size_t instance_picker::ejectedCount(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return countEjected(now);
}

instance_picker::instance *instance_picker::chooseBetterOfTwo(std::vector<instance *> &candidates,
                                                              steady_time now)
{
    if (candidates.empty()) {
        return nullptr;
    }
    auto *first = chooseRandom(candidates, now);
    if (candidates.size() == 1) {
        return first;
    }
    std::vector<instance *> rest;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(rest),
                 [first](const instance *candidate) { return candidate != first; });
    auto *second = chooseRandom(rest, now);
    return loadScore(*second, now) < loadScore(*first, now) ? second : first;
}

instance_picker::instance *instance_picker::chooseRandom(const std::vector<instance *> &candidates,
                                                         steady_time now)
{
    instance *drawn = nullptr;
    for (int i = 0; i < maxSlowStartDraws; ++i) {
        drawn = candidates[randomBelow(m_random, candidates.size())];
        const double probability = slowStartProbability(*drawn, now);
        if (probability >= 1 || randomFraction(m_random) < probability) {
            break;
        }
    }
    return drawn;
}

bool instance_picker::isOverloaded(const instance &local, const instance &remote,
                                   steady_time now) const
{
    const double inFlightLimit = m_options.overloadInFlightShare * std::max(1, local.member.slots);
    const double remoteLatency = decayedLatency(remote, now);
    const bool isSlow = remoteLatency > 0
        && decayedLatency(local, now)
            > m_options.overloadLatencyRatio * remoteLatency + latencyNoiseMicroseconds;
    return local.inFlight >= inFlightLimit || isSlow;
}

double instance_picker::decayFactor(const instance &candidate, steady_time now)
{
    const std::chrono::duration<double> idle =
        std::max(now - candidate.sampledAt, steady_time::duration::zero());
    return std::exp2(-(idle / latencyHalfLife));
}

double instance_picker::decayedLatency(const instance &candidate, steady_time now)
{
    return candidate.averageLatency * decayFactor(candidate, now);
}

double instance_picker::loadScore(const instance &candidate, steady_time now)
{
    // The minimum lets the in-flight count decide between instances without recent samples.
    constexpr double minLatencyMicroseconds = 100;
    return (candidate.inFlight + 1.0)
        * std::max(minLatencyMicroseconds, decayedLatency(candidate, now))
        / std::max(1, candidate.member.slots);
}

double instance_picker::slowStartProbability(const instance &candidate, steady_time now) const
{
    if (candidate.slowStartBegin == steady_time{} || m_options.slowStartDuration.count() <= 0) {
        return 1;
    }
    const std::chrono::duration<double> elapsed = now - candidate.slowStartBegin;
    const std::chrono::duration<double> total = m_options.slowStartDuration;
    return std::clamp(elapsed / total, minSlowStartProbability, 1.0);
}

void instance_picker::eject(instance &failing, steady_time now)
{
    if ((countEjected(now) + 1) * 2 > m_instances.size()) {
        return;
    }
    if (failing.ejections > 0 && now - failing.ejectedUntil > m_options.ejectionResetDelay) {
        failing.ejections = 0;
    }
    auto duration = m_options.initialEjection;
    for (int i = 0; i < failing.ejections && duration < m_options.maxEjection; ++i) {
        duration *= 2;
    }
    ++failing.ejections;
    failing.consecutiveFailures = 0;
    failing.ejectedUntil = now + std::min(duration, m_options.maxEjection);
    failing.slowStartBegin = failing.ejectedUntil;
}

size_t instance_picker::countEjected(steady_time now) const
{
    return static_cast<size_t>(
        std::count_if(m_instances.begin(), m_instances.end(),
                      [now](const auto &entry) { return now < entry.second.ejectedUntil; }));
}

} // namespace persimmonrail
