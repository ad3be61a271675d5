#pragma once

#include "persimmonrail/http/http_client.h"

#include <Poco/Net/SocketAddress.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// One request received by a server and its answer. Used by one thread.
class server_exchange : public body_source
{
public:
    server_exchange(http_stream &stream, const Poco::Net::HTTPRequest &request,
                    body_framing framing, milliseconds idleTimeout);

    const Poco::Net::HTTPRequest &request() const { return m_request; }
    // The connection of the requester.
    http_stream &connection() { return m_stream; }

    // Body of the request. The first bodyPieceBytes are kept, so that a small body can be read
    // again after rewind().
    body_framing framing() const override { return m_reader.framing(); }
    io_status read(std::string &piece, steady_time until) override;
    bool rewind() override;
    // Reads ahead until `bytes` bytes of the body, or all of it, have arrived; read() returns them
    // again. To be called before the first read() or after rewind(). `first` is valid until the
    // next call, and holds at most bodyPieceBytes more than asked for.
    io_status peek(size_t bytes, std::string_view &first, steady_time until);
    // Reads the whole body. Errors: TooLarge if it exceeds `maxBytes`.
    io_status readAll(std::string &body, size_t maxBytes, steady_time until);

    // Sends a whole answer. False if the requester is gone.
    bool respond(Poco::Net::HTTPResponse &head, std::string_view body);
    bool respond(int status, std::string_view body, const std::string &contentType);
    // Sends a streamed answer: beginResponse, any number of writeResponse, endResponse. An answer
    // that is not ended makes the server close the connection, so the requester notices.
    bool beginResponse(Poco::Net::HTTPResponse &head, const body_framing &framing);
    bool writeResponse(std::string_view piece);
    bool endResponse();

    bool responseStarted() const { return m_responseStarted; }
    // Closes the connection after the answer.
    void closeAfterResponse() { m_keepAlive = false; }
    // Whether another request may follow on the connection; drains the rest of a small body.
    bool finish();

private:
    bool send(std::string_view bytes);
    io_status readNext(std::string &piece, steady_time until);

    http_stream &m_stream;
    Poco::Net::HTTPRequest m_request;
    body_reader m_reader;
    const milliseconds m_idleTimeout;
    std::string m_kept;
    bool m_keptAll = true;
    bool m_replayKept = false;
    bool m_continueSent = false;
    bool m_keepAlive;
    bool m_responseStarted = false;
    bool m_responseEnded = false;
    body_framing m_responseFraming;
    uint64_t m_responseBytes = 0;
};

struct http_server_options
{
    // "ip:port"; port 0 picks a free one.
    std::string address = "127.0.0.1:0";
    // Connections beyond this number get a 503 and are closed.
    int maxConnections = 1024;
    // A connection without a request, or without progress within one, is closed after this time.
    milliseconds idleTimeout{30000};
    // The same while more than three quarters of the connections are in use, so that idle ones make
    // room for new ones.
    milliseconds crowdedIdleTimeout{1000};
};

// HTTP/1.1 server with a thread for each request in progress; one more thread accepts connections
// and watches the idle ones. Thread safe.
class http_server
{
public:
    // Runs on a thread of its own.
    using handler = std::function<void(server_exchange &exchange)>;
    // Answers requests that are not valid HTTP, before the connection is closed.
    using error_handler =
        std::function<void(server_exchange &exchange, int status, const std::string &reason)>;

    // Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<http_server>>
    listen(const http_server_options &options, handler handler, error_handler onError = {});
    http_server(const http_server &) = delete;
    http_server &operator=(const http_server &) = delete;
    // Closes all connections and waits for their handlers.
    ~http_server();

    // The address with the port that was picked.
    const std::string &address() const;
    int connectionCount() const;
    uint64_t refusedConnections() const;
    // Closes the listening socket. Open connections are closed after the request in progress, and
    // idle ones at once.
    void stopListening();
    // Waits until no connection is open; false if `until` passes before.
    bool waitClosed(steady_time until);

private:
    class state;
    class connection;
    explicit http_server(std::unique_ptr<state> state);
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
