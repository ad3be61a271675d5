#pragma once

#include "persimmonrail/base/clock.h"

#include <cstdint>
#include <map>
#include <tuple>

namespace persimmonrail {

struct return_schedule_options
{
    // Callers wait for at most this share of the time that they have left.
    double maxWaitShare = 1.0 / 3;
    // An announced return that has not come this long after its time is dropped.
    milliseconds dropAfter{200};
    // Announced returns that are kept. Further rejections reserve no capacity.
    size_t maxReturns = 4096;
};

// Position in the order of a queue. Requests of one position are ordered by other properties, such
// as their group and zone.
struct queue_position
{
    // 0 is the most urgent.
    int rank = 0;
    milliseconds objective{0};
    bool operator==(const queue_position &other) const = default;
    bool operator<(const queue_position &other) const
    {
        return std::tie(rank, objective) < std::tie(other.rank, other.objective);
    }
};

// Spreads the times at which rejected callers return over the time in which capacity for them is
// expected. Otherwise all callers that are rejected during an overload return at the moment at
// which one request would be accepted, and most are rejected again.
//
// The object keeps the returns that it has announced, and gives each rejection a later time than
// the ones before it at the same position or an earlier one. The state is bounded. The object reads
// no clock. Not thread safe.
class return_schedule
{
public:
    explicit return_schedule(return_schedule_options options = {});

    // A rejected request that may return.
    struct rejected_request
    {
        queue_position position;
        // The time before which no request of this position is expected to be accepted.
        steady_time earliest;
        // Until when the caller waits, and how long its request is expected to run.
        steady_time deadline;
        std::chrono::duration<double> serviceTime{0};
        // Returns of this position and earlier ones that the upstream can serve in a second. Must
        // be above 0.
        double returnsPerSecond = 0;
        // Returns that the queue can take at once in addition, by making them wait.
        double queueRoom = 0;
    };
    // Reserves capacity for the return of a rejected request, and returns the time at which its
    // caller should return. Without capacity before the last useful time, returns that time and
    // reserves nothing.
    steady_time announce(const rejected_request &rejected, steady_time now);
    // Returns the time that announce() would return, and reserves nothing. For callers that have
    // returned before.
    steady_time expectedReturn(const rejected_request &rejected, steady_time now) const;
    // Removes an announced return of this position whose time has come. Returns false if there is
    // none.
    bool takeDue(const queue_position &position, steady_time now);

    // Returns how many announced returns are due now and have not come.
    int due(steady_time now) const;
    // Returns how many returns have been announced so far, without those that reserved nothing.
    uint64_t announcedCount() const { return m_announcedCount; }

private:
    // Returns the last time at which the return may be of use to its caller.
    steady_time latestUseful(const rejected_request &rejected, steady_time now) const;
    // Returns when the capacity for returns that is not reserved yet begins.
    steady_time unreservedFrom(const rejected_request &rejected) const;
    // Drops announced returns that have not come.
    void dropExpired(steady_time now);

    const return_schedule_options m_options;
    // By time.
    std::multimap<steady_time, queue_position> m_returns;
    // When the capacity for returns that no announced return uses begins, by position.
    std::map<queue_position, steady_time> m_unreservedFrom;
    uint64_t m_announcedCount = 0;
};

} // namespace persimmonrail
