#include "persimmonrail/http/http_client.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>

#include <netinet/tcp.h>

#include <algorithm>
#include <iterator>

namespace persimmonrail {
namespace {

// With these values, TCP closes an unresponsive connection after about 3 s.
constexpr int keepAliveIdleSeconds = 1;
constexpr int keepAliveIntervalSeconds = 1;
constexpr int keepAliveProbes = 2;
constexpr int userTimeoutMs = 3000;

void enableKeepAlive(Poco::Net::StreamSocket &socket)
{
    socket.setKeepAlive(true);
    socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, keepAliveIdleSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, keepAliveIntervalSeconds);
    socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, keepAliveProbes);
    socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, userTimeoutMs);
}

} // namespace

connection_pool::connection_pool(const connection_pool_options &options)
    : m_options(options)
{ }

// Removes and returns the connection to the address that became idle last and may carry the
// request, or nullopt if none of them became idle after `idleSince`.
std::optional<connection_pool::connection>
connection_pool::acquireIdle(const std::string &address, steady_time idleSince,
                             const std::string &requestId, steady_time now)
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_byAddress.find(address);
    if (entry == m_byAddress.end()) {
        return std::nullopt;
    }
    auto &idleAtAddress = entry->second;
    const auto newest =
        std::find_if(idleAtAddress.rbegin(), idleAtAddress.rend(), [&](const auto &idle) {
            return !idle->open.rejected.contains(requestId, now);
        });
    if (newest == idleAtAddress.rend() || (*newest)->idleSince <= idleSince) {
        return std::nullopt;
    }
    connection open = std::move((*newest)->open);
    m_idle.erase(*newest);
    idleAtAddress.erase(std::prev(newest.base()));
    if (idleAtAddress.empty()) {
        m_byAddress.erase(entry);
    }
    return open;
}

absl::StatusOr<connection_pool::connection>
connection_pool::acquire(const std::string &address, bool repeatable, steady_time now,
                         steady_time until, const std::string &requestId)
{
    auto open = acquireOpen(address, repeatable, now, requestId);
    return open.ok() ? std::move(open) : connect(address, until);
}

absl::StatusOr<connection_pool::connection>
connection_pool::acquireOpen(const std::string &address, bool repeatable, steady_time now,
                             const std::string &requestId)
{
    const steady_time idleSince =
        now - (repeatable ? m_options.idleTimeout : m_options.nonRepeatableIdleTimeout);
    while (auto idle = acquireIdle(address, idleSince, requestId, now)) {
        // A connection with input was closed by its peer, or holds bytes that belong to no
        // exchange, and can't be reused.
        if (!idle->stream->hasInput()) {
            idle->reused = true;
            return std::move(*idle);
        }
    }
    return absl::NotFoundError("no open connection");
}

absl::StatusOr<connection_pool::connection> connection_pool::connect(const std::string &address,
                                                                     steady_time until)
{
    const auto remaining =
        std::chrono::duration_cast<std::chrono::microseconds>(std::min<std::chrono::nanoseconds>(
            until - std::chrono::steady_clock::now(), m_options.connectTimeout));
    if (remaining.count() <= 0) {
        return absl::UnavailableError("deadline passed before connecting");
    }
    try {
        Poco::Net::StreamSocket socket;
        socket.connect(Poco::Net::SocketAddress(address), Poco::Timespan(remaining.count()));
        if (m_options.keepAlive) {
            enableKeepAlive(socket);
        }
        return connection{address, std::make_unique<http_stream>(socket), false};
    } catch (const Poco::Net::ConnectionRefusedException &error) {
        return absl::FailedPreconditionError(error.displayText());
    } catch (const Poco::Exception &error) {
        return absl::UnavailableError(error.displayText());
    }
}

void connection_pool::closeLongestIdle()
{
    const auto entry = m_byAddress.find(m_idle.front().open.address);
    entry->second.pop_front();
    if (entry->second.empty()) {
        m_byAddress.erase(entry);
    }
    m_idle.pop_front();
}

void connection_pool::release(connection connection, steady_time now)
{
    if (connection.rejected.isFull(now)) {
        return;
    }
    connection.stream->watchForClose(nullptr);
    connection.stream->releaseBuffer();
    const std::lock_guard lock(m_mutex);
    while (!m_idle.empty()
           && (m_idle.size() >= m_options.maxIdle
               || m_idle.front().idleSince <= now - m_options.idleTimeout)) {
        closeLongestIdle();
    }
    auto &idleAtAddress = m_byAddress[connection.address];
    if (idleAtAddress.size() < m_options.maxIdlePerAddress) {
        m_idle.push_back({std::move(connection), now});
        idleAtAddress.push_back(std::prev(m_idle.end()));
    }
}

void connection_pool::closeIdle(const std::string &address)
{
    const std::lock_guard lock(m_mutex);
    const auto entry = m_byAddress.find(address);
    if (entry == m_byAddress.end()) {
        return;
    }
    for (const idle_list::iterator idle : entry->second) {
        m_idle.erase(idle);
    }
    m_byAddress.erase(entry);
}

size_t connection_pool::idleCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_idle.size();
}

} // namespace persimmonrail
