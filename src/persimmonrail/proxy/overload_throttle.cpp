#include "persimmonrail/proxy/overload_throttle.h"

#include <algorithm>
#include <cmath>

namespace persimmonrail {
namespace {

// Records are looked through for faded ones beyond this number.
constexpr size_t maxRecords = 1024;
// Weight below which a record says nothing.
constexpr double faded = 0.01;

} // namespace

overload_throttle::overload_throttle(overload_throttle_options options)
    : m_options(options)
{ }

void overload_throttle::fade(record &known, steady_time now) const
{
    const double age = std::chrono::duration<double>(now - known.updatedAt).count();
    const double memory = std::chrono::duration<double>(m_options.memory).count();
    const double weight = std::exp(-std::max(age, 0.0) / memory);
    known.accepted *= weight;
    known.refused *= weight;
    known.keptBack *= weight;
    known.updatedAt = now;
}

overload_throttle::record &overload_throttle::recordOf(const kind &asked, steady_time now)
{
    if (m_records.size() > maxRecords) {
        std::erase_if(m_records, [&](const auto &item) {
            record known = item.second;
            fade(known, now);
            return known.refused + known.keptBack < faded;
        });
    }
    record &known = m_records.try_emplace(asked).first->second;
    fade(known, now);
    return known;
}

std::optional<milliseconds> overload_throttle::keepBack(const kind &asked, double drawn,
                                                        steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(asked);
    if (found == m_records.end()) {
        return std::nullopt;
    }
    record &known = found->second;
    fade(known, now);
    const double demand = known.accepted + known.refused + known.keptBack;
    const double excess = demand - m_options.sentPerAccepted * known.accepted;
    if (known.refused + known.keptBack < m_options.minRefusals || drawn >= excess / (demand + 1)) {
        return std::nullopt;
    }
    ++known.keptBack;
    return known.retryAfter;
}

void overload_throttle::noteAccepted(const kind &asked, bool hasRoom, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_records.find(asked);
    if (found == m_records.end()) {
        return;
    }
    if (hasRoom) {
        m_records.erase(found);
        return;
    }
    fade(found->second, now);
    ++found->second.accepted;
}

void overload_throttle::noteRefused(const kind &asked, milliseconds retryAfter, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    record &known = recordOf(asked, now);
    ++known.refused;
    known.retryAfter = retryAfter;
}

} // namespace persimmonrail
