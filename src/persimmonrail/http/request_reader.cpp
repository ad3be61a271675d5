#include "persimmonrail/http/request_reader.h"

namespace persimmonrail {

request_reader::request_reader(milliseconds idleTimeout, http_server::handler handler,
                               http_server::error_handler onError)
    : m_idleTimeout(idleTimeout)
    , m_handler(std::move(handler))
    , m_onError(std::move(onError))
{ }

received_request request_reader::read(http_stream &stream) const
{
    using kind = received_request::kind;
    received_request received;
    std::string head;
    io_status status = stream.readHead(head, std::chrono::steady_clock::now() + m_idleTimeout);
    if (status == io_status::TooLarge) {
        return {kind::Rejected, {}, {}, 431, "header-too-large"};
    }
    if (status != io_status::Ok) {
        return received;
    }
    status = parseRequest(head, received.message);
    if (status == io_status::Ok) {
        status = requestFraming(received.message, received.framing);
    }
    if (status != io_status::Ok) {
        return {kind::Rejected, {}, {}, 400, "malformed-request"};
    }
    if (received.message.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1) {
        // HTTP/1.0 has no chunked framing, so its clients can't detect a truncated response.
        return {kind::Rejected, {}, {}, 505, "http-version-not-supported"};
    }
    received.type = kind::Valid;
    return received;
}

bool request_reader::serve(http_stream &stream, const received_request &received) const
{
    if (received.type == received_request::kind::Rejected) {
        rejectRequest(stream, received.rejectStatus, received.rejectReason);
    }
    if (received.type != received_request::kind::Valid) {
        return false;
    }
    server_exchange exchange(stream, received.message, received.framing, m_idleTimeout);
    m_handler(exchange);
    return exchange.canReuseConnection();
}

bool request_reader::serveBesideOthers(http_stream &stream, const received_request &received,
                                       exchange_hooks hooks) const
{
    server_exchange exchange(stream, received.message, received.framing, m_idleTimeout,
                             std::move(hooks));
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
