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

void control_loop::every(milliseconds interval, task run)
{
    m_periodicTasks.push_back({interval, clockNow() + interval, std::move(run)});
}

void control_loop::start()
{
    m_thread = std::thread([this] { run(); });
}

void control_loop::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wakeUp.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void control_loop::post(task run)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_stopping) {
            return;
        }
        m_tasks.push_back(std::move(run));
    }
    m_wakeUp.notify_one();
}

bool control_loop::postAndWait(task run)
{
    auto finished = std::make_shared<std::promise<void>>();
    auto result = finished->get_future();
    post([finished, run = std::move(run)](steady_time now) {
        run(now);
        finished->set_value();
    });
    finished.reset();
    try {
        result.get();
        return true;
    } catch (const std::future_error &) {
        // The promise was dropped unfulfilled: the loop has stopped.
        return false;
    }
}

steady_time control_loop::nextDue() const
{
    steady_time due = clockNow() + std::chrono::hours(1);
    for (const auto &periodic : m_periodicTasks) {
        due = std::min(due, periodic.due);
    }
    return due;
}

void control_loop::runPeriodicTasks()
{
    for (auto &periodic : m_periodicTasks) {
        const steady_time now = clockNow();
        if (periodic.due <= now) {
            periodic.due = now + periodic.interval;
            periodic.run(now);
        }
    }
}

void control_loop::run()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_wakeUp.wait_until(lock, nextDue(), [this] { return m_stopping || !m_tasks.empty(); });
        std::deque<task> tasks;
        tasks.swap(m_tasks);
        const bool stopping = m_stopping;
        lock.unlock();
        for (const auto &task : tasks) {
            task(clockNow());
        }
        if (stopping) {
            return;
        }
        runPeriodicTasks();
        lock.lock();
    }
}

} // namespace persimmonrail
