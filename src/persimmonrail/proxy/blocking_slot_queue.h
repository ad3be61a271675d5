#pragma once

#include "persimmonrail/proxy/slot_queue.h"
#include "persimmonrail/proxy/upstream_picker.h"

#include <functional>
#include <memory>
#include <variant>

namespace persimmonrail {

// Permission to use one slot of the upstream. The destructor releases the slot.
class slot_permit
{
public:
    virtual ~slot_permit() = default;
    // Marks the time from the start of the request to the release as representative of its route,
    // so that it counts in the mean service time.
    virtual void markRepresentative() = 0;
    // Marks the request as one that does not count at the upstream: it was not sent, or the
    // upstream rejected it as one for another upstream.
    virtual void markNotCounted() = 0;
};

using slot_result = std::variant<std::unique_ptr<slot_permit>, slot_queue::rejection>;

// Blocks request threads until slot_queue starts their requests. Thread safe; permits may outlive
// the object.
class blocking_slot_queue
{
public:
    explicit blocking_slot_queue(const slot_queue_options &options = {});
    ~blocking_slot_queue();

    void setSlots(int slots);
    // As slot_queue::recordWorkFactor().
    void recordWorkFactor(double factor, steady_time now);
    // Waits until the request may start. Returns a rejection if the queue does not accept the
    // request, or if its deadline or the time for which the queue lets it wait passes first.
    slot_result acquire(const slot_request &request, steady_time now);
    // Sets the time at which all requests that still wait are rejected, because the process ends
    // soon afterwards.
    void stopAt(steady_time end);
    // Changes the limit on the starts at a cold upstream, and starts the requests that may start
    // then. `change` must not block.
    void changeColdLimit(const std::function<void(cold_rate_limit &limit)> &change,
                         steady_time now);
    // Returns a copy of the limit.
    cold_rate_limit coldLimit() const;
    // Returns how many requests the limit has delayed so far.
    uint64_t delayedCount() const;
    // Returns a copy of the queue.
    slot_queue snapshot() const;
    // Return the values of return_schedule::announcedCount() and due().
    uint64_t returnsAnnounced() const;
    int returnsDue(steady_time now) const;
    // Returns the mean service time of a request at the upstream.
    std::chrono::microseconds meanServiceTime() const;
    // Returns the current state of the queue for other daemons. The quotient of the limit and the
    // mean service time is the rate that the upstream permits, so a cold upstream states a longer
    // service time.
    queue_report report() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace persimmonrail
