#include "persimmonrail/http/http_server.h"

#include <algorithm>
#include <sstream>

namespace persimmonrail {
namespace {

// Bounds the wait for an unread small body, which delays the response. A body that is sent together
// with its head arrives within a few round trips.
constexpr milliseconds bodyDiscardTimeout{200};

} // namespace

server_exchange::server_exchange(http_stream &stream, const Poco::Net::HTTPRequest &request,
                                 body_framing framing, milliseconds idleTimeout,
                                 exchange_hooks hooks)
    : m_stream(stream)
    , m_request(request)
    , m_reader(stream, framing)
    , m_idleTimeout(idleTimeout)
    , m_hooks(std::move(hooks))
    , m_keepAlive(keepsConnectionOpen(m_request))
{ }

io_status server_exchange::read(std::string &piece, steady_time until)
{
    if (m_shouldReplayBuffer) {
        m_shouldReplayBuffer = false;
        piece = m_bufferedBody;
        if (m_bufferedBody.size() > maxBodyPieceBytes) {
            m_canReplayBody = false;
            std::string().swap(m_bufferedBody);
        }
        if (!piece.empty()) {
            return io_status::Ok;
        }
    }
    const io_status status = readFromConnection(piece, until);
    if (status == io_status::Ok && m_canReplayBody) {
        if (m_bufferedBody.size() + piece.size() <= maxBodyPieceBytes) {
            m_bufferedBody += piece;
        } else {
            m_canReplayBody = false;
            std::string().swap(m_bufferedBody);
        }
    }
    return status;
}

io_status server_exchange::peek(size_t bytes, std::string_view &first, steady_time until)
{
    std::string piece;
    io_status status = io_status::Ok;
    while (status == io_status::Ok && m_bufferedBody.size() < bytes && !m_reader.isComplete()) {
        status = readFromConnection(piece, until);
        if (status == io_status::Ok) {
            m_bufferedBody += piece;
        }
    }
    m_shouldReplayBuffer = true;
    first = m_bufferedBody;
    return status;
}

io_status server_exchange::readFromConnection(std::string &piece, steady_time until)
{
    if (!m_hasSentContinue && !m_reader.isComplete()) {
        m_hasSentContinue = true;
        if (m_request.getExpectContinue() && !m_stream.hasInput()
            && !send("HTTP/1.1 100 Continue\r\n\r\n")) {
            return io_status::Closed;
        }
    }
    return m_reader.read(piece, std::min(until, std::chrono::steady_clock::now() + m_idleTimeout));
}

bool server_exchange::rewind()
{
    m_shouldReplayBuffer = m_canReplayBody;
    return m_canReplayBody;
}

io_status server_exchange::readAll(std::string &body, size_t maxBytes, steady_time until)
{
    body.clear();
    std::string piece;
    for (;;) {
        const io_status status = read(piece, until);
        if (status != io_status::Ok) {
            return status;
        }
        if (piece.empty()) {
            return io_status::Ok;
        }
        body += piece;
        if (body.size() > maxBytes) {
            return io_status::TooLarge;
        }
    }
}

bool server_exchange::send(std::string_view bytes)
{
    // The idle timeout applies to each write, not to the whole response.
    while (!bytes.empty()) {
        size_t written = 0;
        const io_status status = writeSome(bytes, written);
        bytes.remove_prefix(written);
        if (status != io_status::Ok && (status != io_status::TimedOut || written == 0)) {
            m_keepAlive = false;
            return false;
        }
    }
    return true;
}

io_status server_exchange::writeSome(std::string_view bytes, size_t &written)
{
    const steady_time idleEnd = std::chrono::steady_clock::now() + m_idleTimeout;
    const steady_time end = m_deadline && !m_isResponseReady ? *m_deadline : steady_time::max();
    return m_hooks.write ? m_hooks.write(bytes, written, {m_deadline.value_or(idleEnd), end})
                         : m_stream.write(bytes, written, std::min(idleEnd, end));
}

void server_exchange::closeAfterResponse()
{
    m_keepAlive = false;
    if (m_hooks.onCloseAfterResponse) {
        m_hooks.onCloseAfterResponse();
    }
}

bool server_exchange::respond(Poco::Net::HTTPResponse &head, std::string_view body)
{
    markResponseReady();
    return beginResponse(head, {body_framing::kind::Length, body.size()}) && writeResponse(body)
        && endResponse();
}

bool server_exchange::respond(int status, std::string_view body, const std::string &contentType)
{
    Poco::Net::HTTPResponse head(static_cast<Poco::Net::HTTPResponse::HTTPStatus>(status));
    head.setContentType(contentType);
    return respond(head, body);
}

bool server_exchange::beginResponse(Poco::Net::HTTPResponse &head, const body_framing &framing)
{
    m_hasResponseStarted = true;
    // An unread small body is discarded, so that the connection can be reused.
    if (!m_reader.isComplete() && m_reader.framing().type == body_framing::kind::Length
        && m_reader.framing().length <= maxBodyPieceBytes && !m_request.getExpectContinue()) {
        std::string piece;
        const steady_time until = std::chrono::steady_clock::now() + bodyDiscardTimeout;
        while (!m_reader.isComplete() && m_reader.read(piece, until) == io_status::Ok) { }
    }
    m_keepAlive = m_keepAlive && m_reader.isComplete();
    if (m_hooks.closesAfterResponse && m_hooks.closesAfterResponse()) {
        m_keepAlive = false;
    }
    removeConnectionFields(head);
    head.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
    head.setKeepAlive(m_keepAlive);
    const int status = head.getStatus();
    m_responseFraming = framing;
    if (m_request.getMethod() == Poco::Net::HTTPRequest::HTTP_HEAD || status == 204
        || status == 304) {
        // The response has no body. Its fields describe the body of the response to a GET.
        m_responseFraming = {};
    } else {
        setFraming(head, framing);
    }
    std::ostringstream text;
    head.write(text);
    return send(text.str());
}

bool server_exchange::writeResponse(std::string_view piece)
{
    if (piece.empty() || m_responseFraming.type == body_framing::kind::None) {
        return true;
    }
    m_sentBodyBytes += piece.size();
    m_isResponseReady = m_isResponseReady
        || (m_responseFraming.type == body_framing::kind::Length
            && m_sentBodyBytes >= m_responseFraming.length);
    return m_responseFraming.type == body_framing::kind::Chunked ? send(frameChunk(piece))
                                                                 : send(piece);
}

bool server_exchange::endResponse()
{
    markResponseReady();
    if (m_responseFraming.type == body_framing::kind::Chunked && !send(lastChunk)) {
        return false;
    }
    m_hasResponseEnded = m_responseFraming.type != body_framing::kind::Length
        || m_sentBodyBytes == m_responseFraming.length;
    return m_hasResponseEnded;
}

bool server_exchange::canReuseConnection()
{
    return m_hasResponseEnded && m_keepAlive && m_reader.isComplete();
}

} // namespace persimmonrail
