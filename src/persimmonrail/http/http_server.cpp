#include "persimmonrail/http/http_server.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/base/instance_id.h"
#include "persimmonrail/http/connection_watch.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Runnable.h>
#include <Poco/ThreadPool.h>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace persimmonrail {
namespace {

constexpr int listenBacklog = 1024;
constexpr int threadStackBytes = 512 * 1024;
constexpr milliseconds lingerTime{500};
constexpr milliseconds closeTimeout{1000};
// How often idle connections are looked through for those whose time is over.
constexpr milliseconds idleCheckInterval{2000};
constexpr milliseconds closingCheckInterval{50};
// How long an open connection may still send its last request once the listener is closed.
constexpr milliseconds lastRequestTime{250};
// Pause after a connection could not be accepted, so that a lack of descriptors costs no processor.
constexpr milliseconds acceptPause{50};
// When a connection that found no thread asks for one again.
constexpr milliseconds deferredRetryInterval{10};
// Threads that are kept, and how long others are kept without work: shorter pauses between
// requests cost no new thread.
constexpr int minThreads = 2;
constexpr int threadIdleSeconds = 2;

// Answer to a connection beyond the limit, of which no request is read.
std::string overloadResponse()
{
    const std::string id = absl::StrCat(absl::Hex(generateIncarnation(), absl::kZeroPad16),
                                        absl::Hex(generateIncarnation(), absl::kZeroPad16));
    const std::string body = absl::StrCat(
        R"({"outcome":"not-run","reason":"too-many-connections","request_id":")", id, R"("})");
    return absl::StrCat("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\n", outcomeHeader,
                        ": not-run\r\n", reasonHeader, ": too-many-connections\r\n",
                        requestIdHeader, ": ", id,
                        "\r\nRetry-After: 1\r\nContent-Type: application/json\r\n"
                        "Content-Length: ",
                        body.size(), "\r\n\r\n", body);
}

void sendRefusal(const Poco::Net::StreamSocket &socket)
{
    try {
        Poco::Net::StreamSocket copy(socket);
        copy.setBlocking(false);
        const std::string response = overloadResponse();
        copy.sendBytes(response.data(), static_cast<int>(response.size()));
        copy.shutdownSend();
    } catch (const Poco::Exception &) {
        // The requester is gone already.
    }
}

steady_time after(milliseconds time)
{
    return std::chrono::steady_clock::now() + time;
}

} // namespace

// One connection. Served by one worker at a time; while it is parked, by the polling thread.
class http_server::connection : public Poco::Runnable
{
public:
    connection(const Poco::Net::StreamSocket &socket, state &server)
        : stream(socket)
        , m_server(server)
    { }

    // Serves requests until the connection is parked or closed, which may delete this object.
    void run() override;

    http_stream stream;
    // Since when it is parked.
    steady_time since;
    // Whether the sending direction has ended, so that only the end of the peer's is awaited.
    bool isEnding = false;

private:
    state &m_server;
};

// Invariant: a connection is parked, deferred, or run by one worker. Parked ones are touched by
// the polling thread alone.
class http_server::state
{
public:
    state(const http_server_options &serverOptions, handler serverHandler,
          error_handler serverOnError)
        : options(serverOptions)
        , m_handle(std::move(serverHandler))
        , m_onError(std::move(serverOnError))
        , m_threads(minThreads, options.maxConnections + minThreads, threadIdleSeconds,
                    threadStackBytes)
    { }

    ~state()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_stopping = true;
        }
        m_watch.wake();
        if (m_poller.joinable()) {
            m_poller.join();
        }
        std::unique_lock lock(m_mutex);
        for (connection *idle : m_parked) {
            m_connections.erase(idle);
        }
        for (connection *waiting : m_deferred) {
            m_connections.erase(waiting);
        }
        for (const auto &[busy, owned] : m_connections) {
            busy->stream.shutdown();
        }
        m_changed.wait(lock, [this] { return m_connections.empty(); });
        lock.unlock();
        m_threads.joinAll();
    }

    // Throws Poco::Exception if the address can't be bound.
    void start()
    {
        m_listener.bind(Poco::Net::SocketAddress(options.address), true, false);
        m_listener.listen(listenBacklog);
        address = m_listener.address().toString();
        if (!m_watch.add(m_listener.impl()->sockfd(), this)) {
            throw Poco::IOException("cannot watch the listening socket");
        }
        m_poller = std::thread([this] { poll(); });
    }

    // Closes the listener once the connections that were made earlier are accepted, and the idle
    // connections soon after.
    void requestClose()
    {
        m_closing = true;
        m_watch.wake();
        std::unique_lock lock(m_mutex);
        m_changed.wait_for(lock, closeTimeout, [this] { return m_closedAt.has_value(); });
    }

    bool waitAllClosed(steady_time until)
    {
        std::unique_lock lock(m_mutex);
        return m_changed.wait_until(lock, until, [this] { return m_connections.empty(); });
    }

    int count() const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(m_connections.size());
    }

    // Runs on a worker.
    void serve(connection &served)
    {
        bool isOpen = true;
        try {
            do {
                isOpen = serveOne(served.stream);
            } while (isOpen && !m_stopping && served.stream.hasInput());
        } catch (const std::exception &) {
            // The handler failed; closing the connection tells the requester that no answer comes.
            served.stream.shutdown();
            isOpen = false;
        }
        if (!isOpen) {
            served.stream.endSending();
            served.isEnding = true;
        }
        if (served.isEnding && served.stream.discardInput() == io_status::Closed) {
            const std::lock_guard lock(m_mutex);
            forget(served);
        } else {
            park(served);
        }
    }

    const http_server_options options;
    std::atomic<uint64_t> refused = 0;
    std::string address;

private:
    // Loop of the polling thread.
    void poll()
    {
        std::vector<void *> ready;
        while (!m_stopping) {
            m_watch.wait(pollStep(), ready);
            for (void *owner : ready) {
                if (owner == this) {
                    acceptAll();
                } else {
                    resume(*static_cast<connection *>(owner));
                }
            }
            retryDeferred();
            const steady_time now = std::chrono::steady_clock::now();
            if (m_acceptAgainAt && now >= *m_acceptAgainAt) {
                acceptAll();
            }
            if (m_closing && !m_closedAt) {
                acceptAll();
                closeListener(now);
            }
            closeExpired(now);
        }
    }

    milliseconds idleLimit() const
    {
        const bool isCrowded = count() * 4 > options.maxConnections * 3;
        return isCrowded ? options.crowdedIdleTimeout : options.idleTimeout;
    }

    milliseconds pollStep() const
    {
        if (!m_deferred.empty()) {
            return deferredRetryInterval;
        }
        const bool isSoon = m_closing || m_acceptAgainAt.has_value();
        return std::clamp(idleLimit(), deferredRetryInterval,
                          isSoon ? closingCheckInterval : idleCheckInterval);
    }

    void acceptAll()
    {
        m_acceptAgainAt.reset();
        try {
            while (m_listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                admit(m_listener.acceptConnection());
            }
        } catch (const Poco::Exception &) {
            // The peer is gone, or no descriptor is left: then the next try would fail at once.
            m_acceptAgainAt = after(acceptPause);
            return;
        }
        if (!m_watch.rearm(m_listener.impl()->sockfd(), this)) {
            m_acceptAgainAt = after(acceptPause);
        }
    }

    void admit(const Poco::Net::StreamSocket &socket)
    {
        if (count() >= options.maxConnections) {
            ++refused;
            sendRefusal(socket);
            return;
        }
        auto made = std::make_unique<connection>(socket, *this);
        connection &added = *made;
        const std::lock_guard lock(m_mutex);
        m_connections.emplace(&added, std::move(made));
        added.since = std::chrono::steady_clock::now();
        m_parked.insert(&added);
        if (!m_watch.add(added.stream.descriptor(), &added)) {
            ++refused;
            forget(added);
        }
    }

    // Takes up a parked connection that has input.
    void resume(connection &found)
    {
        {
            // Also orders this after the worker that parked the connection.
            const std::lock_guard lock(m_mutex);
            if (!found.isEnding) {
                m_parked.erase(&found);
            }
        }
        if (found.isEnding) {
            if (found.stream.discardInput() == io_status::Closed
                || !m_watch.rearm(found.stream.descriptor(), &found)) {
                const std::lock_guard lock(m_mutex);
                forget(found);
            }
            return;
        }
        dispatch(found);
    }

    void dispatch(connection &found)
    {
        try {
            m_threads.start(found);
        } catch (const Poco::Exception &) {
            // All threads are in use for a moment, or the system has none left.
            m_deferred.push_back(&found);
        }
    }

    void retryDeferred()
    {
        const std::vector<connection *> waiting = std::move(m_deferred);
        m_deferred.clear();
        for (connection *found : waiting) {
            dispatch(*found);
        }
    }

    void park(connection &served)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_stopping) {
            served.stream.releaseBuffer();
            served.since = std::chrono::steady_clock::now();
            m_parked.insert(&served);
            if (m_watch.rearm(served.stream.descriptor(), &served)) {
                return;
            }
        }
        forget(served);
    }

    // Closes a connection. Call with the mutex held.
    void forget(connection &closed)
    {
        m_parked.erase(&closed);
        m_connections.erase(&closed);
        m_changed.notify_all();
    }

    void closeListener(steady_time now)
    {
        const std::lock_guard lock(m_mutex);
        m_watch.remove(m_listener.impl()->sockfd());
        m_listener.close();
        m_acceptAgainAt.reset();
        // The end of each wait is earlier from now on.
        m_nextScan = now;
        m_closedAt = now;
        m_changed.notify_all();
    }

    // Ends parked connections whose time is over.
    void closeExpired(steady_time now)
    {
        if (now < m_nextScan) {
            return;
        }
        m_nextScan = now + pollStep();
        const milliseconds limit = idleLimit();
        const std::lock_guard lock(m_mutex);
        std::vector<connection *> over;
        for (connection *idle : m_parked) {
            if (now >= endOfWait(*idle, limit)) {
                over.push_back(idle);
            }
        }
        for (connection *idle : over) {
            if (idle->isEnding) {
                forget(*idle);
            } else if (!idle->stream.hasInput()) {
                // Input is reported by the next wait.
                idle->stream.endSending();
                idle->isEnding = true;
                idle->since = now;
            }
        }
    }

    // A connection may have been queued before the listener closed, its request still on the way.
    steady_time endOfWait(const connection &idle, milliseconds limit) const
    {
        if (idle.isEnding) {
            return idle.since + lingerTime;
        }
        const steady_time end = idle.since + limit;
        return m_closedAt ? std::min(end, *m_closedAt + lastRequestTime) : end;
    }

    void refuse(http_stream &stream, int status, const std::string &reason) const
    {
        server_exchange exchange(stream, Poco::Net::HTTPRequest(), {}, options.idleTimeout);
        exchange.closeAfterResponse();
        if (m_onError) {
            m_onError(exchange, status, reason);
        } else {
            exchange.respond(status, reason + "\n", "text/plain");
        }
    }

    // Serves one request; false if the connection is to be closed.
    bool serveOne(http_stream &stream) const
    {
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
        m_handle(exchange);
        return exchange.finish() && !m_closing;
    }

    const handler m_handle;
    const error_handler m_onError;
    std::atomic<bool> m_stopping = false;
    // Set once no new connections are to be accepted.
    std::atomic<bool> m_closing = false;
    // The following four are used by the polling thread only, once it runs.
    Poco::Net::ServerSocket m_listener;
    std::vector<connection *> m_deferred;
    std::optional<steady_time> m_acceptAgainAt;
    steady_time m_nextScan;
    connection_watch m_watch;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    // When the listener was closed; written by the polling thread, with the mutex held.
    std::optional<steady_time> m_closedAt;
    std::unordered_map<connection *, std::unique_ptr<connection>> m_connections;
    std::unordered_set<connection *> m_parked;
    Poco::ThreadPool m_threads;
    std::thread m_poller;
};

void http_server::connection::run()
{
    m_server.serve(*this);
}

absl::StatusOr<std::unique_ptr<http_server>>
http_server::listen(const http_server_options &options, handler handler, error_handler onError)
{
    auto inner = std::make_unique<state>(options, std::move(handler), std::move(onError));
    try {
        inner->start();
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
    return m_state->count();
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
    return m_state->waitAllClosed(until);
}

} // namespace persimmonrail
