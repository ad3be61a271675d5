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
    // Malformed messages are counted and answered; protobuf would print a line for each, without
    // bound, to the standard error stream.
    google::protobuf::SetLogHandler(nullptr);
    auto created = std::make_unique<state>();
    auto server = reply_server::listen(address, std::move(handler), created->traffic);
    if (!server.ok()) {
        return server.status();
    }
    created->server = *std::move(server);
    return std::unique_ptr<control_channel>(new control_channel(std::move(created)));
}

control_channel::control_channel(std::unique_ptr<state> state)
    : m_state(std::move(state))
{ }

control_channel::~control_channel() = default;

void control_channel::send(const std::string &address, const wire::Request &request,
                           milliseconds timeout, completion done)
{
    m_state->client.send(address, request, timeout, std::move(done));
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
