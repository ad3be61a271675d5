#pragma once

#include "persimmonrail/base/clock.h"

#include <functional>
#include <memory>

namespace persimmonrail {

struct worker_pool_options
{
    int maxThreads = 64;
    size_t stackBytes = 512 * 1024;
    // A thread without a task ends after this time.
    milliseconds idleTimeout{2000};
};

// Runs tasks on threads that are started as needed. Never waits for another thread except in
// waitUntilIdle(), so that a caller with many connections to serve isn't delayed by threads that
// start or end slowly on a busy host. Thread safe.
class worker_pool
{
public:
    explicit worker_pool(const worker_pool_options &options);
    worker_pool(const worker_pool &) = delete;
    worker_pool &operator=(const worker_pool &) = delete;
    // Waits for all tasks.
    ~worker_pool();

    // Passes a task to a thread without one, or to a new thread. Returns false if `maxThreads`
    // threads have tasks or the system can't create another thread.
    [[nodiscard]] bool tryRun(std::function<void()> task);
    // Waits until no task is left.
    void waitUntilIdle();

private:
    struct state;
    // The threads share the state, because they may end after the pool.
    std::shared_ptr<state> m_state;
};

} // namespace persimmonrail
