#pragma once

#include "persimmonrail/peer/control_channel.h"

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace persimmonrail {

// Client side of a control channel: one nng request socket per peer, and a thread that closes
// retired and idle sockets. A retired socket takes no new requests.
//
// Thread safe.
class request_client
{
public:
    // `traffic` must outlive the client.
    explicit request_client(control_traffic &traffic);
    request_client(const request_client &) = delete;
    request_client &operator=(const request_client &) = delete;
    // Cancels all outstanding requests and waits until their completions have run.
    ~request_client();

    // Sends a request to the daemon at `address` ("ip:port"). The errors that `callback` receives
    // are those of control_channel::completion.
    void send(const std::string &address, const wire::Request &request, milliseconds timeout,
              control_channel::completion callback);

private:
    class peer_socket;
    struct exchange;

    // Returns the socket for `address`, which is created and dialled if there is none, and counts
    // one more outstanding exchange. Errors: Unavailable if dialling fails or the client is
    // stopping.
    absl::StatusOr<std::shared_ptr<peer_socket>> acquireSocket(const std::string &address);
    // Retires the socket if it is still the current one for its address; otherwise has no effect.
    void retireSocket(const std::shared_ptr<peer_socket> &socket);
    // Retires the sockets that were not used for idleTimeout. Requires m_mutex.
    void retireIdleSockets(steady_time now);
    // Retires idle sockets and closes retired ones at regular intervals until the client stops.
    void runSocketCleanup();

    control_traffic &m_traffic;
    std::mutex m_mutex;
    std::condition_variable m_stopRequested;
    bool m_isStopping = false;
    std::map<std::string, std::shared_ptr<peer_socket>> m_sockets;
    // Retired sockets. Each is closed once its last exchange has completed.
    std::vector<std::shared_ptr<peer_socket>> m_retiredSockets;
    std::thread m_cleanupThread;
};

} // namespace persimmonrail
