#pragma once

#include "persimmonrail/base/clock.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace persimmonrail {

// Spreads the bytes of large answers over the time that this host's link takes for them, so that
// they do not queue in front of the link, where small answers and new connections would wait behind
// them. Knows how much large answers are due, and so how long a further one takes. Thread safe.
class link_pacer
{
public:
    // `bytesPerSecond`: what large answers may use of the link; 0 if it is unknown, then nothing is
    // ever held back.
    explicit link_pacer(double bytesPerSecond = 0);

    // An answer of a route begins, of which `bytes` are still to be sent.
    void begin(const std::string &route, size_t bytes);
    // Reserves the link for the next bytes of an answer and returns when they may be sent.
    steady_time reserve(size_t bytes, steady_time now);
    // An answer ends with `bytes` of those announced not sent.
    void abandon(size_t bytes);

    struct estimate
    {
        // Until the answers under way have been sent.
        std::chrono::nanoseconds backlog{0};
        // What one more answer takes then.
        std::chrono::nanoseconds own{0};
    };
    // Both are 0 for routes whose answers are small.
    estimate expect(const std::string &route, steady_time now) const;

private:
    std::chrono::nanoseconds timeFor(double bytes) const;
    // Until everything that is under way has been sent. Called with the mutex held.
    std::chrono::nanoseconds backlog(steady_time now) const;

    const double m_bytesPerSecond;
    mutable std::mutex m_mutex;
    steady_time m_freeAt{};
    // Of answers under way, not reserved yet.
    double m_pendingBytes = 0;
    // Mean size of large answers by route.
    std::map<std::string, double> m_sizes;
};

} // namespace persimmonrail
