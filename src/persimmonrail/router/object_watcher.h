#pragma once

#include "persimmonrail/base/boot_clock.h"
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
    // Bounds the wait of one watch. The store counts each watch as one call, so a longer wait costs
    // fewer calls. TCP keep-alive detects broken connections during the wait.
    milliseconds maxWatchWait{20000};
    milliseconds initialRetryDelay{150};
    milliseconds maxRetryDelay{1000};
};

// Follows the objects under one prefix on a thread of its own. The watcher lists the objects, then
// watches from the list's revision, and lists again when the store no longer has the history.
class object_watcher
{
public:
    struct hooks
    {
        // Called with the full content, which replaces all content seen before. `sentAt` is the
        // time when the call to the store was sent.
        std::function<void(const object_list &list, boot_time sentAt)> onList;
        std::function<void(const object_list &changes, boot_time sentAt)> onChanges;
        // Called when a watch ends because the store no longer has the history, which is not an
        // error. Optional.
        std::function<void(std::string_view event)> onEvent;
        // Called after the first call to the store and whenever the store becomes reachable or
        // unreachable.
        std::function<void(bool isReachable, const absl::Status &status)> onReachabilityChange;
    };

    object_watcher(object_api api, std::string prefix, hooks hooks,
                   object_watcher_options options = {});
    object_watcher(const object_watcher &) = delete;
    object_watcher &operator=(const object_watcher &) = delete;
    // Waits for the current call, so the owner should first `abort` the transport of the API.
    ~object_watcher();

    void start();
    bool isReachable() const { return m_isReachable; }

private:
    void run();
    // Makes one list or watch call. Errors: those of object_api.
    absl::Status listOrWatch();
    void waitFor(milliseconds time);

    const object_api m_api;
    const std::string m_prefix;
    const hooks m_hooks;
    const object_watcher_options m_options;
    bool m_isListed = false;
    // Whether the last call was a watch that got a response.
    bool m_hasWatchResponded = false;
    uint64_t m_revision = 0;
    std::atomic<bool> m_isReachable{false};
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_isStopping = false;
    std::thread m_thread;
};

} // namespace persimmonrail
