#include "persimmonrail/balance/coordinator.h"

#include <algorithm>
#include <set>

namespace persimmonrail {
namespace {

constexpr std::string_view configPrefix = "config/";
// A confirmation that a member is unresponsive is valid for this time.
constexpr std::chrono::seconds maxConfirmationAge{30};
// Pings that are due within this time are sent immediately. Otherwise they would wait for the next
// call of takeDuePings().
constexpr milliseconds maxPingAdvance{100};

} // namespace

coordinator::coordinator(instance_id self, std::string availabilityZone, hooks hooks)
    : m_self(std::move(self))
    , m_availabilityZone(std::move(availabilityZone))
    , m_hooks(std::move(hooks))
    , m_fleetElection(m_self.name, "coordinator", 1)
{ }

void coordinator::setView(std::shared_ptr<const fleet_view> view, steady_time now)
{
    m_view = std::move(view);
    const auto *self = m_view->findMember(m_self);
    const std::string service = self == nullptr ? std::string() : self->service;
    if (service != m_service || (!service.empty() && !m_serviceElection)) {
        m_service = service;
        m_serviceElection.reset();
        m_requestRates.clear();
        if (!service.empty()) {
            m_serviceElection.emplace(m_self.name, "coordinator/" + service, 1);
        }
    }
    std::vector<const member_record *> all;
    all.reserve(m_view->members.size());
    for (const auto &[name, member] : m_view->members) {
        all.push_back(&member);
    }
    m_fleetElection.setMembers(all, now);
    std::vector<instance_id> ids;
    if (m_serviceElection) {
        const auto members = m_view->membersOf(m_service);
        m_serviceElection->setMembers(members, now);
        std::transform(members.begin(), members.end(), std::back_inserter(ids),
                       [](const member_record *member) { return member->id; });
    }
    if (ids != m_serviceMembers) {
        m_serviceMembers = std::move(ids);
        m_membersChangedAt = now;
    }
    std::erase_if(m_memberStates,
                  [&](const auto &entry) { return m_view->findMember(entry.first) == nullptr; });
    std::erase_if(m_lastElectionPings,
                  [&](const auto &entry) { return m_view->members.count(entry.first) == 0; });
    std::erase_if(m_pendingWrites, [&](const auto &entry) {
        const auto record = m_view->records.find(entry.first);
        return record != m_view->records.end() && record->second.version > entry.second.version;
    });
}

void coordinator::setRequestRates(std::map<std::string, double, std::less<>> requestRates)
{
    m_requestRates = std::move(requestRates);
}

bool coordinator::isCoordinatorOf(std::string_view service, steady_time now) const
{
    if (m_serviceElection && service == m_service) {
        return m_serviceElection->holdsRole(now);
    }
    return m_view && (service.empty() || m_view->membersOf(service).empty())
        && m_fleetElection.holdsRole(now);
}

std::vector<const member_record *> coordinator::monitoredMembers(steady_time now) const
{
    std::vector<const member_record *> members;
    if (!m_view) {
        return members;
    }
    const bool coordinatesOwnService = !m_service.empty() && isCoordinatorOf(m_service, now);
    const bool coordinatesDaemonsWithoutService = isCoordinatorOf("", now);
    for (const auto &[name, member] : m_view->members) {
        const bool isMonitored = member.service.empty()
            ? coordinatesDaemonsWithoutService
            : coordinatesOwnService && member.service == m_service;
        if (isMonitored && name != m_self.name) {
            members.push_back(&member);
        }
    }
    return members;
}

milliseconds coordinator::pingInterval(size_t memberCount) const
{
    return std::clamp(pingIntervalPerMember * static_cast<int64_t>(memberCount),
                      minMemberPingInterval, maxMemberPingInterval);
}

std::vector<member_record> coordinator::takeDuePings(steady_time now)
{
    std::map<std::string_view, member_record> due;
    const auto addElection = [&](const rendezvous_election &election) {
        for (const auto &target : election.pingTargets()) {
            auto &lastPingAt = m_lastElectionPings.try_emplace(target.id.name).first->second;
            if (now - lastPingAt + maxPingAdvance >= electionPingInterval) {
                lastPingAt = now;
                due.try_emplace(m_view->members.find(target.id.name)->first, target);
            }
        }
    };
    addElection(m_fleetElection);
    if (m_serviceElection) {
        addElection(*m_serviceElection);
    }
    const auto members = monitoredMembers(now);
    const auto interval = pingInterval(members.size());
    std::set<instance_id> monitoredIds;
    for (const auto *member : members) {
        monitoredIds.insert(member->id);
        const auto [entry, isNew] = m_memberStates.try_emplace(member->id);
        auto &state = entry->second;
        if (isNew) {
            // The phase spreads the pings of the members over the interval. The time without reply
            // is measured from now on.
            const auto phase = milliseconds(rendezvousWeight(member->id.name, "ping")
                                            % static_cast<uint64_t>(interval.count()));
            state.lastPingAt = now - phase;
            state.lastAliveAt = now;
        }
        if (now - state.lastPingAt + maxPingAdvance >= interval) {
            state.lastPingAt = now;
            due.try_emplace(member->id.name, *member);
        }
    }
    // The daemon forgets the states of members that it no longer monitors. If it monitors a member
    // again, the time without reply is measured anew.
    std::erase_if(m_memberStates,
                  [&](const auto &entry) { return !monitoredIds.contains(entry.first); });
    std::vector<member_record> result;
    result.reserve(due.size());
    for (auto &[name, member] : due) {
        result.push_back(std::move(member));
    }
    return result;
}

void coordinator::recordReply(const instance_id &member, steady_time now)
{
    m_fleetElection.recordReply(member.name, now);
    if (m_serviceElection) {
        m_serviceElection->recordReply(member.name, now);
    }
    const auto entry = m_memberStates.find(member);
    if (entry != m_memberStates.end()) {
        entry->second.lastAliveAt = now;
        entry->second.hasReplied = true;
        entry->second.probeCount = 0;
        entry->second.unresponsiveConfirmedAt.reset();
    }
}

void coordinator::recordProbeResult(const instance_id &helper, const instance_id &suspect,
                                    bool hasReplied, steady_time now)
{
    const auto entry = m_memberStates.find(suspect);
    if (entry == m_memberStates.end() || helper == suspect || helper == m_self) {
        return;
    }
    if (hasReplied) {
        // Only the network path from this daemon to the suspect is broken, so the suspect stays a
        // member.
        entry->second.lastAliveAt = now;
        entry->second.unresponsiveConfirmedAt.reset();
    } else {
        entry->second.unresponsiveConfirmedAt = now;
    }
}

void coordinator::tick(steady_time now)
{
    if (!m_view) {
        return;
    }
    updatePlacement(now);
    evaluateDocuments(now);
    checkUnresponsiveMembers(now);
}

milliseconds coordinator::unresponsiveTimeout() const
{
    return pingInterval(m_serviceMembers.size()) + pingReplyTimeout;
}

bool coordinator::areConditionsKnown(steady_time now) const
{
    return std::all_of(m_serviceMembers.begin(), m_serviceMembers.end(), [&](const auto &id) {
        const auto entry = m_memberStates.find(id);
        return id == m_self
            || (entry != m_memberStates.end()
                && (entry->second.hasReplied
                    || now - entry->second.lastAliveAt > unresponsiveTimeout()));
    });
}

member_condition coordinator::conditionOf(const member_record &member, steady_time now) const
{
    const auto entry = m_memberStates.find(member.id);
    if (entry != m_memberStates.end() && now - entry->second.lastAliveAt > unresponsiveTimeout()) {
        return member_condition::Unresponsive;
    }
    return m_hooks.placement.condition ? m_hooks.placement.condition(member)
                                       : member_condition::Available;
}

placement_options coordinator::placementOptions(steady_time now) const
{
    placement_options options;
    if (now - m_lastLoadPlanAt >= minLoadPlanInterval) {
        options.requestRates = m_requestRates;
    }
    for (const auto &[partition, write] : m_pendingWrites) {
        const bool isPendingMove = write.isMove && now - write.startedAt < coordinatorRetryInterval;
        options.maxConcurrentMoves -= isPendingMove && options.maxConcurrentMoves > 0 ? 1 : 0;
    }
    return options;
}

void coordinator::updatePlacement(steady_time now)
{
    if (m_service.empty() || !isCoordinatorOf(m_service, now)) {
        return;
    }
    const bool hasRecords = m_view->recordsByService.count(m_service) > 0;
    if (!hasRecords && now - m_membersChangedAt < initialPlacementDelay) {
        return;
    }
    // A member may have failed since it joined, so no partition is moved to a member that has not
    // replied to a ping.
    if (!areConditionsKnown(now)) {
        return;
    }
    auto placement = m_hooks.placement;
    placement.condition = [this, now](const member_record &member) {
        return conditionOf(member, now);
    };
    for (const auto &change : planPlacement(*m_view, m_service, placement, placementOptions(now))) {
        const auto pending = m_pendingWrites.find(change.record.partition);
        if (pending != m_pendingWrites.end()
            && now - pending->second.startedAt < coordinatorRetryInterval) {
            continue;
        }
        const bool isMove = change.kind == record_change::change_kind::Move;
        m_pendingWrites.insert_or_assign(change.record.partition,
                                         pending_write{change.expectedVersion, isMove, now});
        if (change.isLoadDriven) {
            m_lastLoadPlanAt = now;
        }
        m_hooks.writeRecord(change);
    }
}

void coordinator::evaluateDocuments(steady_time now)
{
    if (!m_hooks.unevaluatedDocuments) {
        return;
    }
    for (const auto &config : m_hooks.unevaluatedDocuments()) {
        if (!config.key.starts_with(configPrefix)) {
            continue;
        }
        const std::string service = config.key.substr(configPrefix.size());
        if (service.empty() || !isCoordinatorOf(service, now)) {
            continue;
        }
        auto &pending = m_pendingEvaluations[service];
        if (pending.version == config.version
            && now - pending.startedAt < coordinatorRetryInterval) {
            continue;
        }
        pending = {config.version, false, now};
        m_hooks.evaluateDocument(service, config);
    }
}

void coordinator::checkUnresponsiveMembers(steady_time now)
{
    for (const auto *member : monitoredMembers(now)) {
        const auto entry = m_memberStates.find(member->id);
        if (entry != m_memberStates.end()
            && now - entry->second.lastAliveAt >= memberRemovalTimeout) {
            removeOrProbe(*member, entry->second, now);
        }
    }
}

void coordinator::removeOrProbe(const member_record &member, member_state &state, steady_time now)
{
    if (state.unresponsiveConfirmedAt
        && now - *state.unresponsiveConfirmedAt < maxConfirmationAge) {
        if (now - state.lastRemovalAttemptAt >= coordinatorRetryInterval) {
            state.lastRemovalAttemptAt = now;
            m_hooks.removeMember(member);
        }
        return;
    }
    if (now - state.lastProbeAt < coordinatorRetryInterval) {
        return;
    }
    if (const auto *helper = chooseHelper(member, state.probeCount)) {
        state.lastProbeAt = now;
        ++state.probeCount;
        m_hooks.requestProbe(*helper, member);
    }
}

const member_record *coordinator::chooseHelper(const member_record &suspect, size_t attempt) const
{
    std::vector<const member_record *> inOtherZones;
    std::vector<const member_record *> inSameZone;
    for (const auto &[name, member] : m_view->members) {
        if (name == m_self.name || name == suspect.id.name) {
            continue;
        }
        auto &group = member.availabilityZone != m_availabilityZone ? inOtherZones : inSameZone;
        group.push_back(&member);
    }
    const auto &helpers = inOtherZones.empty() ? inSameZone : inOtherZones;
    if (helpers.empty()) {
        return nullptr;
    }
    constexpr size_t requestsPerHelper = 2;
    const size_t start = rendezvousWeight(suspect.id.name, "helper") % helpers.size();
    return helpers[(start + attempt / requestsPerHelper) % helpers.size()];
}

} // namespace persimmonrail
