#pragma once

#include "persimmonrail/base/clock.h"

#include <control.pb.h>

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// Counts the messages of a control channel since its start. Thread safe.
struct control_traffic
{
    std::atomic<uint64_t> messagesSent{0};
    std::atomic<uint64_t> bytesSent{0};
    std::atomic<uint64_t> messagesReceived{0};
    std::atomic<uint64_t> bytesReceived{0};
    // Received requests and replies that cannot be parsed or have no body.
    std::atomic<uint64_t> malformedMessages{0};
};

// Request/reply exchange of control messages with other daemons over nng.
//
// The channel connects to a peer when the first request to this peer is sent. After a request has
// timed out, the channel stops using the connection to that peer, and the next request opens a new
// one: an established connection can remain unresponsive forever while new connections work.
// Outstanding requests on the old connection can still receive their replies.
//
// Thread safe. Handlers and completions run on threads of nng and must not block. A completion runs
// on the thread that calls send() if the request cannot be started.
class control_channel
{
public:
    // Sends the reply to one request. May be called once, from any thread.
    using responder = std::function<void(const wire::Reply &reply)>;
    // Handles one request. Must ensure that `respond` is called exactly once, either before the
    // handler returns or later.
    using request_handler = std::function<void(wire::Request request, responder respond)>;
    // Receives the reply to a request or one of these errors: DeadlineExceeded if no reply was
    // received before the timeout, Unavailable if the connection failed, DataLoss if the reply
    // cannot be parsed. After each of these three errors, the peer may have received the request.
    // FailedPrecondition holds the message of an error reply from the peer.
    using completion = std::function<void(absl::StatusOr<wire::Reply> reply)>;

    // Listens on `address` ("ip:port") and passes the received requests to `handler`. Port 0
    // selects a free port. Errors: Unavailable if the channel cannot listen on the address.
    static absl::StatusOr<std::unique_ptr<control_channel>> listen(const std::string &address,
                                                                   request_handler handler);

    control_channel(const control_channel &) = delete;
    control_channel &operator=(const control_channel &) = delete;
    // Cancels all outstanding requests. Their completions run before the destructor returns.
    ~control_channel();

    // Sends a request to the daemon at `address` ("ip:port"). `callback` runs exactly once.
    void send(const std::string &address, const wire::Request &request, milliseconds timeout,
              completion callback);

    // Returns the address that the channel listens on, with the actual port.
    const std::string &address() const;
    const control_traffic &traffic() const;

private:
    class state;
    explicit control_channel(std::unique_ptr<state> channel);
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
