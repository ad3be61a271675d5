#pragma once

#include "persimmonrail/gateway/request_router.h"
#include "persimmonrail/http/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// Caller port: ANY /<service>/<path>. Thread safe.
class caller_server
{
public:
    // Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<caller_server>> listen(const http_server_options &options,
                                                                 request_router &path);
    const std::string &address() const { return m_server->address(); }
    http_server &server() { return *m_server; }

private:
    std::unique_ptr<http_server> m_server;
};

// Port for requests forwarded by other daemons. Thread safe.
class peer_server
{
public:
    // Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<peer_server>> listen(const http_server_options &options,
                                                               request_router &path);
    const std::string &address() const { return m_server->address(); }
    http_server &server() { return *m_server; }

private:
    std::unique_ptr<http_server> m_server;
};

struct admin_hooks
{
    // Takes a post to /v1/announce; required.
    std::function<absl::Status(const upstream_announcement &announcement)> announce;
    // Text of /metrics; required.
    std::function<std::string()> metricsText;
    // Why the daemon is not ready; empty if it is.
    std::function<std::string()> notReadyReason;
    // JSON of /v1/explain?service=&key=.
    std::function<std::string(const std::string &service, const std::string &key)> explain;
    // JSON of /v1/state.
    std::function<std::string()> state;
};

// Admin port: /v1/announce, /metrics, /healthz, /readyz, /v1/explain and /v1/state. Thread safe.
class admin_server
{
public:
    // Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<admin_server>> listen(const http_server_options &options,
                                                                admin_hooks hooks);
    const std::string &address() const { return m_server->address(); }

private:
    std::unique_ptr<http_server> m_server;
};

} // namespace persimmonrail
