#include "persimmonrail/balance/placement_plan.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <limits>
#include <set>

namespace persimmonrail {
namespace {

constexpr size_t witnessesPerPartition = 3;
constexpr size_t standbysPerPartition = 3;

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

    std::vector<record_change> plan(size_t partitions)
    {
        collectMembers();
        collectRecords();
        if (!m_available.empty()) {
            const bool isComplete = createRecords(partitions);
            moveFromDraining();
            // Numbers and loads mean nothing before all records exist.
            if (isComplete) {
                moveByNumber();
                moveByLoad();
            }
        }
        repairStandbys();
        return std::move(m_changes);
    }

private:
    // An available member with the records that it owns or is about to own.
    struct holding
    {
        const member_record *member = nullptr;
        size_t count = 0;
        double load = 0;
        // Records that can be moved away.
        std::vector<const versioned_record *> movable;
    };
    // A load move; `back` is null unless it is an exchange.
    struct load_move
    {
        holding *receiver = nullptr;
        const versioned_record *there = nullptr;
        const versioned_record *back = nullptr;
        double gain = 0;
    };

    member_condition conditionOf(const instance_id &id) const
    {
        const auto *member = m_view.findMember(id);
        if (member == nullptr) {
            return member_condition::Silent;
        }
        return m_hooks.condition ? m_hooks.condition(*member) : member_condition::Available;
    }

    double weightOf(const placement_record &record) const
    {
        const auto weight = m_options.weights.find(record.partition);
        return weight == m_options.weights.end() ? 0 : weight->second;
    }

    holding *findHolding(const instance_id &id)
    {
        const auto entry = m_available.find(id);
        return entry == m_available.end() ? nullptr : &entry->second;
    }

    void collectMembers()
    {
        const auto members = m_view.membersOf(m_service);
        m_others = members.empty() ? 0 : members.size() - 1;
        for (const auto *member : members) {
            if (conditionOf(member->id) == member_condition::Available) {
                m_available[member->id].member = member;
            }
        }
    }

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

    void collectRecord(const versioned_record &versioned)
    {
        const auto &record = versioned.record;
        const auto ownerCondition = conditionOf(record.owner);
        if (ownerCondition == member_condition::Silent) {
            return;
        }
        const bool moving = !record.nextOwner.isNull();
        const bool moveFails = moving && findHolding(record.nextOwner) == nullptr;
        if (moveFails) {
            cancelMove(versioned);
        } else if (moving) {
            ++m_movesUnderWay;
        }
        auto *holder = findHolding(moving && !moveFails ? record.nextOwner : record.owner);
        if (holder != nullptr) {
            ++holder->count;
            holder->load += weightOf(record);
        }
        if (moving) {
            return;
        }
        if (holder != nullptr) {
            holder->movable.push_back(&versioned);
        } else if (ownerCondition == member_condition::Draining) {
            m_draining.push_back(&versioned);
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
        m_changed.insert(record.partition);
        m_changes.push_back({kind, std::move(record), version, false, std::move(reason)});
    }

    // Returns whether no record was missing.
    bool createRecords(size_t partitions)
    {
        const auto missing = missingRanges(partitions);
        size_t total = missing.size();
        for (const auto &[id, holder] : m_available) {
            total += holder.count;
        }
        const size_t share = total / m_available.size();
        size_t extras = total % m_available.size();
        for (const auto &[id, holder] : m_available) {
            extras -= holder.count > share && extras > 0 ? 1 : 0;
        }
        for (size_t i = 0; i < std::min(missing.size(), m_options.creations); ++i) {
            const std::string partition = partitionName(m_service, missing[i]);
            auto *owner = chooseUnderBound(partition, share + (extras > 0 ? 1 : 0));
            if (owner == nullptr || !createRecord(partition, missing[i], *owner)) {
                continue;
            }
            extras -= owner->count == share && extras > 0 ? 1 : 0;
            ++owner->count;
        }
        return missing.empty();
    }

    std::vector<hash_range> missingRanges(size_t partitions) const
    {
        std::vector<hash_range> missing;
        for (const auto &range : equalRanges(partitions)) {
            // A range that overlaps a record must not get a second owner, whatever its name.
            const bool covered =
                std::any_of(m_records.begin(), m_records.end(), [&](const auto *record) {
                    return record->record.range.first <= range.last
                        && range.first <= record->record.range.last;
                });
            if (!covered) {
                missing.push_back(range);
            }
        }
        return missing;
    }

    // Returns the highest-ranked member for the partition that owns fewer than `bound`.
    holding *chooseUnderBound(const std::string &partition, size_t bound)
    {
        holding *chosen = nullptr;
        uint64_t highest = 0;
        for (auto &[id, holder] : m_available) {
            const uint64_t weight = rendezvousWeight(id.name, partition);
            if (holder.count < bound && (chosen == nullptr || weight > highest)) {
                chosen = &holder;
                highest = weight;
            }
        }
        return chosen;
    }

    bool createRecord(const std::string &partition, const hash_range &range, const holding &owner)
    {
        placement_record record;
        record.partition = partition;
        record.range = range;
        record.owner = owner.member->id;
        record.term = 1;
        record.witnesses = m_hooks.chooseWitnesses(m_view, record.owner, partition);
        if (record.witnesses.size() != witnessesPerPartition) {
            return false;
        }
        record.standbys = m_hooks.chooseStandbys(m_view, m_service, record.owner, partition);
        addChange(record_change::change_kind::Create, std::move(record), 0, "initial placement");
        return true;
    }

    bool mayMove() const { return m_movesUnderWay < m_options.movesUnderWay; }

    void moveFromDraining()
    {
        for (const auto *record : m_draining) {
            if (!mayMove()) {
                return;
            }
            size_t fewest = std::numeric_limits<size_t>::max();
            for (const auto &[id, holder] : m_available) {
                fewest = std::min(fewest, holder.count);
            }
            auto *receiver = chooseUnderBound(record->record.partition, fewest + 1);
            move(*record, nullptr, *receiver, false, "owner drains");
        }
    }

    void moveByNumber()
    {
        while (mayMove()) {
            size_t fewest = std::numeric_limits<size_t>::max();
            size_t most = 0;
            for (const auto &[id, holder] : m_available) {
                fewest = std::min(fewest, holder.count);
                most = std::max(most, holder.count);
            }
            if (most < fewest + 2 || !moveBestRanked(most, fewest)) {
                return;
            }
        }
    }

    // Moves the partition for which a member with the fewest ranks highest.
    bool moveBestRanked(size_t most, size_t fewest)
    {
        holding *from = nullptr;
        holding *to = nullptr;
        const versioned_record *chosen = nullptr;
        uint64_t highest = 0;
        for (auto &[receiverId, receiver] : m_available) {
            if (receiver.count != fewest) {
                continue;
            }
            for (auto &[donorId, donor] : m_available) {
                if (donor.count != most) {
                    continue;
                }
                for (const auto *record : donor.movable) {
                    const auto weight = rendezvousWeight(receiverId.name, record->record.partition);
                    if (chosen == nullptr || weight > highest) {
                        from = &donor;
                        to = &receiver;
                        chosen = record;
                        highest = weight;
                    }
                }
            }
        }
        if (chosen == nullptr) {
            return false;
        }
        move(*chosen, from, *to, false, "numbers differ");
        return true;
    }

    void move(const versioned_record &versioned, holding *from, holding &to, bool loadDriven,
              std::string_view reason)
    {
        auto record = versioned.record;
        record.nextOwner = to.member->id;
        const double weight = weightOf(record);
        addChange(record_change::change_kind::Move, std::move(record), versioned.version,
                  std::string(reason));
        m_changes.back().loadDriven = loadDriven;
        ++m_movesUnderWay;
        ++to.count;
        to.load += weight;
        if (from != nullptr) {
            --from->count;
            from->load -= weight;
            std::erase(from->movable, &versioned);
        }
    }

    // Plans at most one move or exchange, and only while no other move is under way, because the
    // observed rates show the effect of a move only after it has completed.
    void moveByLoad()
    {
        if (m_options.weights.empty() || m_movesUnderWay > 0 || !mayMove()
            || m_available.size() < 2) {
            return;
        }
        double total = 0;
        std::vector<holding *> busiestFirst;
        for (auto &[id, holder] : m_available) {
            total += holder.load;
            busiestFirst.push_back(&holder);
        }
        std::stable_sort(
            busiestFirst.begin(), busiestFirst.end(),
            [](const holding *left, const holding *right) { return left->load > right->load; });
        const double mean = total / static_cast<double>(m_available.size());
        // The busiest may be so for one partition that nothing can divide; then the next is helped.
        for (auto *busy : busiestFirst) {
            if (busy->load <= mean * (1 + m_options.loadTrigger)) {
                return;
            }
            const auto best = findLoadMove(*busy);
            if (best.there != nullptr && best.gain >= mean * m_options.loadGain) {
                move(*best.there, busy, *best.receiver, true, "loads differ");
                if (best.back != nullptr) {
                    move(*best.back, best.receiver, *busy, true, "loads differ, exchange");
                }
                return;
            }
        }
    }

    load_move findLoadMove(const holding &busy)
    {
        load_move best;
        for (auto &[id, receiver] : m_available) {
            if (&receiver == &busy) {
                continue;
            }
            for (const auto *there : busy.movable) {
                if (busy.count > receiver.count) {
                    consider(best, busy, {&receiver, there, nullptr});
                }
                if (m_options.movesUnderWay < 2) {
                    continue;
                }
                for (const auto *back : receiver.movable) {
                    consider(best, busy, {&receiver, there, back});
                }
            }
        }
        return best;
    }

    void consider(load_move &best, const holding &busy, load_move candidate) const
    {
        double shifted = weightOf(candidate.there->record);
        if (candidate.back != nullptr) {
            shifted -= weightOf(candidate.back->record);
        }
        const double after = std::max(busy.load - shifted, candidate.receiver->load + shifted);
        candidate.gain = busy.load - after;
        // An exchange costs two moves, so it must gain clearly more than a single one.
        constexpr double exchangeAdvantage = 1.1;
        const bool costsMore = candidate.back != nullptr && best.back == nullptr;
        if (candidate.gain > best.gain * (costsMore ? exchangeAdvantage : 1.0)) {
            best = candidate;
        }
    }

    void repairStandbys()
    {
        size_t repairs = 0;
        for (const auto *versioned : m_records) {
            if (repairs >= m_options.repairs) {
                return;
            }
            if (m_changed.count(versioned->record.partition) == 0 && repairRecord(*versioned)) {
                ++repairs;
            }
        }
    }

    bool repairRecord(const versioned_record &versioned)
    {
        const auto &record = versioned.record;
        std::vector<instance_id> standbys;
        // A standby that has become the owner may still be listed.
        std::copy_if(record.standbys.begin(), record.standbys.end(), std::back_inserter(standbys),
                     [&](const instance_id &id) {
                         return m_view.findMember(id) != nullptr && id != record.owner;
                     });
        // The standbys of a lost owner claim it; a change of the record would only delay them.
        if (m_view.findMember(record.owner) == nullptr && !standbys.empty()) {
            return false;
        }
        // The hook ranks all members, which is too slow to do for each record on each call.
        const bool complete = standbys.size() >= std::min(standbysPerPartition, m_others);
        if (complete && standbys.size() == record.standbys.size()) {
            return false;
        }
        const auto chosen =
            m_hooks.chooseStandbys(m_view, m_service, record.owner, record.partition);
        for (const auto &id : chosen) {
            const bool listed = std::find(standbys.begin(), standbys.end(), id) != standbys.end();
            if (standbys.size() < standbysPerPartition && !listed && id != record.owner) {
                standbys.push_back(id);
            }
        }
        if (standbys == record.standbys) {
            return false;
        }
        auto changed = record;
        changed.standbys = std::move(standbys);
        addChange(record_change::change_kind::RepairStandbys, std::move(changed), versioned.version,
                  "standbys lost or missing");
        return true;
    }

    const fleet_view &m_view;
    const std::string m_service;
    const placement_hooks &m_hooks;
    const placement_options &m_options;
    // Members of the service besides an owner.
    size_t m_others = 0;
    std::map<instance_id, holding> m_available;
    std::vector<const versioned_record *> m_records;
    // Records of draining owners, still to be moved.
    std::vector<const versioned_record *> m_draining;
    size_t m_movesUnderWay = 0;
    std::set<std::string, std::less<>> m_changed;
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
