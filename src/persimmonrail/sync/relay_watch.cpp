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
        m_stopping = true;
        m_active = false;
        ++m_generation;
    }
    m_changed.notify_all();
    m_thread.join();
}

void relay_watch::activate(uint64_t revision)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_active || m_stopping) {
            return;
        }
        m_active = true;
        m_revision = revision;
        m_mustList = revision == 0;
        ++m_generation;
    }
    m_changed.notify_all();
}

void relay_watch::deactivate()
{
    {
        const std::lock_guard lock(m_mutex);
        m_active = false;
        ++m_generation;
    }
    m_changed.notify_all();
}

bool relay_watch::isActive() const
{
    const std::lock_guard lock(m_mutex);
    return m_active;
}

void relay_watch::run()
{
    backoff delays(initialWatchBackoff, maxWatchBackoff, m_hooks.random);
    std::unique_lock lock(m_mutex);
    while (!m_stopping) {
        m_changed.wait(lock, [this] { return m_stopping || m_active; });
        if (m_stopping) {
            return;
        }
        const uint64_t generation = m_generation;
        const uint64_t revision = m_revision;
        const bool lists = m_mustList;
        lock.unlock();
        const auto status = step(generation, revision, lists);
        milliseconds delay = watchPause;
        if (status.ok()) {
            delays.reset();
        } else {
            delay = delays.next();
            if (m_hooks.failed) {
                m_hooks.failed(status, delay);
            }
        }
        lock.lock();
        m_changed.wait_for(lock, delay, [&] { return m_stopping || m_generation != generation; });
    }
}

absl::Status relay_watch::step(uint64_t generation, uint64_t revision, bool lists)
{
    const auto result = lists ? m_api.list("") : m_api.watch("", revision, watchWait);
    {
        const std::lock_guard lock(m_mutex);
        if (m_generation != generation) {
            return absl::OkStatus();
        }
        if (result.ok()) {
            m_revision = result->revision;
            m_mustList = false;
        } else if (absl::IsOutOfRange(result.status())) {
            m_mustList = true;
        }
    }
    if (!result.ok()) {
        return result.status();
    }
    if (lists) {
        m_hooks.listed(*result);
    } else {
        m_hooks.changed(revision, *result);
    }
    return absl::OkStatus();
}

} // namespace persimmonrail
