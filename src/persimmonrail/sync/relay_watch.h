#pragma once

#include "persimmonrail/base/random_source.h"
#include "persimmonrail/objects/object_api.h"

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace persimmonrail {

// Duration of one long poll. It bounds the time that the destructor takes; 48 relays cause 24
// reads a second.
inline constexpr milliseconds watchWait{2000};
// Pause between two long polls. It lets one call fetch the changes of a burst: 48 relays make at
// most 480 reads a second.
inline constexpr milliseconds watchPause{100};
inline constexpr milliseconds initialWatchBackoff{200};
inline constexpr milliseconds maxWatchBackoff{10000};

// Follows all platform objects on a thread of its own, while this daemon is a relay or not yet
// ready: a list if nothing is known yet or the store has compacted the revision, then long polls.
//
// Thread safe. Hooks run on the watch's thread.
class relay_watch
{
public:
    struct hooks
    {
        std::function<void(const object_list &list)> listed;
        std::function<void(uint64_t sinceRevision, const object_list &changes)> changed;
        // A call failed; the next one follows after `delay`.
        std::function<void(const absl::Status &status, milliseconds delay)> failed;
        random_source random;
    };

    relay_watch(object_api api, hooks hooks);
    relay_watch(const relay_watch &) = delete;
    relay_watch &operator=(const relay_watch &) = delete;
    // Waits for a call in progress.
    ~relay_watch();

    // Starts to follow the changes after `revision`; 0 lists first. No effect while active.
    void activate(uint64_t revision);
    // Makes no further call. Doesn't wait for one in progress; its result may be dropped.
    void deactivate();
    bool isActive() const;

private:
    void run();
    absl::Status step(uint64_t generation, uint64_t revision, bool lists);

    object_api m_api;
    hooks m_hooks;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_stopping = false;
    bool m_active = false;
    // Increases with each activation, so that a call made before it can't continue after it.
    uint64_t m_generation = 0;
    uint64_t m_revision = 0;
    bool m_mustList = true;
    std::thread m_thread;
};

} // namespace persimmonrail
