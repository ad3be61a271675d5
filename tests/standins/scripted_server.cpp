#include "standins/scripted_server.h"

#include <Poco/Exception.h>
#include <Poco/Net/NetException.h>

namespace persimmonrail {
namespace {

const Poco::Timespan acceptInterval(0, 20'000);
// Ends a test that would otherwise hang; no test depends on its length.
const Poco::Timespan hangTimeout(60, 0);

} // namespace

scripted_server::scripted_server(script script)
    : m_script(std::move(script))
    , m_socket(Poco::Net::SocketAddress("127.0.0.1", 0))
    , m_address(m_socket.address().toString())
    , m_acceptor([this] { acceptConnections(); })
{ }

scripted_server::~scripted_server()
{
    m_stopping = true;
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (Poco::Net::StreamSocket &socket : m_open) {
            try {
                socket.shutdown();
            } catch (const Poco::Exception &) {
                // Closed already.
            }
        }
    }
    for (std::thread &thread : m_threads) {
        thread.join();
    }
}

void scripted_server::waitUntilClosed(int count)
{
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [&] { return m_closed >= count; });
}

void scripted_server::acceptConnections()
{
    while (!m_stopping) {
        if (!m_socket.poll(acceptInterval, Poco::Net::Socket::SELECT_READ)) {
            continue;
        }
        const std::lock_guard lock(m_mutex);
        m_open.push_back(m_socket.acceptConnection());
        auto connection = std::prev(m_open.end());
        m_threads.emplace_back([this, connection, index = m_connections++] {
            try {
                m_script(*connection, index);
            } catch (const Poco::Exception &) {
                // The peer closed the connection; scripts need not handle that.
            }
            const std::lock_guard closing(m_mutex);
            m_open.erase(connection);
            ++m_closed;
            m_changed.notify_all();
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
    std::string piece(16 * 1024, '\0');
    socket.setReceiveTimeout(hangTimeout);
    try {
        for (int n = 0;
             (n = socket.receiveBytes(piece.data(), static_cast<int>(piece.size()))) > 0;) {
            text.append(piece, 0, n);
        }
    } catch (const Poco::Net::NetException &) {
        // A reset connection has ended as well.
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
        // The server may close the connection before it has read everything.
    }
    return readToEnd(socket);
}

} // namespace persimmonrail
