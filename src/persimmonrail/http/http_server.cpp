#include "persimmonrail/http/http_server.h"

#include "persimmonrail/http/accept_batch.h"
#include "persimmonrail/http/connection_poller.h"
#include "persimmonrail/http/overload_response.h"
#include "persimmonrail/http/request_reader.h"
#include "persimmonrail/http/response_pipeline.h"
#include "persimmonrail/http/worker_pool.h"

#include <Poco/Exception.h>
#include <Poco/Net/ServerSocket.h>

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
// Maximum number of connections that are accepted before the open ones are served again. On a busy
// host, connections may arrive as fast as they can be accepted.
constexpr int maxAcceptsPerRound = 16;
constexpr size_t threadStackBytes = 512 * 1024;
// After the server has shut down its sending direction, bounds the wait until the client closes the
// connection.
constexpr milliseconds lingerTimeout{500};
// Bounds the wait of stopListening() until the polling thread has closed the listener.
constexpr milliseconds listenerCloseTimeout{1000};
// Maximum interval between checks for expired connections.
constexpr milliseconds idleCheckInterval{2000};
// Replaces idleCheckInterval while the server stops or accepting is to be retried.
constexpr milliseconds shortCheckInterval{50};
// After the listener is closed, bounds the wait for a last request on an open connection.
constexpr milliseconds lastRequestTimeout{250};
// Delay before accepting is retried after a failure, so that a lack of descriptors causes no busy
// loop.
constexpr milliseconds acceptRetryDelay{50};
// Interval at which the server retries to start workers for deferred connections.
constexpr milliseconds deferredRetryInterval{10};
// Idle timeout of the threads. Requests that follow each other within this time need no new thread.
constexpr milliseconds threadIdleTimeout{2000};

steady_time after(milliseconds delay)
{
    return std::chrono::steady_clock::now() + delay;
}

} // namespace

// One connection. It is used by one worker at a time, or by the polling thread while it is polled.
// With a pipeline, further workers run the requests that were read.
class http_server::connection
{
public:
    // Who reads the next request of a connection with a pipeline.
    enum class reader {
        // A worker reads, or the connection is deferred.
        Worker,
        // The polling thread waits for input.
        Poller,
        // Nobody until a worker of the connection has finished its request.
        Paused,
        // Nobody any more.
        None,
    };

    connection(const Poco::Net::StreamSocket &socket, state &server)
        : stream(socket)
        , m_server(server)
    { }

    // Serves requests until the connection returns to the poller or is closed, which may delete
    // this object.
    void run();

    http_stream stream;
    // Start of the current wait for input, while the connection is polled.
    steady_time waitingSince;
    // Whether the server has shut down its sending direction and only waits until the client closes
    // the connection.
    bool isSendingShutDown = false;
    // Null if requests are served one after the other.
    std::unique_ptr<response_pipeline> pipeline;
    // The mutex of the server guards the two members below.
    reader nextReader = reader::Poller;
    // Number of workers that use the connection; stays 0 without a pipeline.
    int workers = 0;

private:
    state &m_server;
};

// Invariant: each connection is polled, deferred (waiting for a free thread), or used by one
// worker. Only the polling thread uses polled connections.
class http_server::state
{
public:
    state(const http_server_options &serverOptions, handler handler, error_handler onError)
        : options(serverOptions)
        , held(options.maxHeldBytes)
        , m_requests(options.idleTimeout, std::move(handler), std::move(onError))
        , m_threads({options.maxConnections, threadStackBytes, threadIdleTimeout})
    { }

    ~state()
    {
        {
            const std::lock_guard lock(m_mutex);
            m_isStopping = true;
        }
        m_poller.wake();
        if (m_pollingThread.joinable()) {
            m_pollingThread.join();
        }
        std::unique_lock lock(m_mutex);
        for (connection *polled : m_polled) {
            if (polled->workers == 0) {
                m_connections.erase(polled);
            }
        }
        for (connection *deferred : m_deferred) {
            m_connections.erase(deferred);
        }
        for (const auto &[busy, owned] : m_connections) {
            busy->stream.shutdown();
        }
        m_connectionsChanged.wait(lock, [this] { return m_connections.empty(); });
        lock.unlock();
        m_threads.waitUntilIdle();
    }

    // Throws Poco::Exception if the address can't be bound.
    void start()
    {
        m_listener.bind(Poco::Net::SocketAddress(options.address), true, false);
        m_listener.listen(listenBacklog);
        address = m_listener.address().toString();
        if (!m_poller.add(m_listener.impl()->sockfd(), this)) {
            throw Poco::IOException("cannot watch the listening socket");
        }
        m_pollingThread = std::thread([this] { poll(); });
    }

    // Closes the listener once the connections established earlier are accepted. The polling thread
    // closes the idle connections soon afterwards.
    void stopListening()
    {
        m_isClosing = true;
        m_poller.wake();
        std::unique_lock lock(m_mutex);
        m_connectionsChanged.wait_for(lock, listenerCloseTimeout,
                                      [this] { return m_closedAt.has_value(); });
    }

    bool waitUntilClosed(steady_time until)
    {
        std::unique_lock lock(m_mutex);
        return m_connectionsChanged.wait_until(lock, until,
                                               [this] { return m_connections.empty(); });
    }

    int connectionCount() const
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(m_connections.size());
    }

    // Serves the requests that have arrived on a connection. Runs on a worker.
    void serveRequests(connection &target)
    {
        bool isOpen = true;
        try {
            do {
                isOpen = m_requests.serveNext(target.stream) && !m_isClosing;
            } while (isOpen && !m_isStopping && target.stream.hasInput());
        } catch (const std::exception &) {
            // The handler failed. The closed connection tells the client that no response follows.
            target.stream.shutdown();
            isOpen = false;
        }
        if (!isOpen) {
            target.stream.shutdownSending();
            target.isSendingShutDown = true;
        }
        if (target.isSendingShutDown && target.stream.discardInput() == io_status::Closed) {
            const std::lock_guard lock(m_mutex);
            closeConnection(target);
        } else {
            returnToPoller(target);
        }
    }

    // Serves requests of a connection with a pipeline, and lets other workers read further ones
    // meanwhile. Runs on a worker that `workers` of the connection counts.
    void servePipelined(connection &target)
    {
        do {
            if (target.stream.hasInput()) {
                readAndServe(target);
            } else {
                pollForRequest(target);
            }
        } while (continueReading(target));
    }

    const http_server_options options;
    std::atomic<uint64_t> rejected = 0;
    std::atomic<uint64_t> pipelined = 0;
    held_bytes held;
    std::string address;

private:
    // Runs the loop of the polling thread.
    void poll()
    {
        std::vector<void *> ready;
        while (!m_isStopping) {
            m_poller.wait(pollTimeout(), ready);
            for (void *context : ready) {
                if (context == this) {
                    acceptConnections(maxAcceptsPerRound);
                } else {
                    onInput(*static_cast<connection *>(context));
                }
            }
            retryDeferred();
            const steady_time now = std::chrono::steady_clock::now();
            if (m_acceptRetryAt && now >= *m_acceptRetryAt) {
                acceptConnections(maxAcceptsPerRound);
            }
            if (m_isClosing && !m_closedAt) {
                // Connections that the kernel has established already must not be reset.
                acceptConnections(listenBacklog);
                closeListener(now);
            }
            closeExpiredConnections(now);
        }
    }

    // Returns the idle timeout for the present number of connections.
    milliseconds currentIdleTimeout() const
    {
        const bool isCrowded = connectionCount() * 4 > options.maxConnections * 3;
        return isCrowded ? options.crowdedIdleTimeout : options.idleTimeout;
    }

    // Returns the timeout of the next wait of the polling thread.
    milliseconds pollTimeout() const
    {
        if (!m_deferred.empty()) {
            return deferredRetryInterval;
        }
        const bool needsShortInterval = m_isClosing || m_acceptRetryAt.has_value();
        return std::clamp(currentIdleTimeout(), deferredRetryInterval,
                          needsShortInterval ? shortCheckInterval : idleCheckInterval);
    }

    // Accepts connections in the backlog of the listener, at most `maxCount`. The poller reports
    // the listener again if more are waiting.
    void acceptConnections(int maxCount)
    {
        m_acceptRetryAt.reset();
        try {
            acceptBatch(m_listener, maxCount,
                        [this](const Poco::Net::StreamSocket &socket) { addConnection(socket); });
        } catch (const Poco::Exception &) {
            // The peer has disconnected, or no descriptor is free. In the latter case, an immediate
            // retry would fail as well.
            m_acceptRetryAt = after(acceptRetryDelay);
            return;
        }
        if (!m_poller.rearm(m_listener.impl()->sockfd(), this)) {
            m_acceptRetryAt = after(acceptRetryDelay);
        }
    }

    // Adds an accepted connection. Rejects the connection if maxConnections are open.
    void addConnection(const Poco::Net::StreamSocket &socket)
    {
        if (connectionCount() >= options.maxConnections) {
            ++rejected;
            sendOverloadResponse(socket);
            return;
        }
        auto owned = std::make_unique<connection>(socket, *this);
        connection &added = *owned;
        if (options.maxPipelinedRequests > 1) {
            added.pipeline = makePipeline(added.stream);
        }
        const std::lock_guard lock(m_mutex);
        m_connections.emplace(&added, std::move(owned));
        added.waitingSince = std::chrono::steady_clock::now();
        m_polled.insert(&added);
        if (!m_poller.add(added.stream.descriptor(), &added)) {
            ++rejected;
            closeConnection(added);
        }
    }

    // Handles a polled connection that has input.
    void onInput(connection &target)
    {
        {
            // The lock also orders this call after the worker that returned the connection to the
            // poller.
            const std::lock_guard lock(m_mutex);
            if (!target.isSendingShutDown) {
                m_polled.erase(&target);
                target.nextReader = connection::reader::Worker;
                target.workers += target.pipeline != nullptr ? 1 : 0;
            }
        }
        if (target.isSendingShutDown) {
            if (target.stream.discardInput() == io_status::Closed
                || !m_poller.rearm(target.stream.descriptor(), &target)) {
                const std::lock_guard lock(m_mutex);
                closeConnection(target);
            }
            return;
        }
        startWorker(target);
    }

    // Starts a worker for a connection, or defers the connection if no thread is free.
    void startWorker(connection &target)
    {
        // All threads may be in use, or the system can't create another one.
        if (!m_threads.tryRun([&target] { target.run(); }) && !pauseReading(target)) {
            m_deferred.push_back(&target);
        }
    }

    // Lets a worker that runs a request of the connection read the next one afterwards. Returns
    // false if there is no such worker.
    bool pauseReading(connection &target)
    {
        const std::lock_guard lock(m_mutex);
        if (target.pipeline == nullptr || target.workers < 2) {
            return false;
        }
        --target.workers;
        target.nextReader = connection::reader::Paused;
        return true;
    }

    std::unique_ptr<response_pipeline> makePipeline(http_stream &stream)
    {
        response_pipeline::hooks hooks;
        hooks.write = [&stream](std::string_view bytes, size_t &written, steady_time until) {
            return stream.write(bytes, written, until);
        };
        hooks.onEnd = [&stream](bool isAborted) {
            if (isAborted) {
                stream.shutdown();
            } else {
                stream.shutdownSending();
            }
        };
        return std::make_unique<response_pipeline>(options.maxHeldBytesPerConnection, held,
                                                   options.idleTimeout, std::move(hooks));
    }

    bool isDraining() const
    {
        return m_isClosing || m_isStopping || (options.isStopping && options.isStopping());
    }

    bool mayServeBesideOthers(const received_request &received) const
    {
        return received.type == received_request::kind::Valid
            && received.framing.type == body_framing::kind::None && options.isIdempotent
            && options.isIdempotent(received.message);
    }

    // Reads a request and serves it beside the earlier ones of the connection if it may be, or
    // after them.
    void readAndServe(connection &target)
    {
        const received_request received = m_requests.read(target.stream);
        if (!mayServeBesideOthers(received)) {
            serveInTurn(target, received);
            return;
        }
        const bool hasEarlier = target.pipeline->size() > 0;
        const auto request =
            target.pipeline->add(isDraining() || !keepsConnectionOpen(received.message));
        if (request == nullptr) {
            endReading(target);
            return;
        }
        pipelined += hasEarlier ? 1 : 0;
        passReading(target);
        serveBesideOthers(target, *request, received);
    }

    // Serves a request once all earlier ones of the connection are answered.
    void serveInTurn(connection &target, const received_request &received)
    {
        bool isOpen = false;
        if (received.type != received_request::kind::None && target.pipeline->waitForTurn()) {
            try {
                isOpen = m_requests.serve(target.stream, received) && !m_isClosing;
            } catch (const std::exception &) {
                target.stream.shutdown();
            }
        }
        if (isOpen) {
            passReading(target);
        } else {
            endReading(target);
        }
    }

    // Runs the handler for a request that has been added to the pipeline.
    void serveBesideOthers(connection &target, response_pipeline::request &request,
                           const received_request &received)
    {
        using request_end = response_pipeline::request_end;
        response_pipeline &pipeline = *target.pipeline;
        http_stream watch(target.stream, request.cancelDescriptor());
        exchange_hooks hooks;
        hooks.write = [&](std::string_view bytes, size_t &written, steady_time turnDeadline) {
            return pipeline.write(request, bytes, written, turnDeadline);
        };
        hooks.onCloseAfterResponse = [&] { pipeline.closeAfter(request); };
        hooks.closesAfterResponse = [&] { return pipeline.closesAfter(request, isDraining()); };
        request_end end = request_end::Abort;
        try {
            end = m_requests.serveBesideOthers(watch, received, std::move(hooks))
                ? request_end::Reusable
                : request_end::Close;
        } catch (const std::exception &) {
            // The handler failed. The closed connection tells the client that no response follows.
        }
        pipeline.finish(request, end);
    }

    // Lets another thread read the next request while the calling worker runs one.
    void passReading(connection &target)
    {
        if (!target.stream.hasInput()) {
            pollForRequest(target);
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            // Only the calling worker may be left, which then reads on after its request.
            target.nextReader = connection::reader::Paused;
            if (!mayReadNext(target)) {
                return;
            }
            target.nextReader = connection::reader::Worker;
            ++target.workers;
        }
        if (!m_threads.tryRun([this, &target] { servePipelined(target); })) {
            pauseReading(target);
        }
    }

    // Returns whether the next request may be read. Call with the mutex held.
    bool mayReadNext(const connection &target) const
    {
        return target.nextReader == connection::reader::Paused && !m_isStopping
            && !target.pipeline->isClosing()
            && target.pipeline->size() < static_cast<size_t>(options.maxPipelinedRequests);
    }

    // Lets the polling thread wait for the next request.
    void pollForRequest(connection &target)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_isStopping && !target.pipeline->isClosing() && startPolling(target)) {
                return;
            }
        }
        endReading(target);
    }

    // Adds a connection to the polled ones. Call with the mutex held.
    bool startPolling(connection &target)
    {
        target.stream.releaseBuffer();
        target.waitingSince = std::chrono::steady_clock::now();
        target.nextReader = connection::reader::Poller;
        m_polled.insert(&target);
        const bool isPolled = m_poller.rearm(target.stream.descriptor(), &target);
        if (!isPolled) {
            m_polled.erase(&target);
        }
        return isPolled;
    }

    // Reads no further requests of a connection, which closes after the last response.
    void endReading(connection &target)
    {
        target.pipeline->closeAfterLast();
        const std::lock_guard lock(m_mutex);
        target.nextReader = connection::reader::None;
    }

    // Returns whether the calling worker is to read the next request. Otherwise, the worker no
    // longer uses the connection, which may have been deleted.
    bool continueReading(connection &target)
    {
        const std::lock_guard lock(m_mutex);
        if (mayReadNext(target)) {
            target.nextReader = connection::reader::Worker;
            return true;
        }
        if (--target.workers > 0) {
            return false;
        }
        target.waitingSince = std::chrono::steady_clock::now();
        if (m_isStopping) {
            closeConnection(target);
        } else if (target.pipeline->isClosing()) {
            lingerUntilClosed(target);
        }
        return false;
    }

    // Waits until the client closes a connection whose last response is written. Call with the
    // mutex held.
    void lingerUntilClosed(connection &target)
    {
        target.isSendingShutDown = true;
        if (target.nextReader == connection::reader::Poller) {
            return;
        }
        if (target.stream.discardInput() == io_status::Closed || !startPolling(target)) {
            closeConnection(target);
        }
    }

    void retryDeferred()
    {
        const std::vector<connection *> deferred = std::move(m_deferred);
        m_deferred.clear();
        for (connection *target : deferred) {
            startWorker(*target);
        }
    }

    // Lets the polling thread wait for the next input of a connection. Closes the connection if the
    // server stops.
    void returnToPoller(connection &target)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isStopping) {
            target.stream.releaseBuffer();
            target.waitingSince = std::chrono::steady_clock::now();
            m_polled.insert(&target);
            if (m_poller.rearm(target.stream.descriptor(), &target)) {
                return;
            }
        }
        closeConnection(target);
    }

    // Closes a connection and deletes its object. Call closeConnection() with the mutex held.
    void closeConnection(connection &target)
    {
        m_polled.erase(&target);
        m_connections.erase(&target);
        m_connectionsChanged.notify_all();
    }

    // Closes the listener. Called once, by the polling thread.
    void closeListener(steady_time now)
    {
        const std::lock_guard lock(m_mutex);
        m_poller.remove(m_listener.impl()->sockfd());
        m_listener.close();
        m_acceptRetryAt.reset();
        // Closing the listener shortens the remaining waits, so expiry is checked at once.
        m_nextExpiryCheckAt = now;
        m_closedAt = now;
        m_connectionsChanged.notify_all();
    }

    // Shuts down the polled connections whose idle timeout has expired, and closes those whose
    // linger timeout has expired.
    void closeExpiredConnections(steady_time now)
    {
        if (now < m_nextExpiryCheckAt) {
            return;
        }
        m_nextExpiryCheckAt = now + pollTimeout();
        const milliseconds idleTimeout = currentIdleTimeout();
        const std::lock_guard lock(m_mutex);
        std::vector<connection *> expired;
        for (connection *polled : m_polled) {
            if (polled->workers == 0 && now >= expiryTime(*polled, idleTimeout)) {
                expired.push_back(polled);
            }
        }
        for (connection *polled : expired) {
            if (polled->isSendingShutDown) {
                closeConnection(*polled);
            } else if (!polled->stream.hasInput()) {
                // A connection with input is left open, because the next wait() reports the input.
                polled->stream.shutdownSending();
                polled->isSendingShutDown = true;
                polled->waitingSince = now;
            }
        }
    }

    // Returns the time at which the wait of a polled connection expires. After the listener has
    // closed, a connection keeps lastRequestTimeout, because it may have been accepted just before
    // and its request may still be in transit.
    steady_time expiryTime(const connection &polled, milliseconds idleTimeout) const
    {
        if (polled.isSendingShutDown) {
            return polled.waitingSince + lingerTimeout;
        }
        const steady_time end = polled.waitingSince + idleTimeout;
        return m_closedAt ? std::min(end, *m_closedAt + lastRequestTimeout) : end;
    }

    const request_reader m_requests;
    std::atomic<bool> m_isStopping = false;
    // Set once no new connections are to be accepted.
    std::atomic<bool> m_isClosing = false;
    // Only the polling thread uses the following four members while it runs.
    Poco::Net::ServerSocket m_listener;
    std::vector<connection *> m_deferred;
    std::optional<steady_time> m_acceptRetryAt;
    steady_time m_nextExpiryCheckAt;
    connection_poller m_poller;
    mutable std::mutex m_mutex;
    std::condition_variable m_connectionsChanged;
    // Time at which the listener was closed. The polling thread writes it with the mutex held.
    std::optional<steady_time> m_closedAt;
    std::unordered_map<connection *, std::unique_ptr<connection>> m_connections;
    std::unordered_set<connection *> m_polled;
    worker_pool m_threads;
    std::thread m_pollingThread;
};

void http_server::connection::run()
{
    if (pipeline != nullptr) {
        m_server.servePipelined(*this);
    } else {
        m_server.serveRequests(*this);
    }
}

absl::StatusOr<std::unique_ptr<http_server>>
http_server::listen(const http_server_options &options, handler handler, error_handler onError)
{
    auto serverState = std::make_unique<state>(options, std::move(handler), std::move(onError));
    try {
        serverState->start();
    } catch (const Poco::Exception &error) {
        return absl::UnavailableError("cannot listen on " + options.address + ": "
                                      + error.displayText());
    }
    return std::unique_ptr<http_server>(new http_server(std::move(serverState)));
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
    return m_state->connectionCount();
}

uint64_t http_server::rejectedConnections() const
{
    return m_state->rejected;
}

uint64_t http_server::pipelinedRequests() const
{
    return m_state->pipelined;
}

size_t http_server::heldResponseBytes() const
{
    return m_state->held.used();
}

void http_server::stopListening()
{
    m_state->stopListening();
}

bool http_server::waitUntilClosed(steady_time until)
{
    return m_state->waitUntilClosed(until);
}

} // namespace persimmonrail
