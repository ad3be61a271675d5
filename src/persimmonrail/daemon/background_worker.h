#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace persimmonrail {

// Runs blocking calls on a thread of its own, one after the other. Thread safe.
class background_worker
{
public:
    background_worker();
    background_worker(const background_worker &) = delete;
    background_worker &operator=(const background_worker &) = delete;
    // Waits for the call under way; calls not yet begun are dropped.
    ~background_worker();

    void enqueue(std::function<void()> call);
    // Calls that wait or are under way.
    size_t pending() const;

private:
    void run();

    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    std::deque<std::function<void()>> m_calls;
    bool m_busy = false;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace persimmonrail
