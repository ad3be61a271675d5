#include "persimmonrail/daemon/background_worker.h"

namespace persimmonrail {

background_worker::background_worker()
    : m_thread([this] { runCalls(); })
{ }

background_worker::~background_worker()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    m_thread.join();
}

void background_worker::enqueue(std::function<void()> call)
{
    {
        const std::lock_guard lock(m_mutex);
        m_calls.push_back(std::move(call));
    }
    m_wakeUp.notify_one();
}

size_t background_worker::pendingCalls() const
{
    const std::lock_guard lock(m_mutex);
    return m_calls.size() + (m_isRunningCall ? 1 : 0);
}

void background_worker::runCalls()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeUp.wait(lock, [this] { return m_isStopping || !m_calls.empty(); });
        if (m_isStopping) {
            return;
        }
        const auto call = std::move(m_calls.front());
        m_calls.pop_front();
        m_isRunningCall = true;
        lock.unlock();
        call();
        lock.lock();
        m_isRunningCall = false;
    }
}

} // namespace persimmonrail
