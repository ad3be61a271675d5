#pragma once

#include "persimmonrail/balance/placement_plan.h"

#include <algorithm>
#include <memory>
#include <string>

namespace persimmonrail {

// Simulates a fleet with one service "s". Planned writes take effect in the fleet's view
// immediately.
class simulated_fleet
{
public:
    simulated_fleet(int instances, int partitions)
    {
        service_document document;
        document.service = "s";
        document.partitions = partitions;
        m_view->documents["s"] = std::make_shared<const service_document>(document);
        for (int i = 0; i < instances; ++i) {
            addMember("i" + std::to_string(i));
        }
    }

    // Adds a member under a new incarnation.
    void addMember(const std::string &name)
    {
        m_view->members[name] = {
            {name, ++m_version}, "r", "z" + std::to_string(m_version % 3), "s", "127.0.0.1:1",
            "127.0.0.1:2",       10};
    }

    // Removes a member without moving its partitions.
    void removeMember(const std::string &name) { m_view->members.erase(name); }

    // Returns hooks that choose fixed witnesses, and the first three other members as standbys.
    static placement_hooks hooks()
    {
        placement_hooks hooks;
        hooks.chooseWitnesses = [](const fleet_view &, const instance_id &, std::string_view) {
            return std::vector<instance_id>{{"w1", 1}, {"w2", 1}, {"w3", 1}};
        };
        hooks.chooseStandbys = [](const fleet_view &view, std::string_view service,
                                  const instance_id &owner, std::string_view) {
            std::vector<instance_id> standbys;
            for (const auto *member : view.membersOf(service)) {
                if (member->id != owner && standbys.size() < 3) {
                    standbys.push_back(member->id);
                }
            }
            return standbys;
        };
        return hooks;
    }

    // Applies a planned change.
    void write(const record_change &change)
    {
        auto &record = m_view->records[change.record.partition];
        record = {change.record, ++m_version};
        indexRecords(*m_view);
    }

    // Completes the planned moves as their owners would; returns the number of moves.
    int completeMoves()
    {
        int moves = 0;
        for (auto &[partition, versioned] : m_view->records) {
            auto &record = versioned.record;
            if (!record.nextOwner.isNull()) {
                record.owner = record.nextOwner;
                record.nextOwner = {};
                ++record.term;
                versioned.version = ++m_version;
                ++moves;
            }
        }
        return moves;
    }

    // Gives each partition without live owner to the first standby that is still a member.
    void claimByStandbys()
    {
        for (auto &[partition, versioned] : m_view->records) {
            auto &record = versioned.record;
            const auto successor = std::find_if(
                record.standbys.begin(), record.standbys.end(),
                [&](const instance_id &id) { return m_view->findMember(id) != nullptr; });
            if (m_view->findMember(record.owner) == nullptr && successor != record.standbys.end()) {
                record.owner = *successor;
                versioned.version = ++m_version;
            }
        }
    }

    // Applies plans and completes their moves until a plan is empty, at most `maxRounds` times.
    // Returns the number of moves.
    int planUntilStable(const placement_hooks &hooks, const placement_options &options,
                        int maxRounds = 1000)
    {
        int moves = 0;
        for (int i = 0; i < maxRounds; ++i) {
            const auto changes = planPlacement(*m_view, "s", hooks, options);
            if (changes.empty()) {
                break;
            }
            for (const auto &change : changes) {
                write(change);
            }
            moves += completeMoves();
        }
        return moves;
    }

    // Returns the number of partitions that each member owns.
    std::map<std::string, int> counts() const
    {
        std::map<std::string, int> counts;
        for (const auto &[name, member] : m_view->members) {
            counts[name] = 0;
        }
        for (const auto &[partition, versioned] : m_view->records) {
            if (m_view->findMember(versioned.record.owner) != nullptr) {
                ++counts[versioned.record.owner.name];
            }
        }
        return counts;
    }

    // Returns the difference between the highest and the lowest number of partitions of a member.
    int partitionSpread() const
    {
        const auto all = counts();
        const auto [lowest, highest] =
            std::minmax_element(all.begin(), all.end(), [](const auto &left, const auto &right) {
                return left.second < right.second;
            });
        return highest->second - lowest->second;
    }

    fleet_view &view() { return *m_view; }
    std::shared_ptr<const fleet_view> sharedView() const { return m_view; }

private:
    std::shared_ptr<fleet_view> m_view = std::make_shared<fleet_view>();
    uint64_t m_version = 0;
};

} // namespace persimmonrail
