#pragma once

#include "persimmonrail/base/clock.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonrail {

// Bodies are passed on in pieces of at most this size, which bounds the memory of an exchange.
inline constexpr size_t bodyPieceBytes = 64 * 1024;
// Longest request or answer head that is accepted.
inline constexpr size_t maxHeadBytes = 32 * 1024;

enum class io_status {
    Ok,
    // The other side closed the connection or reset it.
    Closed,
    TimedOut,
    // The bytes violate HTTP/1.1 framing.
    Malformed,
    // The head exceeds maxHeadBytes.
    TooLarge,
    // The watched connection was closed by its peer.
    Cancelled,
};

std::string_view toString(io_status status);

// How the end of a body is recognised.
struct body_framing
{
    enum class kind { None, Length, Chunked, UntilClose };
    kind type = kind::None;
    uint64_t length = 0;
};

// Buffered, non-blocking reads and writes on one HTTP/1.1 connection. Poco's own HTTP streams are
// not used for bodies, because its chunked stream reports a broken connection as a regular end.
// Not thread safe, except for shutdown().
class http_stream
{
public:
    explicit http_stream(const Poco::Net::StreamSocket &socket);
    http_stream(const http_stream &) = delete;
    http_stream &operator=(const http_stream &) = delete;
    ~http_stream();

    // While this stream waits, the peer of `other` is watched as well: if it closes its connection,
    // the wait ends with Cancelled. Null stops watching.
    void watch(http_stream *other);

    // Reads up to and including the blank line that ends a head.
    io_status readHead(std::string &head, steady_time until);
    // Reads up to `capacity` bytes, at least one unless the status is not Ok.
    io_status readSome(char *buffer, size_t capacity, size_t &count, steady_time until);
    // Reads one line without its line ending; used by the chunked framing.
    io_status readLine(std::string &line, size_t maxBytes, steady_time until);
    // Writes all bytes. If `stopOnInput` is set, returns Ok early once the peer has sent bytes, so
    // that an early answer is noticed; `written` tells how many bytes were taken.
    io_status write(std::string_view bytes, size_t &written, steady_time until,
                    bool stopOnInput = false);
    // Waits until `until` or until the peer closes the connection; true in the latter case.
    bool waitClosed(steady_time until);

    // Whether the peer ended its side of the connection in order, not by a reset.
    bool endedInOrder() const { return m_endedInOrder; }
    // Whether bytes can be read, or the connection has been closed by its peer.
    bool hasInput();
    // Ends both directions; wakes a thread that waits in this stream. May be called by any thread.
    void shutdown();
    // Ends the sending direction. The input is then to be discarded until the peer closes: closing
    // with unread input would reset the connection, and the peer could lose an answer sent before.
    void endSending();
    // Discards the input that has arrived, in part if there is much. Closed once the peer has ended
    // its side; Ok otherwise.
    io_status discardInput();
    int descriptor() const { return m_descriptor; }
    // Gives back the memory of the buffer if nothing in it is unread; for idle connections, of
    // which there may be hundreds.
    void releaseBuffer();

private:
    io_status wait(short events, steady_time until);
    io_status fill(steady_time until);

    Poco::Net::StreamSocket m_socket;
    int m_descriptor;
    http_stream *m_watched = nullptr;
    bool m_endedInOrder = false;
    bool m_lastReadWasFull = false;
    std::string m_buffer;
    size_t m_position = 0;
};

// Reads one body and knows whether it was complete. Not thread safe.
class body_reader
{
public:
    body_reader(http_stream &stream, body_framing framing);

    // Replaces `piece` with the next bytes of the body; empty at its regular end. Closed means that
    // the connection ended before the body did.
    io_status read(std::string &piece, steady_time until);
    // Whether the whole body was read.
    bool isComplete() const { return m_complete; }
    const body_framing &framing() const { return m_framing; }

private:
    io_status readChunkHeader(steady_time until);
    io_status readTrailers(steady_time until);

    http_stream &m_stream;
    body_framing m_framing;
    // Bytes left in the body or in the current chunk.
    uint64_t m_left = 0;
    bool m_inChunk = false;
    bool m_complete = false;
};

// Frames pieces of a body for the given framing; an empty piece is never framed as the end.
std::string frameChunk(std::string_view piece);
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

// Parse heads into Poco's message classes. Errors: Malformed.
io_status parseRequest(const std::string &head, Poco::Net::HTTPRequest &request);
io_status parseResponse(const std::string &head, Poco::Net::HTTPResponse &response);
// Determine the framing of a body. Errors: Malformed for contradictory or repeated fields, and for
// requests that do not name exactly one host.
io_status requestFraming(const Poco::Net::HTTPRequest &request, body_framing &framing);
io_status responseFraming(const Poco::Net::HTTPResponse &response, const std::string &method,
                          body_framing &framing);
// Sets the framing fields of a message, replacing those it has.
void setFraming(Poco::Net::HTTPMessage &message, const body_framing &framing);
// Removes fields that concern one connection only (RFC 9110, section 7.6.1).
void removeConnectionFields(Poco::Net::HTTPMessage &message);

} // namespace persimmonrail
