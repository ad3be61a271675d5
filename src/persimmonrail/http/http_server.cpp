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

void sendRefusal(const Poco::Net::StreamSocket &socket)
{
    try {
        Poco::Net::StreamSocket copy(socket);
        copy.setBlocking(false);
        const std::string answer = overloadAnswer();
        copy.sendBytes(answer.data(), static_cast<int>(answer.size()));
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
        , handle(std::move(serverHandler))
        , onError(std::move(serverOnError))
        , threads(minThreads, options.maxConnections + minThreads, threadIdleSeconds,
                  threadStackBytes)
    { }

    ~state()
    {
        {
            const std::lock_guard lock(mutex);
            stopping = true;
        }
        watch.wake();
        if (poller.joinable()) {
            poller.join();
        }
        std::unique_lock lock(mutex);
        for (connection *idle : parked) {
            connections.erase(idle);
        }
        for (connection *waiting : deferred) {
            connections.erase(waiting);
        }
        for (const auto &[busy, owned] : connections) {
            busy->stream.shutdown();
        }
        changed.wait(lock, [this] { return connections.empty(); });
        lock.unlock();
        threads.joinAll();
    }

    // Throws Poco::Exception if the address can't be bound.
    void start()
    {
        listener.bind(Poco::Net::SocketAddress(options.address), true, false);
        listener.listen(listenBacklog);
        address = listener.address().toString();
        if (!watch.add(listener.impl()->sockfd(), this)) {
            throw Poco::IOException("cannot watch the listening socket");
        }
        poller = std::thread([this] { poll(); });
    }

    // Closes the listener once the connections that were made earlier are accepted, and the idle
    // connections soon after.
    void requestClose()
    {
        closing = true;
        watch.wake();
        std::unique_lock lock(mutex);
        changed.wait_for(lock, closeTimeout, [this] { return closedAt.has_value(); });
    }

    bool waitAllClosed(steady_time until)
    {
        std::unique_lock lock(mutex);
        return changed.wait_until(lock, until, [this] { return connections.empty(); });
    }

    int count() const
    {
        const std::lock_guard lock(mutex);
        return static_cast<int>(connections.size());
    }

    // Runs on a worker.
    void serve(connection &served)
    {
        bool isOpen = true;
        try {
            do {
                isOpen = serveOne(served.stream);
            } while (isOpen && !stopping && served.stream.hasInput());
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
            const std::lock_guard lock(mutex);
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
        while (!stopping) {
            watch.wait(pollStep(), ready);
            for (void *owner : ready) {
                if (owner == this) {
                    acceptAll();
                } else {
                    resume(*static_cast<connection *>(owner));
                }
            }
            retryDeferred();
            const steady_time now = std::chrono::steady_clock::now();
            if (acceptAgainAt && now >= *acceptAgainAt) {
                acceptAll();
            }
            if (closing && !closedAt) {
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
        if (!deferred.empty()) {
            return deferredRetryInterval;
        }
        const bool isSoon = closing || acceptAgainAt.has_value();
        return std::clamp(idleLimit(), deferredRetryInterval,
                          isSoon ? closingCheckInterval : idleCheckInterval);
    }

    void acceptAll()
    {
        acceptAgainAt.reset();
        try {
            while (listener.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
                admit(listener.acceptConnection());
            }
        } catch (const Poco::Exception &) {
            // The peer is gone, or no descriptor is left: then the next try would fail at once.
            acceptAgainAt = after(acceptPause);
            return;
        }
        if (!watch.rearm(listener.impl()->sockfd(), this)) {
            acceptAgainAt = after(acceptPause);
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
        const std::lock_guard lock(mutex);
        connections.emplace(&added, std::move(made));
        added.since = std::chrono::steady_clock::now();
        parked.insert(&added);
        if (!watch.add(added.stream.descriptor(), &added)) {
            ++refused;
            forget(added);
        }
    }

    // Takes up a parked connection that has input.
    void resume(connection &found)
    {
        {
            // Also orders this after the worker that parked the connection.
            const std::lock_guard lock(mutex);
            if (!found.isEnding) {
                parked.erase(&found);
            }
        }
        if (found.isEnding) {
            if (found.stream.discardInput() == io_status::Closed
                || !watch.rearm(found.stream.descriptor(), &found)) {
                const std::lock_guard lock(mutex);
                forget(found);
            }
            return;
        }
        dispatch(found);
    }

    void dispatch(connection &found)
    {
        try {
            threads.start(found);
        } catch (const Poco::Exception &) {
            // All threads are in use for a moment, or the system has none left.
            deferred.push_back(&found);
        }
    }

    void retryDeferred()
    {
        const std::vector<connection *> waiting = std::move(deferred);
        deferred.clear();
        for (connection *found : waiting) {
            dispatch(*found);
        }
    }

    void park(connection &served)
    {
        const std::lock_guard lock(mutex);
        if (!stopping) {
            served.stream.releaseBuffer();
            served.since = std::chrono::steady_clock::now();
            parked.insert(&served);
            if (watch.rearm(served.stream.descriptor(), &served)) {
                return;
            }
        }
        forget(served);
    }

    // Closes a connection. Call with the mutex held.
    void forget(connection &closed)
    {
        parked.erase(&closed);
        connections.erase(&closed);
        changed.notify_all();
    }

    void closeListener(steady_time now)
    {
        const std::lock_guard lock(mutex);
        watch.remove(listener.impl()->sockfd());
        listener.close();
        acceptAgainAt.reset();
        // The end of each wait is earlier from now on.
        nextScan = now;
        closedAt = now;
        changed.notify_all();
    }

    // Ends parked connections whose time is over.
    void closeExpired(steady_time now)
    {
        if (now < nextScan) {
            return;
        }
        nextScan = now + pollStep();
        const milliseconds limit = idleLimit();
        const std::lock_guard lock(mutex);
        std::vector<connection *> over;
        for (connection *idle : parked) {
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
        return closedAt ? std::min(end, *closedAt + lastRequestTime) : end;
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
        handle(exchange);
        return exchange.finish() && !closing;
    }

    const handler handle;
    const error_handler onError;
    std::atomic<bool> stopping = false;
    // Set once no new connections are to be accepted.
    std::atomic<bool> closing = false;
    // The following four are used by the polling thread only, once it runs.
    Poco::Net::ServerSocket listener;
    std::vector<connection *> deferred;
    std::optional<steady_time> acceptAgainAt;
    steady_time nextScan;
    connection_watch watch;
    mutable std::mutex mutex;
    std::condition_variable changed;
    // When the listener was closed; written by the polling thread, with the mutex held.
    std::optional<steady_time> closedAt;
    std::unordered_map<connection *, std::unique_ptr<connection>> connections;
    std::unordered_set<connection *> parked;
    Poco::ThreadPool threads;
    std::thread poller;
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
