#include "persimmonrail/http/response_order.h"

#include <algorithm>
#include <utility>

namespace persimmonrail {

response_order::response_order(size_t maxHeldBytes, held_bytes &shared)
    : m_maxHeldBytes(maxHeldBytes)
    , m_shared(shared)
{ }

response_order::~response_order()
{
    m_shared.release(m_heldBytes);
}

response_order::slot_pointer response_order::add(bool isLast)
{
    if (m_isClosing) {
        return nullptr;
    }
    m_isClosing = isLast;
    return m_slots.emplace_back(std::make_shared<slot>());
}

bool response_order::isNext(const slot &target) const
{
    return !m_slots.empty() && m_slots.front().get() == &target;
}

bool response_order::isLast(const slot &target) const
{
    return !m_slots.empty() && m_slots.back().get() == &target;
}

bool response_order::tryHold(slot &target, std::string_view bytes)
{
    if (m_heldBytes + bytes.size() > m_maxHeldBytes || !m_shared.tryReserve(bytes.size())) {
        return false;
    }
    m_heldBytes += bytes.size();
    target.held.append(bytes);
    return true;
}

std::string response_order::takeHeld()
{
    return m_slots.empty() ? std::string() : std::exchange(m_slots.front()->held, {});
}

void response_order::releaseTaken(size_t bytes)
{
    m_heldBytes -= bytes;
    m_shared.release(bytes);
}

bool response_order::removeFinished()
{
    if (m_slots.empty() || !m_slots.front()->isFinished || !m_slots.front()->held.empty()) {
        return false;
    }
    m_slots.pop_front();
    return true;
}

std::vector<response_order::slot_pointer> response_order::closeAfter(const slot &target)
{
    const auto found = std::find_if(m_slots.begin(), m_slots.end(), [&](const slot_pointer &each) {
        return each.get() == &target;
    });
    if (found == m_slots.end()) {
        return {};
    }
    m_isClosing = true;
    return cancelFrom(static_cast<size_t>(found - m_slots.begin()) + 1);
}

std::vector<response_order::slot_pointer> response_order::cancelAll()
{
    m_isClosing = true;
    return cancelFrom(0);
}

std::vector<response_order::slot_pointer> response_order::cancelFrom(size_t first)
{
    const auto begin = m_slots.begin() + static_cast<std::ptrdiff_t>(first);
    std::vector<slot_pointer> cancelled(begin, m_slots.end());
    m_slots.erase(begin, m_slots.end());
    for (const slot_pointer &each : cancelled) {
        each->isCancelled = true;
        releaseTaken(each->held.size());
        std::string().swap(each->held);
    }
    return cancelled;
}

} // namespace persimmonrail
