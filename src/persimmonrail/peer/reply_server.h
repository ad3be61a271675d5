#pragma once

#include "persimmonrail/peer/control_channel.h"

#include <nng/nng.h>

#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// Server side of a control channel: an nng reply socket with a fixed number of contexts, each of
// which handles one request at a time.
class reply_server
{
public:
    // Listens on `address` ("ip:port"; port 0 selects a free port). `traffic` must outlive the
    // server. Errors: Unavailable if the server cannot listen on the address.
    static absl::StatusOr<std::unique_ptr<reply_server>>
    listen(const std::string &address, control_channel::request_handler handler,
           control_traffic &traffic);

    reply_server(const reply_server &) = delete;
    reply_server &operator=(const reply_server &) = delete;
    // Replies are discarded if their responder is called after the destruction of the server.
    ~reply_server();

    // Returns the address that the server listens on, with the actual port.
    const std::string &address() const { return m_address; }

private:
    class context;

    reply_server(control_channel::request_handler handler, control_traffic &traffic);
    absl::Status open(const std::string &address);

    control_channel::request_handler m_handler;
    control_traffic &m_traffic;
    nng_socket m_socket = NNG_SOCKET_INITIALIZER;
    std::string m_address;
    std::vector<std::shared_ptr<context>> m_contexts;
};

} // namespace persimmonrail
