#pragma once

#include "persimmonrail/base/clock.h"

#include <condition_variable>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>

namespace persimmonrail {

struct large_response_queue_options
{
    // Answers of at least this size take turns; smaller ones go at once.
    size_t largeBytes = 16 * 1024;
    // A transfer goes on without a turn after this time: one that is stuck must not hold up others.
    milliseconds maxWait{1000};
    // A transfer gives up its turn after this time.
    milliseconds maxPermitTime{400};
};

// Lets large answers leave this host one after the other. Several at once fill the queue of the
// host's link with all of their windows, so that small answers and new connections wait behind
// them, and each large answer ends as late as the last one. Thread safe.
class large_response_queue
{
public:
    // A place in the order, given back on destruction. Used by one thread.
    class permit
    {
    public:
        explicit permit(large_response_queue &queue, steady_time end)
            : m_queue(queue)
            , m_end(end)
        { }
        permit(const permit &) = delete;
        permit &operator=(const permit &) = delete;
        ~permit() { m_queue.leave(); }
        bool isOver(steady_time now) const { return now >= m_end; }

    private:
        large_response_queue &m_queue;
        const steady_time m_end;
    };

    explicit large_response_queue(large_response_queue_options options = {});

    // Whether an answer of this size takes turns.
    bool isLarge(size_t bytes) const { return bytes >= m_options.largeBytes; }
    // Waits for the turn of the calling thread, in the order of arrival. Null if that took too
    // long.
    std::unique_ptr<permit> enter();

private:
    void leave();

    const large_response_queue_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isTaken = false;
    uint64_t m_lastTicket = 0;
    std::deque<uint64_t> m_waiting;
};

} // namespace persimmonrail
