#include "persimmonrail/daemon/quarantine_gossip.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Ages from peers are clamped to this value, so that they fit the signed type of durations.
constexpr uint64_t maxEntryAgeMs = 24ULL * 3600 * 1000;

} // namespace

void addQuarantineEntries(const crash_quarantine &quarantine, steady_time now,
                          wire::PullReply &reply)
{
    for (const auto &entry : quarantine.entries(maxQuarantineEntriesPerReply, now)) {
        auto &added = *reply.add_quarantine();
        added.set_fingerprint(entry.fingerprint);
        added.set_crash(entry.crash);
        added.set_strikes(entry.strikes);
        added.set_age_ms(static_cast<uint64_t>(entry.age.count()));
    }
}

std::vector<crash_quarantine::entry> quarantineFromWire(const wire::PullReply &reply)
{
    std::vector<crash_quarantine::entry> entries;
    const int count = std::min(reply.quarantine_size(), maxQuarantineEntriesPerReply);
    for (int i = 0; i < count; ++i) {
        const auto &received = reply.quarantine(i);
        entries.push_back({received.fingerprint(), received.crash(), received.strikes(),
                           milliseconds(std::min(received.age_ms(), maxEntryAgeMs))});
    }
    return entries;
}

} // namespace persimmonrail
