#include "persimmonrail/relay/transfer_turns.h"

namespace persimmonrail {

transfer_turns::transfer_turns(transfer_turns_options options)
    : m_options(options)
{ }

std::unique_ptr<transfer_turns::turn> transfer_turns::enter()
{
    std::unique_lock lock(m_mutex);
    const uint64_t ticket = ++m_lastTicket;
    m_waiting.push_back(ticket);
    const steady_time until = std::chrono::steady_clock::now() + m_options.longestWait;
    const bool isTurn = m_changed.wait_until(
        lock, until, [&] { return !m_isTaken && m_waiting.front() == ticket; });
    std::erase(m_waiting, ticket);
    if (!isTurn) {
        m_changed.notify_all();
        return nullptr;
    }
    m_isTaken = true;
    return std::make_unique<turn>(*this, std::chrono::steady_clock::now() + m_options.longestTurn);
}

void transfer_turns::leave()
{
    const std::lock_guard lock(m_mutex);
    m_isTaken = false;
    m_changed.notify_all();
}

} // namespace persimmonrail
