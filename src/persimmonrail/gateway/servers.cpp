#include "persimmonrail/gateway/servers.h"

#include <Poco/Exception.h>
#include <Poco/JSON/Object.h>
#include <Poco/URI.h>

#include <sstream>

namespace persimmonrail {
namespace {

constexpr size_t maxAnnouncementBytes = 16 * 1024;
constexpr milliseconds announcementTimeout{2000};
constexpr char jsonType[] = "application/json";
constexpr char metricsType[] = "text/plain; version=0.0.4";

std::string errorJson(const std::string &message)
{
    Poco::JSON::Object object;
    object.set("error", message);
    std::ostringstream text;
    object.stringify(text);
    return text.str();
}

void serveAnnouncement(server_exchange &exchange, const admin_hooks &hooks)
{
    std::string body;
    const io_status status = exchange.readAll(
        body, maxAnnouncementBytes, std::chrono::steady_clock::now() + announcementTimeout);
    if (status != io_status::Ok) {
        exchange.closeAfterResponse();
        exchange.respond(status == io_status::TooLarge ? 413 : 400,
                         errorJson("body " + std::string(toString(status))), jsonType);
        return;
    }
    const auto announcement = parseAnnouncement(body);
    if (!announcement.ok()) {
        exchange.respond(400, errorJson(std::string(announcement.status().message())), jsonType);
        return;
    }
    if (const absl::Status announced = hooks.announce(*announcement); !announced.ok()) {
        exchange.respond(409, errorJson(std::string(announced.message())), jsonType);
        return;
    }
    exchange.respond(200, "{}", jsonType);
}

void serveReady(server_exchange &exchange, const admin_hooks &hooks)
{
    const std::string reason = hooks.notReadyReason ? hooks.notReadyReason() : std::string();
    exchange.respond(reason.empty() ? 200 : 503, reason.empty() ? "ready\n" : reason + "\n",
                     "text/plain");
}

void serveExplain(server_exchange &exchange, const Poco::URI &uri, const admin_hooks &hooks)
{
    std::string service;
    std::string key;
    for (const auto &[name, value] : uri.getQueryParameters()) {
        if (name == "service") {
            service = value;
        } else if (name == "key") {
            key = value;
        }
    }
    if (service.empty() || key.empty()) {
        exchange.respond(400, errorJson("parameters service and key are required"), jsonType);
        return;
    }
    exchange.respond(200, hooks.explain(service, key), jsonType);
}

void serveAdmin(server_exchange &exchange, const admin_hooks &hooks)
{
    Poco::URI uri;
    try {
        uri = exchange.request().getURI();
    } catch (const Poco::Exception &) {
        exchange.respond(400, errorJson("invalid URI"), jsonType);
        return;
    }
    const std::string &path = uri.getPath();
    const std::string &method = exchange.request().getMethod();
    const bool isRead = method == "GET" || method == "HEAD";
    if (path == "/v1/announce" && method == "POST") {
        serveAnnouncement(exchange, hooks);
    } else if (path == "/metrics" && isRead) {
        exchange.respond(200, hooks.renderMetrics(), metricsType);
    } else if (path == "/healthz" && isRead) {
        exchange.respond(200, "ok\n", "text/plain");
    } else if (path == "/readyz" && isRead) {
        serveReady(exchange, hooks);
    } else if (path == "/v1/explain" && isRead && hooks.explain) {
        serveExplain(exchange, uri, hooks);
    } else if (path == "/v1/state" && isRead && hooks.state) {
        exchange.respond(200, hooks.state(), jsonType);
    } else {
        exchange.respond(404, errorJson("no such resource or method"), jsonType);
    }
}

void servePeer(server_exchange &exchange, request_router &router)
{
    const std::string &uri = exchange.request().getURI();
    if (!uri.starts_with(inFlightPathPrefix)) {
        router.servePeer(exchange);
        return;
    }
    const bool isInFlight = router.isInFlight(uri.substr(sizeof(inFlightPathPrefix) - 1));
    exchange.respond(isInFlight ? 200 : 404, "{}", jsonType);
}

http_server::error_handler errorHandlerFor(request_router &router)
{
    return [&router](server_exchange &exchange, int status, const std::string &reason) {
        router.respondToInvalidRequest(exchange, status, reason);
    };
}

} // namespace

absl::StatusOr<std::unique_ptr<caller_server>>
caller_server::listen(const http_server_options &options, request_router &router)
{
    auto server = http_server::listen(
        options, [&router](server_exchange &exchange) { router.serveCaller(exchange); },
        errorHandlerFor(router));
    if (!server.ok()) {
        return server.status();
    }
    auto result = std::make_unique<caller_server>();
    result->m_server = *std::move(server);
    return result;
}

absl::StatusOr<std::unique_ptr<peer_server>> peer_server::listen(const http_server_options &options,
                                                                 request_router &router)
{
    auto server = http_server::listen(
        options, [&router](server_exchange &exchange) { servePeer(exchange, router); },
        errorHandlerFor(router));
    if (!server.ok()) {
        return server.status();
    }
    auto result = std::make_unique<peer_server>();
    result->m_server = *std::move(server);
    return result;
}

absl::StatusOr<std::unique_ptr<admin_server>>
admin_server::listen(const http_server_options &options, admin_hooks hooks)
{
    auto server =
        http_server::listen(options, [hooks = std::move(hooks)](server_exchange &exchange) {
            serveAdmin(exchange, hooks);
        });
    if (!server.ok()) {
        return server.status();
    }
    auto result = std::make_unique<admin_server>();
    result->m_server = *std::move(server);
    return result;
}

} // namespace persimmonrail
