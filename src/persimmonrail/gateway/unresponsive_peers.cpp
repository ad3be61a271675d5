#include "persimmonrail/gateway/unresponsive_peers.h"

namespace persimmonrail {
namespace {

// Time for which a peer counts as unresponsive. A standby takes over about 1.2 s after the loss of
// the owner, so by the end of this time the fleet view or a hint names the new owner, or the peer
// may be tried again.
constexpr milliseconds exclusionTime{2000};

} // namespace

void unresponsive_peers::mark(const std::string &address, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_excludedUntil, [now](const auto &entry) { return entry.second <= now; });
    m_excludedUntil[address] = now + exclusionTime;
}

bool unresponsive_peers::contains(std::string_view address, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_excludedUntil.find(address);
    return entry != m_excludedUntil.end() && now < entry->second;
}

} // namespace persimmonrail
