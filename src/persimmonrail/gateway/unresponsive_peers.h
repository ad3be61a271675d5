#pragma once

#include "persimmonrail/base/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace persimmonrail {

// Remembers unresponsive peers: those that did not respond to a probe on a new connection. The
// kernel of a frozen daemon still accepts connections, so only the missing response shows that the
// daemon is unresponsive. Without this record, each request would wait for such a peer again.
//
// Thread safe.
class unresponsive_peers
{
public:
    // Marks a peer as unresponsive for two seconds.
    void mark(const std::string &address, steady_time now);
    // Returns whether the peer was marked within the last two seconds.
    bool contains(std::string_view address, steady_time now) const;

private:
    mutable std::mutex m_mutex;
    // Time until which each peer counts as unresponsive, by address.
    std::map<std::string, steady_time, std::less<>> m_excludedUntil;
};

} // namespace persimmonrail
