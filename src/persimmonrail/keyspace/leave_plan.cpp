#include "persimmonrail/keyspace/leave_plan.h"

#include "persimmonrail/base/key_hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace persimmonrail {
namespace {

// Each further target adds ranges to the record of the service.
constexpr size_t maxTargets = 6;
// Smaller parts of an owner's load go to its other targets.
constexpr double minPart = 0.05;
// A full upstream takes this share of its capacity, since its report may be out of date.
constexpr double minFreeShare = 0.05;
// Share of an owner's load that is divided evenly over its keys, since keys without requests may
// get some.
constexpr double evenShare = 0.1;

// Part of an owner's load that a target gets.
struct target_part
{
    upstream_id id;
    double share = 0;
};

double freeShare(const owner_load &load)
{
    return std::max(minFreeShare, 1 - load.utilization);
}

// Returns the slots of an owner and of the leaving owners before it by id, as shares of all.
std::pair<double, double> ownSection(const leave_input &input)
{
    double before = 0;
    double own = 1;
    double total = 0;
    bool hasSelf = false;
    for (const range_candidate &owner : input.leaving) {
        const double slots = std::max(owner.slots, 1);
        total += slots;
        before += owner.id < input.self ? slots : 0;
        hasSelf = hasSelf || owner.id == input.self;
        own = owner.id == input.self ? slots : own;
    }
    total += hasSelf ? 0 : own;
    return {before / total, (before + own) / total};
}

// Lays the targets side by side, by id and with lengths in proportion to their free capacity, and
// returns the ones that the owner's section overlaps.
std::vector<target_part> findOverlaps(const leave_input &input)
{
    std::vector<leave_target> targets = input.targets;
    std::sort(targets.begin(), targets.end(),
              [](const leave_target &a, const leave_target &b) { return a.id < b.id; });
    double total = 0;
    for (const leave_target &target : targets) {
        total += target.freeCapacity;
    }
    const auto [first, last] = ownSection(input);
    std::vector<target_part> parts;
    double end = 0;
    for (const leave_target &target : targets) {
        const double begin = end;
        end += target.freeCapacity / total;
        const double overlap = std::min(end, last) - std::max(begin, first);
        if (overlap > 0) {
            parts.push_back({target.id, overlap / (last - first)});
        }
    }
    return parts;
}

// Keeps at most maxTargets parts, chosen by weighted rendezvous hashing: with probabilities in
// proportion to their sizes, and always the same ones for the same owner.
void limitParts(std::vector<target_part> &parts, const upstream_id &self)
{
    const auto orderOf = [&self](const target_part &part) {
        // A double has a mantissa of 53 bits.
        const double fraction =
            static_cast<double>((keyHash(self.name + part.id.name) >> 11U) + 1) * 0x1.0p-53;
        return -std::log(fraction) / part.share;
    };
    if (parts.size() > maxTargets) {
        std::sort(parts.begin(), parts.end(), [&](const target_part &a, const target_part &b) {
            return orderOf(a) < orderOf(b);
        });
        parts.resize(maxTargets);
    }
    const auto isSmall = [](const target_part &part) { return part.share < minPart; };
    if (!std::all_of(parts.begin(), parts.end(), isSmall)) {
        std::erase_if(parts, isSmall);
    }
    double total = 0;
    for (const target_part &part : parts) {
        total += part.share;
    }
    for (target_part &part : parts) {
        part.share /= total;
    }
}

// Adds a key to the last move if it continues the move, and otherwise begins another move.
void addKey(std::vector<planned_move> &moves, shard_key key, bool isFirstOfInterval,
            const upstream_id &target)
{
    if (isFirstOfInterval || moves.back().target != target) {
        moves.push_back({{key, key}, target});
    }
    moves.back().keys.last = key;
}

// Divides the keys, in their order, by their requests.
std::vector<planned_move> divideKeys(const leave_input &input,
                                     const std::vector<target_part> &parts)
{
    double totalRate = 0;
    double count = 0;
    for (const key_interval &keys : input.own) {
        count += keys.count();
        for (shard_key key = keys.first; key <= keys.last; ++key) {
            totalRate += input.rate(key);
        }
    }
    // Any value serves if there are no requests.
    const double evenRate = totalRate > 0 ? totalRate * evenShare / count : 1 / count;
    const double total = totalRate + evenRate * count;
    std::vector<planned_move> moves;
    double before = 0;
    double partEnd = parts.front().share;
    size_t part = 0;
    for (const key_interval &keys : input.own) {
        for (shard_key key = keys.first; key <= keys.last; ++key) {
            const double load = input.rate(key) + evenRate;
            while (part + 1 < parts.size() && before + load / 2 > partEnd * total) {
                partEnd += parts[++part].share;
            }
            addKey(moves, key, key == keys.first, parts[part].id);
            before += load;
        }
    }
    return moves;
}

} // namespace

std::vector<leave_target> weighTargets(const std::vector<range_candidate> &candidates,
                                       const std::vector<owner_load> &loads)
{
    const auto loadOf = [&loads](const upstream_id &id) {
        return std::find_if(loads.begin(), loads.end(),
                            [&id](const owner_load &load) { return load.id == id; });
    };
    double freeShares = 0;
    double serviceTimes = 0;
    int reports = 0;
    int serviceTimeCount = 0;
    for (const range_candidate &candidate : candidates) {
        const auto load = loadOf(candidate.id);
        if (load == loads.end()) {
            continue;
        }
        ++reports;
        freeShares += freeShare(*load);
        serviceTimes += static_cast<double>(load->meanServiceTime.count());
        serviceTimeCount += load->meanServiceTime.count() > 0 ? 1 : 0;
    }
    const double meanFreeShare = reports > 0 ? freeShares / reports : 1;
    const double meanServiceTime = serviceTimeCount > 0 ? serviceTimes / serviceTimeCount : 1;
    std::vector<leave_target> targets;
    for (const range_candidate &candidate : candidates) {
        const auto load = loadOf(candidate.id);
        const bool hasTime = load != loads.end() && load->meanServiceTime.count() > 0;
        const double serviceTime =
            hasTime ? static_cast<double>(load->meanServiceTime.count()) : meanServiceTime;
        const double share = load != loads.end() ? freeShare(*load) : meanFreeShare;
        targets.push_back(
            {candidate.id, std::max(candidate.slots, 1) * share * meanServiceTime / serviceTime});
    }
    return targets;
}

std::vector<planned_move> planLeave(const leave_input &input)
{
    if (input.own.empty() || input.targets.empty()) {
        return {};
    }
    std::vector<target_part> parts = findOverlaps(input);
    if (parts.empty()) {
        return {};
    }
    limitParts(parts, input.self);
    return divideKeys(input, parts);
}

} // namespace persimmonrail
