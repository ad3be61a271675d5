#pragma once

#include "persimmonrail/base/clock.h"

#include <cstddef>
#include <string>
#include <vector>

namespace persimmonrail {

// Requests that a connection has carried and its peer has rejected. The peer may send a copy of
// such a rejection late. Only the id of the request tells the copy from the response to another
// request, so the request must not be sent again on the same connection. Reads no clock. Not thread
// safe.
class rejected_requests
{
public:
    // Remembers a request until `until`, after which it is not sent again.
    void record(const std::string &id, steady_time until, steady_time now);
    // Returns whether the request may have been rejected on the connection. A hash stands for each
    // id, so this is rarely true for one that was not.
    bool contains(const std::string &id, steady_time now) const;
    // Returns whether so many requests are remembered that the connection should be closed.
    bool isFull(steady_time now) const;

private:
    struct entry
    {
        size_t idHash;
        steady_time until;
    };
    std::vector<entry> m_entries;
};

} // namespace persimmonrail
