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
    // Requests sent to the upstream for each recently accepted one. A value above 1 lets an
    // upstream with new capacity receive more requests soon; the upstream rejects the excess at the
    // cost of a message.
    double sentPerAccepted = 1.5;
    // Time constant of the exponential decay of observations.
    milliseconds decayTime{500};
    // Decayed number of rejections, by the upstream and by this daemon, below which no request is
    // rejected locally.
    double minRejections = 2;
};

// Rejects requests locally that an overloaded upstream would very likely reject, so that the daemon
// beside the upstream spends its CPU time on requests that it can serve. Each daemon decides from
// the responses to its own requests. Each request class is counted separately, since upstreams
// prefer urgent requests. Takes the time as an argument and reads no clock. Thread safe.
class overload_throttle
{
public:
    // Requests with the same position in the order of an upstream's queue.
    struct request_class
    {
        // Empty for all upstreams of a service together.
        upstream_id upstream;
        int rank = 0;
        milliseconds objective{0};
        // Queues that schedule returns accept fewer retries of callers than first attempts.
        bool isCallerRetry = false;
        bool operator<(const request_class &other) const
        {
            return std::tie(upstream, rank, objective, isCallerRetry)
                < std::tie(other.upstream, other.rank, other.objective, other.isCallerRetry);
        }
    };

    explicit overload_throttle(overload_throttle_options options = {});

    // Decides whether to reject a request without sending it. Returns the time after which another
    // request may be accepted, or nullopt if the request should be sent. `randomFraction` must be
    // uniform in [0, 1).
    std::optional<milliseconds> rejectLocally(const request_class &requestClass,
                                              double randomFraction, steady_time now);
    // What rejectLocally() would decide.
    struct expectation
    {
        // Probability of a rejection, in [0, 1].
        double rejectionChance = 0;
        milliseconds retryAfter{0};
    };
    // Returns the expectation for a request that arrives now, and records nothing.
    expectation expect(const request_class &requestClass, steady_time now) const;
    // Records that the upstream accepted a request. `hasCapacity` tells that the upstream has a
    // free slot, which ends the throttling of the class, of callers' retries too.
    void recordAccepted(const request_class &requestClass, bool hasCapacity, steady_time now);
    // Records that the upstream rejected a request because it is overloaded.
    void recordRejected(const request_class &requestClass, milliseconds retryAfter,
                        steady_time now);

private:
    struct record
    {
        // Exponentially decayed numbers of requests that the upstream accepted, that the upstream
        // rejected, and that this daemon rejected.
        double accepted = 0;
        double rejected = 0;
        double rejectedLocally = 0;
        steady_time updatedAt{};
        milliseconds retryAfter{0};
    };
    // Decays the counts of the record to `now`.
    void decay(record &entry, steady_time now) const;
    // Returns the probability of a rejection for a record that is decayed to the present; not above
    // 0 for none.
    double rejectionChance(const record &entry) const;
    record &findOrCreateRecord(const request_class &requestClass, steady_time now);

    const overload_throttle_options m_options;
    mutable std::mutex m_mutex;
    // Only classes with recent rejections.
    std::map<request_class, record> m_records;
};

} // namespace persimmonrail
