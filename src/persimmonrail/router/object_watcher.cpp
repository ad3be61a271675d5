#include "persimmonrail/router/object_watcher.h"

#include <algorithm>

namespace persimmonrail {

object_watcher::object_watcher(object_api api, std::string prefix, hooks hooks,
                               object_watcher_options options)
    : m_api(std::move(api))
    , m_prefix(std::move(prefix))
    , m_hooks(std::move(hooks))
    , m_options(options)
{ }

object_watcher::~object_watcher()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
    }
    m_wakeUp.notify_all();
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void object_watcher::start()
{
    m_thread = std::thread([this] { run(); });
}

void object_watcher::waitFor(milliseconds time)
{
    std::unique_lock lock(m_mutex);
    m_wakeUp.wait_for(lock, time, [this] { return m_isStopping; });
}

absl::Status object_watcher::listOrWatch()
{
    const boot_time sentAt = bootNow();
    m_hasWatchResponded = false;
    if (!m_isListed) {
        const auto list = m_api.list(m_prefix);
        if (!list.ok()) {
            return list.status();
        }
        m_isListed = true;
        m_revision = list->revision;
        m_hooks.onList(*list, sentAt);
        return absl::OkStatus();
    }
    const auto changes = m_api.watch(m_prefix, m_revision, m_options.maxWatchWait);
    if (absl::IsOutOfRange(changes.status())) {
        m_isListed = false;
        if (m_hooks.onEvent) {
            const auto waited = std::chrono::duration_cast<milliseconds>(bootNow() - sentAt);
            m_hooks.onEvent("history-gone waited_ms=" + std::to_string(waited.count()));
        }
        return absl::OkStatus();
    }
    if (!changes.ok()) {
        return changes.status();
    }
    m_hasWatchResponded = true;
    m_revision = std::max(m_revision, changes->revision);
    m_hooks.onChanges(*changes, sentAt);
    return absl::OkStatus();
}

void object_watcher::run()
{
    milliseconds retryDelay = m_options.initialRetryDelay;
    bool hasReported = false;
    for (;;) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isStopping) {
                return;
            }
        }
        const absl::Status status = listOrWatch();
        if (status.ok() != m_isReachable || !hasReported) {
            hasReported = true;
            m_isReachable = status.ok();
            m_hooks.onReachabilityChange(status.ok(), status);
        }
        if (status.ok()) {
            // A list may take another path to the store than a watch, so only a successful watch
            // resets the delay.
            retryDelay = m_hasWatchResponded ? m_options.initialRetryDelay : retryDelay;
            continue;
        }
        // The store may have dropped the history since the failure, and a list is correct in any
        // case.
        m_isListed = false;
        waitFor(retryDelay);
        retryDelay = std::min(retryDelay * 2, m_options.maxRetryDelay);
    }
}

} // namespace persimmonrail
