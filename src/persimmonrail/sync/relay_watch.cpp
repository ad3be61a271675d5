#include "persimmonrail/sync/relay_watch.h"

#include "persimmonrail/base/backoff.h"

namespace persimmonrail {

relay_watch::relay_watch(object_api api, hooks hooks)
    : m_api(std::move(api))
    , m_hooks(std::move(hooks))
    , m_thread([this] { run(); })
{ }

relay_watch::~relay_watch()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isStopping = true;
        m_isActive = false;
        ++m_generation;
    }
    m_stateChanged.notify_all();
    m_thread.join();
}

void relay_watch::activate(uint64_t revision)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_isActive || m_isStopping) {
            return;
        }
        m_isActive = true;
        m_revision = revision;
        m_shouldList = revision == 0;
        ++m_generation;
    }
    m_stateChanged.notify_all();
}

void relay_watch::deactivate()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isActive = false;
        ++m_generation;
    }
    m_stateChanged.notify_all();
}

bool relay_watch::isActive() const
{
    const std::lock_guard lock(m_mutex);
    return m_isActive;
}

void relay_watch::run()
{
    backoff retryBackoff(initialWatchBackoff, maxWatchBackoff, m_hooks.random);
    std::unique_lock lock(m_mutex);
    while (!m_isStopping) {
        m_stateChanged.wait(lock, [this] { return m_isStopping || m_isActive; });
        if (m_isStopping) {
            return;
        }
        const uint64_t generation = m_generation;
        const uint64_t revision = m_revision;
        const bool shouldList = m_shouldList;
        lock.unlock();
        const auto status = fetchOnce(generation, revision, shouldList);
        milliseconds delay = longPollDelay;
        if (status.ok()) {
            retryBackoff.reset();
        } else {
            delay = retryBackoff.next();
            if (m_hooks.failed) {
                m_hooks.failed(status, delay);
            }
        }
        lock.lock();
        m_stateChanged.wait_for(lock, delay,
                                [&] { return m_isStopping || m_generation != generation; });
    }
}

absl::Status relay_watch::fetchOnce(uint64_t generation, uint64_t revision, bool shouldList)
{
    const auto result = shouldList ? m_api.list("") : m_api.watch("", revision, longPollTimeout);
    {
        const std::lock_guard lock(m_mutex);
        if (m_generation != generation) {
            return absl::OkStatus();
        }
        if (result.ok()) {
            m_revision = result->revision;
            m_shouldList = false;
        } else if (absl::IsOutOfRange(result.status())) {
            m_shouldList = true;
        }
    }
    if (!result.ok()) {
        return result.status();
    }
    if (shouldList) {
        m_hooks.listed(*result);
    } else {
        m_hooks.changed(revision, *result);
    }
    return absl::OkStatus();
}

} // namespace persimmonrail
