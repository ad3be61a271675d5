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
        m_stopping = true;
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

void object_watcher::pause(milliseconds time)
{
    std::unique_lock lock(m_mutex);
    m_wakeUp.wait_for(lock, time, [this] { return m_stopping; });
}

absl::Status object_watcher::step()
{
    const steady_time readAt = std::chrono::steady_clock::now();
    m_hasWatched = false;
    if (!m_listed) {
        const auto list = m_api.list(m_prefix);
        if (!list.ok()) {
            return list.status();
        }
        m_listed = true;
        m_revision = list->revision;
        m_hooks.onList(*list, readAt);
        return absl::OkStatus();
    }
    const auto changes = m_api.watch(m_prefix, m_revision, m_options.wait);
    if (absl::IsOutOfRange(changes.status())) {
        m_listed = false;
        if (m_hooks.onEvent) {
            const auto waited =
                std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - readAt);
            m_hooks.onEvent("history-gone waited_ms=" + std::to_string(waited.count()));
        }
        return absl::OkStatus();
    }
    if (!changes.ok()) {
        return changes.status();
    }
    m_hasWatched = true;
    m_revision = std::max(m_revision, changes->revision);
    m_hooks.onChanges(*changes, readAt);
    return absl::OkStatus();
}

void object_watcher::run()
{
    milliseconds retry = m_options.initialRetry;
    bool reported = false;
    for (;;) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_stopping) {
                return;
            }
        }
        const absl::Status status = step();
        if (status.ok() != m_isReachable || !reported) {
            reported = true;
            m_isReachable = status.ok();
            m_hooks.onReachable(status.ok(), status);
        }
        if (status.ok()) {
            // A list may come another way than a watch, so only a watch shows that all is well.
            retry = m_hasWatched ? m_options.initialRetry : retry;
            continue;
        }
        // The history may have moved on meanwhile; a list is always right.
        m_listed = false;
        pause(retry);
        retry = std::min(retry * 2, m_options.maxRetry);
    }
}

} // namespace persimmonrail
