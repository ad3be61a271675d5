#include "standins/scripted_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

namespace persimmonrail {
namespace {

const Poco::Timespan acceptPollInterval(0, 20'000);
// Stops a test from hanging if the peer keeps its connection open; no test depends on the value.
const Poco::Timespan receiveTimeout(60, 0);

} // namespace

scripted_server::scripted_server(script script)
    : m_script(std::move(script))
    , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , m_address(m_socket.address().toString())
    , m_acceptThread([this] { acceptConnections(); })
{ }

scripted_server::~scripted_server()
{
    m_isStopping = true;
    m_acceptThread.join();
    {
        const std::lock_guard lock(m_mutex);
        for (Poco::Net::StreamSocket &socket : m_openSockets) {
            try {
                socket.shutdown();
            } catch (const Poco::Exception &) {
                // The connection is already closed.
            }
        }
    }
    for (std::thread &thread : m_scriptThreads) {
        thread.join();
    }
}

void scripted_server::waitUntilClosed(int count)
{
    std::unique_lock lock(m_mutex);
    m_connectionClosed.wait(lock, [&] { return m_closedCount >= count; });
}

void scripted_server::acceptConnections()
{
    while (!m_isStopping) {
        if (!m_socket.poll(acceptPollInterval, Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_openSockets.push_back(m_socket.acceptConnection());
        auto connection = std::prev(m_openSockets.end());
        m_scriptThreads.emplace_back([this, connection, index = m_connectionCount++] {
            try {
                m_script(*connection, index);
            } catch (const Poco::Exception &) {
                // Scripts may throw when the peer closes the connection.
            }
            const std::lock_guard closing(m_mutex);
            m_openSockets.erase(connection);
            ++m_closedCount;
            m_connectionClosed.notify_all();
        });
    }
}

std::string readHeadText(Poco::Net::StreamSocket &socket)
{
    std::string head;
    char byte = 0;
    while (!head.ends_with("\r\n\r\n")) {
        if (socket.receiveBytes(&byte, 1) <= 0) {
            return {};
        }
        head += byte;
    }
    return head;
}

std::string readToEnd(Poco::Net::StreamSocket &socket)
{
    std::string text;
    std::string buffer(16 * 1024, '\0');
    socket.setReceiveTimeout(receiveTimeout);
    try {
        for (int received = 0;
             (received = socket.receiveBytes(buffer.data(), static_cast<int>(buffer.size())))
             > 0;) {
            text.append(buffer, 0, received);
        }
    } catch (const Poco::Net::NetException &) {
        // A connection reset ends the text like a regular close.
    }
    return text;
}

void sendText(Poco::Net::StreamSocket &socket, const std::string &text)
{
    size_t sent = 0;
    while (sent < text.size()) {
        sent += socket.sendBytes(text.data() + sent, static_cast<int>(text.size() - sent));
    }
}

std::string exchangeBytes(const std::string &address, const std::string &bytes)
{
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    try {
        sendText(socket, bytes);
    } catch (const Poco::Exception &) {
        // The server may close the connection before all bytes are sent.
    }
    return readToEnd(socket);
}

} // namespace persimmonrail
