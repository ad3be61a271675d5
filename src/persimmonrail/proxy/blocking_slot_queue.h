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
};

using slot_result = std::variant<std::unique_ptr<slot_permit>, slot_queue::rejection>;

// Blocks request threads until slot_queue starts their requests. Thread safe; permits may outlive
// the object.
class blocking_slot_queue
{
public:
    explicit blocking_slot_queue(slot_queue_options options = {});
    ~blocking_slot_queue();

    void setSlots(int slots);
    // As slot_queue::recordWorkFactor().
    void recordWorkFactor(double factor, steady_time now);
    // Waits until the request may start. Returns a rejection if the queue does not accept the
    // request or its deadline passes first.
    slot_result acquire(const slot_request &request, steady_time now);
    // Sets the time at which all requests that still wait are rejected, because the process ends
    // soon afterwards.
    void stopAt(steady_time end);
    // Returns the current state of the queue.
    queue_report report() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace persimmonrail
