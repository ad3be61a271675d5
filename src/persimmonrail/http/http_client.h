#pragma once

#include "persimmonrail/http/guarded_fields.h"
#include "persimmonrail/http/http_stream.h"
#include "persimmonrail/http/rejected_requests.h"

#include <absl/status/statusor.h>

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace persimmonrail {

struct connection_pool_options
{
    // Maximum number of idle connections to one address.
    size_t maxIdlePerAddress = 32;
    // Maximum number of idle connections to all addresses, which bounds the descriptors they use.
    // The connection that has been idle longest is closed first.
    size_t maxIdle = 512;
    // Connections that have been idle for this time are not reused. The value is well below the
    // idle timeout of the servers (30 s), so that a server rarely closes a connection first.
    milliseconds idleTimeout{10000};
    // A request that may not be repeated reuses only connections that have been idle for less than
    // this time. A crowded server closes idle connections after 1 s, and a request sent at that
    // moment would end with an unknown outcome.
    milliseconds nonRepeatableIdleTimeout{500};
    // Timeout for establishing a connection, after which the address counts as unreachable. Within
    // one region, connecting takes a few milliseconds.
    milliseconds connectTimeout{1000};
    // Enables TCP keep-alive, which detects a lost peer while nothing is sent on the connection,
    // as during a long-polling watch.
    bool keepAlive = false;
};

// Keeps idle client connections for reuse, by address. Thread safe.
class connection_pool
{
public:
    struct connection
    {
        std::string address;
        std::unique_ptr<http_stream> stream;
        // Whether the connection has served an earlier exchange.
        bool reused = false;
        rejected_requests rejected = {};
    };

    explicit connection_pool(const connection_pool_options &options = {});

    // Returns an idle connection that its peer has not closed, or establishes a new one.
    // `repeatable` tells whether the request to be sent may be repeated. A connection on which the
    // request with the id `requestId` was rejected is left to others. Errors: FailedPrecondition if
    // the peer refuses the connection, Unavailable if no connection can be established before
    // `until` or within `connectTimeout`.
    absl::StatusOr<connection> acquire(const std::string &address, bool repeatable, steady_time now,
                                       steady_time until, const std::string &requestId = {});
    // Returns an idle connection that its peer has not closed, with the rule of acquire() for
    // rejected requests. Errors: NotFound if there is none.
    absl::StatusOr<connection> acquireOpen(const std::string &address, bool repeatable,
                                           steady_time now, const std::string &requestId = {});
    // Establishes a new connection, with the errors of acquire().
    absl::StatusOr<connection> connect(const std::string &address, steady_time until);
    // Returns a connection to the pool after a complete exchange. The pool closes the connection
    // if it keeps `maxIdlePerAddress` connections to the address already, or if too many requests
    // were rejected on it.
    void release(connection connection, steady_time now);
    // Closes the idle connections to an address.
    void closeIdle(const std::string &address);
    // Returns the number of idle connections to all addresses.
    size_t idleCount() const;

private:
    struct idle_connection
    {
        connection open;
        steady_time idleSince;
    };
    using idle_list = std::list<idle_connection>;

    std::optional<connection> acquireIdle(const std::string &address, steady_time idleSince,
                                          const std::string &requestId, steady_time now);
    void closeLongestIdle();

    const connection_pool_options m_options;
    mutable std::mutex m_mutex;
    // m_idle and the queues of m_byAddress are sorted by the time at which the connections became
    // idle, earliest first.
    idle_list m_idle;
    std::map<std::string, std::deque<idle_list::iterator>> m_byAddress;
};

// Supplies the body of a request. Implementations need not be thread safe.
class body_source
{
public:
    virtual ~body_source() = default;
    // Returns the framing with which the body is sent.
    virtual body_framing framing() const = 0;
    // Replaces `piece` with the next bytes of the body. An empty piece marks the end of the body.
    virtual io_status read(std::string &piece, steady_time until) = 0;
    // Restarts the body at its first byte. Returns false if the bytes are no longer available.
    virtual bool rewind() = 0;
};

// Receives a response. Implementations need not be thread safe.
class response_sink
{
public:
    virtual ~response_sink() = default;
    // Called once, when either the whole body or at least its first maxBodyPieceBytes bytes have
    // arrived. If `isComplete` is set, `first` is the whole body, and neither write() nor finish()
    // follows. Returns false if the receiver has disconnected.
    virtual bool begin(const Poco::Net::HTTPResponse &head, const body_framing &framing,
                       std::string_view first, bool isComplete) = 0;
    // Called with each further piece of the body. Returns false if the receiver has disconnected
    // or accepts no more bytes.
    virtual bool write(std::string_view piece) = 0;
    // Called once the response is known to be complete. Returns false if the receiver has
    // disconnected.
    virtual bool finish() = 0;
};

// Maximum number of body bytes that the client reads of a response that it does not pass to the
// sink. With more, the connection is not worth keeping.
inline constexpr size_t maxSkippedBodyBytes = 1024 * 1024;

// How an exchange ended.
enum class exchange_state {
    // The sink received the whole response.
    Complete,
    // `acceptsResponse` declined the response; the sink received nothing.
    Declined,
    // No byte of the request was sent.
    NotSent,
    // Bytes of the request were sent, but no complete response head arrived.
    NoResponse,
    // The response ended before the end that its framing states, its body is malformed, or it has
    // no framing.
    Truncated,
    // What arrived is no HTTP response: the head is malformed, or its status is neither final (200
    // to 599) nor one of the interim ones 100, 102 and 103.
    InvalidResponse,
    // Readers may differ about one of `responseFields`.
    AmbiguousResponse,
    // The deadline passed.
    TimedOut,
    // The connection made no progress, while a new connection to the same address responded.
    Unresponsive,
    // The time that `abandonTime` returns was reached after bytes of the request were sent.
    Abandoned,
    // The caller closed the connection, or the request body ended early.
    CallerDisconnected,
    // The framing of the request body is invalid.
    MalformedRequestBody,
};

// Returns the fixed name of a state for reasons and error messages.
std::string_view toString(exchange_state state);

// One request to be sent by http_client.
struct client_request
{
    // "ip:port" of the server.
    std::string address;
    // Method, URI and header fields. The client sets the framing and connection fields.
    Poco::Net::HTTPRequest message{Poco::Net::HTTPMessage::HTTP_1_1};
    // Null for a request without a body.
    body_source *body = nullptr;
    // Sends "Expect: 100-continue" and withholds the body until the peer asks for it, so that a
    // rejected request leaves the body unread.
    bool expectContinue = false;
    // Whether the request may be sent again after bytes of it were sent.
    bool repeatable = false;
    // Id by which `matchesRequest` tells responses to this request from others. If
    // `acceptsResponse` declines the response, later requests with the id are sent on other
    // connections until the deadline, since a copy of the declined response may follow it late.
    // Empty: none.
    std::string requestId;
    // Asked before the request is sent a second time, on a new connection. With an empty function
    // it may be.
    std::function<bool()> mayResend;
    // Sends the request only on an idle connection of the pool, and never again on another one.
    bool needsIdleConnection = false;
    // End of the whole exchange.
    steady_time deadline;
    // The client does not start to send the request at or after the time that this function
    // returns. An empty function sets no limit.
    std::function<steady_time()> sendDeadline;
    // Returns the time at which an exchange in progress is abandoned. An empty function sets no
    // limit. The times of `sendDeadline` and `abandonTime` depend on a lease that may be renewed
    // while the exchange runs, so the client calls these functions anew at each check.
    std::function<steady_time()> abandonTime;
    // Connection of the caller, null if there is none. The exchange ends if the caller closes the
    // connection while the client waits.
    http_stream *caller = nullptr;
    // The client calls `probe` after each period of this length without progress. With zero, the
    // client waits until the deadline.
    milliseconds progressTimeout{0};
    // Tests the peer over a new connection. Returns true if the peer responds there, which means
    // that this connection has failed and the exchange ends as Unresponsive.
    std::function<bool()> probe;
    // Whether the close of the connection may mark the end of a response that states no length.
    // Only for upstreams known to respond in this way: a truncated response can't be distinguished
    // from a complete one if its connection is closed gracefully.
    bool acceptsUnframed = false;
    // Fields of the response that the daemon reads. With null, none are checked.
    const guarded_fields *responseFields = nullptr;
    // Returns whether a response belongs to this request. A response that does not is a surplus
    // response to an earlier request on the connection; the client skips it and does not reuse the
    // connection. With an empty function, every response matches.
    std::function<bool(const Poco::Net::HTTPResponse &head)> matchesRequest;
    // Returns whether the sink is to receive the response. With an empty function, the sink
    // receives every response.
    std::function<bool(const Poco::Net::HTTPResponse &head)> acceptsResponse;
};

// Result of http_client::exchange().
struct exchange_result
{
    exchange_state state = exchange_state::NotSent;
    // Whether any byte of the request was sent, on the last connection or an earlier one.
    bool hasSentBytes = false;
    // Whether `sendDeadline` prevented the request, or `abandonTime` ended a wait on the
    // connection.
    bool leaseEnding = false;
    // Whether the deadline prevented the request, or ended a wait on the connection.
    bool deadlinePassed = false;
    // Whether the last connection attempt was refused, so that no process listens at the address.
    bool connectionRefused = false;
    // Whether the sink has been called.
    bool responseStarted = false;
    // Whether the sink reported that its receiver has disconnected.
    bool receiverDisconnected = false;
    // Valid if `state` is Complete or Declined.
    Poco::Net::HTTPResponse head;
    // Explanation for logs and error messages.
    std::string detail;
};

// HTTP/1.1 client that streams the bodies of requests and responses. If a reused connection closes
// before a response head arrives, the client sends the request once more over a new connection,
// provided that the request is repeatable or no byte of it was sent, and that `mayResend` allows
// it. Thread safe.
class http_client
{
public:
    http_client(std::shared_ptr<connection_pool> pool);

    // Opens a connection to the address, in place of the idle ones, for later requests. Errors:
    // those of connection_pool::acquire().
    absl::Status connect(const std::string &address, steady_time until);
    // Sends a request, passes the response to `sink`, and returns when the exchange has ended.
    exchange_result exchange(const client_request &request, response_sink &sink);

private:
    absl::StatusOr<connection_pool::connection> acquire(const client_request &request,
                                                        bool needsNewConnection) const;

    std::shared_ptr<connection_pool> m_pool;
};

// A complete response held in memory, for control requests.
struct simple_response
{
    int status = 0;
    std::string body;
};

// Sends a request with an optional JSON body and reads a response of at most 1 MB. Requests with
// the method GET are repeatable. Errors: Unavailable if the request was not sent, Unknown if the
// peer may have received the request and no complete response arrived.
absl::StatusOr<simple_response> simpleRequest(http_client &client, const std::string &address,
                                              const std::string &method, const std::string &uri,
                                              const std::string &body, steady_time deadline);

} // namespace persimmonrail
