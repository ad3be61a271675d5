#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/objects/object_api.h"

#include <atomic>
#include <functional>

namespace persimmonrail {

// Runs the blocking calls of the platform's object API on a dedicated thread, one after the other,
// and posts their results to the control thread.
class platform_worker
{
public:
    using write_completion = std::function<void(absl::StatusOr<uint64_t> version, steady_time now)>;
    using read_completion =
        std::function<void(absl::StatusOr<stored_object> object, steady_time now)>;

    // `loop` must outlive the worker.
    platform_worker(object_api api, control_loop &loop);
    platform_worker(const platform_worker &) = delete;
    platform_worker &operator=(const platform_worker &) = delete;

    // Enqueue a conditional write, a conditional deletion or a read, and return at once.
    // Must be called on the control thread, which also runs `done` with the result. The errors are
    // those of object_api.
    void put(const std::string &key, uint64_t expectedVersion, const std::string &value,
             write_completion done);
    void remove(const std::string &key, uint64_t expectedVersion, write_completion done);
    void get(const std::string &key, read_completion done);

    // Numbers of calls made since the start. Thread safe.
    uint64_t readCount() const { return m_readCount; }
    uint64_t writeCount() const { return m_writeCount; }

private:
    object_api m_api;
    control_loop &m_loop;
    std::atomic<uint64_t> m_readCount{0};
    std::atomic<uint64_t> m_writeCount{0};
    // Must be the last member: its thread uses the members above until the worker is destroyed.
    background_worker m_worker;
};

} // namespace persimmonrail
