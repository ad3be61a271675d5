#pragma once

#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/peer/control_channel.h"

#include <memory>
#include <string>

namespace persimmonrail {

// Sends and receives control messages on behalf of the control thread: the handler of requests from
// peers and the completions of requests to peers both run on the control thread.
//
// send() and the accessors are thread safe.
class control_messenger
{
public:
    using responder = control_channel::responder;
    using request_handler = std::function<void(const wire::Request &request,
                                               const responder &respond, steady_time now)>;
    using completion = std::function<void(absl::StatusOr<wire::Reply> reply, steady_time now)>;

    // Listens on `address` and passes each request of a peer to `handler`. Replies carry `self` as
    // their sender. `loop` must outlive the messenger.
    //
    // Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<control_messenger>> listen(const std::string &address,
                                                                     const instance_id &self,
                                                                     control_loop &loop,
                                                                     request_handler handler);

    // Sets the sender of the request and sends the request to `address`. `done` receives the reply,
    // or the error if no reply arrives within `timeout`.
    void send(const std::string &address, wire::Request request, milliseconds timeout,
              completion done);

    // Address that the messenger listens on, with the actual port.
    const std::string &address() const { return m_channel->address(); }
    const control_traffic &traffic() const { return m_channel->traffic(); }

private:
    control_messenger(instance_id self, control_loop &loop);

    instance_id m_self;
    control_loop &m_loop;
    std::unique_ptr<control_channel> m_channel;
};

// Convert between an instance id and its protobuf message.
wire::InstanceId toWire(const instance_id &id);
instance_id fromWire(const wire::InstanceId &id);

} // namespace persimmonrail
