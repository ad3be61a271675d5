#pragma once

#include "persimmonrail/requests/crash_quarantine.h"

#include <control.pb.h>

#include <vector>

namespace persimmonrail {

// Entries in one answer; 64 of them take about 1.2 KB.
inline constexpr int maxGossipedEntries = 64;

// Adds the entries of this daemon to an answer.
void addQuarantine(const crash_quarantine &quarantine, steady_time now, wire::PullReply &reply);
// Returns the first maxGossipedEntries entries of an answer.
std::vector<crash_quarantine::entry> quarantineFromWire(const wire::PullReply &reply);

} // namespace persimmonrail
