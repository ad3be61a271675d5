#pragma once

#include "persimmonrail/base/clock.h"

#include <cstddef>
#include <map>
#include <mutex>
#include <string>

namespace persimmonrail {

// Paces the bytes of large responses at the rate of this host's link, so that they do not queue in
// front of the link and delay small responses and new connections. Also estimates how long a
// further large response takes from the bytes that are pending. Thread safe.
class link_pacer
{
public:
    // `bytesPerSecond` is the rate that large responses may use. 0 means that the rate is unknown,
    // and disables pacing.
    explicit link_pacer(double bytesPerSecond = 0);

    // Records that a response of the route begins, of which `bytes` are still to be sent.
    void beginResponse(const std::string &route, size_t bytes);
    // Reserves the link for the next `bytes` of a response and returns the time at which they may
    // be sent.
    steady_time reserve(size_t bytes, steady_time now);
    // Records that a response ended with `bytes` of its announced size unsent.
    void cancelBytes(size_t bytes);

    struct estimate
    {
        // Time until all responses in progress have been sent.
        std::chrono::nanoseconds queueDelay{0};
        // Time that one more response of the route takes after `queueDelay`.
        std::chrono::nanoseconds sendTime{0};
    };
    // Returns the estimate for a response of the route. Both times are 0 for a route that has had
    // no large response.
    estimate estimateFor(const std::string &route, steady_time now) const;

private:
    // Returns the time that the link takes for `bytes`; 0 if its rate is unknown.
    std::chrono::nanoseconds transmissionTime(double bytes) const;
    // Returns the time until all responses in progress have been sent. Must be called with the
    // mutex held.
    std::chrono::nanoseconds queueDelay(steady_time now) const;

    const double m_bytesPerSecond;
    mutable std::mutex m_mutex;
    // End of all reservations.
    steady_time m_freeAt{};
    // Bytes of responses in progress that have not been reserved yet.
    double m_pendingBytes = 0;
    // Moving average of the size of large responses, by route.
    std::map<std::string, double> m_sizes;
};

} // namespace persimmonrail
