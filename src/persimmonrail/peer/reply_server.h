#pragma once

#include "persimmonrail/peer/control_channel.h"

#include <nng/nng.h>

#include <memory>
#include <string>
#include <vector>

namespace persimmonrail {

// Answering side of a control channel: an nng reply socket with a fixed number of contexts, each of
// which handles one request at a time.
class reply_server
{
public:
    // Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<reply_server>>
    listen(const std::string &address, control_channel::request_handler handler,
           control_traffic &traffic);

    reply_server(const reply_server &) = delete;
    reply_server &operator=(const reply_server &) = delete;
    // Replies that are given afterwards are dropped.
    ~reply_server();

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
