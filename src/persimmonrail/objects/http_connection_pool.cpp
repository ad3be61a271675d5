#include "persimmonrail/objects/http_connection_pool.h"

#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>

#include <absl/strings/str_cat.h>

namespace persimmonrail {
namespace {

// Servers commonly close idle connections after 15 s or more; a shorter limit here avoids sending
// on a connection that is just being closed.
constexpr std::chrono::seconds maxIdle{5};
constexpr size_t maxIdleConnections = 8;
// A list of all 26,800 placement records takes about 20 MB.
constexpr size_t maxResponseBytes = 128 * 1024 * 1024;

Poco::Timespan toTimespan(milliseconds time)
{
    return {static_cast<Poco::Timespan::TimeDiff>(time.count()) * Poco::Timespan::MILLISECONDS};
}

absl::Status broken(const std::string &reason)
{
    return absl::UnknownError(absl::StrCat("exchange broke: ", reason));
}

// Reads the body; the stream swallows exceptions of the socket, so the length is checked.
absl::StatusOr<std::string> readBody(std::istream &stream, std::streamsize expected,
                                     milliseconds timeout)
{
    const auto end = std::chrono::steady_clock::now() + timeout;
    std::string body;
    char buffer[16 * 1024];
    while (stream.read(buffer, sizeof buffer) || stream.gcount() > 0) {
        body.append(buffer, static_cast<size_t>(stream.gcount()));
        if (body.size() > maxResponseBytes) {
            return absl::DataLossError("the answer exceeds the size limit");
        }
        if (std::chrono::steady_clock::now() > end) {
            return absl::DeadlineExceededError("the answer takes too long");
        }
    }
    const bool isShort = expected != Poco::Net::HTTPMessage::UNKNOWN_CONTENT_LENGTH
        && static_cast<std::streamsize>(body.size()) != expected;
    if (isShort || stream.bad()) {
        return broken("the answer is truncated");
    }
    return body;
}

} // namespace

class http_connection_pool::session : public Poco::Net::HTTPClientSession
{
public:
    session(const Poco::Net::SocketAddress &address, milliseconds timeout)
        : HTTPClientSession(address)
    {
        setKeepAlive(true);
        // The pool discards idle connections itself.
        setKeepAliveTimeout(Poco::Timespan(60, 0));
        setTimeout(toTimespan(timeout), toTimespan(timeout), toTimespan(timeout));
    }

    void open() { reconnect(); }
    void setReceiveTimeout(milliseconds timeout)
    {
        socket().setReceiveTimeout(toTimespan(timeout));
    }
    // An idle connection with something to read was closed or is out of step.
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

absl::StatusOr<http_connection_pool::lease> http_connection_pool::acquire(bool mustBeNew)
{
    if (!mustBeNew) {
        const std::lock_guard lock(m_mutex);
        const auto oldest = std::chrono::steady_clock::now() - maxIdle;
        while (!m_idle.empty()) {
            auto connection = std::move(m_idle.back());
            m_idle.pop_back();
            if (connection->idleSince >= oldest && !connection->isStale()) {
                return lease{std::move(connection), true};
            }
        }
    }
    try {
        auto connection = std::make_unique<session>(m_address, m_timeout);
        connection->open();
        return lease{std::move(connection), false};
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

absl::StatusOr<http_response> http_connection_pool::send(const http_call &call,
                                                         std::unique_ptr<session> connection)
{
    using namespace Poco::Net;
    try {
        connection->setReceiveTimeout(call.receiveTimeout);
        HTTPRequest request(call.method, call.target, HTTPMessage::HTTP_1_1);
        request.setContentLength(static_cast<std::streamsize>(call.body.size()));
        connection->sendRequest(request) << call.body << std::flush;
        HTTPResponse response;
        std::istream &stream = connection->receiveResponse(response);
        auto body = readBody(stream, response.getContentLength(), call.receiveTimeout);
        if (!body.ok()) {
            return body.status();
        }
        if (response.getKeepAlive()) {
            release(std::move(connection));
        }
        return http_response{response.getStatus(), *std::move(body)};
    } catch (const NoMessageException &) {
        return broken("connection closed without an answer");
    } catch (const MessageException &error) {
        return absl::DataLossError(absl::StrCat("malformed answer: ", error.displayText()));
    } catch (const Poco::TimeoutException &) {
        return absl::DeadlineExceededError("no answer in time");
    } catch (const Poco::Exception &error) {
        return broken(error.displayText());
    }
}

absl::StatusOr<http_response> http_connection_pool::attempt(const http_call &call)
{
    auto first = acquire(false);
    if (!first.ok()) {
        return first.status();
    }
    const bool isReused = first->isReused;
    auto response = send(call, std::move(first->connection));
    // A second attempt after a timeout would double the caller's waiting time.
    if (!absl::IsUnknown(response.status()) || !isReused || !call.isRepeatable) {
        return response;
    }
    auto second = acquire(true);
    if (!second.ok()) {
        return second.status();
    }
    return send(call, std::move(second->connection));
}

absl::StatusOr<http_response> http_connection_pool::exchange(const http_call &call)
{
    auto response = attempt(call);
    if (response.ok()) {
        return response;
    }
    const auto code = absl::IsDeadlineExceeded(response.status()) ? absl::StatusCode::kUnknown
                                                                  : response.status().code();
    return absl::Status(code,
                        absl::StrCat(m_address.toString(), ": ", response.status().message()));
}

} // namespace persimmonrail
