#pragma once

#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/peer/control_channel.h"

#include <memory>
#include <string>

namespace persimmonrail {

// Connects the control channel to the control thread: requests of peers are handled there, and the
// completions of own requests run there.
class control_messenger
{
public:
    using responder = control_channel::responder;
    using request_handler = std::function<void(const wire::Request &request,
                                               const responder &respond, steady_time now)>;
    using completion = std::function<void(absl::StatusOr<wire::Reply> reply, steady_time now)>;

    // `loop` must outlive the messenger. Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<control_messenger>> listen(const std::string &address,
                                                                     const instance_id &self,
                                                                     control_loop &loop,
                                                                     request_handler handler);

    // Fills in the sender and sends the request to `address`.
    void send(const std::string &address, wire::Request request, milliseconds timeout,
              completion done);

    const std::string &address() const { return m_channel->address(); }
    const control_traffic &traffic() const { return m_channel->traffic(); }

private:
    control_messenger(instance_id self, control_loop &loop);

    instance_id m_self;
    control_loop &m_loop;
    std::unique_ptr<control_channel> m_channel;
};

wire::InstanceId toWire(const instance_id &id);
instance_id fromWire(const wire::InstanceId &id);

} // namespace persimmonrail
