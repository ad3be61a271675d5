#include "persimmonrail/http/rejected_requests.h"

#include <algorithm>
#include <functional>

namespace persimmonrail {
namespace {

// At 16 bytes each, one KB for a connection.
constexpr size_t maxRejectedRequests = 64;

} // namespace

void rejected_requests::record(const std::string &id, steady_time until, steady_time now)
{
    std::erase_if(m_entries, [now](const entry &each) { return each.until <= now; });
    m_entries.push_back({std::hash<std::string>()(id), until});
}

bool rejected_requests::contains(const std::string &id, steady_time now) const
{
    const size_t idHash = std::hash<std::string>()(id);
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const entry &each) {
        return each.idHash == idHash && now < each.until;
    });
}

bool rejected_requests::isFull(steady_time now) const
{
    const auto remembered = std::count_if(m_entries.begin(), m_entries.end(),
                                          [now](const entry &each) { return now < each.until; });
    return static_cast<size_t>(remembered) >= maxRejectedRequests;
}

} // namespace persimmonrail
