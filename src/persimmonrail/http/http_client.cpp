#include "persimmonrail/http/http_client.h"

#include <algorithm>
#include <sstream>

namespace persimmonrail {
namespace {

constexpr int maxInterimResponses = 8;
// Detail of an exchange that `sendBefore` prevented.
constexpr char leaseEnding[] = "lease ending";

// One attempt on one connection.
class attempt
{
public:
    attempt(const client_request &request, http_stream &stream, response_sink &sink)
        : m_request(request)
        , m_stream(stream)
        , m_sink(sink)
    {
        m_stream.watch(request.caller);
    }

    exchange_result run()
    {
        m_stream.watch(m_request.caller);
        if (sendHead() && waitContinue() && sendBody() && readHead()) {
            readBody();
        }
        m_result.anySent = m_anySent;
        return std::move(m_result);
    }
    bool anyReceived() const { return m_anyReceived; }
    // Whether another exchange may follow on the connection.
    bool isReusable() const { return m_reusable; }

private:
    bool fail(exchange_state state, std::string detail)
    {
        m_result.state = state;
        m_result.detail = std::move(detail);
        return false;
    }

    // Waits in steps of the progress timeout, asking the probe at the end of each.
    template <typename operation> io_status withProgress(operation run)
    {
        const bool limited = m_request.progressTimeout.count() > 0 && m_request.probe;
        steady_time silentAt = limited
            ? std::chrono::steady_clock::now() + m_request.progressTimeout
            : steady_time::max();
        for (;;) {
            const steady_time until = std::min(m_request.deadline, silentAt);
            const io_status status = untilAbandoned(until, run);
            if (status != io_status::TimedOut || m_abandoned || until >= m_request.deadline) {
                return status;
            }
            // An answer that arrived while the probe ran ends the silence.
            if (m_request.probe() && !m_stream.hasInput()) {
                m_silent = true;
                return status;
            }
            silentAt = std::chrono::steady_clock::now() + m_request.progressTimeout;
        }
    }

    // Runs an operation until `until`, in steps that end when the exchange may have to be given up.
    template <typename operation> io_status untilAbandoned(steady_time until, operation run)
    {
        if (!m_request.abandonAt) {
            return run(until);
        }
        for (;;) {
            const steady_time abandonAt = m_request.abandonAt();
            if (std::chrono::steady_clock::now() >= abandonAt) {
                m_abandoned = true;
                return io_status::TimedOut;
            }
            const io_status status = run(std::min(until, abandonAt));
            if (status != io_status::TimedOut || until <= abandonAt
                || std::chrono::steady_clock::now() < abandonAt) {
                return status;
            }
        }
    }

    bool failIo(io_status status, exchange_state closedState)
    {
        switch (status) {
        case io_status::TimedOut:
            if (m_abandoned) {
                m_result.leaseEnding = true;
                return fail(closedState == exchange_state::NotSent ? closedState
                                                                   : exchange_state::Abandoned,
                            leaseEnding);
            }
            m_result.deadlinePassed = !m_silent;
            return m_silent ? fail(exchange_state::Silent, "connection without progress")
                            : fail(exchange_state::TimedOut, "deadline passed");
        case io_status::Cancelled:
            return fail(exchange_state::CallerDisconnected, "caller disconnected");
        default:
            return fail(closedState, std::string(toString(status)));
        }
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty() && !m_earlyResponse) {
            size_t written = 0;
            const io_status status = withProgress([&](steady_time until) {
                size_t part = 0;
                const io_status result = m_stream.write(bytes.substr(written), part, until, true);
                written += part;
                return result;
            });
            m_anySent = m_anySent || written > 0;
            if (status != io_status::Ok) {
                // The peer may have answered before it closed its side.
                m_reusable = false;
                m_earlyResponse = status == io_status::Closed && m_stream.hasInput();
                return m_earlyResponse
                    || failIo(status,
                              m_anySent ? exchange_state::NoResponse : exchange_state::NotSent);
            }
            m_earlyResponse = written < bytes.size();
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
        if (m_request.sendBefore && now >= m_request.sendBefore()) {
            m_result.leaseEnding = true;
            return fail(exchange_state::NotSent, leaseEnding);
        }
        return send(text.str());
    }

    bool expectsContinue() const
    {
        return m_request.expectContinue && m_framing.type != body_framing::kind::None;
    }

    // Waits until the peer asks for the body or answers without it.
    bool waitContinue()
    {
        if (!expectsContinue() || m_earlyResponse) {
            return true;
        }
        if (!readOneHead()) {
            return false;
        }
        m_earlyResponse = m_hasFinalHead = m_result.head.getStatus() >= 200;
        return true;
    }

    bool sendBody()
    {
        if (m_framing.type == body_framing::kind::None) {
            return true;
        }
        const bool chunked = m_framing.type == body_framing::kind::Chunked;
        std::string piece;
        while (!m_earlyResponse) {
            const io_status status = untilAbandoned(m_request.deadline, [&](steady_time until) {
                return m_request.body->read(piece, until);
            });
            if (status != io_status::Ok) {
                m_reusable = false;
                if (m_abandoned) {
                    return fail(exchange_state::Abandoned, leaseEnding);
                }
                return status == io_status::TimedOut
                    ? fail(exchange_state::TimedOut, "request body incomplete at the deadline")
                    : fail(status == io_status::Malformed ? exchange_state::BadRequestBody
                                                          : exchange_state::CallerDisconnected,
                           "request body broke off");
            }
            if (piece.empty()) {
                return !chunked || send(lastChunk);
            }
            if (!send(chunked ? frameChunk(piece) : piece)) {
                return false;
            }
        }
        return true;
    }

    bool readHead()
    {
        // An answer that arrives before the request was sent completely leaves the connection in
        // the middle of a request.
        m_reusable = m_reusable && !m_earlyResponse;
        for (int interim = 0; interim <= maxInterimResponses; ++interim) {
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
        return fail(exchange_state::Truncated, "too many interim answers");
    }

    // Reads past an answer to an earlier request. The one to this request may follow.
    bool skipMismatchedResponse()
    {
        m_reusable = false;
        m_hasFinalHead = false;
        if (m_responseFraming.type == body_framing::kind::UntilClose) {
            return fail(exchange_state::Truncated, "answer to another request");
        }
        body_reader reader(m_stream, m_responseFraming);
        std::string piece;
        while (!reader.isComplete()) {
            const io_status status =
                withProgress([&](steady_time until) { return reader.read(piece, until); });
            if (status != io_status::Ok) {
                return failIo(status, exchange_state::NoResponse);
            }
        }
        return true;
    }

    bool readOneHead()
    {
        std::string text;
        const io_status status =
            withProgress([&](steady_time until) { return m_stream.readHead(text, until); });
        m_anyReceived = m_anyReceived || status == io_status::Ok;
        if (status != io_status::Ok) {
            return failIo(status, m_anySent ? exchange_state::NoResponse : exchange_state::NotSent);
        }
        return (parseResponse(text, m_result.head) == io_status::Ok
                && responseFraming(m_result.head, m_request.message.getMethod(), m_responseFraming)
                    == io_status::Ok)
            || fail(exchange_state::Truncated, "malformed answer head");
    }

    bool acceptHead()
    {
        if (m_responseFraming.type == body_framing::kind::UntilClose) {
            if (!m_request.acceptsUnframed) {
                return fail(exchange_state::Truncated, "answer without framing");
            }
            m_reusable = false;
        }
        m_reusable = m_reusable && m_result.head.getKeepAlive();
        m_declined = m_request.acceptsResponse && !m_request.acceptsResponse(m_result.head);
        removeConnectionFields(m_result.head);
        return true;
    }

    void readBody()
    {
        body_reader reader(m_stream, m_responseFraming);
        std::string first;
        std::string piece;
        bool begun = false;
        while (!reader.isComplete()) {
            const io_status status =
                withProgress([&](steady_time until) { return reader.read(piece, until); });
            if (status != io_status::Ok) {
                m_reusable = false;
                if (m_declined) {
                    m_result.state = exchange_state::Declined;
                } else {
                    failIo(status, exchange_state::Truncated);
                }
                return;
            }
            if (m_declined) {
                continue;
            }
            if (begun) {
                if (!piece.empty() && !m_sink.write(piece)) {
                    return failSink();
                }
                continue;
            }
            first += piece;
            if (first.size() >= bodyPieceBytes && !reader.isComplete()) {
                begun = m_result.responseStarted = true;
                if (!m_sink.begin(m_result.head, framingToPass(), first, false)) {
                    return failSink();
                }
                first.clear();
            }
        }
        if (m_declined) {
            m_result.state = exchange_state::Declined;
            return;
        }
        m_result.responseStarted = true;
        const bool taken =
            begun ? m_sink.finish() : m_sink.begin(m_result.head, framingToPass(), first, true);
        // The answer is whole even if its receiver is gone by now.
        m_result.sinkGone = !taken;
        m_result.state = exchange_state::Complete;
    }

    // An answer without a length is passed on in chunks, whose end can't be mistaken.
    body_framing framingToPass() const
    {
        return m_responseFraming.type == body_framing::kind::UntilClose
            ? body_framing{body_framing::kind::Chunked, 0}
            : m_responseFraming;
    }

    void failSink()
    {
        m_reusable = false;
        m_result.sinkGone = true;
        fail(exchange_state::CallerDisconnected, "caller disconnected");
    }

    const client_request &m_request;
    http_stream &m_stream;
    response_sink &m_sink;
    body_framing m_framing;
    body_framing m_responseFraming;
    exchange_result m_result;
    bool m_anySent = false;
    bool m_anyReceived = false;
    bool m_earlyResponse = false;
    bool m_hasFinalHead = false;
    bool m_declined = false;
    bool m_silent = false;
    bool m_abandoned = false;
    bool m_reusable = true;
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
    case exchange_state::TimedOut:
        return "deadline-exceeded";
    case exchange_state::Silent:
        return "silent-connection";
    case exchange_state::Abandoned:
        return "lease-ended";
    case exchange_state::CallerDisconnected:
        return "caller-disconnected";
    case exchange_state::BadRequestBody:
        return "malformed-request-body";
    }
    return "no-answer";
}

http_client::http_client(std::shared_ptr<connection_pool> pool)
    : m_pool(std::move(pool))
{ }

exchange_result http_client::exchange(const client_request &request, response_sink &sink)
{
    bool fresh = false;
    bool sentEarlier = false;
    // Once bytes of the request were sent, a later attempt that sends nothing does not make it
    // certain that the request did not run.
    const auto judge = [&sentEarlier](exchange_result result) {
        result.anySent = result.anySent || sentEarlier;
        if (sentEarlier && result.state == exchange_state::NotSent) {
            result.state = exchange_state::NoResponse;
        }
        return result;
    };
    for (;;) {
        auto connection = fresh
            ? m_pool->connect(request.address, request.deadline)
            : m_pool->acquire(request.address, request.repeatable, std::chrono::steady_clock::now(),
                              request.deadline);
        if (!connection.ok()) {
            exchange_result result;
            result.state = exchange_state::NotSent;
            result.deadlinePassed = std::chrono::steady_clock::now() >= request.deadline;
            result.connectionRefused = absl::IsFailedPrecondition(connection.status());
            result.detail = std::string(connection.status().message());
            return judge(std::move(result));
        }
        attempt current(request, *connection->stream, sink);
        exchange_result result = current.run();
        const bool closedEarly = !current.anyReceived()
            && (result.state == exchange_state::NotSent
                || result.state == exchange_state::NoResponse);
        const bool mayResend = !result.anySent || request.repeatable;
        if (connection->reused && closedEarly && mayResend && !result.leaseEnding
            && !result.deadlinePassed && (request.body == nullptr || request.body->rewind())) {
            m_pool->closeIdle(request.address);
            fresh = true;
            sentEarlier = result.anySent;
            continue;
        }
        const bool ended =
            result.state == exchange_state::Complete || result.state == exchange_state::Declined;
        if (ended && current.isReusable()) {
            m_pool->release(std::move(*connection), std::chrono::steady_clock::now());
        }
        return judge(std::move(result));
    }
}

} // namespace persimmonrail
