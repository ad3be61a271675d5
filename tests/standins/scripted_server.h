#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>

namespace persimmonrail {

// TCP server that runs a function on each connection, for answers that no regular HTTP server
// gives. Thread safe.
class scripted_server
{
public:
    // `index` counts connections from 0. The connection is closed when the function returns.
    using script = std::function<void(Poco::Net::StreamSocket &socket, int index)>;

    explicit scripted_server(script script);
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;
    // Closes all connections and waits for their scripts.
    ~scripted_server();

    const std::string &address() const { return m_address; }
    int connectionCount() const { return m_connections; }
    // Waits until this many connections have been closed by their scripts.
    void waitUntilClosed(int count);

private:
    void acceptConnections();

    const script m_script;
    Poco::Net::ServerSocket m_socket;
    std::string m_address;
    std::atomic<bool> m_stopping = false;
    std::atomic<int> m_connections = 0;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_closed = 0;
    std::list<Poco::Net::StreamSocket> m_open;
    std::list<std::thread> m_threads;
    std::thread m_acceptor;
};

// Reads up to the blank line that ends a head; empty if the connection ends before.
std::string readHeadText(Poco::Net::StreamSocket &socket);
// Reads until the peer closes the connection.
std::string readToEnd(Poco::Net::StreamSocket &socket);
void sendText(Poco::Net::StreamSocket &socket, const std::string &text);
// Opens a connection, sends the bytes and returns everything that comes back until it is closed.
std::string exchangeBytes(const std::string &address, const std::string &bytes);

} // namespace persimmonrail
