// A small HTTP/1.1 server and client for the stand-ins of the cases 11 to 15. Sockets block; each
// connection has a thread. All addresses are loopback addresses.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;
using time_point = clock::time_point;

// A request or a response: first line, header fields and body.
struct message
{
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    // Returns the value of the first field with this name, or an empty text.
    std::string get(const std::string &name) const;
    // Returns the word of the first line at this position, from 0.
    std::string word(int position) const;
    // Returns the status of a response.
    int status() const { return std::atoi(word(1).c_str()); }
};

std::string render(const message &text);
// Returns whether the sender closes the connection after this message.
bool closesConnection(const message &text);
message makeRequest(const std::string &method, const std::string &target, const std::string &host,
                    std::vector<std::pair<std::string, std::string>> fields,
                    const std::string &body);
message makeResponse(int status, std::vector<std::pair<std::string, std::string>> fields,
                     const std::string &body);

// One TCP connection.
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    // Reads the next message. Returns false if the connection ends or `until` passes first.
    bool read(message &result, time_point until = time_point::max());
    bool write(const std::string &bytes);
    // Ends all reads and writes.
    void shutdown();
    // Whether the last failed read ended because time had passed.
    bool hasTimedOut() const { return m_hasTimedOut; }
    // Number of messages read so far.
    int readCount() const { return m_readCount; }

private:
    bool fill(time_point until);

    const int m_descriptor;
    std::string m_buffer;
    bool m_hasTimedOut = false;
    int m_readCount = 0;
};

// Connects to "127.0.0.1:PORT"; null if that fails.
std::unique_ptr<connection> connectTo(const std::string &address);

// Sends one request on a new connection and returns the response; an empty first line stands for
// no complete response.
message exchange(const std::string &address, const message &request, milliseconds timeout);

// Serves connections on a free loopback port until it is destroyed.
class server
{
public:
    // Called for each request on the thread of its connection; returns whether to read on.
    using handler = std::function<bool(connection &from, const message &request)>;
    explicit server(handler onRequest);
    ~server();
    const std::string &address() const { return m_address; }

private:
    void accept();
    void serve(std::shared_ptr<connection> from);

    const handler m_onRequest;
    std::string m_address;
    int m_listener = -1;
    std::atomic<bool> m_isStopping{false};
    std::mutex m_mutex;
    std::set<std::shared_ptr<connection>> m_connections;
    std::atomic<int> m_threads{0};
    std::thread m_acceptor;
};

// Returns "127.0.0.1:PORT" with a port that was free a moment ago.
std::string freeAddress();

} // namespace review
