#include "persimmonrail/http/http_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/ThreadPool.h>

#include <condition_variable>
#include <set>

namespace persimmonrail {
namespace {

constexpr int listenBacklog = 1024;
constexpr int threadStackBytes = 512 * 1024;
constexpr milliseconds lingerTime{500};
constexpr milliseconds idleCheckInterval{250};
constexpr char overloadAnswer[] = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n"
                                  "Persimmonrail-Outcome: not-run\r\n"
                                  "Persimmonrail-Reason: too-many-connections\r\n"
                                  "Retry-After: 1\r\nContent-Length: 0\r\n\r\n";

steady_time after(milliseconds time)
{
    return std::chrono::steady_clock::now() + time;
}

} // namespace

class http_server::state
{
public:
    state(const http_server_options &serverOptions, handler serverHandler,
          error_handler serverOnError)
        : options(serverOptions)
        , handle(std::move(serverHandler))
        , onError(std::move(serverOnError))
        , threads(2, options.maxConnections + 2, 60, threadStackBytes)
    { }

    ~state()
    {
        stopping = true;
        if (server) {
            server->stop();
        }
        std::unique_lock lock(mutex);
        for (http_stream *stream : streams) {
            stream->shutdown();
        }
        changed.wait(lock, [this] { return streams.empty(); });
        lock.unlock();
        server.reset();
        threads.joinAll();
    }

    bool enter(http_stream &stream)
    {
        const std::lock_guard lock(mutex);
        if (!stopping) {
            streams.insert(&stream);
        }
        return !stopping;
    }

    void leave(http_stream &stream)
    {
        const std::lock_guard lock(mutex);
        streams.erase(&stream);
        changed.notify_all();
    }

    void refuse(http_stream &stream, int status, const std::string &reason) const
    {
        server_exchange exchange(stream, Poco::Net::HTTPRequest(), {}, options.idleTimeout);
        exchange.closeAfterAnswer();
        if (onError) {
            onError(exchange, status, reason);
        } else {
            exchange.answer(status, reason + "\n", "text/plain");
        }
    }

    // Waits in steps, since the time that an idle connection is kept depends on the others.
    bool waitForRequest(http_stream &stream) const
    {
        const steady_time start = std::chrono::steady_clock::now();
        while (!closing) {
            const io_status status = stream.waitReadable(after(idleCheckInterval));
            if (status != io_status::TimedOut) {
                return status == io_status::Ok;
            }
            const bool crowded = server->currentConnections() * 4 > options.maxConnections * 3;
            const milliseconds kept = crowded ? options.crowdedIdleTimeout : options.idleTimeout;
            if (std::chrono::steady_clock::now() - start >= kept) {
                return false;
            }
        }
        return false;
    }

    // Serves one request; false if the connection is to be closed.
    bool serveOne(http_stream &stream) const
    {
        if (!waitForRequest(stream)) {
            return false;
        }
        std::string head;
        io_status status = stream.readHead(head, after(options.idleTimeout));
        if (status == io_status::TooLarge) {
            refuse(stream, 431, "header-too-large");
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
            refuse(stream, 400, "malformed-request");
            return false;
        }
        if (request.getVersion() != Poco::Net::HTTPMessage::HTTP_1_1) {
            // HTTP/1.0 has no chunked framing, so a truncated answer would go unnoticed.
            refuse(stream, 505, "http-version-not-supported");
            return false;
        }
        server_exchange exchange(stream, request, framing, options.idleTimeout);
        handle(exchange);
        return exchange.finish() && !closing;
    }

    const http_server_options options;
    const handler handle;
    const error_handler onError;
    std::atomic<bool> stopping = false;
    // Set once no new connections are accepted.
    std::atomic<bool> closing = false;
    Poco::Net::ServerSocket socket;
    std::atomic<uint64_t> refused = 0;
    std::string address;
    std::mutex mutex;
    std::condition_variable changed;
    std::set<http_stream *> streams;
    Poco::ThreadPool threads;
    std::unique_ptr<Poco::Net::TCPServer> server;
};

namespace {

template <typename server_state> class connection : public Poco::Net::TCPServerConnection
{
public:
    connection(const Poco::Net::StreamSocket &socket, server_state &state)
        : TCPServerConnection(socket)
        , m_state(state)
    { }

    void run() override
    {
        http_stream stream(socket());
        if (!m_state.enter(stream)) {
            return;
        }
        try {
            while (!m_state.stopping && m_state.serveOne(stream)) { }
        } catch (const std::exception &) {
            // The handler failed; closing the connection tells the requester that no answer comes.
            stream.shutdown();
        }
        if (!m_state.stopping) {
            stream.lingerClose(after(lingerTime));
        }
        m_state.leave(stream);
    }

private:
    server_state &m_state;
};

template <typename server_state>
class connection_factory : public Poco::Net::TCPServerConnectionFactory
{
public:
    explicit connection_factory(server_state &state)
        : m_state(state)
    { }
    Poco::Net::TCPServerConnection *createConnection(const Poco::Net::StreamSocket &socket) override
    {
        return new connection<server_state>(socket, m_state);
    }

private:
    server_state &m_state;
};

template <typename server_state>
class connection_limit : public Poco::Net::TCPServerConnectionFilter
{
public:
    explicit connection_limit(server_state &state)
        : m_state(state)
    { }
    bool accept(const Poco::Net::StreamSocket &socket) override
    {
        const auto &server = *m_state.server;
        if (server.currentConnections() + server.queuedConnections()
            < m_state.options.maxConnections) {
            return true;
        }
        ++m_state.refused;
        try {
            Poco::Net::StreamSocket copy(socket);
            copy.setBlocking(false);
            copy.sendBytes(overloadAnswer, sizeof(overloadAnswer) - 1);
            copy.shutdownSend();
        } catch (const Poco::Exception &) {
            // The requester is gone already.
        }
        return false;
    }

private:
    server_state &m_state;
};

} // namespace

absl::StatusOr<std::unique_ptr<http_server>>
http_server::listen(const http_server_options &options, handler handler, error_handler onError)
{
    auto inner = std::make_unique<state>(options, std::move(handler), std::move(onError));
    try {
        Poco::Net::ServerSocket &socket = inner->socket;
        socket.bind(Poco::Net::SocketAddress(options.address), true, false);
        socket.listen(listenBacklog);
        inner->address = socket.address().toString();
        Poco::Net::TCPServerParams::Ptr params = new Poco::Net::TCPServerParams;
        params->setMaxThreads(options.maxConnections);
        params->setMaxQueued(options.maxConnections);
        inner->server = std::make_unique<Poco::Net::TCPServer>(
            new connection_factory<state>(*inner), inner->threads, socket, params);
        inner->server->setConnectionFilter(new connection_limit<state>(*inner));
        inner->server->start();
    } catch (const Poco::Exception &error) {
        return absl::UnavailableError("cannot listen on " + options.address + ": "
                                      + error.displayText());
    }
    return std::unique_ptr<http_server>(new http_server(std::move(inner)));
}

http_server::http_server(std::unique_ptr<state> state)
    : m_state(std::move(state))
{ }

http_server::~http_server() = default;

const std::string &http_server::address() const
{
    return m_state->address;
}

int http_server::connectionCount() const
{
    return m_state->server->currentConnections() + m_state->server->queuedConnections();
}

uint64_t http_server::refusedConnections() const
{
    return m_state->refused;
}

void http_server::stopListening()
{
    m_state->closing = true;
    m_state->server->stop();
    // Without this, the kernel would go on taking connections that nobody serves.
    m_state->socket.close();
}

bool http_server::waitClosed(steady_time until)
{
    std::unique_lock lock(m_state->mutex);
    return m_state->changed.wait_until(lock, until, [this] { return m_state->streams.empty(); });
}

} // namespace persimmonrail
