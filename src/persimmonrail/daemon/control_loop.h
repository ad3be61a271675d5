#pragma once

#include "persimmonrail/base/clock.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace persimmonrail {

// The thread that owns all control state. Runs posted tasks in order, and periodic tasks when they
// are due; each gets the present time.
//
// post() is thread safe; the rest is called before start() or by the owner.
class control_loop
{
public:
    using task = std::function<void(steady_time now)>;

    control_loop() = default;
    control_loop(const control_loop &) = delete;
    control_loop &operator=(const control_loop &) = delete;
    ~control_loop();

    // Runs `run` about every `interval`; an execution that was missed is not made up for.
    void every(milliseconds interval, task run);
    void start();
    // Runs what has been posted, then ends the thread. Tasks posted later are dropped.
    void stop();
    void post(task run);
    // Posts a task and waits until it has run. Must not be called on the control thread. Returns
    // false if the loop has stopped.
    bool postAndWait(task run);

private:
    struct periodic_task
    {
        milliseconds interval;
        steady_time due;
        task run;
    };

    void run();
    steady_time nextDue() const;
    void runPeriodicTasks();

    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<task> m_tasks;
    bool m_stopping = false;
    std::vector<periodic_task> m_periodicTasks;
    std::thread m_thread;
};

} // namespace persimmonrail
