#pragma once

#include "persimmonrail/base/clock.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/StreamSocket.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace persimmonrail {

// Maximum size of the pieces in which bodies are forwarded, which bounds the memory of an exchange.
inline constexpr size_t maxBodyPieceBytes = 64 * 1024;
// Maximum size of a request or response head.
inline constexpr size_t maxHeadBytes = 32 * 1024;
// Maximum number of bytes that a connection reads after the end of a read's time, without waiting:
// a short response that has arrived by then is still delivered.
inline constexpr size_t maxLateBytes = 64 * 1024;

// Result of an operation on a connection.
enum class io_status {
    Ok,
    // The peer closed or reset the connection.
    Closed,
    TimedOut,
    // The received bytes violate HTTP/1.1.
    Malformed,
    // A head exceeds maxHeadBytes, or a body exceeds the limit of the reader.
    TooLarge,
    // The peer of the stream given to http_stream::watchForClose() closed its connection.
    Cancelled,
};

// Returns the fixed name of a status for error messages.
std::string_view toString(io_status status);

// How the end of a body is determined.
struct body_framing
{
    // None: there is no body. UntilClose: the body ends with its connection.
    enum class kind { None, Length, Chunked, UntilClose };
    kind type = kind::None;
    // Size of the body in bytes if `type` is Length.
    uint64_t length = 0;
};

// Reads and writes one HTTP/1.1 connection over a non-blocking socket, with a read buffer and with
// timeouts. The time `until` of an operation bounds the operation and not only its waits: it ends
// with TimedOut also while bytes keep coming, or space for them; only maxLateBytes may be read
// later. The HTTP streams of Poco are not used for bodies, because Poco's chunked stream reports
// a broken connection as the regular end of the body. Not thread safe, except for shutdown() and
// shutdownSending(), and except that one thread may write while another one reads.
class http_stream
{
public:
    explicit http_stream(const Poco::Net::StreamSocket &socket);
    // Constructs a second view of the connection of `other`, which watches it while the other one
    // reads requests. `cancelDescriptor` is readable once the peer counts as disconnected although
    // the connection is open; it must stay open for the lifetime of the view.
    http_stream(const http_stream &other, int cancelDescriptor);
    http_stream(const http_stream &) = delete;
    http_stream &operator=(const http_stream &) = delete;
    ~http_stream();

    // Makes the waits of this stream end with Cancelled if the peer of `other` closes its
    // connection. Null ends the watch.
    void watchForClose(http_stream *other);

    // Reads a head including the blank line at its end. Returns TooLarge if the head, or the empty
    // lines before it, exceed maxHeadBytes.
    io_status readHead(std::string &head, steady_time until);
    // Reads between 1 and `capacity` bytes into `buffer` and sets `count` to their number, which is
    // 0 if the status is not Ok.
    io_status readSome(char *buffer, size_t capacity, size_t &count, steady_time until);
    // Reads one line and removes the line ending. Returns Malformed if the line exceeds `maxBytes`
    // bytes.
    io_status readLine(std::string &line, size_t maxBytes, steady_time until);
    // Writes all bytes and sets `written` to the number of bytes written. If `stopOnInput` is set,
    // write() returns Ok early once the peer has sent bytes, so that the writer detects an early
    // response.
    io_status write(std::string_view bytes, size_t &written, steady_time until,
                    bool stopOnInput = false);
    // Waits until the peer closes the connection or the cancel descriptor is readable. Returns
    // false if `until` passes first.
    bool waitUntilClosed(steady_time until);

    // Returns whether the last read found that the peer had ended its sending direction without a
    // reset.
    bool wasClosedGracefully() const { return m_wasClosedGracefully; }
    // Returns whether bytes can be read or the peer has closed the connection.
    bool hasInput();
    // Shuts down both directions, which wakes a thread that waits in this stream. Any thread may
    // call shutdown().
    void shutdown();
    // Shuts down the sending direction. Afterwards, discard the input until the peer closes the
    // connection: closing a connection with unread input would reset it, and the peer could lose a
    // response that was sent before.
    void shutdownSending();
    // Discards the buffered input and at most 4 KiB of further input, without waiting. Returns
    // Closed once the peer has ended its sending direction or reset the connection, Ok otherwise.
    io_status discardInput();
    int descriptor() const { return m_descriptor; }
    // Frees the memory of the buffer if the buffer holds no unread bytes. Call releaseBuffer() for
    // idle connections, of which there may be hundreds.
    void releaseBuffer();

private:
    // Waits for `events` of poll(2) on the connection.
    io_status wait(short events, steady_time until);
    // Appends received bytes to the buffer, waiting for them if none have arrived.
    io_status fillBuffer(steady_time until);

    Poco::Net::StreamSocket m_socket;
    int m_descriptor;
    // -1 if there is none.
    int m_cancelDescriptor = -1;
    http_stream *m_watched = nullptr;
    bool m_wasClosedGracefully = false;
    bool m_wasLastReadFull = false;
    // Bytes received since the last read that was in time.
    size_t m_lateBytes = 0;
    std::string m_buffer;
    // Offset of the first unread byte in m_buffer.
    size_t m_position = 0;
};

// Reads one body and detects whether it is complete. Not thread safe.
class body_reader
{
public:
    body_reader(http_stream &stream, body_framing framing);

    // Replaces `piece` with the next bytes of the body. With Ok, an empty piece marks the regular
    // end of the body. Returns Closed if the connection ended before the body.
    io_status read(std::string &piece, steady_time until);
    // Returns whether the whole body was read.
    bool isComplete() const { return m_isComplete; }
    const body_framing &framing() const { return m_framing; }
    // Returns the unread bytes of a body with stated length; 0 for others.
    uint64_t unreadBytes() const
    {
        return m_framing.type == body_framing::kind::Length ? m_remaining : 0;
    }

private:
    // Reads the line with the size of the next chunk; for the last chunk, the trailers too.
    io_status readChunkHeader(steady_time until);
    io_status readTrailers(steady_time until);

    http_stream &m_stream;
    body_framing m_framing;
    // Number of unread bytes of the body or of the current chunk.
    uint64_t m_remaining = 0;
    bool m_isInChunk = false;
    bool m_isComplete = false;
};

// Returns `piece` in the chunked framing. `piece` must not be empty, because an empty chunk marks
// the end of a body.
std::string frameChunk(std::string_view piece);
// Marks the end of a body in the chunked framing.
inline constexpr std::string_view lastChunk = "0\r\n\r\n";

// Returns whether a response may have this status: 200 to 599, or one of the interim statuses 100,
// 102 and 103.
bool isResponseStatus(int status);
// Parse a request or response head into a Poco message. Return Malformed for an invalid head.
io_status parseRequest(const std::string &head, Poco::Net::HTTPRequest &request);
io_status parseResponse(const std::string &head, Poco::Net::HTTPResponse &response);
// Determine the framing of the body of a request, or of the response to a request with `method`.
// Return Malformed for contradictory, repeated or unknown framing fields, for an interim response
// with a body, and for a request without exactly one Host field or with Host or Content-Length
// listed in Connection.
io_status requestFraming(const Poco::Net::HTTPRequest &request, body_framing &framing);
io_status responseFraming(const Poco::Net::HTTPResponse &response, const std::string &method,
                          body_framing &framing);
// Replaces the framing fields of a message.
void setFraming(Poco::Net::HTTPMessage &message, const body_framing &framing);
// Returns whether the sender keeps the connection open after the message: no line of Connection
// lists the option "close".
bool keepsConnectionOpen(const Poco::Net::HTTPMessage &message);
// Removes the header fields that apply to a single connection only (RFC 9110, section 7.6.1).
void removeConnectionFields(Poco::Net::HTTPMessage &message);

} // namespace persimmonrail
