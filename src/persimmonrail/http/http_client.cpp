#include "persimmonrail/http/http_client.h"

#include <algorithm>
#include <sstream>

namespace persimmonrail {
namespace {

// Maximum number of interim and mismatched responses before the response to a request.
constexpr int maxInterimResponses = 8;
// Detail of an exchange that `sendDeadline` prevented or `abandonTime` ended.
constexpr char leaseEndingDetail[] = "the lease has ended or is about to end";

// One attempt to exchange a request and its response on one connection.
class attempt
{
public:
    attempt(const client_request &request, http_stream &stream, response_sink &sink)
        : m_request(request)
        , m_stream(stream)
        , m_sink(sink)
    {
        m_stream.watchForClose(request.caller);
    }

    // Runs the attempt. Call run() once.
    exchange_result run()
    {
        m_stream.watchForClose(m_request.caller);
        if (sendHead() && waitForContinue() && sendBody() && readHead()) {
            readBody();
        }
        m_result.hasSentBytes = m_hasSentBytes;
        return std::move(m_result);
    }
    // Whether a response head arrived, including interim and mismatched ones.
    bool hasReceivedHead() const { return m_hasReceivedHead; }
    // Whether the connection can be reused for another exchange.
    bool isReusable() const { return m_isReusable; }

private:
    // Sets the state and detail of the result. Returns false.
    bool fail(exchange_state state, std::string detail)
    {
        m_result.state = state;
        m_result.detail = std::move(detail);
        return false;
    }

    // Runs `operation` until the deadline, and calls the probe after each progress timeout. Returns
    // TimedOut with m_isSilent set if the probe succeeds while this connection has no input.
    template <typename io_operation> io_status runWithProgressTimeout(io_operation operation)
    {
        const bool hasProgressTimeout = m_request.progressTimeout.count() > 0 && m_request.probe;
        steady_time progressDeadline = hasProgressTimeout
            ? std::chrono::steady_clock::now() + m_request.progressTimeout
            : steady_time::max();
        for (;;) {
            const steady_time until = std::min(m_request.deadline, progressDeadline);
            const io_status status = runUntilAbandoned(until, operation);
            if (status != io_status::TimedOut || m_abandoned || until >= m_request.deadline) {
                return status;
            }
            // A response that arrived while the probe ran counts as progress.
            if (m_request.probe() && !m_stream.hasInput()) {
                m_isSilent = true;
                return status;
            }
            progressDeadline = std::chrono::steady_clock::now() + m_request.progressTimeout;
        }
    }

    // Runs `operation` until `until`. Returns TimedOut with m_abandoned set if the time of
    // `abandonTime`, which is read again at the end of each step, is reached first.
    template <typename io_operation>
    io_status runUntilAbandoned(steady_time until, io_operation operation)
    {
        if (!m_request.abandonTime) {
            return operation(until);
        }
        for (;;) {
            const steady_time abandonTime = m_request.abandonTime();
            if (std::chrono::steady_clock::now() >= abandonTime) {
                m_abandoned = true;
                return io_status::TimedOut;
            }
            const io_status status = operation(std::min(until, abandonTime));
            if (status != io_status::TimedOut || until <= abandonTime
                || std::chrono::steady_clock::now() < abandonTime) {
                return status;
            }
        }
    }

    // Sets the result for an operation on the connection that failed with `status`. Returns false.
    bool failIo(io_status status, exchange_state stateIfClosed)
    {
        switch (status) {
        case io_status::TimedOut:
            if (m_abandoned) {
                m_result.leaseEnding = true;
                return fail(stateIfClosed == exchange_state::NotSent ? stateIfClosed
                                                                     : exchange_state::Abandoned,
                            leaseEndingDetail);
            }
            m_result.deadlinePassed = !m_isSilent;
            return m_isSilent
                ? fail(exchange_state::Unresponsive,
                       "connection made no progress while a new connection to the peer responded")
                : fail(exchange_state::TimedOut, "deadline passed");
        case io_status::Cancelled:
            return fail(exchange_state::CallerDisconnected, "caller disconnected");
        default:
            return fail(stateIfClosed, std::string(toString(status)));
        }
    }

    // Sends all bytes, or stops early if the peer responds first. Returns false if the attempt
    // failed.
    bool send(std::string_view bytes)
    {
        while (!bytes.empty() && !m_hasEarlyResponse) {
            size_t written = 0;
            const io_status status = runWithProgressTimeout([&](steady_time until) {
                size_t count = 0;
                const io_status result = m_stream.write(bytes.substr(written), count, until, true);
                written += count;
                return result;
            });
            m_hasSentBytes = m_hasSentBytes || written > 0;
            if (status != io_status::Ok) {
                // The peer may have responded before it closed the connection.
                m_isReusable = false;
                m_hasEarlyResponse = status == io_status::Closed && m_stream.hasInput();
                return m_hasEarlyResponse
                    || failIo(status,
                              m_hasSentBytes ? exchange_state::NoResponse
                                             : exchange_state::NotSent);
            }
            m_hasEarlyResponse = written < bytes.size();
            bytes.remove_prefix(written);
        }
        return true;
    }

    bool sendHead()
    {
        Poco::Net::HTTPRequest message = m_request.message;
        removeConnectionFields(message);
        message.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
        if (!message.has(Poco::Net::HTTPRequest::HOST)) {
            message.setHost(m_request.address);
        }
        m_framing = m_request.body != nullptr ? m_request.body->framing() : body_framing();
        setFraming(message, m_framing);
        if (expectsContinue()) {
            message.setExpectContinue(true);
        }
        std::ostringstream text;
        message.write(text);
        const steady_time now = std::chrono::steady_clock::now();
        if (now >= m_request.deadline) {
            m_result.deadlinePassed = true;
            return fail(exchange_state::NotSent, "deadline passed");
        }
        if (m_request.sendDeadline && now >= m_request.sendDeadline()) {
            m_result.leaseEnding = true;
            return fail(exchange_state::NotSent, leaseEndingDetail);
        }
        return send(text.str());
    }

    bool expectsContinue() const
    {
        return m_request.expectContinue && m_framing.type != body_framing::kind::None;
    }

    // Waits until the peer asks for the body or responds without it.
    bool waitForContinue()
    {
        if (!expectsContinue() || m_hasEarlyResponse) {
            return true;
        }
        if (!readOneHead()) {
            return false;
        }
        m_hasEarlyResponse = m_hasFinalHead = m_result.head.getStatus() >= 200;
        return true;
    }

    bool sendBody()
    {
        if (m_framing.type == body_framing::kind::None) {
            return true;
        }
        const bool isChunked = m_framing.type == body_framing::kind::Chunked;
        std::string piece;
        while (!m_hasEarlyResponse) {
            const io_status status = runUntilAbandoned(m_request.deadline, [&](steady_time until) {
                return m_request.body->read(piece, until);
            });
            if (status != io_status::Ok) {
                m_isReusable = false;
                if (m_abandoned) {
                    return fail(exchange_state::Abandoned, leaseEndingDetail);
                }
                return status == io_status::TimedOut
                    ? fail(exchange_state::TimedOut, "request body was incomplete at the deadline")
                    : fail(status == io_status::Malformed ? exchange_state::MalformedRequestBody
                                                          : exchange_state::CallerDisconnected,
                           "request body is incomplete or malformed");
            }
            if (piece.empty()) {
                return !isChunked || send(lastChunk);
            }
            if (!send(isChunked ? frameChunk(piece) : piece)) {
                return false;
            }
        }
        return true;
    }

    bool readHead()
    {
        // After a response that arrives before the request was sent completely, the peer still
        // expects the rest of the request on the connection.
        m_isReusable = m_isReusable && !m_hasEarlyResponse;
        for (int skipped = 0; skipped <= maxInterimResponses; ++skipped) {
            if (!m_hasFinalHead && !readOneHead()) {
                return false;
            }
            if (m_result.head.getStatus() < 200) {
                continue;
            }
            if (!m_request.matchesRequest || m_request.matchesRequest(m_result.head)) {
                return acceptHead();
            }
            if (!skipMismatchedResponse()) {
                return false;
            }
        }
        return fail(exchange_state::InvalidResponse, "too many interim or mismatched responses");
    }

    // Skips the body of a response to an earlier request. The response to this request may follow.
    bool skipMismatchedResponse()
    {
        m_isReusable = false;
        m_hasFinalHead = false;
        if (m_responseFraming.type == body_framing::kind::UntilClose) {
            return fail(exchange_state::Truncated, "unframed response to another request");
        }
        const io_status status = skipBody();
        return status == io_status::Ok || failIo(status, exchange_state::NoResponse);
    }

    // Reads the body of a response that the sink does not receive. Returns TooLarge if the body has
    // more than maxSkippedBodyBytes bytes.
    io_status skipBody()
    {
        body_reader reader(m_stream, m_responseFraming);
        std::string piece;
        size_t skippedBytes = 0;
        while (!reader.isComplete()) {
            const io_status status = runWithProgressTimeout(
                [&](steady_time until) { return reader.read(piece, until); });
            if (status != io_status::Ok) {
                return status;
            }
            skippedBytes += piece.size();
            if (skippedBytes > maxSkippedBodyBytes) {
                return io_status::TooLarge;
            }
        }
        return io_status::Ok;
    }

    // Reads the next response head, which may be interim, and determines the framing of its body.
    bool readOneHead()
    {
        std::string text;
        const io_status status = runWithProgressTimeout(
            [&](steady_time until) { return m_stream.readHead(text, until); });
        m_hasReceivedHead = m_hasReceivedHead || status == io_status::Ok;
        if (status != io_status::Ok) {
            return failIo(status,
                          m_hasSentBytes ? exchange_state::NoResponse : exchange_state::NotSent);
        }
        if (parseResponse(text, m_result.head) != io_status::Ok
            || responseFraming(m_result.head, m_request.message.getMethod(), m_responseFraming)
                != io_status::Ok) {
            return fail(exchange_state::InvalidResponse, "malformed response head");
        }
        if (m_request.responseFields == nullptr) {
            return true;
        }
        const absl::Status checked = checkGuardedFields(m_result.head, *m_request.responseFields);
        return checked.ok()
            || fail(exchange_state::AmbiguousResponse, std::string(checked.message()));
    }

    bool acceptHead()
    {
        if (m_responseFraming.type == body_framing::kind::UntilClose) {
            if (!m_request.acceptsUnframed) {
                return fail(exchange_state::Truncated, "response without framing");
            }
            m_isReusable = false;
        }
        m_isReusable = m_isReusable && keepsConnectionOpen(m_result.head);
        m_declined = m_request.acceptsResponse && !m_request.acceptsResponse(m_result.head);
        removeConnectionFields(m_result.head);
        return true;
    }

    void readBody()
    {
        if (m_declined) {
            m_isReusable = skipBody() == io_status::Ok && m_isReusable;
            m_result.state = exchange_state::Declined;
            return;
        }
        body_reader reader(m_stream, m_responseFraming);
        std::string first;
        std::string piece;
        bool hasBegun = false;
        while (!reader.isComplete()) {
            const io_status status = runWithProgressTimeout(
                [&](steady_time until) { return reader.read(piece, until); });
            if (status != io_status::Ok) {
                m_isReusable = false;
                failIo(status, exchange_state::Truncated);
                return;
            }
            if (hasBegun) {
                if (!piece.empty() && !m_sink.write(piece)) {
                    return failSink();
                }
                continue;
            }
            first += piece;
            if (first.size() >= maxBodyPieceBytes && !reader.isComplete()) {
                if (std::chrono::steady_clock::now() >= m_request.deadline) {
                    // The sink would break off what it has begun.
                    m_isReusable = false;
                    failIo(io_status::TimedOut, exchange_state::Truncated);
                    return;
                }
                hasBegun = m_result.responseStarted = true;
                if (!m_sink.begin(m_result.head, forwardedFraming(), first, false)) {
                    return failSink();
                }
                first.clear();
            }
        }
        m_result.responseStarted = true;
        const bool wasAccepted = hasBegun
            ? m_sink.finish()
            : m_sink.begin(m_result.head, forwardedFraming(), first, true);
        // The response is complete even if its receiver has disconnected meanwhile.
        m_result.receiverDisconnected = !wasAccepted;
        m_result.state = exchange_state::Complete;
    }

    // Returns the framing for the sink. A response that ends with its connection is forwarded in
    // the chunked framing, in which a truncation is detectable.
    body_framing forwardedFraming() const
    {
        return m_responseFraming.type == body_framing::kind::UntilClose
            ? body_framing{body_framing::kind::Chunked, 0}
            : m_responseFraming;
    }

    // The sink accepts no bytes of an incomplete response after the deadline.
    void failSink()
    {
        m_isReusable = false;
        if (std::chrono::steady_clock::now() >= m_request.deadline) {
            failIo(io_status::TimedOut, exchange_state::Truncated);
            return;
        }
        m_result.receiverDisconnected = true;
        fail(exchange_state::CallerDisconnected, "caller disconnected");
    }

    const client_request &m_request;
    http_stream &m_stream;
    response_sink &m_sink;
    body_framing m_framing;
    body_framing m_responseFraming;
    exchange_result m_result;
    bool m_hasSentBytes = false;
    bool m_hasReceivedHead = false;
    bool m_hasEarlyResponse = false;
    bool m_hasFinalHead = false;
    bool m_declined = false;
    bool m_isSilent = false;
    bool m_abandoned = false;
    bool m_isReusable = true;
};

} // namespace

std::string_view toString(exchange_state state)
{
    switch (state) {
    case exchange_state::Complete:
        return "whole";
    case exchange_state::Declined:
        return "declined";
    case exchange_state::NotSent:
        return "not-sent";
    case exchange_state::NoResponse:
        return "no-answer";
    case exchange_state::Truncated:
        return "truncated-answer";
    case exchange_state::InvalidResponse:
        return "invalid-answer";
    case exchange_state::AmbiguousResponse:
        return "ambiguous-answer";
    case exchange_state::TimedOut:
        return "deadline-exceeded";
    case exchange_state::Unresponsive:
        return "silent-connection";
    case exchange_state::Abandoned:
        return "lease-ended";
    case exchange_state::CallerDisconnected:
        return "caller-disconnected";
    case exchange_state::MalformedRequestBody:
        return "malformed-request-body";
    }
    return "no-answer";
}

http_client::http_client(std::shared_ptr<connection_pool> pool)
    : m_pool(std::move(pool))
{ }

absl::Status http_client::connect(const std::string &address, steady_time until)
{
    m_pool->closeIdle(address);
    auto connection = m_pool->connect(address, until);
    if (connection.ok()) {
        m_pool->release(std::move(*connection), std::chrono::steady_clock::now());
    }
    return connection.status();
}

absl::StatusOr<connection_pool::connection> http_client::acquire(const client_request &request,
                                                                 bool needsNewConnection) const
{
    const steady_time now = std::chrono::steady_clock::now();
    if (request.needsIdleConnection) {
        return m_pool->acquireOpen(request.address, true, now, request.requestId);
    }
    return needsNewConnection ? m_pool->connect(request.address, request.deadline)
                              : m_pool->acquire(request.address, request.repeatable, now,
                                                request.deadline, request.requestId);
}

exchange_result http_client::exchange(const client_request &request, response_sink &sink)
{
    bool needsNewConnection = false;
    bool wasSentEarlier = false;
    // If an earlier attempt sent bytes of the request, the request may have run, even if the last
    // attempt sent nothing.
    const auto withEarlierAttempts = [&wasSentEarlier](exchange_result result) {
        result.hasSentBytes = result.hasSentBytes || wasSentEarlier;
        if (wasSentEarlier && result.state == exchange_state::NotSent) {
            result.state = exchange_state::NoResponse;
        }
        return result;
    };
    for (;;) {
        auto connection = acquire(request, needsNewConnection);
        if (!connection.ok()) {
            exchange_result result;
            result.state = exchange_state::NotSent;
            result.deadlinePassed = std::chrono::steady_clock::now() >= request.deadline;
            result.connectionRefused = absl::IsFailedPrecondition(connection.status());
            result.detail = std::string(connection.status().message());
            return withEarlierAttempts(std::move(result));
        }
        attempt current(request, *connection->stream, sink);
        exchange_result result = current.run();
        const bool wasClosedBeforeResponse = !current.hasReceivedHead()
            && (result.state == exchange_state::NotSent
                || result.state == exchange_state::NoResponse);
        const bool canResend =
            !request.needsIdleConnection && (!result.hasSentBytes || request.repeatable);
        if (connection->reused && wasClosedBeforeResponse && canResend && !result.leaseEnding
            && !result.deadlinePassed && (!request.mayResend || request.mayResend())
            && (request.body == nullptr || request.body->rewind())) {
            m_pool->closeIdle(request.address);
            needsNewConnection = true;
            wasSentEarlier = result.hasSentBytes;
            continue;
        }
        const bool isFinished =
            result.state == exchange_state::Complete || result.state == exchange_state::Declined;
        if (isFinished && current.isReusable()) {
            const steady_time now = std::chrono::steady_clock::now();
            if (result.state == exchange_state::Declined && !request.requestId.empty()) {
                connection->rejected.record(request.requestId, request.deadline, now);
            }
            m_pool->release(std::move(*connection), now);
        }
        return withEarlierAttempts(std::move(result));
    }
}

} // namespace persimmonrail
