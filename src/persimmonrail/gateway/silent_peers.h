#pragma once

#include "persimmonrail/base/clock.h"

#include <map>
#include <mutex>
#include <string>
#include <string_view>

namespace persimmonrail {

// Peers that did not answer a probe on a new connection. A frozen daemon still gets connections
// from its kernel, so only the missing answer shows that it is gone; without a memory of that,
// each request would wait for it anew.
//
// Thread safe.
class silent_peers
{
public:
    void mark(const std::string &address, steady_time now);
    // Whether the peer was marked within the last two seconds.
    bool contains(std::string_view address, steady_time now) const;

private:
    mutable std::mutex m_mutex;
    // Until when a peer counts as silent, by address.
    std::map<std::string, steady_time, std::less<>> m_until;
};

} // namespace persimmonrail
