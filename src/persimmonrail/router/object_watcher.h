#pragma once

#include "persimmonrail/objects/object_api.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

namespace persimmonrail {

struct object_watcher_options
{
    // Longest time that one watch waits. Each waiting watch counts as one call, so longer is
    // cheaper; connections that go silent are found by keep-alive.
    milliseconds wait{20000};
    milliseconds initialRetry{150};
    milliseconds maxRetry{1000};
};

// Follows the objects under one prefix on a thread of its own: lists them, then watches from the
// list's revision, and lists anew when the history is gone.
class object_watcher
{
public:
    struct hooks
    {
        // The whole content, which replaces all before. `readAt` is when the call was sent.
        std::function<void(const object_list &list, steady_time readAt)> onList;
        std::function<void(const object_list &changes, steady_time readAt)> onChanges;
        // A call ended otherwise than with objects, which is no fault: the history is gone.
        // Optional.
        std::function<void(std::string_view event)> onEvent;
        // The store stopped or began to answer; called on each change.
        std::function<void(bool isReachable, const absl::Status &status)> onReachable;
    };

    object_watcher(object_api api, std::string prefix, hooks hooks,
                   object_watcher_options options = {});
    object_watcher(const object_watcher &) = delete;
    object_watcher &operator=(const object_watcher &) = delete;
    // Waits for the call under way, so `abort` of the API's transport should come first.
    ~object_watcher();

    void start();
    bool isReachable() const { return m_isReachable; }

private:
    void run();
    // Lists or watches once. Errors: those of object_api.
    absl::Status step();
    void pause(milliseconds time);

    const object_api m_api;
    const std::string m_prefix;
    const hooks m_hooks;
    const object_watcher_options m_options;
    bool m_listed = false;
    // Whether the last step was a watch that was answered.
    bool m_hasWatched = false;
    uint64_t m_revision = 0;
    std::atomic<bool> m_isReachable{false};
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace persimmonrail
