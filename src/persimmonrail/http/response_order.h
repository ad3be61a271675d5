#pragma once

#include "persimmonrail/http/held_bytes.h"

#include <deque>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace persimmonrail {

// Order of the responses on one connection whose requests run side by side. Decides which response
// is written next, which bytes are held until then, and which requests are cancelled because an
// earlier response closes the connection. Uses no clock and no connection. Not thread safe.
class response_order
{
public:
    // One request and its response.
    struct slot
    {
        // Bytes of the response that wait until it is next.
        std::string held;
        // Whether the handler has returned, so that no further bytes follow.
        bool isFinished = false;
        // Whether an earlier response closes the connection, so that this one is never written.
        bool isCancelled = false;
    };
    using slot_pointer = std::shared_ptr<slot>;

    // Holds at most `maxHeldBytes` for this connection, within the budget `shared`, which must
    // outlive the object.
    response_order(size_t maxHeldBytes, held_bytes &shared);
    response_order(const response_order &) = delete;
    response_order &operator=(const response_order &) = delete;
    ~response_order();

    // Adds the next request. Its response closes the connection if `isLast` is set. Returns null if
    // an earlier response closes the connection.
    slot_pointer add(bool isLast);
    // Returns whether all earlier responses are written.
    bool isNext(const slot &target) const;
    // Returns whether no request was read after this one.
    bool isLast(const slot &target) const;
    // Keeps bytes of a response until it is next. Returns false if a bound would be exceeded.
    [[nodiscard]] bool tryHold(slot &target, std::string_view bytes);
    // Returns the bytes held for the next response and removes them. They count as held until
    // releaseTaken().
    std::string takeHeld();
    void releaseTaken(size_t bytes);
    // Removes the next response if it is finished and holds no bytes. Returns whether it did.
    bool removeFinished();
    // Makes the response of `target`, or the last one, close the connection. Returns the requests
    // behind it, which are cancelled and removed.
    std::vector<slot_pointer> closeAfter(const slot &target);
    void closeAfterLast() { m_isClosing = true; }
    // Cancels and removes all requests.
    std::vector<slot_pointer> cancelAll();

    // Returns whether the last of the responses closes the connection.
    bool isClosing() const { return m_isClosing; }
    // Returns the number of responses that are not written completely.
    size_t size() const { return m_slots.size(); }

private:
    // Cancels and removes the requests from position `first`.
    std::vector<slot_pointer> cancelFrom(size_t first);

    const size_t m_maxHeldBytes;
    held_bytes &m_shared;
    std::deque<slot_pointer> m_slots;
    size_t m_heldBytes = 0;
    bool m_isClosing = false;
};

} // namespace persimmonrail
