#include "persimmonrail/http/response_pipeline.h"

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>

namespace persimmonrail {

response_pipeline::request::request(response_order::slot_pointer slot)
    : m_slot(std::move(slot))
    , m_cancelEvent(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{ }

response_pipeline::request::~request()
{
    if (m_cancelEvent >= 0) {
        ::close(m_cancelEvent);
    }
}

response_pipeline::response_pipeline(size_t maxHeldBytes, held_bytes &shared,
                                     milliseconds idleTimeout, hooks hooks)
    : m_idleTimeout(idleTimeout)
    , m_hooks(std::move(hooks))
    , m_order(maxHeldBytes, shared)
{ }

response_pipeline::request_pointer response_pipeline::add(bool isLast)
{
    const std::lock_guard lock(m_mutex);
    auto slot = m_order.add(isLast);
    if (slot == nullptr) {
        return nullptr;
    }
    auto added = std::make_shared<request>(slot);
    if (added->m_cancelEvent < 0) {
        // The request counts as not read. The caller sends it again on another connection.
        slot->isFinished = true;
        m_order.closeAfterLast();
        while (m_order.removeFinished()) { }
        reportEnd();
        m_changed.notify_all();
        return nullptr;
    }
    m_running.push_back(added.get());
    return added;
}

io_status response_pipeline::write(request &target, std::string_view bytes, size_t &written,
                                   const write_deadlines &deadlines)
{
    written = 0;
    std::unique_lock lock(m_mutex);
    response_order::slot &slot = *target.m_slot;
    const auto canWrite = [&] { return m_order.isNext(slot) && !m_isWriting; };
    if (!slot.isCancelled && !canWrite() && m_order.tryHold(slot, bytes)) {
        written = bytes.size();
        return io_status::Ok;
    }
    if (!m_changed.wait_until(lock, deadlines.turn,
                              [&] { return slot.isCancelled || canWrite(); })) {
        return io_status::TimedOut;
    }
    if (slot.isCancelled) {
        return io_status::Cancelled;
    }
    // A thread that wrote the held bytes has written all of them, so the order is kept.
    m_isWriting = true;
    lock.unlock();
    const io_status status = m_hooks.write(
        bytes, written, std::min(std::chrono::steady_clock::now() + m_idleTimeout, deadlines.end));
    lock.lock();
    m_isWriting = false;
    m_changed.notify_all();
    return status;
}

void response_pipeline::finish(request &target, request_end end)
{
    std::unique_lock lock(m_mutex);
    std::erase(m_running, &target);
    response_order::slot &slot = *target.m_slot;
    slot.isFinished = true;
    if (slot.isCancelled) {
        return;
    }
    if (end != request_end::Reusable) {
        cancel(m_order.closeAfter(slot));
        m_isAborted = end == request_end::Abort;
    }
    flush(lock);
}

void response_pipeline::closeAfter(request &target)
{
    const std::lock_guard lock(m_mutex);
    cancel(m_order.closeAfter(*target.m_slot));
}

bool response_pipeline::closesAfter(request &target, bool isDraining)
{
    const std::lock_guard lock(m_mutex);
    if (!m_order.isLast(*target.m_slot)) {
        return target.m_slot->isCancelled;
    }
    if (isDraining) {
        m_order.closeAfterLast();
    }
    return m_order.isClosing();
}

void response_pipeline::closeAfterLast()
{
    const std::lock_guard lock(m_mutex);
    m_order.closeAfterLast();
    reportEnd();
    m_changed.notify_all();
}

bool response_pipeline::waitForTurn()
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock,
                   [this] { return m_order.isClosing() || (m_order.size() == 0 && !m_isWriting); });
    return !m_order.isClosing();
}

bool response_pipeline::isClosing() const
{
    const std::lock_guard lock(m_mutex);
    return m_order.isClosing();
}

size_t response_pipeline::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_order.size();
}

void response_pipeline::cancel(const slot_list &slots)
{
    for (request *running : m_running) {
        if (std::find(slots.begin(), slots.end(), running->m_slot) != slots.end()) {
            ::eventfd_write(running->m_cancelEvent, 1);
        }
    }
    m_changed.notify_all();
}

void response_pipeline::flush(std::unique_lock<std::mutex> &lock)
{
    // The thread that writes goes on with what becomes next.
    if (m_isWriting) {
        return;
    }
    bool isOpen = true;
    do {
        const std::string bytes = m_order.takeHeld();
        isOpen = bytes.empty() || writeTaken(bytes, lock);
        if (!isOpen) {
            cancel(m_order.cancelAll());
        } else if (bytes.empty() && !m_order.removeFinished()) {
            break;
        }
    } while (isOpen);
    reportEnd();
    m_changed.notify_all();
}

bool response_pipeline::writeTaken(std::string_view bytes, std::unique_lock<std::mutex> &lock)
{
    const size_t taken = bytes.size();
    m_isWriting = true;
    lock.unlock();
    bool isOpen = true;
    while (isOpen && !bytes.empty()) {
        size_t written = 0;
        const io_status status =
            m_hooks.write(bytes, written, std::chrono::steady_clock::now() + m_idleTimeout);
        bytes.remove_prefix(written);
        isOpen = status == io_status::Ok || (status == io_status::TimedOut && written > 0);
    }
    lock.lock();
    m_isWriting = false;
    m_order.releaseTaken(taken);
    return isOpen;
}

void response_pipeline::reportEnd()
{
    if (m_order.isClosing() && m_order.size() == 0 && !m_isWriting && !m_hasEnded) {
        m_hasEnded = true;
        m_hooks.onEnd(m_isAborted);
    }
}

} // namespace persimmonrail
