#include "persimmonrail/http/worker_pool.h"

#include <condition_variable>
#include <mutex>
#include <vector>

#include <pthread.h>

namespace persimmonrail {

struct worker_pool::state
{
    // An idle thread. Its task is set when it is taken from idleThreads.
    struct idle_thread
    {
        std::condition_variable wakeUp;
        std::function<void()> task;
    };

    explicit state(const worker_pool_options &poolOptions)
        : options(poolOptions)
    { }

    // Runs the task and further ones until none has come for the idle timeout or the pool is
    // closed.
    void runTasks(std::function<void()> task)
    {
        std::unique_lock lock(mutex, std::defer_lock);
        while (task) {
            task();
            lock.lock();
            if (--unfinishedTasks == 0) {
                isIdle.notify_all();
            }
            task = waitForTask(lock);
            lock.unlock();
        }
    }

    // Returns the next task; an empty function if the thread is to end.
    std::function<void()> waitForTask(std::unique_lock<std::mutex> &lock)
    {
        idle_thread self;
        idleThreads.push_back(&self);
        self.wakeUp.wait_for(lock, options.idleTimeout,
                             [&] { return self.task != nullptr || isClosed; });
        if (self.task == nullptr) {
            std::erase(idleThreads, &self);
            --threads;
        }
        return std::move(self.task);
    }

    const worker_pool_options options;
    std::mutex mutex;
    std::condition_variable isIdle;
    // The thread that became idle last is at the end and gets the next task, so that the others
    // end when fewer threads are needed.
    std::vector<idle_thread *> idleThreads;
    int unfinishedTasks = 0;
    int threads = 0;
    bool isClosed = false;
};

namespace {

using thread_body = std::function<void()>;

void *runThread(void *argument)
{
    const std::unique_ptr<thread_body> body(static_cast<thread_body *>(argument));
    (*body)();
    return nullptr;
}

// Starts a detached thread. std::thread can't set the size of the stack. Returns false if the
// system can't create the thread.
bool startThread(size_t stackBytes, thread_body body)
{
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, stackBytes);
    pthread_attr_setdetachstate(&attributes, PTHREAD_CREATE_DETACHED);
    auto argument = std::make_unique<thread_body>(std::move(body));
    pthread_t thread{};
    const bool isStarted = pthread_create(&thread, &attributes, runThread, argument.get()) == 0;
    pthread_attr_destroy(&attributes);
    if (isStarted) {
        // The thread deletes its argument.
        static_cast<void>(argument.release());
    }
    return isStarted;
}

} // namespace

worker_pool::worker_pool(const worker_pool_options &options)
    : m_state(std::make_shared<state>(options))
{ }

worker_pool::~worker_pool()
{
    waitUntilIdle();
    const std::lock_guard lock(m_state->mutex);
    m_state->isClosed = true;
    for (state::idle_thread *thread : m_state->idleThreads) {
        thread->wakeUp.notify_one();
    }
}

bool worker_pool::tryRun(std::function<void()> task)
{
    const std::lock_guard lock(m_state->mutex);
    if (!m_state->idleThreads.empty()) {
        state::idle_thread *const thread = m_state->idleThreads.back();
        m_state->idleThreads.pop_back();
        thread->task = std::move(task);
        thread->wakeUp.notify_one();
    } else {
        if (m_state->threads >= m_state->options.maxThreads
            || !startThread(
                m_state->options.stackBytes,
                [shared = m_state, task = std::move(task)] { shared->runTasks(task); })) {
            return false;
        }
        ++m_state->threads;
    }
    ++m_state->unfinishedTasks;
    return true;
}

void worker_pool::waitUntilIdle()
{
    std::unique_lock lock(m_state->mutex);
    m_state->isIdle.wait(lock, [this] { return m_state->unfinishedTasks == 0; });
}

} // namespace persimmonrail
