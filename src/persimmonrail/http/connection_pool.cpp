#include "persimmonrail/http/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/SocketAddress.h>

#include <algorithm>

namespace persimmonrail {
namespace {

// A connection that takes longer counts as refused; within one region a connect takes a few
// milliseconds.
constexpr milliseconds maxConnectTime{1000};

} // namespace

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

} // namespace persimmonrail
