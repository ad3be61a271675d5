#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace persimmonrail {

// Runs blocking calls one after the other on a dedicated thread.
//
// Thread safe.
class background_worker
{
public:
    background_worker();
    background_worker(const background_worker &) = delete;
    background_worker &operator=(const background_worker &) = delete;
    // Waits for the running call to return. Calls that have not started are dropped.
    ~background_worker();

    // Appends a call to the queue and returns at once.
    void enqueue(std::function<void()> call);
    // Returns the number of calls that are queued or running.
    size_t pendingCalls() const;

private:
    void runCalls();

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<std::function<void()>> m_calls;
    bool m_isRunningCall = false;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace persimmonrail
