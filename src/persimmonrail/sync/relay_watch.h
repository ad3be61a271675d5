#pragma once

#include "persimmonrail/base/random_source.h"
#include "persimmonrail/objects/object_api.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace persimmonrail {

// Maximum duration of one long poll, which bounds the time that the destructor takes. While nothing
// changes, 48 relays cause 24 reads a second.
inline constexpr milliseconds longPollTimeout{2000};
// Delay between two long polls, so that one call fetches all changes of a burst. 48 relays cause at
// most 480 reads a second.
inline constexpr milliseconds longPollDelay{100};
// Bounds of the delay before the next call after a failed call.
inline constexpr milliseconds initialWatchBackoff{200};
inline constexpr milliseconds maxWatchBackoff{10000};

// Watches all objects of the platform on a separate thread while activated, which is the case while
// this daemon is a relay or is not ready yet. The watch begins with a list if no revision is known
// or if the store has compacted the known revision, and continues with long polls.
//
// Thread safe. The hooks run on the thread of the watch.
class relay_watch
{
public:
    struct hooks
    {
        // Called with all objects after a list.
        std::function<void(const object_list &list)> listed;
        // Called with the changes after `sinceRevision` after each long poll.
        std::function<void(uint64_t sinceRevision, const object_list &changes)> changed;
        // Called after a failed call. The next call follows after `delay`.
        std::function<void(const absl::Status &status, milliseconds delay)> failed;
        // Source of the jitter of the delays after failures.
        random_source random;
    };

    relay_watch(object_api api, hooks hooks);
    relay_watch(const relay_watch &) = delete;
    relay_watch &operator=(const relay_watch &) = delete;
    // Waits until a call that is in progress has returned.
    ~relay_watch();

    // Starts to watch the changes after `revision`, or starts with a list if `revision` is 0. Has
    // no effect while the watch is active.
    void activate(uint64_t revision);
    // Stops the watch: no further call begins. Doesn't wait for a call that is in progress, whose
    // result may be dropped.
    void deactivate();
    bool isActive() const;

private:
    void run();
    // Makes one call and passes the result to a hook, unless the generation has changed during the
    // call.
    absl::Status fetchOnce(uint64_t generation, uint64_t revision, bool shouldList);

    object_api m_api;
    hooks m_hooks;
    mutable std::mutex m_mutex;
    std::condition_variable m_stateChanged;
    bool m_isStopping = false;
    bool m_isActive = false;
    // Increases with each activation and deactivation, so that the result of a call that began
    // before is dropped.
    uint64_t m_generation = 0;
    uint64_t m_revision = 0;
    bool m_shouldList = true;
    std::thread m_thread;
};

} // namespace persimmonrail
