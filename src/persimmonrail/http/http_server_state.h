#pragma once

#include "persimmonrail/http/connection_poller.h"
#include "persimmonrail/http/http_server.h"
#include "persimmonrail/http/request_reader.h"
#include "persimmonrail/http/response_pipeline.h"
#include "persimmonrail/http/worker_pool.h"

#include <Poco/Net/ServerSocket.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace persimmonrail {

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

// The connections of a server and the threads that serve them. Thread safe, except for functions
// that name their thread.
//
// Invariant: each connection without a pipeline is polled, deferred (waiting for a free thread), or
// used by one worker, and only the polling thread uses polled connections. A connection with a
// pipeline has one reader at a time (connection::reader) and may be used by further workers, which
// run its requests.
class http_server::state
{
public:
    state(const http_server_options &serverOptions, handler handler, error_handler onError);

    ~state();

    // Throws Poco::Exception if the address can't be bound.
    void start();

    // Closes the listener once the connections established earlier are accepted. The polling thread
    // closes the idle connections soon afterwards.
    void stopListening();

    bool waitUntilClosed(steady_time until);

    int connectionCount() const;

    // Serves the requests that have arrived on a connection. Runs on a worker.
    void serveRequests(connection &target);

    // Serves requests of a connection with a pipeline, and lets other workers read further ones
    // meanwhile. Runs on a worker that `workers` of the connection counts.
    void servePipelined(connection &target);

    const http_server_options options;
    std::atomic<uint64_t> rejected = 0;
    std::atomic<uint64_t> pipelined = 0;
    held_bytes held;
    std::string address;

private:
    // Runs the loop of the polling thread.
    void poll();

    // Returns the idle timeout for the present number of connections.
    milliseconds currentIdleTimeout() const;

    // Returns the timeout of the next wait of the polling thread.
    milliseconds pollTimeout() const;

    // Accepts connections in the backlog of the listener, at most `maxCount`. The poller reports
    // the listener again if more are waiting.
    void acceptConnections(int maxCount);

    // Adds an accepted connection. Rejects the connection if maxConnections are open.
    void addConnection(const Poco::Net::StreamSocket &socket);

    // Handles a polled connection that has input.
    void onInput(connection &target);

    // Starts a worker for a connection, or defers the connection if no thread is free.
    void startWorker(connection &target);

    // Lets a worker that runs a request of the connection read the next one afterwards. Returns
    // false if there is no such worker.
    bool pauseReading(connection &target);

    std::unique_ptr<response_pipeline> makePipeline(http_stream &stream);

    bool isDraining() const;

    bool mayServeBesideOthers(const received_request &received) const;

    // Reads a request and serves it beside the earlier ones of the connection if it may be, or
    // after them.
    void readAndServe(connection &target);

    // Serves a request once all earlier ones of the connection are answered.
    void serveInTurn(connection &target, const received_request &received);

    // Runs the handler for a request that has been added to the pipeline.
    void serveBesideOthers(connection &target, response_pipeline::request &request,
                           const received_request &received);

    // Lets another thread read the next request while the calling worker runs one.
    void passReading(connection &target);

    // Returns whether the next request may be read. Call with the mutex held.
    bool mayReadNext(const connection &target) const;

    // Lets the polling thread wait for the next request.
    void pollForRequest(connection &target);

    // Adds a connection to the polled ones. Call with the mutex held.
    bool startPolling(connection &target);

    // Reads no further requests of a connection, which closes after the last response.
    void endReading(connection &target);

    // Returns whether the calling worker is to read the next request. Otherwise, the worker no
    // longer uses the connection, which may have been deleted.
    bool continueReading(connection &target);

    // Waits until the client closes a connection whose last response is written. Call with the
    // mutex held.
    void lingerUntilClosed(connection &target);

    void retryDeferred();

    // Lets the polling thread wait for the next input of a connection. Closes the connection if the
    // server stops.
    void returnToPoller(connection &target);

    // Closes a connection and deletes its object. Call closeConnection() with the mutex held.
    void closeConnection(connection &target);

    // Lets the kernel drop connection attempts, and closes the listener once the handshakes that
    // had begun are complete. Called by the polling thread until the listener is closed.
    void drainListener(steady_time now);

    // Closes the listener. Called once, by the polling thread.
    void closeListener(steady_time now);

    // Shuts down the polled connections whose idle timeout has expired, and closes those whose
    // linger timeout has expired.
    void closeExpiredConnections(steady_time now);

    // Returns the time at which the wait of a polled connection expires. After the listener has
    // closed, a connection keeps lastRequestTimeout, because it may have been accepted just before
    // and its request may still be in transit.
    steady_time expiryTime(const connection &polled, milliseconds idleTimeout) const;

    const request_reader m_requests;
    std::atomic<bool> m_isStopping = false;
    // Set once no new connections are to be accepted.
    std::atomic<bool> m_isClosing = false;
    // Only the polling thread uses the following five members while it runs.
    Poco::Net::ServerSocket m_listener;
    std::vector<connection *> m_deferred;
    std::optional<steady_time> m_acceptRetryAt;
    // When the listener is to be closed, once it drops connection attempts.
    std::optional<steady_time> m_listenerDrainEnd;
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

} // namespace persimmonrail
