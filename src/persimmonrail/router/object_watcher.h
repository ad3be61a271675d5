#pragma once

#include "persimmonrail/base/boot_clock.h"
#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/objects/object_api.h"
#include "persimmonrail/router/watch_freshness.h"

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace persimmonrail {

struct object_watcher_options
{
    // Bounds the wait of one watch if `freshness` is not set. The store counts each watch as one
    // call, so a longer wait costs fewer calls. TCP keep-alive detects broken connections during
    // the wait.
    milliseconds maxWatchWait{20000};
    milliseconds initialRetryDelay{150};
    milliseconds maxRetryDelay{1000};
    // When a watch that waits is doubted, and how long it waits. Nothing if the watch itself shows
    // in time that it has lost a response.
    std::optional<watch_freshness_options> freshness = {};
};

// Follows the objects under one prefix. A thread lists the objects, then watches from the list's
// revision, and lists again when the store no longer has the history. While a watch waits, what is
// known may be doubted (watch_freshness); another thread then lists the objects beside the watch,
// and a new watch, on a thread of its own, takes over from the one that may have lost its response.
// Thread safe.
class object_watcher
{
public:
    // onList, onChanges and onConfirmed are called by one thread at a time, the others beside them.
    struct hooks
    {
        // Called with the full content, which replaces all content seen before. `sentAt` is the
        // time when the call to the store was sent.
        std::function<void(const object_list &list, boot_time sentAt)> onList;
        std::function<void(const object_list &changes, boot_time sentAt)> onChanges;
        // Called when a watch ends because the store no longer has the history, and when a check
        // begins or ends, none of which is an error. Optional.
        std::function<void(std::string_view event)> onEvent;
        // Called after the first call to the store and whenever the store becomes reachable or
        // unreachable.
        std::function<void(bool isReachable, const absl::Status &status)> onReachabilityChange;
        // Called after each response, once it was applied, and after store progress that confirms
        // what is known, with the version of the newest change that is known, and when the store
        // showed that there is no newer one. Only with `freshness`. Optional.
        std::function<void(uint64_t newestChange, boot_time confirmedAt)> onConfirmed;
    };

    object_watcher(object_api api, std::string prefix, hooks hooks,
                   object_watcher_options options = {});
    object_watcher(const object_watcher &) = delete;
    object_watcher &operator=(const object_watcher &) = delete;
    // Waits for the calls under way, so the owner should first `abort` the transport of the API.
    ~object_watcher();

    void start();
    bool isReachable() const { return m_isReachable; }

    // The following functions have an effect only with `freshness`.
    // Records what a watch of other objects has shown.
    void onStoreProgress(const store_progress &progress, boot_time receivedAt);
    // Records what another daemon knows of the objects: the version of the newest change that it
    // has read, and when the store showed it that there was no newer one.
    void onNotice(uint64_t version, boot_time confirmedAt, boot_time now);
    // Records that no other daemon tells of changes any more.
    void onNoticesEnded();
    // Lists the objects if the watch that waits is doubted. Must be called regularly.
    void checkIfDoubtful(boot_time now);
    // Returns how long ago what is known was confirmed last.
    milliseconds age(boot_time now) const;

private:
    // State of the watcher when a call was sent.
    struct sent_call
    {
        boot_time sentAt{};
        uint64_t revision = 0;
        // m_appliedCount at that time.
        uint64_t appliedCount = 0;
    };
    // One series of calls on a thread of its own, until another one takes over.
    struct session
    {
        uint64_t number = 0;
        bool isListed = false;
        // Whether the last call was a watch that got a response.
        bool hasWatchResponded = false;
    };
    void run(session session);
    // Starts a series of calls. Must be called with m_mutex held.
    void startSession(bool isListed);
    // Returns whether no other series has taken over and the watcher isn't stopping.
    bool isCurrent(const session &session) const;
    // Makes one list or watch call. Errors: those of object_api.
    absl::Status listOrWatch(session &session);
    absl::Status list(session &session);
    absl::Status watch(session &session);
    // Replaces the watch `number`, if it still waits.
    void replaceWatch(uint64_t number);
    // Lists the objects while a watch waits.
    void check(watch_freshness::doubt doubt);
    sent_call beginCall();
    // Applies the result of a call, unless the result of another call was applied since the call
    // was sent. Returns whether it was applied.
    bool applyList(const object_list &list, const sent_call &call);
    bool applyChanges(const object_list &changes, const sent_call &call);
    // Returns whether no other result was applied since the call was sent, and records the result
    // as applied in this case. Must be called with m_applyMutex held.
    bool recordResult(const sent_call &call, uint64_t revision, boot_time receivedAt);
    void reportConfirmed(boot_time confirmedAt);
    void recordListed(const object_list &list);
    void recordChanged(const object_list &changes);
    void reportEvent(const std::string &event);
    void waitFor(milliseconds time);

    const object_api m_api;
    const std::string m_prefix;
    const hooks m_hooks;
    const object_watcher_options m_options;
    std::atomic<bool> m_isReachable{false};
    std::atomic<bool> m_hasReportedReachability{false};

    // Held while a result is applied.
    std::mutex m_applyMutex;
    // Names of the objects that are known, and the version of the newest change; guarded by
    // m_applyMutex.
    std::set<std::string> m_knownKeys;
    uint64_t m_newestChange = 0;

    // Guards what follows. May be locked while m_applyMutex is held, not the other way round.
    mutable std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_isStopping = false;
    uint64_t m_revision = 0;
    // Number of results that were applied.
    uint64_t m_appliedCount = 0;
    watch_freshness m_freshness;
    uint64_t m_sessionNumber = 0;
    // The current and, until their calls return, earlier sessions.
    std::vector<std::unique_ptr<background_worker>> m_sessions;
    // Number of watches sent, and whether the last one waits.
    uint64_t m_watchNumber = 0;
    bool m_isWatching = false;
    bool m_isChecking = false;
    // Delay after a failed check, and when the next check may begin.
    milliseconds m_checkDelay{0};
    boot_time m_nextCheckAt{};

    // Null without `freshness`. Declared last, because its thread uses the members above.
    std::unique_ptr<background_worker> m_checker;
};

} // namespace persimmonrail
