#include "persimmonrail/daemon/control_messenger.h"

namespace persimmonrail {

wire::InstanceId toWire(const instance_id &id)
{
    wire::InstanceId wireId;
    wireId.set_name(id.name);
    wireId.set_incarnation(id.incarnation);
    return wireId;
}

instance_id fromWire(const wire::InstanceId &id)
{
    return {id.name(), id.incarnation()};
}

control_messenger::control_messenger(instance_id self, control_loop &loop)
    : m_self(std::move(self))
    , m_loop(loop)
{ }

absl::StatusOr<std::unique_ptr<control_messenger>>
control_messenger::listen(const std::string &address, const instance_id &self, control_loop &loop,
                          request_handler handler)
{
    std::unique_ptr<control_messenger> messenger(new control_messenger(self, loop));
    const auto onRequest = [&loop, self, handler = std::move(handler)](wire::Request request,
                                                                       const responder &respond) {
        const responder respondWithSender = [self, respond](const wire::Reply &reply) {
            wire::Reply replyWithSender = reply;
            *replyWithSender.mutable_sender() = toWire(self);
            respond(replyWithSender);
        };
        loop.post([handler, respondWithSender, request = std::move(request)](steady_time now) {
            handler(request, respondWithSender, now);
        });
    };
    auto channel = control_channel::listen(address, onRequest);
    if (!channel.ok()) {
        return channel.status();
    }
    messenger->m_channel = *std::move(channel);
    return messenger;
}

void control_messenger::send(const std::string &address, wire::Request request,
                             milliseconds timeout, completion done)
{
    *request.mutable_sender() = toWire(m_self);
    m_channel->send(
        address, request, timeout,
        [&loop = m_loop, done = std::move(done)](absl::StatusOr<wire::Reply> reply) {
            loop.post([done, reply = std::move(reply)](steady_time now) { done(reply, now); });
        });
}

} // namespace persimmonrail
