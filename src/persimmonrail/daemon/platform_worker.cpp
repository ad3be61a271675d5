#include "persimmonrail/daemon/platform_worker.h"

namespace persimmonrail {

platform_worker::platform_worker(object_api api, control_loop &loop)
    : m_api(std::move(api))
    , m_loop(loop)
{ }

void platform_worker::put(const std::string &key, uint64_t expectedVersion,
                          const std::string &value, write_completion done)
{
    m_worker.enqueue([this, key, expectedVersion, value, done = std::move(done)] {
        ++m_writeCount;
        auto version = m_api.put(key, expectedVersion, value);
        m_loop.post([done, version = std::move(version)](steady_time now) { done(version, now); });
    });
}

void platform_worker::remove(const std::string &key, uint64_t expectedVersion,
                             write_completion done)
{
    m_worker.enqueue([this, key, expectedVersion, done = std::move(done)] {
        ++m_writeCount;
        auto version = m_api.remove(key, expectedVersion);
        m_loop.post([done, version = std::move(version)](steady_time now) { done(version, now); });
    });
}

void platform_worker::get(const std::string &key, read_completion done)
{
    m_worker.enqueue([this, key, done = std::move(done)] {
        ++m_readCount;
        auto object = m_api.get(key);
        m_loop.post([done, object = std::move(object)](steady_time now) { done(object, now); });
    });
}

} // namespace persimmonrail
