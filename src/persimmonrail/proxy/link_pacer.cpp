#include "persimmonrail/proxy/link_pacer.h"

#include <algorithm>

namespace persimmonrail {
namespace {

// Weight of one response in the moving average of its route's response size.
constexpr double sizeSmoothing = 0.1;

} // namespace

link_pacer::link_pacer(double bytesPerSecond)
    : m_bytesPerSecond(bytesPerSecond)
{ }

std::chrono::nanoseconds link_pacer::transmissionTime(double bytes) const
{
    if (m_bytesPerSecond <= 0) {
        return std::chrono::nanoseconds(0);
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(
        std::chrono::duration<double>(bytes / m_bytesPerSecond));
}

void link_pacer::beginResponse(const std::string &route, size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    const auto size = static_cast<double>(bytes);
    m_pendingBytes += size;
    const auto entry = m_sizes.try_emplace(route, size).first;
    entry->second += (size - entry->second) * sizeSmoothing;
}

steady_time link_pacer::reserve(size_t bytes, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto size = static_cast<double>(bytes);
    m_pendingBytes = std::max(0.0, m_pendingBytes - size);
    const steady_time start = std::max(m_freeAt, now);
    m_freeAt = start + transmissionTime(size);
    return start;
}

void link_pacer::cancelBytes(size_t bytes)
{
    const std::lock_guard lock(m_mutex);
    m_pendingBytes = std::max(0.0, m_pendingBytes - static_cast<double>(bytes));
}

std::chrono::nanoseconds link_pacer::queueDelay(steady_time now) const
{
    const std::chrono::nanoseconds reserved = std::max(m_freeAt, now) - now;
    return reserved + transmissionTime(m_pendingBytes);
}

link_pacer::estimate link_pacer::estimateFor(const std::string &route, steady_time now) const
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_sizes.find(route);
    return entry == m_sizes.end() ? estimate()
                                  : estimate{queueDelay(now), transmissionTime(entry->second)};
}

} // namespace persimmonrail
