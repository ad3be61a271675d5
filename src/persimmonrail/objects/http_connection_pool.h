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

struct http_call
{
    std::string method;
    // Encoded path and query.
    std::string target;
    std::string body;
    // Bounds each wait for data of the answer, and the transfer of its body as a whole.
    milliseconds receiveTimeout{0};
    // Whether the call may be sent once more on a new connection if a reused one turns out closed.
    bool isRepeatable = false;
};

struct http_response
{
    int status = 0;
    std::string body;
};

// Exchanges calls with one HTTP server over connections that are kept alive. Thread safe; each
// exchange has a connection for itself.
class http_connection_pool
{
public:
    http_connection_pool(const Poco::Net::SocketAddress &address, milliseconds timeout);
    ~http_connection_pool();

    // Errors: Unavailable if no connection was made, so that nothing was sent; Unknown if the
    // exchange broke after that; DataLoss if the answer is no HTTP or exceeds the size limit.
    absl::StatusOr<http_response> exchange(const http_call &call);

private:
    class session;
    struct lease
    {
        std::unique_ptr<session> connection;
        bool isReused = false;
    };

    absl::StatusOr<lease> acquire(bool mustBeNew);
    void release(std::unique_ptr<session> connection);
    absl::StatusOr<http_response> attempt(const http_call &call);
    // Reports a timeout as DeadlineExceeded.
    absl::StatusOr<http_response> send(const http_call &call, std::unique_ptr<session> connection);

    const Poco::Net::SocketAddress m_address;
    const milliseconds m_timeout;
    std::mutex m_mutex;
    std::vector<std::unique_ptr<session>> m_idle;
};

} // namespace persimmonrail
