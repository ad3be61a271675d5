#include "persimmonrail/routing/route_candidates.h"

#include <algorithm>

namespace persimmonrail {

std::vector<const member_record *> routeCandidates(const fleet_view &view, std::string_view service,
                                                   uint64_t hash, std::string_view hintedHolder)
{
    std::vector<const member_record *> candidates;
    const auto *versioned = view.findRecord(service, hash);
    if (versioned == nullptr) {
        return candidates;
    }
    const auto add = [&](const member_record *member) {
        const bool isListed =
            std::find(candidates.begin(), candidates.end(), member) != candidates.end();
        if (member != nullptr && !isListed) {
            candidates.push_back(member);
        }
    };
    const auto &record = versioned->record;
    add(view.findMember(record.owner));
    const auto hinted = view.members.find(hintedHolder);
    add(hinted == view.members.end() ? nullptr : &hinted->second);
    add(view.findMember(record.nextOwner));
    for (const auto &standby : record.standbys) {
        add(view.findMember(standby));
    }
    return candidates;
}

} // namespace persimmonrail
