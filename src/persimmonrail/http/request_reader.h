#pragma once

#include "persimmonrail/http/http_server.h"

#include <string>

namespace persimmonrail {

// A request head that was read from a connection.
struct received_request
{
    enum class kind {
        // The handler serves the request.
        Valid,
        // The request gets a response with `rejectStatus`, after which the connection closes.
        Rejected,
        // No request arrived.
        None,
    };
    kind type = kind::None;
    Poco::Net::HTTPRequest message;
    body_framing framing;
    int rejectStatus = 0;
    std::string rejectReason;
};

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
    bool serveNext(http_stream &stream) const { return serve(stream, read(stream)); }
    // The two steps of serveNext().
    received_request read(http_stream &stream) const;
    bool serve(http_stream &stream, const received_request &received) const;
    // Runs the handler for a valid request without a body whose response `hooks` write. `stream`
    // watches the connection.
    bool serveBesideOthers(http_stream &stream, const received_request &received,
                           exchange_hooks hooks) const;

private:
    // Responds to an invalid request.
    void rejectRequest(http_stream &stream, int status, const std::string &reason) const;

    const milliseconds m_idleTimeout;
    const http_server::handler m_handler;
    const http_server::error_handler m_onError;
};

} // namespace persimmonrail
