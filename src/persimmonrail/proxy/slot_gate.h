#pragma once

#include "persimmonrail/proxy/slot_queue.h"
#include "persimmonrail/proxy/upstream_picker.h"

#include <functional>
#include <memory>
#include <variant>

namespace persimmonrail {

// Permission to use one slot of the upstream, given back on destruction.
class slot_ticket
{
public:
    virtual ~slot_ticket() = default;
    // Tells that the time of the request says something about its kind.
    virtual void noteTypical() = 0;
};

using slot_result = std::variant<std::unique_ptr<slot_ticket>, slot_queue::refusal>;

// Blocking front of slot_queue for traffic threads. Thread safe; tickets may outlive the object.
class slot_gate
{
public:
    explicit slot_gate(slot_queue_options options = {});
    ~slot_gate();

    void setSlots(int slots);
    // Waits until the request may start, is refused, or its deadline passes.
    slot_result enter(const slot_request &request, steady_time now);
    queue_report report() const;

private:
    class state;
    std::shared_ptr<state> m_state;
};

} // namespace persimmonrail
