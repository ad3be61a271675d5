#pragma once

#include "persimmonrail/daemon/background_worker.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/objects/object_api.h"

#include <atomic>
#include <functional>

namespace persimmonrail {

// Runs the blocking calls of the platform's object API away from the control thread, one after
// the other, and posts the results back to it.
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

    // Called on the control thread, as are the completions.
    void put(const std::string &key, uint64_t expectedVersion, const std::string &value,
             write_completion done);
    void remove(const std::string &key, uint64_t expectedVersion, write_completion done);
    void get(const std::string &key, read_completion done);

    uint64_t reads() const { return m_reads; }
    uint64_t writes() const { return m_writes; }

private:
    object_api m_api;
    control_loop &m_loop;
    std::atomic<uint64_t> m_reads{0};
    std::atomic<uint64_t> m_writes{0};
    // Declared last: its thread uses the members above until it has ended.
    background_worker m_worker;
};

} // namespace persimmonrail
