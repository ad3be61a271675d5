#include "persimmonrail/daemon/control_loop.h"

#include <algorithm>
#include <future>

namespace persimmonrail {
namespace {

steady_time clockNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

control_loop::~control_loop()
{
    stop();
}

void control_loop::every(milliseconds interval, task callback)
{
    m_periodicTasks.push_back({interval, clockNow() + interval, std::move(callback)});
}

void control_loop::start()
{
    m_thread = std::thread([this] { runLoop(); });
}

void control_loop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void control_loop::post(task callback)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isStopping) {
            return;
        }
        m_tasks.push_back(std::move(callback));
    }
    m_wakeUp.notify_one();
}

bool control_loop::postAndWait(task callback)
{
    auto finished = std::make_shared<std::promise<void>>();
    auto result = finished->get_future();
    post([finished, callback = std::move(callback)](steady_time now) {
        callback(now);
        finished->set_value();
    });
    finished.reset();
    try {
        result.get();
        return true;
    } catch (const std::future_error &) {
        // The loop has stopped and destroyed the task, and with it the unfulfilled promise.
        return false;
    }
}

steady_time control_loop::nextDueTime() const
{
    steady_time dueAt = clockNow() + std::chrono::hours(1);
    for (const auto &periodic : m_periodicTasks) {
        dueAt = std::min(dueAt, periodic.dueAt);
    }
    return dueAt;
}

void control_loop::runDuePeriodicTasks()
{
    for (auto &periodic : m_periodicTasks) {
        const steady_time now = clockNow();
        if (periodic.dueAt <= now) {
            periodic.dueAt = now + periodic.interval;
            periodic.callback(now);
        }
    }
}

void control_loop::runLoop()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeUp.wait_until(lock, nextDueTime(),
                            [this] { return m_isStopping || !m_tasks.empty(); });
        std::deque<task> tasks;
        tasks.swap(m_tasks);
        const bool isStopping = m_isStopping;
        lock.unlock();
        for (const auto &task : tasks) {
            task(clockNow());
        }
        if (isStopping) {
            return;
        }
        runDuePeriodicTasks();
        lock.lock();
    }
}

} // namespace persimmonrail
