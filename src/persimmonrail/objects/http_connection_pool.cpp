#include "persimmonrail/objects/http_connection_pool.h"

#include "persimmonrail/http/http_stream.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

// Servers commonly close idle connections after 15 s or more. The shorter limit here avoids sending
// on a connection that the server is about to close.
constexpr std::chrono::seconds maxIdleTime{5};
constexpr size_t maxIdleConnections = 8;
// A list of all 26,800 placement records takes about 20 MB.
constexpr size_t maxResponseBytes = 128 * 1024 * 1024;

Poco::Timespan toTimespan(milliseconds time)
{
    return {static_cast<Poco::Timespan::TimeDiff>(time.count()) * Poco::Timespan::MILLISECONDS};
}

absl::Status exchangeFailure(const std::string &reason)
{
    return absl::UnknownError(absl::StrCat("the exchange failed: ", reason));
}

// Returns the rest of `stream`. Checks the length of the body against `expectedLength` because the
// stream hides the exceptions of the socket. Errors: DataLoss above the size limit,
// DeadlineExceeded after `timeout`, Unknown if the body is truncated.
absl::StatusOr<std::string> readBody(std::istream &stream, std::streamsize expectedLength,
                                     milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    std::string body;
    char buffer[16 * 1024];
    while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
        body.append(buffer, static_cast<size_t>(stream.gcount()));
        if (body.size() > maxResponseBytes) {
            return absl::DataLossError("the response exceeds the size limit");
        }
        if (std::chrono::steady_clock::now() > deadline) {
            return absl::DeadlineExceededError("the response body was not received in time");
        }
    }
    const bool isTruncated = expectedLength != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH
        && static_cast<std::streamsize>(body.size()) != expectedLength;
    if (isTruncated || stream.bad()) {
        return exchangeFailure("the response is truncated");
    }
    return body;
}

} // namespace

// One connection to the server.
class http_connection_pool::session : public Poco::Net::HTTPClientSession
{
public:
    session(const Poco::Net::SocketAddress &address, milliseconds timeout)
        : HTTPClientSession(address)
    {
        setKeepAlive(true);
        // acquire() discards idle connections after maxIdleTime, well before these 60 s.
        setKeepAliveTimeout(Poco::Timespan(60, 0));
        setTimeout(toTimespan(timeout), toTimespan(timeout), toTimespan(timeout));
    }

    void open() { reconnect(); }
    void setReceiveTimeout(milliseconds timeout)
    {
        socket().setReceiveTimeout(toTimespan(timeout));
    }
    // Returns whether the idle connection must not be reused. Readable data on an idle connection
    // means that the server closed the connection or sent data that belongs to no request.
    bool isStale()
    {
        return !connected() || socket().poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ);
    }

    steady_time idleSince;
};

http_connection_pool::http_connection_pool(const Poco::Net::SocketAddress &address,
                                           milliseconds timeout)
    : m_address(address)
    , m_timeout(timeout)
{ }

http_connection_pool::~http_connection_pool() = default;

absl::StatusOr<http_connection_pool::pooled_connection>
http_connection_pool::acquire(bool mustBeNew)
{
    if (!mustBeNew) {
        const std::lock_guard lock(m_mutex);
        const auto minIdleSince = std::chrono::steady_clock::now() - maxIdleTime;
        while (!m_idle.empty()) {
            auto connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (connection->idleSince >= minIdleSince && !connection->isStale()) {
                return pooled_connection{std::move(connection), true};
            }
        }
    }
    try {
        auto connection = std::make_unique<session>(m_address, m_timeout);
        connection->open();
        return pooled_connection{std::move(connection), false};
    } catch (const Poco::Exception &error) {
        return absl::UnavailableError(absl::StrCat("cannot connect: ", error.displayText()));
    }
}

void http_connection_pool::release(std::unique_ptr<session> connection)
{
    connection->idleSince = std::chrono::steady_clock::now();
    const std::lock_guard lock(m_mutex);
    if (m_idle.size() < maxIdleConnections) {
        m_idle.push_back(std::move(connection));
    }
}

absl::StatusOr<http_response> http_connection_pool::send(const http_request &request,
                                                         std::unique_ptr<session> connection)
{
    using namespace Poco::Net;
    try {
        connection->setReceiveTimeout(request.receiveTimeout);
        HTTPRequest head(request.method, request.target, HTTPMessage::HTTP_1_1);
        head.setContentLength(static_cast<std::streamsize>(request.body.size()));
        connection->sendRequest(head) << request.body << std::flush;
        HTTPResponse response;
        std::istream &stream = connection->receiveResponse(response);
        if (response.getStatus() < 200 || !isResponseStatus(response.getStatus())) {
            // An interim response other than 100 would be followed by the final one, which the next
            // request on the connection would read.
            return absl::DataLossError(
                absl::StrCat("malformed response: status ", response.getStatus()));
        }
        auto body = readBody(stream, response.getContentLength(), request.receiveTimeout);
        if (!body.ok()) {
            return body.status();
        }
        if (keepsConnectionOpen(response)) {
            release(std::move(connection));
        }
        return http_response{response.getStatus(), *std::move(body)};
    } catch (const NoMessageException &) {
        return exchangeFailure("the server closed the connection without a response");
    } catch (const MessageException &error) {
        return absl::DataLossError(absl::StrCat("malformed response: ", error.displayText()));
    } catch (const Poco::SyntaxException &error) {
        // The status is no number.
        return absl::DataLossError(absl::StrCat("malformed response: ", error.displayText()));
    } catch (const Poco::TimeoutException &) {
        return absl::DeadlineExceededError("no response within the timeout");
    } catch (const Poco::Exception &error) {
        return exchangeFailure(error.displayText());
    }
}

absl::StatusOr<http_response> http_connection_pool::exchangeWithRetry(const http_request &request)
{
    auto first = acquire(false);
    if (!first.ok()) {
        return first.status();
    }
    const bool isReused = first->isReused;
    auto response = send(request, std::move(first->connection));
    // A second attempt after a timeout would double the time that the caller waits.
    if (!absl::IsUnknown(response.status()) || !isReused || !request.isRepeatable) {
        return response;
    }
    auto second = acquire(true);
    if (!second.ok()) {
        return second.status();
    }
    return send(request, std::move(second->connection));
}

absl::StatusOr<http_response> http_connection_pool::exchange(const http_request &request)
{
    auto response = exchangeWithRetry(request);
    if (response.ok()) {
        return response;
    }
    const auto code = absl::IsDeadlineExceeded(response.status()) ? absl::StatusCode::kUnknown
                                                                  : response.status().code();
    return absl::Status(code,
                        absl::StrCat(m_address.toString(), ": ", response.status().message()));
}

} // namespace persimmonrail
