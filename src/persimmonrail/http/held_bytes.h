#pragma once

#include <atomic>
#include <cstddef>

namespace persimmonrail {

// Budget for the bytes of responses that a server holds because an earlier response on the same
// connection has not been written. Shared by the connections of a server. Thread safe.
class held_bytes
{
public:
    explicit held_bytes(size_t maxBytes)
        : m_max(maxBytes)
    { }

    // Reserves `bytes`. Returns false if the budget is too small for them.
    [[nodiscard]] bool tryReserve(size_t bytes)
    {
        size_t used = m_used.load();
        do {
            if (bytes > m_max - used) {
                return false;
            }
        } while (!m_used.compare_exchange_weak(used, used + bytes));
        return true;
    }
    // Releases reserved bytes.
    void release(size_t bytes) { m_used -= bytes; }
    // Returns the number of reserved bytes.
    size_t used() const { return m_used; }

private:
    const size_t m_max;
    std::atomic<size_t> m_used{0};
};

} // namespace persimmonrail
