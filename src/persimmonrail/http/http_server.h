#pragma once

#include "persimmonrail/http/http_client.h"
#include "persimmonrail/http/write_deadlines.h"

#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace persimmonrail {

// How the response of an exchange reaches the client if responses to several requests of a
// connection are written in order. Empty functions: directly.
struct exchange_hooks
{
    // Writes bytes of the response, like http_stream::write().
    std::function<io_status(std::string_view bytes, size_t &written,
                            const write_deadlines &deadlines)>
        write;
    // Called when the handler asks to close the connection after the response.
    std::function<void()> onCloseAfterResponse;
    // Returns whether the connection closes after the response. Asked when the response begins.
    std::function<bool()> closesAfterResponse;
};

// One request received by a server, and the response to it. Not thread safe.
class server_exchange : public body_source
{
public:
    server_exchange(http_stream &stream, const Poco::Net::HTTPRequest &request,
                    body_framing framing, milliseconds idleTimeout, exchange_hooks hooks = {});

    const Poco::Net::HTTPRequest &request() const { return m_request; }
    // Returns the connection to the client. Use it only to wait for the end of the connection.
    http_stream &connection() { return m_stream; }
    // Sets the end of the exchange. Until then, the response may wait for the responses to earlier
    // requests of the connection if it is too large to be held, and is written while its end has
    // not arrived. A response that is ready is written also later. Without a deadline, only the
    // idle timeout applies.
    void setDeadline(steady_time deadline) { m_deadline = deadline; }
    // Tells that the rest of the response is in memory, so that only its receiver can delay it.
    void markResponseReady() { m_isResponseReady = true; }

    // Body of the request. A body of at most maxBodyPieceBytes bytes is buffered while it is read,
    // so that it can be read again after rewind().
    body_framing framing() const override { return m_reader.framing(); }
    // Returns the unread bytes of a body whose length is stated; 0 for others.
    uint64_t unreadBodyBytes() const { return m_reader.unreadBytes(); }
    io_status read(std::string &piece, steady_time until) override;
    bool rewind() override;
    // Waits until the first `bytes` bytes of the body, or the whole body, have arrived, and sets
    // `first` to them. The following read() returns these bytes again. Call peek() only before the
    // first read() or after rewind(). `first` is valid until the next call on this object, and
    // holds at most maxBodyPieceBytes bytes more than requested.
    io_status peek(size_t bytes, std::string_view &first, steady_time until);
    // Reads the whole body. Returns TooLarge if the body exceeds `maxBytes` bytes.
    io_status readAll(std::string &body, size_t maxBytes, steady_time until);

    // Sends a complete response. Returns false if the client has disconnected.
    bool respond(Poco::Net::HTTPResponse &head, std::string_view body);
    bool respond(int status, std::string_view body, const std::string &contentType);
    // Send a streamed response: one beginResponse(), any number of writeResponse(), one
    // endResponse(). Each returns false if the client has disconnected; endResponse() also does so
    // if the body is shorter or longer than its framing states, and writeResponse() at the
    // deadline. The server closes the connection if a response is not ended, so that the client
    // detects the truncation. beginResponse() also discards an unread body whose stated length is
    // at most maxBodyPieceBytes, so that the connection can be reused.
    bool beginResponse(Poco::Net::HTTPResponse &head, const body_framing &framing);
    bool writeResponse(std::string_view piece);
    bool endResponse();

    bool responseStarted() const { return m_hasResponseStarted; }
    // Makes the server close the connection after the response.
    void closeAfterResponse();
    // Returns whether the connection can carry another request: the request body was read and the
    // response sent completely, and neither side asked to close the connection.
    bool canReuseConnection();

private:
    bool send(std::string_view bytes);
    io_status writeSome(std::string_view bytes, size_t &written);
    // Reads the next piece of the body from the connection. The first call sends "100 Continue"
    // before if the client waits for that response.
    io_status readFromConnection(std::string &piece, steady_time until);

    http_stream &m_stream;
    Poco::Net::HTTPRequest m_request;
    body_reader m_reader;
    const milliseconds m_idleTimeout;
    const exchange_hooks m_hooks;
    std::optional<steady_time> m_deadline;
    // First bytes of the body, as long as m_canReplayBody is set.
    std::string m_bufferedBody;
    bool m_canReplayBody = true;
    // Whether the next read() returns m_bufferedBody.
    bool m_shouldReplayBuffer = false;
    bool m_hasSentContinue = false;
    bool m_keepAlive;
    bool m_hasResponseStarted = false;
    bool m_hasResponseEnded = false;
    bool m_isResponseReady = false;
    body_framing m_responseFraming;
    uint64_t m_sentBodyBytes = 0;
};

struct http_server_options
{
    // "ip:port" to listen on. The system picks a free port if the port is 0.
    std::string address = "127.0.0.1:0";
    // The server responds with status 503 to connections beyond this number and closes them.
    int maxConnections = 1024;
    // Connections without a request, or without progress during a request, are closed after this
    // time.
    milliseconds idleTimeout{30000};
    // Replaces idleTimeout for connections without a request while more than three quarters of
    // maxConnections are open, so that idle connections make room for new ones.
    milliseconds crowdedIdleTimeout{1000};
    // Requests of one connection that are served side by side; 1 serves one after the other. Only
    // requests without a body that `isIdempotent` accepts are served beside others.
    int maxPipelinedRequests = 1;
    // Returns whether a request may be cancelled after it was passed to the handler, and run again
    // if the client repeats it. Called on worker threads.
    std::function<bool(const Poco::Net::HTTPRequest &request)> isIdempotent;
    // Returns whether the server is about to stop, so that each connection is closed after the
    // requests read so far. Used only if `maxPipelinedRequests` exceeds 1.
    std::function<bool()> isStopping;
    // Bytes of responses that wait for earlier responses, for each connection and for the server.
    // Beyond these bounds, a handler waits while it writes.
    size_t maxHeldBytesPerConnection = 256 * 1024;
    size_t maxHeldBytes = 8 * 1024 * 1024;
};

// HTTP/1.1 server with one thread for each request in progress. One further thread accepts
// connections and polls the idle ones. Thread safe.
class http_server
{
public:
    // Handles one request. Calls run concurrently on worker threads.
    using handler = std::function<void(server_exchange &exchange)>;
    // Responds to a request that the server rejects because it is not valid HTTP/1.1 or its head is
    // too large. The server closes the connection afterwards.
    using error_handler =
        std::function<void(server_exchange &exchange, int status, const std::string &reason)>;

    // Starts a server. Without `onError`, the server responds to invalid requests with the reason
    // as plain text. Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<http_server>>
    listen(const http_server_options &options, handler handler, error_handler onError = {});
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    // Closes all connections and waits for their handlers.
    ~http_server();

    // Returns the address on which the server listens, with the actual port.
    const std::string &address() const;
    // Returns the number of open connections.
    int connectionCount() const;
    // Returns the number of connections rejected since the start.
    uint64_t rejectedConnections() const;
    // Returns the number of requests passed to the handler before an earlier request of their
    // connection was answered.
    uint64_t pipelinedRequests() const;
    // Returns the bytes of responses that wait for earlier responses.
    size_t heldResponseBytes() const;
    // Closes the listening socket. For a short time before, connection attempts get no answer,
    // while connections that are already being established are still accepted. Connections with a
    // request in progress are closed after their response; idle connections are closed soon, unless
    // a request still arrives.
    void stopListening();
    // Waits until no connection is open. Returns false if `until` passes first.
    bool waitUntilClosed(steady_time until);

private:
    class state;
    class connection;
    explicit http_server(std::unique_ptr<state> state);
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
