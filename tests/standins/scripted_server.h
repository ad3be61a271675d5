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

// TCP server that runs a function on each connection. Tests use it for responses that a regular
// HTTP server doesn't send. Listens on a free port of 127.0.0.1. Thread-safe.
class scripted_server
{
public:
    // Runs on a thread of its own for each connection. `index` numbers the connections from 0. The
    // connection is closed when the function returns or throws a Poco::Exception.
    using script = std::function<void(Poco::Net::StreamSocket &socket, int index)>;

    explicit scripted_server(script script);
    scripted_server(const scripted_server &) = delete;
    scripted_server &operator=(const scripted_server &) = delete;
    // Shuts down all connections and waits until their scripts return.
    ~scripted_server();

    // Returns the bound address as "ip:port".
    const std::string &address() const { return m_address; }
    // Returns the number of connections accepted so far.
    int connectionCount() const { return m_connectionCount; }
    // Blocks, without a timeout, until the scripts of at least `count` connections have ended.
    void waitUntilClosed(int count);

private:
    void acceptConnections();

    const script m_script;
    Poco::Net::ServerSocket m_socket;
    std::string m_address;
    std::atomic<bool> m_isStopping = false;
    std::atomic<int> m_connectionCount = 0;
    std::mutex m_mutex;
    std::condition_variable m_connectionClosed;
    int m_closedCount = 0;
    std::list<Poco::Net::StreamSocket> m_openSockets;
    std::list<std::thread> m_scriptThreads;
    std::thread m_acceptThread;
};

// Reads an HTTP head up to and including its final blank line. Returns an empty string if the
// connection ends before the blank line.
std::string readHeadText(Poco::Net::StreamSocket &socket);
// Returns all bytes received until the peer closes or resets the connection. Throws
// Poco::TimeoutException if the peer sends nothing for 60 s.
std::string readToEnd(Poco::Net::StreamSocket &socket);
// Sends the whole text. Throws Poco::Exception if the connection fails.
void sendText(Poco::Net::StreamSocket &socket, const std::string &text);
// Opens a connection to `address`, sends `bytes` and returns the result of readToEnd().
std::string exchangeBytes(const std::string &address, const std::string &bytes);

} // namespace persimmonrail
