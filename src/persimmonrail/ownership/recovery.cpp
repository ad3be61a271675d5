#include "persimmonrail/ownership/recovery.h"

#include "persimmonrail/ownership/witness_choice.h"

#include <algorithm>

namespace persimmonrail {

witness_evidence::witness_evidence(lease_timing timing)
    : m_timing(timing)
{ }

void witness_evidence::onPingReply(const instance_id &witness, const instance_id &repliedBy,
                                   milliseconds uptime)
{
    if (repliedBy.name == witness.name && repliedBy.incarnation != witness.incarnation
        && uptime > m_timing.leaseDuration + m_timing.driftMargin) {
        m_deadFrom[toString(witness)] = steady_time::min();
    }
}

void witness_evidence::onDocument(const service_document &document, steady_time now)
{
    for (const auto &retired : document.retired) {
        m_deadFrom.emplace(retired, now + m_timing.leaseDuration + m_timing.driftMargin);
    }
}

bool witness_evidence::isDead(const instance_id &witness, steady_time now) const
{
    const auto it = m_deadFrom.find(toString(witness));
    return it != m_deadFrom.end() && now > it->second;
}

std::optional<placement_record> recoverRecord(const placement_record &record,
                                              const witness_evidence &evidence,
                                              const fleet_view &view, const instance_id &owner,
                                              steady_time now)
{
    const auto deadWitnesses = [&](const std::vector<instance_id> &set) {
        std::vector<instance_id> dead;
        std::copy_if(set.begin(), set.end(), std::back_inserter(dead),
                     [&](const instance_id &id) { return evidence.isDead(id, now); });
        return dead;
    };
    const auto hasLostMajority = [&](const std::vector<instance_id> &set) {
        return deadWitnesses(set).size() >= witnessCount - 1;
    };
    placement_record recovered = record;
    const bool isJoint = !record.previousWitnesses.empty();
    if (hasLostMajority(isJoint ? record.previousWitnesses : record.witnesses)) {
        const auto dead = deadWitnesses(record.witnesses);
        recovered.witnesses = completeWitnesses(view, owner, {}, dead);
        recovered.previousWitnesses.clear();
        recovered.owner = owner;
        recovered.term = record.term + recoveryTermStep;
        recovered.nextOwner = {};
        recovered.standbys =
            chooseStandbys(view, serviceOfPartition(record.partition), owner, record.partition);
    } else if (isJoint && hasLostMajority(record.witnesses)) {
        const auto dead = deadWitnesses(record.witnesses);
        const auto &spreadOwner = view.findMember(record.owner) != nullptr ? record.owner : owner;
        recovered.witnesses = completeWitnesses(view, spreadOwner, {}, dead);
    } else {
        return std::nullopt;
    }
    if (recovered.witnesses.size() != witnessCount) {
        return std::nullopt;
    }
    return recovered;
}

} // namespace persimmonrail
