#include "persimmonrail/http/http_server.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/base/instance_id.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/TCPServer.h>
#include <Poco/Net/TCPServerConnection.h>
#include <Poco/Net/TCPServerConnectionFactory.h>
#include <Poco/Net/TCPServerParams.h>
#include <Poco/Pipe.h>
#include <Poco/ThreadPool.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <condition_variable>
#include <set>

namespace persimmonrail {
namespace {

constexpr int listenBacklog = 1024;
constexpr int threadStackBytes = 512 * 1024;
constexpr milliseconds lingerTime{500};
constexpr milliseconds closeTimeout{1000};
// How often an idle connection looks whether the server is crowded. Each look wakes a thread, and
// there may be hundreds of idle connections.
constexpr milliseconds idleCheckInterval{2000};
constexpr milliseconds crowdedCheckInterval{250};
// Answer to a connection beyond the limit, of which no request is read.
std::string overloadAnswer()
{
    const std::string id = absl::StrCat(absl::Hex(drawIncarnation(), absl::kZeroPad16),
                                        absl::Hex(drawIncarnation(), absl::kZeroPad16));
    const std::string body = absl::StrCat(
        R"({"outcome":"not-run","reason":"too-many-connections","request_id":")", id, R"("})");
    return absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n", outcomeHeader,
                        ": not-run\r\n", reasonHeader, ": too-many-connections\r\n",
                        requestIdHeader, ": ", id,
                        "\r\nRetry-After: 1\r\nContent-Type: application/json\r\n"
                        "Content-Length: ",
                        body.size(), "\r\n\r\n", body);
}

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

    bool isCrowded() const { return server->currentConnections() * 4 > options.maxConnections * 3; }

    // Waits in steps, since the time that an idle connection is kept depends on the others. Looks
    // for a request once even while closing: the connection may have been queued before.
    bool waitForRequest(http_stream &stream) const
    {
        const steady_time start = std::chrono::steady_clock::now();
        for (;;) {
            const bool isLast = closing;
            const bool crowded = isCrowded();
            const milliseconds kept = crowded ? options.crowdedIdleTimeout : options.idleTimeout;
            const milliseconds step =
                crowded || isLast ? crowdedCheckInterval : std::min(kept, idleCheckInterval);
            const io_status status = stream.waitReadable(
                after(step), isLast ? -1 : static_cast<int>(closePipe.readHandle()));
            if (status == io_status::Ok) {
                return true;
            }
            const bool isOver =
                status == io_status::TimedOut && std::chrono::steady_clock::now() - start >= kept;
            if (status == io_status::Closed || isLast || isOver) {
                return false;
            }
        }
    }

    // Connects to the listener. Connections that were made earlier are accepted before this one,
    // and the thread that accepts it closes the listener: TCPServer::stop() would leave the socket
    // open and drop the connections that are queued.
    void requestClose()
    {
        try {
            Poco::Net::StreamSocket closer;
            closing = true;
            wakeIdle();
            // Held while connecting, so that the accepting thread learns the address in time.
            std::unique_lock lock(mutex);
            closer.connect(Poco::Net::SocketAddress(address));
            closerEnd = closer.address();
            changed.wait_for(lock, closeTimeout, [this] { return closed; });
        } catch (const Poco::Exception &) {
            // The destructor closes the listener.
        }
    }

    // Ends the waits of idle connections for good.
    void wakeIdle()
    {
        const char byte = 0;
        closePipe.writeBytes(&byte, 1);
    }

    Poco::Net::SocketAddress closerAddress()
    {
        const std::lock_guard lock(mutex);
        return closerEnd;
    }

    void closeListener()
    {
        const std::lock_guard lock(mutex);
        listener.close();
        closed = true;
        changed.notify_all();
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
    // Whether the listener is closed.
    bool closed = false;
    // Own address of the connection that asks for the close.
    Poco::Net::SocketAddress closerEnd;
    // Readable once `closing` is set.
    Poco::Pipe closePipe;
    // Used by the accepting thread only, once it runs.
    Poco::Net::ServerSocket listener;
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
    // Runs on the thread that accepts connections.
    bool accept(const Poco::Net::StreamSocket &socket) override
    {
        if (m_state.closing && socket.peerAddress() == m_state.closerAddress()) {
            m_state.closeListener();
            return false;
        }
        const auto &server = *m_state.server;
        if (server.currentConnections() + server.queuedConnections()
            < m_state.options.maxConnections) {
            return true;
        }
        ++m_state.refused;
        try {
            Poco::Net::StreamSocket copy(socket);
            copy.setBlocking(false);
            const std::string answer = overloadAnswer();
            copy.sendBytes(answer.data(), static_cast<int>(answer.size()));
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
        Poco::Net::ServerSocket &socket = inner->listener;
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
    m_state->requestClose();
}

bool http_server::waitClosed(steady_time until)
{
    std::unique_lock lock(m_state->mutex);
    return m_state->changed.wait_until(lock, until, [this] { return m_state->streams.empty(); });
}

} // namespace persimmonrail
