#include "persimmonrail/gateway/silent_peers.h"

namespace persimmonrail {
namespace {

// A standby serves about 1.2 s after its owner's loss. By the end of this time the view or a hint
// leads elsewhere, or the peer is worth another try.
constexpr milliseconds silenceMemory{2000};

} // namespace

void silent_peers::mark(const std::string &address, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    std::erase_if(m_until, [now](const auto &entry) { return entry.second <= now; });
    m_until[address] = now + silenceMemory;
}

bool silent_peers::contains(std::string_view address, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_until.find(address);
    return entry != m_until.end() && now < entry->second;
}

} // namespace persimmonrail
