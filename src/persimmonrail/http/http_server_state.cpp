// The part of http_server::state that accepts and polls connections, and serves the requests of
// those without a pipeline.
#include "persimmonrail/http/http_server_state.h"

#include "persimmonrail/http/accept_batch.h"
#include "persimmonrail/http/listener_drain.h"
#include "persimmonrail/http/overload_response.h"

#include <Poco/Exception.h>

#include <algorithm>

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
// Time for which the listener stays open after it drops connection attempts, so that handshakes
// that have begun complete. Longer than a round trip between hosts.
constexpr milliseconds handshakeTimeout{50};
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

void http_server::connection::run()
{
    if (pipeline != nullptr) {
        m_server.servePipelined(*this);
    } else {
        m_server.serveRequests(*this);
    }
}

http_server::state::state(const http_server_options &serverOptions, handler handler,
                          error_handler onError)
    : options(serverOptions)
    , held(options.maxHeldBytes)
    , m_requests(options.idleTimeout, std::move(handler), std::move(onError))
    , m_threads({options.maxConnections, threadStackBytes, threadIdleTimeout})
{ }

http_server::state::~state()
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

void http_server::state::start()
{
    m_listener.bind(Poco::Net::SocketAddress(options.address), true, false);
    m_listener.listen(listenBacklog);
    address = m_listener.address().toString();
    if (!m_poller.add(m_listener.impl()->sockfd(), this)) {
        throw Poco::IOException("cannot watch the listening socket");
    }
    m_pollingThread = std::thread([this] { poll(); });
}

void http_server::state::stopListening()
{
    m_isClosing = true;
    m_poller.wake();
    std::unique_lock lock(m_mutex);
    m_connectionsChanged.wait_for(lock, listenerCloseTimeout,
                                  [this] { return m_closedAt.has_value(); });
}

bool http_server::state::waitUntilClosed(steady_time until)
{
    std::unique_lock lock(m_mutex);
    return m_connectionsChanged.wait_until(lock, until, [this] { return m_connections.empty(); });
}

int http_server::state::connectionCount() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<int>(m_connections.size());
}

void http_server::state::serveRequests(connection &target)
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

void http_server::state::poll()
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
            drainListener(now);
        }
        closeExpiredConnections(now);
    }
}

milliseconds http_server::state::currentIdleTimeout() const
{
    const bool isCrowded = connectionCount() * 4 > options.maxConnections * 3;
    return isCrowded ? options.crowdedIdleTimeout : options.idleTimeout;
}

milliseconds http_server::state::pollTimeout() const
{
    if (!m_deferred.empty()) {
        return deferredRetryInterval;
    }
    const bool needsShortInterval = m_isClosing || m_acceptRetryAt.has_value();
    return std::clamp(currentIdleTimeout(), deferredRetryInterval,
                      needsShortInterval ? shortCheckInterval : idleCheckInterval);
}

void http_server::state::acceptConnections(int maxCount)
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

void http_server::state::addConnection(const Poco::Net::StreamSocket &socket)
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

void http_server::state::onInput(connection &target)
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

void http_server::state::startWorker(connection &target)
{
    // All threads may be in use, or the system can't create another one.
    if (!m_threads.tryRun([&target] { target.run(); }) && !pauseReading(target)) {
        m_deferred.push_back(&target);
    }
}

void http_server::state::retryDeferred()
{
    const std::vector<connection *> deferred = std::move(m_deferred);
    m_deferred.clear();
    for (connection *target : deferred) {
        startWorker(*target);
    }
}

void http_server::state::returnToPoller(connection &target)
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

void http_server::state::closeConnection(connection &target)
{
    m_polled.erase(&target);
    m_connections.erase(&target);
    m_connectionsChanged.notify_all();
}

void http_server::state::drainListener(steady_time now)
{
    if (!m_listenerDrainEnd) {
        m_listenerDrainEnd = dropConnectionAttempts(m_listener) ? now + handshakeTimeout : now;
    }
    if (now >= *m_listenerDrainEnd) {
        // Connections that the kernel has established already must not be reset. The backlog holds
        // one more than its size.
        acceptConnections(listenBacklog + 1);
        closeListener(now);
    }
}

void http_server::state::closeListener(steady_time now)
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

void http_server::state::closeExpiredConnections(steady_time now)
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

steady_time http_server::state::expiryTime(const connection &polled, milliseconds idleTimeout) const
{
    if (polled.isSendingShutDown) {
        return polled.waitingSince + lingerTimeout;
    }
    const steady_time end = polled.waitingSince + idleTimeout;
    return m_closedAt ? std::min(end, *m_closedAt + lastRequestTimeout) : end;
}

} // namespace persimmonrail
