#pragma once

#include "persimmonrail/base/clock.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/SocketAddress.h>

#include <absl/status/statusor.h>

#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace persimmonrail {

// A request that http_connection_pool sends.
struct http_request
{
    std::string method;
    // Path and query, percent-encoded.
    std::string target;
    std::string body;
    // Bounds each wait for data of the response, and the transfer of the response body as a whole.
    milliseconds receiveTimeout{0};
    // Whether the pool may send the request once more on a new connection if a reused connection
    // breaks before the response is complete.
    bool isRepeatable = false;
};

// A complete response to an http_request.
struct http_response
{
    int status = 0;
    std::string body;
};

// Sends requests to one HTTP server over persistent connections. Thread safe: concurrent exchanges
// use separate connections.
class http_connection_pool
{
public:
    // `timeout` bounds connecting and each wait for the socket; http_request::receiveTimeout
    // replaces this bound for receiving.
    http_connection_pool(const Poco::Net::SocketAddress &address, milliseconds timeout);
    ~http_connection_pool();

    // Sends `request` and returns the complete response, whatever its HTTP status. Errors:
    // Unavailable if no connection could be opened, so that nothing was sent; Unknown if the
    // exchange failed or timed out after a connection was open; DataLoss if the response is not
    // valid HTTP or exceeds the size limit.
    absl::StatusOr<http_response> exchange(const http_request &request);

private:
    class session;
    struct pooled_connection
    {
        std::unique_ptr<session> connection;
        bool isReused = false;
    };

    // Returns an idle connection, or opens a new one if none is usable or `mustBeNew` is set.
    // Errors: Unavailable.
    absl::StatusOr<pooled_connection> acquire(bool mustBeNew);
    // Makes the connection available for reuse, or closes it if enough connections are idle.
    void release(std::unique_ptr<session> connection);
    // Sends a repeatable request a second time if a reused connection breaks.
    absl::StatusOr<http_response> exchangeWithRetry(const http_request &request);
    // Sends the request once. Reports a timeout as DeadlineExceeded, which exchange() maps to
    // Unknown.
    absl::StatusOr<http_response> send(const http_request &request,
                                       std::unique_ptr<session> connection);

    const Poco::Net::SocketAddress m_address;
    const milliseconds m_timeout;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<session>> m_idle;
};

} // namespace persimmonrail
