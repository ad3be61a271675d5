#include "persimmonrail/balance/placement_plan.h"

#include "persimmonrail/balance/load_move.h"
#include "persimmonrail/balance/standby_repair.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <set>

namespace persimmonrail {
namespace {

constexpr size_t witnessesPerPartition = 3;

// Plans the record changes of one call of planPlacement().
class planner
{
public:
    planner(const fleet_view &view, std::string_view service, const placement_hooks &hooks,
            const placement_options &options)
        : m_view(view)
        , m_service(service)
        , m_hooks(hooks)
        , m_options(options)
    { }

    // Returns the changes for a service that is divided into `partitionCount` ranges. To be called
    // only once.
    std::vector<record_change> plan(size_t partitionCount)
    {
        collectMembers();
        collectRecords();
        if (!m_available.empty()) {
            const bool hasAllRecords = createRecords(partitionCount);
            moveFromDrainingOwners();
            // Counts and loads can be compared only once all records exist.
            if (hasAllRecords) {
                balanceCounts();
                balanceLoad();
            }
        }
        repairStandbys();
        return std::move(m_changes);
    }

private:
    member_condition conditionOf(const instance_id &id) const
    {
        const auto *member = m_view.findMember(id);
        if (member == nullptr) {
            return member_condition::Unresponsive;
        }
        return m_hooks.condition ? m_hooks.condition(*member) : member_condition::Available;
    }

    // Returns null if no available member has this id.
    available_member *findAvailable(const instance_id &id)
    {
        const auto entry = m_available.find(id);
        return entry == m_available.end() ? nullptr : &entry->second;
    }

    void collectMembers()
    {
        const auto members = m_view.membersOf(m_service);
        m_maxStandbys = members.empty() ? 0 : members.size() - 1;
        for (const auto *member : members) {
            if (conditionOf(member->id) == member_condition::Available) {
                m_available[member->id].memberRecord = member;
            }
        }
    }

    // Collects the range records of the service. Records of single keys are not balanced.
    void collectRecords()
    {
        const auto entry = m_view.recordsByService.find(m_service);
        if (entry == m_view.recordsByService.end()) {
            return;
        }
        for (const auto *record : entry->second) {
            if (!record->record.range.isSingleKey()) {
                m_records.push_back(record);
                collectRecord(*record);
            }
        }
    }

    // Adds the record to its owner, or to its next owner during a move. Cancels a move whose target
    // is not available. Skips records of unresponsive owners, since their moves cannot complete.
    void collectRecord(const versioned_record &versioned)
    {
        const auto &record = versioned.record;
        const auto ownerCondition = conditionOf(record.owner);
        if (ownerCondition == member_condition::Unresponsive) {
            return;
        }
        const bool isMoving = !record.nextOwner.isNull();
        const bool isTargetUnavailable = isMoving && findAvailable(record.nextOwner) == nullptr;
        if (isTargetUnavailable) {
            cancelMove(versioned);
        } else if (isMoving) {
            ++m_movesInProgress;
        }
        auto *owner =
            findAvailable(isMoving && !isTargetUnavailable ? record.nextOwner : record.owner);
        if (owner != nullptr) {
            ++owner->partitionCount;
            owner->load += requestRateOf(m_options, record);
        }
        if (isMoving) {
            return;
        }
        if (owner != nullptr) {
            owner->movableRecords.push_back(&versioned);
        } else if (ownerCondition == member_condition::Draining) {
            m_drainingRecords.push_back(&versioned);
        }
    }

    void cancelMove(const versioned_record &versioned)
    {
        auto record = versioned.record;
        const std::string target = toString(record.nextOwner);
        record.nextOwner = {};
        addChange(record_change::change_kind::CancelMove, std::move(record), versioned.version,
                  absl::StrCat("target of the move is not available: ", target));
    }

    void addChange(record_change::change_kind kind, placement_record record, uint64_t version,
                   std::string reason)
    {
        m_changedPartitions.insert(record.partition);
        m_changes.push_back({kind, std::move(record), version, false, std::move(reason)});
    }

    // Plans records for ranges without one, up to the limit of one call. Returns whether all ranges
    // had a record before.
    bool createRecords(size_t partitionCount)
    {
        const auto missing = missingRanges(partitionCount);
        size_t total = missing.size();
        for (const auto &[id, member] : m_available) {
            total += member.partitionCount;
        }
        const size_t share = total / m_available.size();
        // Number of members that may still receive one partition more than the equal share.
        size_t extraPartitionsLeft = total % m_available.size();
        for (const auto &[id, member] : m_available) {
            extraPartitionsLeft -= member.partitionCount > share && extraPartitionsLeft > 0 ? 1 : 0;
        }
        for (size_t i = 0; i < std::min(missing.size(), m_options.maxCreations); ++i) {
            const std::string partition = partitionName(m_service, missing[i]);
            auto *owner = chooseBelowLimit(partition, share + (extraPartitionsLeft > 0 ? 1 : 0));
            if (owner == nullptr || !createRecord(partition, missing[i], *owner)) {
                continue;
            }
            extraPartitionsLeft -=
                owner->partitionCount == share && extraPartitionsLeft > 0 ? 1 : 0;
            ++owner->partitionCount;
        }
        return missing.empty();
    }

    // Returns the ranges that overlap no record.
    std::vector<hash_range> missingRanges(size_t partitionCount) const
    {
        std::vector<hash_range> missing;
        for (const auto &range : divideHashSpace(partitionCount)) {
            // The check compares hashes, not names: after a change of the number of partitions, a
            // range may overlap records with other names, and no hash may have two owners.
            const bool isCovered =
                std::any_of(m_records.begin(), m_records.end(), [&](const auto *record) {
                    return record->record.range.first <= range.last
                        && range.first <= record->record.range.last;
                });
            if (!isCovered) {
                missing.push_back(range);
            }
        }
        return missing;
    }

    // Returns the member with the highest rendezvous weight for the partition among those that own
    // fewer than `limit` partitions, or null if there is none.
    available_member *chooseBelowLimit(const std::string &partition, size_t limit)
    {
        available_member *chosen = nullptr;
        uint64_t highestWeight = 0;
        for (auto &[id, member] : m_available) {
            const uint64_t weight = rendezvousWeight(id.name, partition);
            if (member.partitionCount < limit && (chosen == nullptr || weight > highestWeight)) {
                chosen = &member;
                highestWeight = weight;
            }
        }
        return chosen;
    }

    // Returns false if there are too few witnesses for the partition.
    bool createRecord(const std::string &partition, const hash_range &range,
                      const available_member &owner)
    {
        placement_record record;
        record.partition = partition;
        record.range = range;
        record.owner = owner.memberRecord->id;
        record.term = 1;
        record.witnesses = m_hooks.chooseWitnesses(m_view, record.owner, partition);
        if (record.witnesses.size() != witnessesPerPartition) {
            return false;
        }
        record.standbys = m_hooks.chooseStandbys(m_view, m_service, record.owner, partition);
        addChange(record_change::change_kind::Create, std::move(record), 0, "initial placement");
        return true;
    }

    // Returns whether another move may be started now.
    bool canStartMove() const { return m_movesInProgress < m_options.maxConcurrentMoves; }

    // Plans moves from draining owners to the members with the fewest partitions.
    void moveFromDrainingOwners()
    {
        for (const auto *record : m_drainingRecords) {
            if (!canStartMove()) {
                return;
            }
            size_t minCount = std::numeric_limits<size_t>::max();
            for (const auto &[id, member] : m_available) {
                minCount = std::min(minCount, member.partitionCount);
            }
            auto *receiver = chooseBelowLimit(record->record.partition, minCount + 1);
            move(*record, nullptr, *receiver, false, "owner is draining");
        }
    }

    // Plans moves until partition counts differ by at most one or no further move may start.
    void balanceCounts()
    {
        while (canStartMove()) {
            size_t minCount = std::numeric_limits<size_t>::max();
            size_t maxCount = 0;
            for (const auto &[id, member] : m_available) {
                minCount = std::min(minCount, member.partitionCount);
                maxCount = std::max(maxCount, member.partitionCount);
            }
            if (maxCount < minCount + 2 || !moveByRendezvousWeight(maxCount, minCount)) {
                return;
            }
        }
    }

    // Moves one partition from a member with `maxCount` partitions to a member with `minCount`.
    // Chooses the partition and the receiver with the highest rendezvous weight. Returns false if
    // there is no such partition.
    bool moveByRendezvousWeight(size_t maxCount, size_t minCount)
    {
        available_member *from = nullptr;
        available_member *to = nullptr;
        const versioned_record *chosen = nullptr;
        uint64_t highestWeight = 0;
        for (auto &[receiverId, receiver] : m_available) {
            if (receiver.partitionCount != minCount) {
                continue;
            }
            for (auto &[donorId, donor] : m_available) {
                if (donor.partitionCount != maxCount) {
                    continue;
                }
                for (const auto *record : donor.movableRecords) {
                    const auto weight = rendezvousWeight(receiverId.name, record->record.partition);
                    if (chosen == nullptr || weight > highestWeight) {
                        from = &donor;
                        to = &receiver;
                        chosen = record;
                        highestWeight = weight;
                    }
                }
            }
        }
        if (chosen == nullptr) {
            return false;
        }
        move(*chosen, from, *to, false, "partition counts differ");
        return true;
    }

    // Plans a move and updates the counts and loads. `from` is null if the owner is draining.
    void move(const versioned_record &versioned, available_member *from, available_member &to,
              bool isLoadDriven, std::string_view reason)
    {
        auto record = versioned.record;
        record.nextOwner = to.memberRecord->id;
        const double requestRate = requestRateOf(m_options, record);
        addChange(record_change::change_kind::Move, std::move(record), versioned.version,
                  std::string(reason));
        m_changes.back().isLoadDriven = isLoadDriven;
        ++m_movesInProgress;
        ++to.partitionCount;
        to.load += requestRate;
        if (from != nullptr) {
            --from->partitionCount;
            from->load -= requestRate;
            std::erase(from->movableRecords, &versioned);
        }
    }

    // Plans at most one load-driven move or exchange, and only while no other move is in progress,
    // because the observed request rates show the effect of a move only after the move is complete.
    void balanceLoad()
    {
        if (m_options.requestRates.empty() || m_movesInProgress > 0 || !canStartMove()
            || m_available.size() < 2) {
            return;
        }
        double total = 0;
        std::vector<available_member *> busiestFirst;
        for (auto &[id, member] : m_available) {
            total += member.load;
            busiestFirst.push_back(&member);
        }
        std::stable_sort(busiestFirst.begin(), busiestFirst.end(),
                         [](const available_member *left, const available_member *right) {
                             return left->load > right->load;
                         });
        const double mean = total / static_cast<double>(m_available.size());
        // If no move relieves the busiest member enough, for example because a single partition
        // causes its load and cannot be divided, the next busiest member is tried.
        for (auto *donor : busiestFirst) {
            if (donor->load <= mean * (1 + m_options.minLoadExcess)) {
                return;
            }
            const auto best = findLoadMove(*donor, m_available, m_options);
            if (best.outgoing != nullptr
                && best.loadReduction >= mean * m_options.minLoadReduction) {
                move(*best.outgoing, donor, *best.receiver, true, "loads differ");
                if (best.incoming != nullptr) {
                    move(*best.incoming, best.receiver, *donor, true, "loads differ, exchange");
                }
                return;
            }
        }
    }

    // Plans repairs for records without other planned changes, up to the limit of one call.
    void repairStandbys()
    {
        size_t repairs = 0;
        for (const auto *versioned : m_records) {
            if (repairs >= m_options.maxStandbyRepairs) {
                return;
            }
            if (m_changedPartitions.count(versioned->record.partition) == 0
                && repairRecord(*versioned)) {
                ++repairs;
            }
        }
    }

    // Plans the repair of the standbys of a record. Returns whether a change was planned.
    bool repairRecord(const versioned_record &versioned)
    {
        auto standbys =
            repairedStandbys(m_view, m_service, versioned.record, m_maxStandbys, m_hooks);
        if (!standbys) {
            return false;
        }
        auto changed = versioned.record;
        changed.standbys = *std::move(standbys);
        addChange(record_change::change_kind::RepairStandbys, std::move(changed), versioned.version,
                  "standbys lost or missing");
        return true;
    }

    const fleet_view &m_view;
    const std::string m_service;
    const placement_hooks &m_hooks;
    const placement_options &m_options;
    // Number of members of the service that can be standbys of one record, i.e. all but its owner.
    size_t m_maxStandbys = 0;
    // Available members of the service.
    available_members m_available;
    // Range records of the service.
    std::vector<const versioned_record *> m_records;
    // Records of draining owners whose move has not started.
    std::vector<const versioned_record *> m_drainingRecords;
    // Moves in progress, including those planned by this call.
    size_t m_movesInProgress = 0;
    // Names of the partitions that this plan changes.
    std::set<std::string, std::less<>> m_changedPartitions;
    std::vector<record_change> m_changes;
};

} // namespace

std::string_view toString(record_change::change_kind kind)
{
    switch (kind) {
    case record_change::change_kind::Create:
        return "create";
    case record_change::change_kind::Move:
        return "move";
    case record_change::change_kind::CancelMove:
        return "cancel-move";
    case record_change::change_kind::RepairStandbys:
        return "repair-standbys";
    }
    return "unknown";
}

std::vector<record_change> planPlacement(const fleet_view &view, std::string_view service,
                                         const placement_hooks &hooks,
                                         const placement_options &options)
{
    const auto document = view.documents.find(service);
    if (document == view.documents.end() || !document->second->isPartitioned()) {
        return {};
    }
    return planner(view, service, hooks, options)
        .plan(static_cast<size_t>(document->second->partitions));
}

} // namespace persimmonrail
