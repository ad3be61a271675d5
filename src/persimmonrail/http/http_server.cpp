#include "persimmonrail/http/http_server_state.h"

#include <Poco/Exception.h>

namespace persimmonrail {

absl::StatusOr<std::unique_ptr<http_server>>
http_server::listen(const http_server_options &options, handler handler, error_handler onError)
{
    auto serverState = std::make_unique<state>(options, std::move(handler), std::move(onError));
    try {
        serverState->start();
    } catch (const Poco::Exception &error) {
        return absl::UnavailableError("cannot listen on " + options.address + ": "
                                      + error.displayText());
    }
    return std::unique_ptr<http_server>(new http_server(std::move(serverState)));
}

http_server::http_server(std::unique_ptr<state> state)
    : m_state(std::move(state))
{ }

http_server::~http_server() = default;

const std::string &http_server::address() const
{
    return m_state->address;
}

int http_server::connectionCount() const
{
    return m_state->connectionCount();
}

uint64_t http_server::rejectedConnections() const
{
    return m_state->rejected;
}

uint64_t http_server::pipelinedRequests() const
{
    return m_state->pipelined;
}

size_t http_server::heldResponseBytes() const
{
    return m_state->held.used();
}

void http_server::stopListening()
{
    m_state->stopListening();
}

bool http_server::waitUntilClosed(steady_time until)
{
    return m_state->waitUntilClosed(until);
}

} // namespace persimmonrail
