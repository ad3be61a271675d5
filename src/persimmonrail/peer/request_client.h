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

// Asking side of a control channel: one nng request socket per peer, and a thread that closes
// sockets that are retired or idle.
//
// Thread safe.
class request_client
{
public:
    explicit request_client(control_traffic &traffic);
    request_client(const request_client &) = delete;
    request_client &operator=(const request_client &) = delete;
    ~request_client();

    void send(const std::string &address, const wire::Request &request, milliseconds timeout,
              control_channel::completion done);

private:
    class peer_socket;
    struct exchange;

    absl::StatusOr<std::shared_ptr<peer_socket>> socketFor(const std::string &address);
    // Takes the socket out of use if it is still the one for its address.
    void retire(const std::shared_ptr<peer_socket> &socket);
    void retireIdleSockets(steady_time now);
    void runReaper();

    control_traffic &m_traffic;
    std::mutex m_mutex;
    std::condition_variable m_wakeUp;
    bool m_stopping = false;
    std::map<std::string, std::shared_ptr<peer_socket>> m_sockets;
    // Sockets out of use; closed once their last exchange has ended.
    std::vector<std::shared_ptr<peer_socket>> m_retired;
    std::thread m_reaper;
};

} // namespace persimmonrail
