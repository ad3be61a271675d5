#include "persimmonrail/peer/control_channel.h"

#include "persimmonrail/peer/reply_server.h"
#include "persimmonrail/peer/request_client.h"

#include <google/protobuf/stubs/logging.h>

namespace persimmonrail {

class control_channel::state
{
public:
    control_traffic traffic;
    request_client client{traffic};
    std::unique_ptr<reply_server> server;
};

absl::StatusOr<std::unique_ptr<control_channel>> control_channel::listen(const std::string &address,
                                                                         request_handler handler)
{
    // The channel counts malformed messages and replies to them. Without this call, protobuf would
    // print a line for each of them to the standard error stream, without any limit.
    google::protobuf::SetLogHandler(nullptr);
    auto channel = std::make_unique<state>();
    auto server = reply_server::listen(address, std::move(handler), channel->traffic);
    if (!server.ok()) {
        return server.status();
    }
    channel->server = *std::move(server);
    return std::unique_ptr<control_channel>(new control_channel(std::move(channel)));
}

control_channel::control_channel(std::unique_ptr<state> channel)
    : m_state(std::move(channel))
{ }

control_channel::~control_channel() = default;

void control_channel::send(const std::string &address, const wire::Request &request,
                           milliseconds timeout, completion callback)
{
    m_state->client.send(address, request, timeout, std::move(callback));
}

const std::string &control_channel::address() const
{
    return m_state->server->address();
}

const control_traffic &control_channel::traffic() const
{
    return m_state->traffic;
}

} // namespace persimmonrail
