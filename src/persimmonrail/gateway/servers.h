#pragma once

#include "persimmonrail/gateway/request_router.h"
#include "persimmonrail/http/http_server.h"

#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// HTTP server on the caller port. Serves any method on /<service>/<path>. Thread safe.
class caller_server
{
public:
    // Starts the server. `router` must outlive it. Errors: Unavailable if the address can't be
    // bound.
    static absl::StatusOr<std::unique_ptr<caller_server>> listen(const http_server_options &options,
                                                                 request_router &router);
    const std::string &address() const { return m_server->address(); }
    http_server &server() { return *m_server; }

private:
    std::unique_ptr<http_server> m_server;
};

// HTTP server on the peer port. Serves requests forwarded by other daemons, and their queries under
// inFlightPathPrefix. Thread safe.
class peer_server
{
public:
    // Starts the server. `router` must outlive it. Errors: Unavailable if the address can't be
    // bound.
    static absl::StatusOr<std::unique_ptr<peer_server>> listen(const http_server_options &options,
                                                               request_router &router);
    const std::string &address() const { return m_server->address(); }
    http_server &server() { return *m_server; }

private:
    std::unique_ptr<http_server> m_server;
};

// Functions that supply the resources of the admin port. They must be thread safe.
struct admin_hooks
{
    // Handles an announcement of the upstream (POST /v1/announce). An error status is sent as an
    // HTTP 409 response. Required.
    std::function<absl::Status(const upstream_announcement &announcement)> announce;
    // Returns the text of /metrics. Required.
    std::function<std::string()> renderMetrics;
    // Returns the reason why the daemon is not ready, or an empty text if it is ready. Optional:
    // the daemon always counts as ready without it.
    std::function<std::string()> notReadyReason;
    // Returns the JSON text of /v1/explain?service=&key=. Optional.
    std::function<std::string(const std::string &service, const std::string &key)> explain;
    // Returns the JSON text of /v1/state. Optional.
    std::function<std::string()> state;
};

// HTTP server on the admin port. Serves /v1/announce, /metrics, /healthz, /readyz, /v1/explain and
// /v1/state. Thread safe.
class admin_server
{
public:
    // Starts the server. Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<admin_server>> listen(const http_server_options &options,
                                                                admin_hooks hooks);
    const std::string &address() const { return m_server->address(); }

private:
    std::unique_ptr<http_server> m_server;
};

} // namespace persimmonrail
