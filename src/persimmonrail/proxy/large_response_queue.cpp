#include "persimmonrail/proxy/large_response_queue.h"

namespace persimmonrail {

large_response_queue::large_response_queue(large_response_queue_options options)
    : m_options(options)
{ }

std::unique_ptr<large_response_queue::permit> large_response_queue::acquire()
{
    std::unique_lock lock(m_mutex);
    const uint64_t ticket = ++m_lastTicket;
    m_waiting.push_back(ticket);
    const steady_time until = std::chrono::steady_clock::now() + m_options.maxWait;
    const bool isGranted = m_changed.wait_until(
        lock, until, [&] { return !m_isPermitHeld && m_waiting.front() == ticket; });
    std::erase(m_waiting, ticket);
    if (!isGranted) {
        m_changed.notify_all();
        return nullptr;
    }
    m_isPermitHeld = true;
    return std::make_unique<permit>(*this,
                                    std::chrono::steady_clock::now() + m_options.maxPermitTime);
}

void large_response_queue::release()
{
    const std::lock_guard lock(m_mutex);
    m_isPermitHeld = false;
    m_changed.notify_all();
}

} // namespace persimmonrail
