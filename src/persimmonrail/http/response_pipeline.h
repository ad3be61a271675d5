#pragma once

#include "persimmonrail/http/http_stream.h"
#include "persimmonrail/http/response_order.h"
#include "persimmonrail/http/write_deadlines.h"

#include <condition_variable>
#include <functional>
#include <mutex>

namespace persimmonrail {

// Writes the responses to the requests of one connection in the order of the requests, while their
// handlers run on different threads. Thread safe.
class response_pipeline
{
public:
    // One request that runs. Keeps the signal of its cancellation.
    class request
    {
    public:
        // `slot` belongs to the request. cancelDescriptor() is negative if no descriptor is free.
        explicit request(response_order::slot_pointer slot);
        request(const request &) = delete;
        request &operator=(const request &) = delete;
        ~request();

        // Returns a descriptor that is readable once the request is cancelled.
        int cancelDescriptor() const { return m_cancelEvent; }

    private:
        friend class response_pipeline;
        const response_order::slot_pointer m_slot;
        int m_cancelEvent;
    };
    using request_pointer = std::shared_ptr<request>;

    // How a handler ended.
    enum class request_end {
        // The response is complete and the connection stays open.
        Reusable,
        // The connection is closed after the bytes written so far.
        Close,
        // The connection is reset after the bytes written so far.
        Abort,
    };

    struct hooks
    {
        // Writes to the connection, like http_stream::write(). Called by one thread at a time.
        std::function<io_status(std::string_view bytes, size_t &written, steady_time until)> write;
        // Called once, when the response that closes the connection is written, before the last
        // call on behalf of it returns. Must not call the pipeline.
        std::function<void(bool isAborted)> onEnd;
    };

    // `idleTimeout` bounds each write without progress.
    response_pipeline(size_t maxHeldBytes, held_bytes &shared, milliseconds idleTimeout,
                      hooks hooks);

    // Adds the next request of the connection. The connection closes after its response if `isLast`
    // is set. Returns null if the connection closes after an earlier response, in which case the
    // request must not run, or if no descriptor is free, after which the connection closes.
    request_pointer add(bool isLast);
    // Writes bytes of a response, or holds them. Beyond the bounds, waits until the response is
    // next. Returns Cancelled if the response is never written.
    io_status write(request &target, std::string_view bytes, size_t &written,
                    const write_deadlines &deadlines);
    // Ends the response of a request and writes the held responses that are next.
    void finish(request &target, request_end end);
    // Makes the connection close after the response and cancels the requests behind it.
    void closeAfter(request &target);
    // Returns whether the connection closes after the response. If `isDraining` is set and no
    // request was read after this one, it does from now on.
    bool closesAfter(request &target, bool isDraining);
    // Makes the connection close after the last request that was read.
    void closeAfterLast();
    // Waits until all responses are written, and returns true. Returns false without waiting for
    // them if the connection closes after them.
    bool waitForTurn();

    // Returns whether the last of the requests closes the connection.
    bool isClosing() const;
    // Returns the number of responses that are not written completely.
    size_t size() const;

private:
    using slot_list = std::vector<response_order::slot_pointer>;

    // Signals the requests that `slots` belong to. Call with the mutex held.
    void cancel(const slot_list &slots);
    // Writes what is held for the next response and those behind it. Unlocks during writes.
    void flush(std::unique_lock<std::mutex> &lock);
    // Writes bytes that were taken from the order. Returns false if the connection is broken.
    bool writeTaken(std::string_view bytes, std::unique_lock<std::mutex> &lock);
    // Reports the end of the connection once all responses are written.
    void reportEnd();

    const milliseconds m_idleTimeout;
    const hooks m_hooks;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    response_order m_order;
    // Requests whose handlers run.
    std::vector<request *> m_running;
    // Whether a thread writes to the connection.
    bool m_isWriting = false;
    bool m_isAborted = false;
    bool m_hasEnded = false;
};

} // namespace persimmonrail
