#pragma once

#include "persimmonrail/http/http_server.h"

#include <string>

namespace persimmonrail {

// Reads the requests of a server's connections and passes them to its handler. Thread safe, but
// only one thread at a time may serve the same connection.
class request_reader
{
public:
    // `onError` responds to invalid requests. If it is empty, they get the reason as plain text.
    request_reader(milliseconds idleTimeout, http_server::handler handler,
                   http_server::error_handler onError);

    // Reads one request, runs the handler and returns once it has responded. Returns false if the
    // connection can't carry another request. Passes on the exceptions of the handler.
    bool serveNext(http_stream &stream) const;

private:
    // Responds to an invalid request.
    void rejectRequest(http_stream &stream, int status, const std::string &reason) const;

    const milliseconds m_idleTimeout;
    const http_server::handler m_handler;
    const http_server::error_handler m_onError;
};

} // namespace persimmonrail
