#pragma once

#include "persimmonrail/base/clock.h"
#include "persimmonrail/proxy/cold_rate_limit.h"
#include "persimmonrail/proxy/recent_work_factor.h"

#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

struct slot_queue_options
{
    // Service time assumed for a route until one of its requests has ended.
    milliseconds initialServiceTime{50};
    // Weight of one ended request in the moving average of the service time.
    double smoothingFactor = 0.1;
    // While requests later in the order wait, one of this many starts is given to them, so that
    // they are not starved.
    int laterStartInterval = 10;
    // A request is accepted if it is expected to end within this share of the time left until its
    // latency objective ends.
    double maxObjectiveShare = 0.9;
    // Time constant of the exponential decay of each route's offered load.
    milliseconds loadDecayTime{1000};
    // Largest share of the slots that is reserved for requests earlier in the order.
    double maxReservedShare = 0.5;
};

// A request for a slot.
struct slot_request
{
    // Name of the route. Requests of one route have similar service times.
    std::string route;
    // 0 is the most urgent.
    int rank = 0;
    // Latency objective, counted from the arrival of the request at the first daemon.
    milliseconds objective{0};
    // Time at which the latency objective ends, and the time until which the caller waits.
    steady_time objectiveEnd;
    steady_time deadline;
    // Whether an earlier attempt at the request has reached an upstream.
    bool isRetry = false;
};

// Decides which requests use the slots of one upstream. This daemon must be the only sender of
// requests to the upstream.
//
// A free slot goes to the most urgent rank, and within a rank to the shortest latency objective, so
// that calls on which running requests wait start before new work. Requests with equal rank and
// objective start in order of arrival. A request that is not expected to end within its objective
// is rejected at once, so that the upstream spends its time on requests that can still meet their
// objectives.
//
// For requests earlier in this order, as many slots are reserved as those requests need on average.
// Otherwise long requests would hold all slots when short urgent requests arrive. The number of
// slots is known, so it is not adapted to the behavior of the upstream.
//
// While the upstream is or may be cold, cold_rate_limit delays the starts, and the expected waiting
// time includes the delay. First attempts then start before retries of the same rank, since a retry
// has already used capacity. The object reads no clock and starts no threads. Not thread safe.
class slot_queue
{
public:
    explicit slot_queue(slot_queue_options options = {});

    void setSlots(int slots) { m_slots = slots; }
    // The limit on the starts at a cold upstream. After a change, startRequests() must be called.
    cold_rate_limit &coldLimit() { return m_coldLimit; }
    const cold_rate_limit &coldLimit() const { return m_coldLimit; }
    // Takes how long work takes at the upstream now, as a factor on the usual time. Service times
    // are kept as usual ones, and the expected ones follow the factor.
    void recordWorkFactor(double factor, steady_time now)
    {
        m_recentWorkFactor.record(factor, now);
    }

    struct rejection
    {
        // Time after which a request of this route is expected to be accepted.
        milliseconds retryAfter{0};
    };
    // What decides whether a request is accepted, in seconds.
    struct expectation
    {
        // Until a slot is free, and until the limit on the starts at a cold upstream allows it.
        double waitForSlot = 0;
        double waitForLimit = 0;
        double serviceTime = 0;
        // Time in which a request that has to wait must be expected to end.
        double maxTime = 0;
        // Set if the request is rejected.
        std::optional<rejection> rejected;
        double wait() const { return waitForSlot > waitForLimit ? waitForSlot : waitForLimit; }
    };
    // Returns what submit() would expect of the request, and changes nothing.
    expectation expect(const slot_request &request, steady_time now) const;
    // Adds a request and returns its ID. Returns nullopt and sets `rejected` if the request is not
    // expected to end in time.
    std::optional<uint64_t> submit(const slot_request &request, steady_time now,
                                   rejection &rejected);
    // Starts waiting requests on free slots and returns their IDs. Must be called after submit(),
    // finish() and cancel().
    std::vector<uint64_t> startRequests(steady_time now);
    // Removes a request that has not started.
    void cancel(uint64_t id);
    // Releases the slot of a started request. `isRepresentative` tells whether its time counts in
    // the mean service time.
    void finish(uint64_t id, bool isRepresentative, steady_time now);
    // Releases the slot of a started request that did not count at the upstream.
    void withdraw(uint64_t id);
    // Returns when startRequests() can start a request that the limit delays now; the maximum if
    // the limit delays none.
    steady_time nextDelayedStart(steady_time now) const;

    int running() const { return static_cast<int>(m_running.size()); }
    int waiting() const { return static_cast<int>(m_waiting.size()); }
    int slots() const { return m_slots; }
    // Return the moving average of the service time over all routes: the usual one, and the one
    // expected with the work factor at `now`.
    std::chrono::microseconds meanServiceTime() const;
    std::chrono::microseconds meanServiceTime(steady_time now) const;
    // Returns how many requests the limit has delayed so far.
    uint64_t delayedCount() const { return m_delayedCount; }

private:
    struct waiting_request
    {
        uint64_t id = 0;
        slot_request request;
        // Whether the request counts as delayed by the limit.
        bool isDelayed = false;
    };
    struct running_request
    {
        slot_request request;
        steady_time startedAt;
    };
    struct route_load
    {
        // Its rank and objective determine the position of the route in the order.
        slot_request latestRequest;
        // Decayed mean number of slots that the route's requests would use if all of them were
        // started.
        double offered = 0;
    };

    // Returns whether `a` comes before `b` in the order.
    bool isBefore(const slot_request &a, const slot_request &b) const;
    // Returns the expected service time of the route in seconds, at the work factor of the last
    // submit().
    double serviceTimeOf(const std::string &route) const;
    // Takes the arrival of a request into the order, the work factor and the offered loads.
    void prepare(const slot_request &request, steady_time now);
    // Returns the expectation for a request whose arrival was taken by prepare().
    expectation assess(const slot_request &request, steady_time now) const;
    // The parts of the expected wait: until a slot is free, and until the limit allows the start.
    double expectedWaitForSlot(const slot_request &request, steady_time now) const;
    double expectedWaitForLimit(const slot_request &request, steady_time now) const;
    // Orders the waiting requests anew if the upstream has become cold or warm.
    void updateOrder(steady_time now);
    // Counts the requests that would start now without the limit.
    void recordDelays();
    // Return the number of slots that requests earlier in the order need on average, and how many
    // of these they do not use now.
    int slotsNeededBefore(const slot_request &request) const;
    int slotsReservedBefore(const slot_request &request) const;
    // Adds the request to the offered load of its route.
    void recordArrival(const slot_request &request, steady_time now);
    // Returns the waiting request that may start now, or the end of the list if there is none.
    std::list<waiting_request>::iterator chooseNext();

    const slot_queue_options m_options;
    int m_slots = 1;
    uint64_t m_lastId = 0;
    // Moving average in seconds, by route.
    std::map<std::string, double> m_serviceTimes;
    double m_meanServiceTime = 0;
    recent_work_factor m_recentWorkFactor;
    // Factor as of the last submit().
    double m_workFactor = 1;
    std::map<std::string, route_load> m_loads;
    steady_time m_loadsUpdatedAt{};
    // In the order in which the requests start.
    std::list<waiting_request> m_waiting;
    std::map<uint64_t, running_request> m_running;
    // Times that the first request was due to start while a request later in the order waited.
    int m_startsWhileLaterWait = 0;
    cold_rate_limit m_coldLimit;
    // Whether first attempts come before retries in the order of m_waiting.
    bool m_defersRetries = false;
    uint64_t m_delayedCount = 0;
};

} // namespace persimmonrail
