#include "persimmonrail/balance/coordinator.h"

#include <algorithm>
#include <set>

namespace persimmonrail {
namespace {

constexpr std::string_view configPrefix = "config/";
// A confirmation is acted upon only within this time.
constexpr std::chrono::seconds confirmationAge{30};
// Pings that are due within this time are sent now, so that they don't slip by a whole call.
constexpr milliseconds pingSlack{100};

} // namespace

coordinator::coordinator(instance_id self, std::string availabilityZone, hooks hooks)
    : m_self(std::move(self))
    , m_availabilityZone(std::move(availabilityZone))
    , m_hooks(std::move(hooks))
    , m_fallback(m_self.name, "coordinator", 1)
{ }

void coordinator::setView(std::shared_ptr<const fleet_view> view, steady_time now)
{
    m_view = std::move(view);
    const auto *self = m_view->findMember(m_self);
    const std::string service = self == nullptr ? std::string() : self->service;
    if (service != m_service || (!service.empty() && !m_election)) {
        m_service = service;
        m_election.reset();
        m_weights.clear();
        if (!service.empty()) {
            m_election.emplace(m_self.name, "coordinator/" + service, 1);
        }
    }
    std::vector<const member_record *> all;
    all.reserve(m_view->members.size());
    for (const auto &[name, member] : m_view->members) {
        all.push_back(&member);
    }
    m_fallback.setMembers(all, now);
    std::vector<instance_id> ids;
    if (m_election) {
        const auto members = m_view->membersOf(m_service);
        m_election->setMembers(members, now);
        std::transform(members.begin(), members.end(), std::back_inserter(ids),
                       [](const member_record *member) { return member->id; });
    }
    if (ids != m_serviceMembers) {
        m_serviceMembers = std::move(ids);
        m_membersChangedAt = now;
    }
    std::erase_if(m_members,
                  [&](const auto &entry) { return m_view->findMember(entry.first) == nullptr; });
    std::erase_if(m_electionPings,
                  [&](const auto &entry) { return m_view->members.count(entry.first) == 0; });
    std::erase_if(m_writes, [&](const auto &entry) {
        const auto record = m_view->records.find(entry.first);
        return record != m_view->records.end() && record->second.version > entry.second.version;
    });
}

void coordinator::setWeights(std::map<std::string, double, std::less<>> weights)
{
    m_weights = std::move(weights);
}

bool coordinator::coordinates(std::string_view service, steady_time now) const
{
    if (m_election && service == m_service) {
        return m_election->holdsRole(now);
    }
    return m_view && (service.empty() || m_view->membersOf(service).empty())
        && m_fallback.holdsRole(now);
}

std::vector<const member_record *> coordinator::watched(steady_time now) const
{
    std::vector<const member_record *> members;
    if (!m_view) {
        return members;
    }
    const bool own = !m_service.empty() && coordinates(m_service, now);
    const bool withoutService = coordinates("", now);
    for (const auto &[name, member] : m_view->members) {
        const bool mine =
            member.service.empty() ? withoutService : own && member.service == m_service;
        if (mine && name != m_self.name) {
            members.push_back(&member);
        }
    }
    return members;
}

milliseconds coordinator::pingInterval(size_t members) const
{
    return std::clamp(memberPingPerMember * static_cast<int64_t>(members), minMemberPing,
                      maxMemberPing);
}

std::vector<member_record> coordinator::duePings(steady_time now)
{
    std::map<std::string_view, member_record> due;
    const auto addElection = [&](const rendezvous_election &election) {
        for (const auto &target : election.pingTargets()) {
            auto &pingedAt = m_electionPings.try_emplace(target.id.name).first->second;
            if (now - pingedAt + pingSlack >= electionPingInterval) {
                pingedAt = now;
                due.try_emplace(m_view->members.find(target.id.name)->first, target);
            }
        }
    };
    addElection(m_fallback);
    if (m_election) {
        addElection(*m_election);
    }
    const auto members = watched(now);
    const auto interval = pingInterval(members.size());
    std::set<instance_id> watchedIds;
    for (const auto *member : members) {
        watchedIds.insert(member->id);
        const auto [entry, isNew] = m_members.try_emplace(member->id);
        auto &state = entry->second;
        if (isNew) {
            // Spreads the pings over the interval and starts the silence now.
            const auto phase = milliseconds(rendezvousWeight(member->id.name, "ping")
                                            % static_cast<uint64_t>(interval.count()));
            state.pingedAt = now - phase;
            state.heardAt = now;
        }
        if (now - state.pingedAt + pingSlack >= interval) {
            state.pingedAt = now;
            due.try_emplace(member->id.name, *member);
        }
    }
    // A daemon that loses the role and regains it starts to measure the silence anew.
    std::erase_if(m_members, [&](const auto &entry) { return !watchedIds.contains(entry.first); });
    std::vector<member_record> result;
    result.reserve(due.size());
    for (auto &[name, member] : due) {
        result.push_back(std::move(member));
    }
    return result;
}

void coordinator::recordResponse(const instance_id &member, steady_time now)
{
    m_fallback.recordResponse(member.name, now);
    if (m_election) {
        m_election->recordResponse(member.name, now);
    }
    const auto entry = m_members.find(member);
    if (entry != m_members.end()) {
        entry->second.heardAt = now;
        entry->second.answered = true;
        entry->second.helpersAsked = 0;
        entry->second.confirmedAt.reset();
    }
}

void coordinator::noteConfirmation(const instance_id &helper, const instance_id &suspect,
                                   bool answered, steady_time now)
{
    const auto entry = m_members.find(suspect);
    if (entry == m_members.end() || helper == suspect || helper == m_self) {
        return;
    }
    if (answered) {
        // Only the path from here to the member is broken; it stays a member.
        entry->second.heardAt = now;
        entry->second.confirmedAt.reset();
    } else {
        entry->second.confirmedAt = now;
    }
}

void coordinator::tick(steady_time now)
{
    if (!m_view) {
        return;
    }
    place(now);
    acceptDocuments(now);
    checkMembers(now);
}

milliseconds coordinator::silenceAllowed() const
{
    return pingInterval(m_serviceMembers.size()) + lateReply;
}

bool coordinator::knowsConditions(steady_time now) const
{
    return std::all_of(m_serviceMembers.begin(), m_serviceMembers.end(), [&](const auto &id) {
        const auto entry = m_members.find(id);
        return id == m_self
            || (entry != m_members.end()
                && (entry->second.answered || now - entry->second.heardAt > silenceAllowed()));
    });
}

member_condition coordinator::conditionOf(const member_record &member, steady_time now) const
{
    const auto entry = m_members.find(member.id);
    if (entry != m_members.end() && now - entry->second.heardAt > silenceAllowed()) {
        return member_condition::Silent;
    }
    return m_hooks.placement.condition ? m_hooks.placement.condition(member)
                                       : member_condition::Available;
}

placement_options coordinator::placementOptions(steady_time now) const
{
    placement_options options;
    if (now - m_loadPlanAt >= loadPlanInterval) {
        options.weights = m_weights;
    }
    for (const auto &[partition, write] : m_writes) {
        const bool pending = write.isMove && now - write.at < coordinatorRetryInterval;
        options.movesUnderWay -= pending && options.movesUnderWay > 0 ? 1 : 0;
    }
    return options;
}

void coordinator::place(steady_time now)
{
    if (m_service.empty() || !coordinates(m_service, now)) {
        return;
    }
    const bool hasRecords = m_view->recordsByService.count(m_service) > 0;
    if (!hasRecords && now - m_membersChangedAt < initialSettleTime) {
        return;
    }
    // A member that joins may have failed since; nothing is moved to it before it has answered.
    if (!knowsConditions(now)) {
        return;
    }
    auto placement = m_hooks.placement;
    placement.condition = [this, now](const member_record &member) {
        return conditionOf(member, now);
    };
    for (const auto &change : planPlacement(*m_view, m_service, placement, placementOptions(now))) {
        const auto pending = m_writes.find(change.record.partition);
        if (pending != m_writes.end() && now - pending->second.at < coordinatorRetryInterval) {
            continue;
        }
        const bool isMove = change.kind == record_change::change_kind::Move;
        m_writes.insert_or_assign(change.record.partition,
                                  pending_write{change.expectedVersion, isMove, now});
        if (change.loadDriven) {
            m_loadPlanAt = now;
        }
        m_hooks.writeRecord(change);
    }
}

void coordinator::acceptDocuments(steady_time now)
{
    if (!m_hooks.newerDocuments) {
        return;
    }
    for (const auto &config : m_hooks.newerDocuments()) {
        if (!config.key.starts_with(configPrefix)) {
            continue;
        }
        const std::string service = config.key.substr(configPrefix.size());
        if (service.empty() || !coordinates(service, now)) {
            continue;
        }
        auto &pending = m_acceptances[service];
        if (pending.version == config.version && now - pending.at < coordinatorRetryInterval) {
            continue;
        }
        pending = {config.version, false, now};
        m_hooks.acceptDocument(service, config);
    }
}

void coordinator::checkMembers(steady_time now)
{
    for (const auto *member : watched(now)) {
        const auto entry = m_members.find(member->id);
        if (entry != m_members.end() && now - entry->second.heardAt >= memberSilence) {
            checkSilentMember(*member, entry->second, now);
        }
    }
}

void coordinator::checkSilentMember(const member_record &member, member_state &state,
                                    steady_time now)
{
    if (state.confirmedAt && now - *state.confirmedAt < confirmationAge) {
        if (now - state.removalAt >= coordinatorRetryInterval) {
            state.removalAt = now;
            m_hooks.removeMember(member);
        }
        return;
    }
    if (now - state.askedAt < coordinatorRetryInterval) {
        return;
    }
    if (const auto *helper = chooseHelper(member, state.helpersAsked)) {
        state.askedAt = now;
        ++state.helpersAsked;
        m_hooks.askConfirmation(*helper, member);
    }
}

// Prefers daemons of another availability zone. Each is asked twice, since it answers the first
// request before it has pinged the suspect itself; then the next one is asked.
const member_record *coordinator::chooseHelper(const member_record &suspect, size_t attempt) const
{
    std::vector<const member_record *> others;
    std::vector<const member_record *> sameZone;
    for (const auto &[name, member] : m_view->members) {
        if (name == m_self.name || name == suspect.id.name) {
            continue;
        }
        auto &group = member.availabilityZone != m_availabilityZone ? others : sameZone;
        group.push_back(&member);
    }
    const auto &helpers = others.empty() ? sameZone : others;
    if (helpers.empty()) {
        return nullptr;
    }
    constexpr size_t requestsPerHelper = 2;
    const size_t start = rendezvousWeight(suspect.id.name, "helper") % helpers.size();
    return helpers[(start + attempt / requestsPerHelper) % helpers.size()];
}

} // namespace persimmonrail
