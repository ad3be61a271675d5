#pragma once

#include "persimmonrail/requests/crash_quarantine.h"

#include <control.pb.h>

#include <vector>

namespace persimmonrail {

// Maximum number of quarantine entries in one pull reply. 64 entries take about 1.8 KB.
inline constexpr int maxQuarantineEntriesPerReply = 64;

// Appends the entries of `quarantine` to a pull reply: at most maxQuarantineEntriesPerReply, those
// with the most strikes first.
void addQuarantineEntries(const crash_quarantine &quarantine, steady_time now,
                          wire::PullReply &reply);
// Returns the quarantine entries of a pull reply, at most the first maxQuarantineEntriesPerReply.
// Ages are limited to 24 hours.
std::vector<crash_quarantine::entry> quarantineFromWire(const wire::PullReply &reply);

} // namespace persimmonrail
