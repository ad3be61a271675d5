#pragma once

#include "persimmonrail/http/http_stream.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace persimmonrail {

// Idle connections by address. Thread safe.
class connection_pool
{
public:
    struct connection
    {
        std::string address;
        std::unique_ptr<http_stream> stream;
        bool reused = false;
    };

    explicit connection_pool(size_t maxIdlePerAddress = 32);

    // Returns an idle connection that its peer has not closed, or connects.
    // Errors: Unavailable if the connection is refused or can't be made in time.
    absl::StatusOr<connection> take(const std::string &address, steady_time until);
    absl::StatusOr<connection> connect(const std::string &address, steady_time until);
    // Returns a connection on which an exchange ended regularly.
    void giveBack(connection connection);
    // Closes the idle connections to an address.
    void drop(const std::string &address);
    size_t idleCount() const;

private:
    const size_t m_maxIdlePerAddress;
    mutable std::mutex m_mutex;
    std::map<std::string, std::vector<std::unique_ptr<http_stream>>> m_idle;
};

// Supplies the body of a request. Implementations need not be thread safe.
class body_source
{
public:
    virtual ~body_source() = default;
    virtual body_framing framing() const = 0;
    // Replaces `piece` with the next bytes, empty at the end.
    virtual io_status read(std::string &piece, steady_time until) = 0;
    // Starts again from the first byte; false if the bytes are no longer available.
    virtual bool rewind() = 0;
};

// Receives an answer. Implementations need not be thread safe.
class answer_sink
{
public:
    virtual ~answer_sink() = default;
    // Called once, when either the whole body or its first bodyPieceBytes have arrived. If `whole`
    // is set, `first` is the whole body and neither write() nor finish() follows. Returns false if
    // the receiver is gone.
    virtual bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
                       std::string_view first, bool whole) = 0;
    virtual bool write(std::string_view piece) = 0;
    // Called once the answer is known to be complete.
    virtual bool finish() = 0;
};

enum class exchange_state {
    // The whole answer went to the sink.
    Whole,
    // The answer came, but `wanted` declined it; the sink got nothing.
    Declined,
    // No byte of the request was sent.
    NotSent,
    // Bytes of the request were sent, and no whole head of an answer came.
    NoAnswer,
    // The answer ended before its framing says, violated it, or has none.
    Truncated,
    TimedOut,
    // No progress, while a new connection to the same address answered.
    Silent,
    // The caller's connection closed, or its request body broke off.
    CallerGone,
    // The request body was not valid HTTP.
    BadRequestBody,
};

std::string_view toString(exchange_state state);

struct client_request
{
    std::string address;
    // Method, URI and fields; framing and connection fields are set by the client.
    Poco::Net::HTTPRequest message{Poco::Net::HTTPMessage::HTTP_1_1};
    // Null for a request without body.
    body_source *body = nullptr;
    // Sends the body only after the peer has asked for it, so that a refusal leaves the body
    // unread.
    bool expectContinue = false;
    // Whether the request may be sent again after bytes of it were sent.
    bool repeatable = false;
    steady_time deadline;
    // The first byte is not sent at or after this time; used for the end of a lease.
    steady_time sendBefore = steady_time::max();
    // Watched while waiting; null if there is none.
    http_stream *caller = nullptr;
    // After this time without progress, `probe` is asked; zero waits until the deadline.
    milliseconds progressTimeout{0};
    // Asked over a new connection: whether the peer answers there and this connection is therefore
    // to be given up.
    std::function<bool()> probe;
    // Returns whether the answer is to be passed to the sink; all are if it is empty.
    std::function<bool(const Poco::Net::HTTPResponse &head)> wanted;
};

struct exchange_result
{
    exchange_state state = exchange_state::NotSent;
    // Whether any byte of the request was sent, on this or an earlier connection.
    bool anySent = false;
    // Whether `sendBefore` or the deadline is the reason that nothing was sent.
    bool leaseEnding = false;
    bool deadlinePassed = false;
    // Whether the sink has been called.
    bool answerStarted = false;
    // Whether the sink reported that its receiver is gone.
    bool sinkGone = false;
    // Valid if state is Whole or Declined.
    Poco::Net::HTTPResponse head;
    std::string detail;
};

// Exchanges one request and its answer, streaming both bodies. A reused connection that is closed
// before any byte of the answer is replaced by a fresh one, once, if the request is repeatable or
// no byte of it was sent. Thread safe.
class http_client
{
public:
    http_client(std::shared_ptr<connection_pool> pool);

    exchange_result exchange(const client_request &request, answer_sink &sink);

private:
    std::shared_ptr<connection_pool> m_pool;
};

// A whole answer held in memory, for control requests.
struct simple_answer
{
    int status = 0;
    std::string body;
};

// Sends a small request and reads an answer of at most 1 MB. Errors: Unavailable if the request
// was not sent, Unknown if it may have been received and no whole answer came.
absl::StatusOr<simple_answer> simpleRequest(http_client &client, const std::string &address,
                                            const std::string &method, const std::string &uri,
                                            const std::string &body, steady_time deadline);

} // namespace persimmonrail
