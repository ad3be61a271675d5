#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/fleet/upstream_member.h"

#include <map>
#include <mutex>
#include <optional>
#include <tuple>

namespace persimmonrail {

struct overload_throttle_options
{
    // Requests that are sent for each one that was accepted lately. Above 1, so that an upstream
    // with room again gets more soon; what is above 1 is refused there at the price of a message.
    double sentPerAccepted = 1.5;
    // Time after which an observation has lost most of its weight.
    milliseconds memory{500};
    // Refusals that must be remembered before anything is kept back.
    double minRefusals = 2;
};

// Keeps back requests that an overloaded upstream would very likely refuse, so that the daemon
// beside it spends its processor on those it can serve. Every daemon decides by the answers to its
// own requests; each kind of request counts for itself, since upstreams prefer urgent ones.
// No clock. Thread safe.
class overload_throttle
{
public:
    // Requests with the same place in the order of an upstream's queue.
    struct kind
    {
        // Empty for all upstreams of a service together.
        upstream_id upstream;
        int rank = 0;
        milliseconds objective{0};
        bool operator<(const kind &other) const
        {
            return std::tie(upstream, rank, objective)
                < std::tie(other.upstream, other.rank, other.objective);
        }
    };

    explicit overload_throttle(overload_throttle_options options = {});

    // Whether to keep back a request, and after which time another may be accepted. `drawn` is
    // uniform in [0, 1).
    std::optional<milliseconds> keepBack(const kind &asked, double drawn, steady_time now);
    // The upstream took a request. `hasRoom`: none waits there now, so nothing is kept back.
    void noteAccepted(const kind &asked, bool hasRoom, steady_time now);
    // The upstream refused a request as beyond its capacity.
    void noteRefused(const kind &asked, milliseconds retryAfter, steady_time now);

private:
    struct record
    {
        // Weighted numbers of requests that were taken, refused there, and kept back here.
        double accepted = 0;
        double refused = 0;
        double keptBack = 0;
        steady_time updatedAt{};
        milliseconds retryAfter{0};
    };
    void fade(record &known, steady_time now) const;
    record &recordOf(const kind &asked, steady_time now);

    const overload_throttle_options m_options;
    std::mutex m_mutex;
    // Only kinds that were refused lately.
    std::map<kind, record> m_records;
};

} // namespace persimmonrail
