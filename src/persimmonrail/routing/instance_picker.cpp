#include "persimmonrail/routing/instance_picker.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// Weight of a new sample in the moving average of the latency.
constexpr double latencySmoothing = 0.2;
constexpr std::chrono::duration<double> latencyHalfLife{5};
// Chance of a new instance to be drawn, relative to the others, at the start of its slow start.
constexpr double minRamp = 0.1;
// Latency differences below this say nothing about load: the path between availability zones
// alone takes about 3 ms there and back.
constexpr double latencyNoiseMicroseconds = 3000;
// Draws that a slow start may reject before the last one is taken.
constexpr int rampDraws = 4;

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
            entry.rampStart = now;
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
    std::vector<instance *> ejectedOnes;
    for (auto &[id, entry] : m_instances) {
        if (std::find(tried.begin(), tried.end(), id) != tried.end()) {
            continue;
        }
        if (now < entry.ejectedUntil) {
            ejectedOnes.push_back(&entry);
        } else if (entry.member.availabilityZone == m_availabilityZone) {
            local.push_back(&entry);
        } else {
            remote.push_back(&entry);
        }
    }
    instance *chosen = drawBetter(local, now);
    if (chosen == nullptr) {
        chosen = drawBetter(remote, now);
    } else if (auto *other = drawBetter(remote, now)) {
        chosen = isOverloaded(*chosen, *other, now) && score(*other, now) < score(*chosen, now)
            ? other
            : chosen;
    }
    if (chosen == nullptr) {
        // An ejected instance may have recovered, which is better than to refuse the request.
        chosen = drawBetter(ejectedOnes, now);
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
        finished.failures = 0;
    }
    // A failure that comes fast must not make the instance look fast.
    if (outcome == result::Responded || (outcome == result::Failed && sample > finished.latency)) {
        // The older the average, the more the sample counts.
        const double aged = 1 - decay(finished, now);
        const double weight = finished.latency == 0 ? 1 : std::max(latencySmoothing, aged);
        finished.latency += weight * (sample - finished.latency);
        finished.sampledAt = now;
    }
    if (outcome == result::Failed) {
        ++finished.failures;
        if (finished.failures >= m_options.failuresToEject && now >= finished.ejectedUntil) {
            eject(finished, now);
        }
    }
}

size_t instance_picker::ejected(steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    return countEjected(now);
}

// Power of two choices: the better of two different instances drawn at random.
instance_picker::instance *instance_picker::drawBetter(std::vector<instance *> &candidates,
                                                       steady_time now)
{
    if (candidates.empty()) {
        return nullptr;
    }
    auto *first = draw(candidates, now);
    if (candidates.size() == 1) {
        return first;
    }
    std::vector<instance *> rest;
    std::copy_if(candidates.begin(), candidates.end(), std::back_inserter(rest),
                 [first](const instance *candidate) { return candidate != first; });
    auto *second = draw(rest, now);
    return score(*second, now) < score(*first, now) ? second : first;
}

instance_picker::instance *instance_picker::draw(const std::vector<instance *> &candidates,
                                                 steady_time now)
{
    instance *drawn = nullptr;
    for (int i = 0; i < rampDraws; ++i) {
        drawn = candidates[randomBelow(m_random, candidates.size())];
        const double chance = ramp(*drawn, now);
        if (chance >= 1 || randomFraction(m_random) < chance) {
            break;
        }
    }
    return drawn;
}

bool instance_picker::isOverloaded(const instance &local, const instance &remote,
                                   steady_time now) const
{
    const double limit = m_options.overloadShare * std::max(1, local.member.slots);
    const double remoteLatency = latency(remote, now);
    const bool slow = remoteLatency > 0
        && latency(local, now)
            > m_options.overloadLatency * remoteLatency + latencyNoiseMicroseconds;
    return local.inFlight >= limit || slow;
}

// Share of the average that is left after the time since the last sample.
double instance_picker::decay(const instance &candidate, steady_time now)
{
    const std::chrono::duration<double> idle =
        std::max(now - candidate.sampledAt, steady_time::duration::zero());
    return std::exp2(-(idle / latencyHalfLife));
}

// Decreases with time, so that an instance that was slow once is tried again.
double instance_picker::latency(const instance &candidate, steady_time now)
{
    return candidate.latency * decay(candidate, now);
}

double instance_picker::score(const instance &candidate, steady_time now)
{
    // Keeps the in-flight count in force for instances without samples or with very old ones.
    constexpr double minLatency = 100;
    return (candidate.inFlight + 1.0) * std::max(minLatency, latency(candidate, now))
        / std::max(1, candidate.member.slots);
}

double instance_picker::ramp(const instance &candidate, steady_time now) const
{
    if (candidate.rampStart == steady_time{} || m_options.slowStart.count() <= 0) {
        return 1;
    }
    const std::chrono::duration<double> elapsed = now - candidate.rampStart;
    const std::chrono::duration<double> whole = m_options.slowStart;
    return std::clamp(elapsed / whole, minRamp, 1.0);
}

void instance_picker::eject(instance &failing, steady_time now)
{
    if ((countEjected(now) + 1) * 2 > m_instances.size()) {
        return;
    }
    if (failing.ejections > 0 && now - failing.ejectedUntil > m_options.ejectionMemory) {
        failing.ejections = 0;
    }
    auto duration = m_options.initialEjection;
    for (int i = 0; i < failing.ejections && duration < m_options.maxEjection; ++i) {
        duration *= 2;
    }
    ++failing.ejections;
    failing.failures = 0;
    failing.ejectedUntil = now + std::min(duration, m_options.maxEjection);
    failing.rampStart = failing.ejectedUntil;
}

size_t instance_picker::countEjected(steady_time now) const
{
    return static_cast<size_t>(
        std::count_if(m_instances.begin(), m_instances.end(),
                      [now](const auto &entry) { return now < entry.second.ejectedUntil; }));
}

} // namespace persimmonrail
