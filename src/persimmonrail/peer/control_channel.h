#pragma once

#include "persimmonrail/base/clock.h"

#include <control.pb.h>

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace persimmonrail {

// Traffic of a control channel since its start. Thread safe.
struct control_traffic
{
    std::atomic<uint64_t> messagesSent{0};
    std::atomic<uint64_t> bytesSent{0};
    std::atomic<uint64_t> messagesReceived{0};
    std::atomic<uint64_t> bytesReceived{0};
    std::atomic<uint64_t> malformedMessages{0};
};

// Request/reply exchange of control messages with other daemons over nng.
//
// Peers are dialled on first use. A request that gets no reply in time retires the connection to
// that peer, so the next request dials anew: an established connection can go silent for good
// while new ones work. Requests outstanding on a retired connection may still be answered.
//
// Thread safe. Handlers and completions run on threads of nng and must not block.
class control_channel
{
public:
    // Sends the reply; callable once, from any thread.
    using responder = std::function<void(const wire::Reply &reply)>;
    // Must arrange for `respond` to be called once, now or later.
    using request_handler = std::function<void(wire::Request request, responder respond)>;
    // Errors: DeadlineExceeded if no reply came in time, Unavailable if the connection failed,
    // DataLoss if the reply can't be parsed. In all three the peer may have seen the request.
    using completion = std::function<void(absl::StatusOr<wire::Reply> reply)>;

    // Listens on `address` ("ip:port"; port 0 picks a free one) and answers with `handler`.
    // Errors: Unavailable if the address can't be bound.
    static absl::StatusOr<std::unique_ptr<control_channel>> listen(const std::string &address,
                                                                   request_handler handler);

    control_channel(const control_channel &) = delete;
    control_channel &operator=(const control_channel &) = delete;
    // Cancels outstanding requests; their completions run before the destructor returns.
    ~control_channel();

    // Sends a request to the daemon at `address` ("ip:port").
    void send(const std::string &address, const wire::Request &request, milliseconds timeout,
              completion done);

    // The address that the channel listens on, with the port that was picked.
    const std::string &address() const;
    const control_traffic &traffic() const;

private:
    class state;
    explicit control_channel(std::unique_ptr<state> state);
    std::unique_ptr<state> m_state;
};

} // namespace persimmonrail
