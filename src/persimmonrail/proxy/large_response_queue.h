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
    // Responses of at least this size need a permit; smaller ones are sent at once.
    size_t minLargeBytes = 16 * 1024;
    // Longest wait for a permit. After it the transfer goes on without one, so that a stuck
    // transfer does not block others.
    milliseconds maxWait{1000};
    // The holder releases its permit after this time.
    milliseconds maxPermitTime{400};
};

// Serializes large responses that leave this host. Several large responses at once would fill the
// queue of the host's link with all of their TCP windows: small responses and new connections would
// wait behind them, and each large response would end as late as the last one. Thread safe.
class large_response_queue
{
public:
    // Permission to send a large response. The destructor releases the permit. Used by one thread.
    class permit
    {
    public:
        explicit permit(large_response_queue &queue, steady_time end)
            : m_queue(queue)
            , m_end(end)
        { }
        permit(const permit &) = delete;
        permit &operator=(const permit &) = delete;
        ~permit() { m_queue.release(); }
        // Returns whether the holder should release the permit.
        bool hasExpired(steady_time now) const { return now >= m_end; }

    private:
        large_response_queue &m_queue;
        const steady_time m_end;
    };

    explicit large_response_queue(large_response_queue_options options = {});

    // Returns whether a response of this size needs a permit.
    bool isLarge(size_t bytes) const { return bytes >= m_options.minLargeBytes; }
    // Blocks until the calling thread gets the permit, in order of arrival. Returns null after
    // `maxWait`.
    std::unique_ptr<permit> acquire();

private:
    void release();

    const large_response_queue_options m_options;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    bool m_isPermitHeld = false;
    uint64_t m_lastTicket = 0;
    // Tickets of the waiting threads, in order of arrival.
    std::deque<uint64_t> m_waiting;
};

} // namespace persimmonrail
