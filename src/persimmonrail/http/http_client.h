#pragma once

#include "persimmonrail/http/http_stream.h"

#include <absl/status/statusor.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace persimmonrail {

struct connection_pool_options
{
    size_t maxIdlePerAddress = 32;
    // Bounds the descriptors that idle connections take, whatever the number of peers; the
    // connection that has been idle longest is closed first.
    size_t maxIdle = 512;
    // Well below the idle timeout of the servers (30 s), so that they rarely close first.
    milliseconds idleTime{10000};
    // A request that may not be repeated takes a connection only if it has been idle for less than
    // this: a crowded server closes connections after 1 s, and a request sent at that moment would
    // end with an unknown outcome.
    milliseconds freshTime{500};
    // A connection that takes longer to be made counts as unreachable; within one region a connect
    // takes a few milliseconds.
    milliseconds connectTime{1000};
    // Finds connections that went silent while nothing is sent on them, as a waiting watch is.
    bool keepAlive = false;
};

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

    explicit connection_pool(const connection_pool_options &options = {});

    // Returns an idle connection that its peer has not closed, or connects. `repeatable` tells
    // about the request to be sent. Errors: FailedPrecondition if the connection is refused,
    // Unavailable if it can't be made in time.
    absl::StatusOr<connection> acquire(const std::string &address, bool repeatable, steady_time now,
                                       steady_time until);
    absl::StatusOr<connection> connect(const std::string &address, steady_time until);
    // Returns a connection on which an exchange ended regularly.
    void release(connection connection, steady_time now);
    // Closes the idle connections to an address.
    void closeIdle(const std::string &address);
    size_t idleCount() const;

private:
    struct idle_connection
    {
        std::string address;
        std::unique_ptr<http_stream> stream;
        steady_time since;
    };
    using idle_list = std::list<idle_connection>;

    std::unique_ptr<http_stream> takeIdle(const std::string &address, steady_time since);
    void closeOldest();

    const connection_pool_options m_options;
    mutable std::mutex m_mutex;
    // Both in the order in which the connections became idle.
    idle_list m_idle;
    std::map<std::string, std::deque<idle_list::iterator>> m_byAddress;
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
class response_sink
{
public:
    virtual ~response_sink() = default;
    // Called once, when either the whole body or its first bodyPieceBytes have arrived. If
    // `isComplete` is set, `first` is the whole body and neither write() nor finish() follows.
    // Returns false if the receiver is gone.
    virtual bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
                       std::string_view first, bool isComplete) = 0;
    virtual bool write(std::string_view piece) = 0;
    // Called once the answer is known to be complete.
    virtual bool finish() = 0;
};

enum class exchange_state {
    // The whole answer went to the sink.
    Complete,
    // The answer came, but `acceptsResponse` declined it; the sink got nothing.
    Declined,
    // No byte of the request was sent.
    NotSent,
    // Bytes of the request were sent, and no whole head of an answer came.
    NoResponse,
    // The answer ended before its framing says, violated it, or has none.
    Truncated,
    TimedOut,
    // No progress, while a new connection to the same address answered.
    Silent,
    // The time of abandonAt has come.
    Abandoned,
    // The caller's connection closed, or its request body broke off.
    CallerDisconnected,
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
    // Returns the time at and after which the first byte is not sent; no limit if empty.
    std::function<steady_time()> sendBefore;
    // Returns the time at which an exchange under way is given up; no limit if empty. Both are read
    // anew whenever they matter, since a lease is renewed while the exchange runs.
    std::function<steady_time()> abandonAt;
    // Watched while waiting; null if there is none.
    http_stream *caller = nullptr;
    // After this time without progress, `probe` is asked; zero waits until the deadline.
    milliseconds progressTimeout{0};
    // Asked over a new connection: whether the peer answers there and this connection is therefore
    // to be given up.
    std::function<bool()> probe;
    // Whether an answer may end with its connection instead of stating its length. Only for
    // upstreams known to answer so: a truncated answer whose connection is closed in order can't be
    // told from a whole one.
    bool acceptsUnframed = false;
    // Returns whether an answer belongs to this request. One that does not is an extra answer to an
    // earlier request on the connection: it is skipped, and the connection not used again. All
    // belong if it is empty.
    std::function<bool(const Poco::Net::HTTPResponse &head)> matchesRequest;
    // Returns whether the answer is to be passed to the sink; all are if it is empty.
    std::function<bool(const Poco::Net::HTTPResponse &head)> acceptsResponse;
};

struct exchange_result
{
    exchange_state state = exchange_state::NotSent;
    // Whether any byte of the request was sent, on this or an earlier connection.
    bool anySent = false;
    // Whether `sendBefore` or the deadline is the reason that nothing was sent.
    bool leaseEnding = false;
    bool deadlinePassed = false;
    // Whether the last connection was refused, so that no process listens at the address.
    bool connectionRefused = false;
    // Whether the sink has been called.
    bool responseStarted = false;
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

    exchange_result exchange(const client_request &request, response_sink &sink);

private:
    std::shared_ptr<connection_pool> m_pool;
};

// A whole answer held in memory, for control requests.
struct simple_response
{
    int status = 0;
    std::string body;
};

// Sends a small request and reads an answer of at most 1 MB. Errors: Unavailable if the request
// was not sent, Unknown if it may have been received and no whole answer came.
absl::StatusOr<simple_response> simpleRequest(http_client &client, const std::string &address,
                                              const std::string &method, const std::string &uri,
                                              const std::string &body, steady_time deadline);

} // namespace persimmonrail
