#pragma once

#include "persimmonrail/base/clock.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace persimmonrail {

// Event loop of the control thread, which owns all control state. Runs posted tasks in the order in
// which they were posted, and runs each periodic task when its interval has passed. Each task
// receives the current time.
//
// post() and postAndWait() are thread safe. The other functions are called before start() or by the
// thread that owns the loop object.
class control_loop
{
public:
    using task = std::function<void(steady_time now)>;

    control_loop() = default;
    control_loop(const control_loop &) = delete;
    control_loop &operator=(const control_loop &) = delete;
    ~control_loop();

    // Registers a task that runs about every `interval`. The interval counts from the start of the
    // previous run, so missed runs are skipped. Must be called before start().
    void every(milliseconds interval, task callback);
    // Starts the control thread.
    void start();
    // Runs the tasks that are already posted, then ends the control thread. Tasks posted later are
    // dropped.
    void stop();
    // Enqueues a task for the control thread and returns at once.
    void post(task callback);
    // Enqueues a task and blocks until the task has run. Returns false, without running the task,
    // if the loop has stopped. Must not be called on the control thread, where it would deadlock.
    bool postAndWait(task callback);

private:
    struct periodic_task
    {
        milliseconds interval;
        steady_time dueAt;
        task callback;
    };

    void runLoop();
    steady_time nextDueTime() const;
    void runDuePeriodicTasks();

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<task> m_tasks;
    bool m_isStopping = false;
    std::vector<periodic_task> m_periodicTasks;
    std::thread m_thread;
};

} // namespace persimmonrail
