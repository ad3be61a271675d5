#include "persimmonrail/http/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>
#include <sstream>

namespace persimmonrail {
namespace {

constexpr size_t maxSimpleAnswerBytes = 1024 * 1024;
// A connection that takes longer counts as refused; within one region a connect takes a few
// milliseconds.
constexpr milliseconds maxConnectTime{1000};
constexpr int maxInterimAnswers = 8;
// Detail of an exchange that `sendBefore` prevented.
constexpr char leaseEnding[] = "lease-ending";

// One attempt on one connection.
class attempt
{
public:
    attempt(const client_request &request, http_stream &stream, answer_sink &sink)
        : m_request(request)
        , m_stream(stream)
        , m_sink(sink)
    {
        m_stream.watch(request.caller);
    }

    exchange_result run()
    {
        m_stream.watch(m_request.caller);
        if (!sendHead() || !sendBody() || !readHead()) {
            return std::move(m_result);
        }
        readBody();
        return std::move(m_result);
    }

    bool anySent() const { return m_anySent; }
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
                return fail(closedState == exchange_state::NotSent ? closedState
                                                                   : exchange_state::Abandoned,
                            leaseEnding);
            }
            return m_silent ? fail(exchange_state::Silent, "connection without progress")
                            : fail(exchange_state::TimedOut, "deadline passed");
        case io_status::Cancelled:
            return fail(exchange_state::CallerGone, "caller disconnected");
        default:
            return fail(closedState, std::string(toString(status)));
        }
    }

    bool send(std::string_view bytes)
    {
        while (!bytes.empty() && !m_earlyAnswer) {
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
                m_earlyAnswer = status == io_status::Closed && m_stream.hasInput();
                return m_earlyAnswer
                    || failIo(status,
                              m_anySent ? exchange_state::NoAnswer : exchange_state::NotSent);
            }
            m_earlyAnswer = written < bytes.size();
            bytes.remove_prefix(written);
        }
        return true;
    }

    bool sendHead()
    {
        Poco::Net::HTTPRequest message = m_request.message;
        removeConnectionFields(message);
        message.setVersion(Poco::Net::HTTPMessage::HTTP_1_1);
        message.setHost(m_request.address);
        m_framing = m_request.body != nullptr ? m_request.body->framing() : body_framing();
        setFraming(message, m_framing);
        std::ostringstream text;
        message.write(text);
        if (m_request.sendBefore && std::chrono::steady_clock::now() >= m_request.sendBefore()) {
            return fail(exchange_state::NotSent, leaseEnding);
        }
        return send(text.str());
    }

    bool sendBody()
    {
        if (m_framing.type == body_framing::kind::None) {
            return true;
        }
        const bool chunked = m_framing.type == body_framing::kind::Chunked;
        std::string piece;
        while (!m_earlyAnswer) {
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
                                                          : exchange_state::CallerGone,
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
        m_reusable = m_reusable && !m_earlyAnswer;
        for (int interim = 0; interim <= maxInterimAnswers; ++interim) {
            std::string text;
            const io_status status =
                withProgress([&](steady_time until) { return m_stream.readHead(text, until); });
            m_anyReceived = m_anyReceived || status == io_status::Ok;
            if (status != io_status::Ok) {
                return failIo(status,
                              m_anySent ? exchange_state::NoAnswer : exchange_state::NotSent);
            }
            if (parseResponse(text, m_result.head) != io_status::Ok
                || responseFraming(m_result.head, m_request.message.getMethod(), m_answerFraming)
                    != io_status::Ok) {
                return fail(exchange_state::Truncated, "malformed answer head");
            }
            if (m_result.head.getStatus() >= 200) {
                return acceptHead();
            }
            m_result.head.clear();
        }
        return fail(exchange_state::Truncated, "too many interim answers");
    }

    bool acceptHead()
    {
        if (m_answerFraming.type == body_framing::kind::UntilClose) {
            return fail(exchange_state::Truncated, "answer without framing");
        }
        m_reusable = m_reusable && m_result.head.getKeepAlive();
        m_declined = m_request.wanted && !m_request.wanted(m_result.head);
        removeConnectionFields(m_result.head);
        return true;
    }

    void readBody()
    {
        body_reader reader(m_stream, m_answerFraming);
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
                begun = m_result.answerStarted = true;
                if (!m_sink.begin(m_result.head, m_answerFraming, first, false)) {
                    return failSink();
                }
                first.clear();
            }
        }
        if (m_declined) {
            m_result.state = exchange_state::Declined;
            return;
        }
        m_result.answerStarted = true;
        const bool taken =
            begun ? m_sink.finish() : m_sink.begin(m_result.head, m_answerFraming, first, true);
        // The answer is whole even if its receiver is gone by now.
        m_result.sinkGone = !taken;
        m_result.state = exchange_state::Whole;
    }

    void failSink()
    {
        m_reusable = false;
        m_result.sinkGone = true;
        fail(exchange_state::CallerGone, "caller disconnected");
    }

    const client_request &m_request;
    http_stream &m_stream;
    answer_sink &m_sink;
    body_framing m_framing;
    body_framing m_answerFraming;
    exchange_result m_result;
    bool m_anySent = false;
    bool m_anyReceived = false;
    bool m_earlyAnswer = false;
    bool m_declined = false;
    bool m_silent = false;
    bool m_abandoned = false;
    bool m_reusable = true;
};

} // namespace

std::string_view toString(exchange_state state)
{
    switch (state) {
    case exchange_state::Whole:
        return "whole";
    case exchange_state::Declined:
        return "declined";
    case exchange_state::NotSent:
        return "not-sent";
    case exchange_state::NoAnswer:
        return "no-answer";
    case exchange_state::Truncated:
        return "truncated-answer";
    case exchange_state::TimedOut:
        return "deadline-exceeded";
    case exchange_state::Silent:
        return "silent-connection";
    case exchange_state::Abandoned:
        return "lease-ended";
    case exchange_state::CallerGone:
        return "caller-disconnected";
    case exchange_state::BadRequestBody:
        return "malformed-request-body";
    }
    return "no-answer";
}

connection_pool::connection_pool(size_t maxIdlePerAddress)
    : m_maxIdlePerAddress(maxIdlePerAddress)
{ }

absl::StatusOr<connection_pool::connection> connection_pool::take(const std::string &address,
                                                                  steady_time until)
{
    for (;;) {
        std::unique_ptr<http_stream> stream;
        {
            const std::lock_guard lock(m_mutex);
            auto &idle = m_idle[address];
            if (idle.empty()) {
                break;
            }
            stream = std::move(idle.back());
            idle.pop_back();
        }
        // Bytes without a request belong to no exchange; such a connection is unusable.
        if (!stream->hasInput()) {
            return connection{address, std::move(stream), true};
        }
    }
    return connect(address, until);
}

absl::StatusOr<connection_pool::connection> connection_pool::connect(const std::string &address,
                                                                     steady_time until)
{
    const auto left =
        std::chrono::duration_cast<std::chrono::microseconds>(std::min<std::chrono::nanoseconds>(
            until - std::chrono::steady_clock::now(), maxConnectTime));
    if (left.count() <= 0) {
        return absl::UnavailableError("deadline passed before connecting");
    }
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(left.count()));
        return connection{address, std::make_unique<http_stream>(socket), false};
    } catch (const Poco::Exception &error) {
        return absl::UnavailableError(error.displayText());
    }
}

void connection_pool::giveBack(connection connection)
{
    connection.stream->watch(nullptr);
    const std::lock_guard lock(m_mutex);
    auto &idle = m_idle[connection.address];
    if (idle.size() < m_maxIdlePerAddress) {
        idle.push_back(std::move(connection.stream));
    }
}

void connection_pool::drop(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    m_idle.erase(address);
}

size_t connection_pool::idleCount() const
{
    const std::lock_guard lock(m_mutex);
    size_t count = 0;
    for (const auto &[address, idle] : m_idle) {
        count += idle.size();
    }
    return count;
}

http_client::http_client(std::shared_ptr<connection_pool> pool)
    : m_pool(std::move(pool))
{ }

exchange_result http_client::exchange(const client_request &request, answer_sink &sink)
{
    bool fresh = false;
    bool sentEarlier = false;
    // Once bytes of the request were sent, a later attempt that sends nothing does not make it
    // certain that the request did not run.
    const auto judge = [&sentEarlier](exchange_result result) {
        if (sentEarlier && result.state == exchange_state::NotSent) {
            result.state = exchange_state::NoAnswer;
        }
        return result;
    };
    for (;;) {
        auto connection = fresh ? m_pool->connect(request.address, request.deadline)
                                : m_pool->take(request.address, request.deadline);
        if (!connection.ok()) {
            exchange_result result;
            result.state = exchange_state::NotSent;
            result.detail = std::string(connection.status().message());
            return judge(std::move(result));
        }
        attempt current(request, *connection->stream, sink);
        exchange_result result = current.run();
        const bool closedEarly = !current.anyReceived()
            && (result.state == exchange_state::NotSent
                || result.state == exchange_state::NoAnswer);
        const bool mayResend = !current.anySent() || request.repeatable;
        const bool isLeaseEnding = result.detail == leaseEnding;
        if (connection->reused && closedEarly && mayResend && !isLeaseEnding
            && (request.body == nullptr || request.body->rewind())) {
            m_pool->drop(request.address);
            fresh = true;
            sentEarlier = current.anySent();
            continue;
        }
        const bool ended =
            result.state == exchange_state::Whole || result.state == exchange_state::Declined;
        if (ended && current.isReusable()) {
            m_pool->giveBack(std::move(*connection));
        }
        return judge(std::move(result));
    }
}

namespace {

class memory_body : public body_source
{
public:
    explicit memory_body(const std::string &body)
        : m_body(body)
    { }
    body_framing framing() const override { return {body_framing::kind::Length, m_body.size()}; }
    io_status read(std::string &piece, steady_time) override
    {
        piece = m_read ? std::string() : m_body;
        m_read = true;
        return io_status::Ok;
    }
    bool rewind() override
    {
        m_read = false;
        return true;
    }

private:
    const std::string &m_body;
    bool m_read = false;
};

class memory_sink : public answer_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &, const body_framing &, std::string_view first,
               bool) override
    {
        m_body = first;
        return true;
    }
    bool write(std::string_view piece) override
    {
        m_body += piece;
        return m_body.size() <= maxSimpleAnswerBytes;
    }
    bool finish() override { return true; }
    std::string take() { return std::move(m_body); }

private:
    std::string m_body;
};

} // namespace

absl::StatusOr<simple_answer> simpleRequest(http_client &client, const std::string &address,
                                            const std::string &method, const std::string &uri,
                                            const std::string &body, steady_time deadline)
{
    client_request request;
    request.address = address;
    request.message.setMethod(method);
    request.message.setURI(uri);
    request.deadline = deadline;
    request.repeatable = method == "GET";
    memory_body source(body);
    if (!body.empty()) {
        request.message.setContentType("application/json");
        request.body = &source;
    }
    memory_sink sink;
    const exchange_result result = client.exchange(request, sink);
    if (result.state == exchange_state::Whole) {
        return simple_answer{result.head.getStatus(), sink.take()};
    }
    const std::string message = std::string(toString(result.state)) + ": " + result.detail;
    return result.state == exchange_state::NotSent ? absl::UnavailableError(message)
                                                   : absl::UnknownError(message);
}

} // namespace persimmonrail
