#include "persimmonrail/http/request_reader.h"

namespace persimmonrail {

request_reader::request_reader(milliseconds idleTimeout, http_server::handler handler,
                               http_server::error_handler onError)
    : m_idleTimeout(idleTimeout)
    , m_handler(std::move(handler))
    , m_onError(std::move(onError))
{ }

bool request_reader::serveNext(http_stream &stream) const
{
    std::string head;
    io_status status = stream.readHead(head, std::chrono::steady_clock::now() + m_idleTimeout);
    if (status == io_status::TooLarge) {
        rejectRequest(stream, 431, "header-too-large");
    }
    if (status != io_status::Ok) {
        return false;
    }
    Poco::Net::HTTPRequest request;
    body_framing framing;
    status = parseRequest(head, request);
    if (status == io_status::Ok) {
        status = requestFraming(request, framing);
    }
    if (status != io_status::Ok) {
        rejectRequest(stream, 400, "malformed-request");
        return false;
    }
    if (request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1) {
        // HTTP/1.0 has no chunked framing, so its clients can't detect a truncated response.
        rejectRequest(stream, 505, "http-version-not-supported");
        return false;
    }
    server_exchange exchange(stream, request, framing, m_idleTimeout);
    m_handler(exchange);
    return exchange.canReuseConnection();
}

void request_reader::rejectRequest(http_stream &stream, int status, const std::string &reason) const
{
    server_exchange exchange(stream, Poco::Net::HTTPRequest(), {}, m_idleTimeout);
    exchange.closeAfterResponse();
    if (m_onError) {
        m_onError(exchange, status, reason);
    } else {
        exchange.respond(status, reason + "\n", "text/plain");
    }
}

} // namespace persimmonrail
