#include "http_fixture.h"
#include "persimmonrail/http/http_server.h"
#include "standins/scripted_server.h"

#include <Poco/Net/NetException.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <deque>
#include <filesystem>
#include <random>
#include <thread>

#include <sys/resource.h>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Starts a server that responds with the body of the request.
std::unique_ptr<http_server> echoServer(const http_server_options &options = {})
{
    auto server = http_server::listen(options, [](server_exchange &exchange) {
        std::string body;
        if (exchange.readAll(body, 16 * 1024 * 1024, timeAfter(testTimeout)) == io_status::Ok) {
            exchange.respond(200, body, "text/plain");
        } else {
            exchange.closeAfterResponse();
            exchange.respond(400, "", "text/plain");
        }
    });
    REQUIRE(server.ok());
    return *std::move(server);
}

// Returns the number of threads of this process.
int threadCount()
{
    const std::filesystem::directory_iterator tasks("/proc/self/task");
    return static_cast<int>(std::distance(begin(tasks), end(tasks)));
}

} // namespace

// Guards against requests whose end two hops determine differently, and against crashes on input
// that is not HTTP.
TEST_CASE("malformed requests are rejected", "[http]")
{
    const auto server = echoServer();
    struct
    {
        const char *name;
        std::string bytes;
        const char *status;
    } const table[] = {
        {"no request line", "nonsense\r\n\r\n", "HTTP/1.1 400"},
        {"two lengths",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
         "HTTP/1.1 400"},
        {"length and chunks",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
         "HTTP/1.1 400"},
        {"negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
         "HTTP/1.1 400"},
        {"length with letters", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1x\r\n\r\n",
         "HTTP/1.1 400"},
        {"unknown coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip\r\n\r\n",
         "HTTP/1.1 400"},
        {"field without colon", "GET / HTTP/1.1\r\nHost: a\r\nbroken\r\n\r\n", "HTTP/1.1 400"},
        {"space in field name", "GET / HTTP/1.1\r\nHost: a\r\nX Y: 1\r\n\r\n", "HTTP/1.1 400"},
        {"folded field", "GET / HTTP/1.1\r\nHost: a\r\nX: 1\r\n 2\r\n\r\n", "HTTP/1.1 400"},
        {"NUL in field", std::string("GET / HTTP/1.1\r\nHost: a\r\nX: \0\r\n\r\n", 33),
         "HTTP/1.1 400"},
        {"name that is no token", "GET / HTTP/1.1\r\nHost: a\r\nX\x80: 1\r\n\r\n", "HTTP/1.1 400"},
        {"field after a blank line of another form", "GET / HTTP/1.1\r\nHost: a\n\r\nX: 1\r\n\r\n",
         "HTTP/1.1 400"},
        {"fragment", "GET /?a#b HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 400"},
        {"host with user", "GET / HTTP/1.1\r\nHost: a:b@c\r\n\r\n", "HTTP/1.1 400"},
        {"host with path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", "HTTP/1.1 400"},
        {"host with a name as port", "GET / HTTP/1.1\r\nHost: a:b\r\n\r\n", "HTTP/1.1 400"},
        {"several hosts in a line", "GET / HTTP/1.1\r\nHost: a, b\r\n\r\n", "HTTP/1.1 400"},
        {"host listed", "GET / HTTP/1.1\r\nHost: a\r\nConnection: host\r\n\r\n", "HTTP/1.1 400"},
        {"length listed",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nConnection: Content-Length\r\n\r\na",
         "HTTP/1.1 400"},
        {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "HTTP/1.1 400"},
        {"no host", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
        {"authority form", "GET example:80 HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 400"},
        {"absolute form", "GET http://a/x HTTP/1.1\r\nHost: A\r\nConnection: close\r\n\r\n",
         "HTTP/1.1 200"},
        {"absolute form without a path",
         "GET HTTP://a:80?q HTTP/1.1\r\nHost: a:80\r\nConnection: close\r\n\r\n", "HTTP/1.1 200"},
        {"absolute form with another host", "GET http://b/x HTTP/1.1\r\nHost: a\r\n\r\n",
         "HTTP/1.1 400"},
        {"absolute form with a user", "GET http://u@a/x HTTP/1.1\r\nHost: a\r\n\r\n",
         "HTTP/1.1 400"},
        {"absolute form of another scheme", "GET ftp://a/x HTTP/1.1\r\nHost: a\r\n\r\n",
         "HTTP/1.1 400"},
        {"unknown version", "GET / HTTP/3.7\r\nHost: a\r\n\r\n", "HTTP/1.1 400"},
        {"HTTP/1.0", "GET / HTTP/1.0\r\nHost: a\r\n\r\n", "HTTP/1.1 505"},
        {"oversized head",
         "GET / HTTP/1.1\r\nHost: a\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n",
         "HTTP/1.1 431"},
        {"bad chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
         "HTTP/1.1 400"},
    };
    for (const auto &row : table) {
        CAPTURE(row.name);
        const std::string response = exchangeBytes(server->address(), row.bytes);
        CHECK(response.substr(0, 12) == row.status);
    }
    std::mt19937 random(11);
    for (int i = 0; i < 50; ++i) {
        std::string bytes(1 + random() % 2000, '\0');
        std::generate(bytes.begin(), bytes.end(), [&] { return static_cast<char>(random()); });
        exchangeBytes(server->address(), bytes + "\r\n\r\n");
    }
    const std::string valid = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    CHECK(exchangeBytes(server->address(), valid).substr(0, 12) == "HTTP/1.1 200");
}

// Guards against an unbounded number of threads.
TEST_CASE("connections beyond the limit are rejected with a response", "[http]")
{
    http_server_options options;
    options.maxConnections = 2;
    options.crowdedIdleTimeout = testTimeout;
    const auto server = echoServer(options);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::vector<Poco::Net::StreamSocket> openConnections;
    for (int i = 0; i < options.maxConnections; ++i) {
        openConnections.emplace_back(Poco::Net::SocketAddress(server->address()));
        sendText(openConnections.back(), request);
        CHECK(readHeadText(openConnections.back()).substr(0, 12) == "HTTP/1.1 200");
    }
    const std::string response = exchangeBytes(server->address(), "");
    CHECK(response.substr(0, 12) == "HTTP/1.1 503");
    for (const char *field : {"Persimmonrail-Outcome: not-run", "Persimmonrail-Request-Id: ",
                              "Persimmonrail-Reason: too-many-connections", "{\"outcome\":"}) {
        CAPTURE(field, response);
        CHECK(response.find(field) != std::string::npos);
    }
    CHECK(server->rejectedConnections() == 1);
    CHECK(server->connectionCount() == options.maxConnections);
}

// Guards P7: a planned stop interrupts no request in progress and accepts no new connection.
TEST_CASE("a server that stops listening finishes its requests", "[http]")
{
    std::mutex mutex;
    std::condition_variable stepChanged;
    int step = 0;
    auto server = http_server::listen({}, [&](server_exchange &exchange) {
        std::unique_lock lock(mutex);
        step = 1;
        stepChanged.notify_all();
        stepChanged.wait(lock, [&] { return step == 2; });
        exchange.respond(200, "whole", "text/plain");
    });
    REQUIRE(server.ok());
    const std::string address = (*server)->address();
    std::string response;
    std::thread callerThread(
        [&] { response = exchangeBytes(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); });
    {
        std::unique_lock lock(mutex);
        stepChanged.wait(lock, [&] { return step == 1; });
    }
    (*server)->stopListening();
    CHECK_FALSE((*server)->waitUntilClosed(timeAfter(0ms)));
    http_client client(std::make_shared<connection_pool>());
    recording_sink sink;
    CHECK(client.exchange(requestTo(address), sink).state == exchange_state::NotSent);
    {
        const std::lock_guard lock(mutex);
        step = 2;
        stepChanged.notify_all();
    }
    CHECK((*server)->waitUntilClosed(timeAfter(testTimeout)));
    callerThread.join();
    CHECK(response.substr(response.size() - 5) == "whole");
}

// Guards against idle connections that prevent new ones.
TEST_CASE("idle connections are closed early when the server is crowded", "[http]")
{
    http_server_options options;
    options.maxConnections = 2;
    options.idleTimeout = testTimeout;
    options.crowdedIdleTimeout = 0ms;
    const auto server = echoServer(options);
    std::vector<Poco::Net::StreamSocket> connections;
    connections.reserve(options.maxConnections);
    for (int i = 0; i < options.maxConnections; ++i) {
        connections.emplace_back(Poco::Net::SocketAddress(server->address()));
    }
    // readToEnd() returns only after the server has closed the connection.
    CHECK(readToEnd(connections.front()).empty());
}

// Guards against periodic checks of idle connections: with hundreds of connections that are idle
// for a long time, each check of a connection would wake a thread.
TEST_CASE("idle connections are checked rarely, and a stop closes them promptly", "[http]")
{
    http_server_options options;
    options.idleTimeout = 60s;
    const auto server = echoServer(options);
    std::vector<Poco::Net::StreamSocket> connections;
    for (int i = 0; i < 8; ++i) {
        connections.emplace_back(Poco::Net::SocketAddress(server->address()));
        sendText(connections.back(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        readHeadText(connections.back());
    }
    rusage usageBefore{};
    rusage usageAfter{};
    ::getrusage(RUSAGE_SELF, &usageBefore);
    std::this_thread::sleep_until(std::chrono::steady_clock::now() + 1s);
    ::getrusage(RUSAGE_SELF, &usageAfter);
    // Four checks a second of each of the 8 connections would cause 32 context switches.
    CHECK(usageAfter.ru_nvcsw - usageBefore.ru_nvcsw < 16);
    const steady_time start = std::chrono::steady_clock::now();
    server->stopListening();
    CHECK(server->waitUntilClosed(timeAfter(testTimeout)));
    CHECK(std::chrono::steady_clock::now() - start < 1900ms);
}

// Guards against a thread for each connection: hundreds of callers and daemons keep their
// connections open between requests. The requests in progress, not the connections, bound the
// memory and the number of threads.
TEST_CASE("idle connections use no thread", "[http]")
{
    constexpr int connectionCount = 100;
    http_server_options options;
    options.idleTimeout = testTimeout;
    const auto server = echoServer(options);
    std::vector<Poco::Net::StreamSocket> connections;
    connections.reserve(connectionCount);
    const auto requestAll = [&] {
        for (auto &socket : connections) {
            sendText(socket, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        for (auto &socket : connections) {
            CHECK(readHeadText(socket).starts_with("HTTP/1.1 200"));
        }
    };
    const int initialCount = threadCount();
    for (int i = 0; i < connectionCount; ++i) {
        connections.emplace_back(Poco::Net::SocketAddress(server->address()));
    }
    requestAll();
    // The thread pool ends idle threads only when it starts a further request.
    const steady_time end = timeAfter(testTimeout);
    while (threadCount() > initialCount + 8 && std::chrono::steady_clock::now() < end) {
        sendText(connections.front(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        readHeadText(connections.front());
        std::this_thread::sleep_for(50ms);
    }
    CHECK(threadCount() <= initialCount + 8);
    CHECK(server->connectionCount() == connectionCount);
    requestAll();
}

// Guards against pipelined requests that are lost or confused with each other.
TEST_CASE("pipelined requests receive their responses in order", "[http]")
{
    const auto server = echoServer();
    const std::string response = exchangeBytes(
        server->address(),
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none"
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nthree");
    const size_t first = response.find("\r\n\r\none");
    const size_t second = response.find("\r\n\r\ntwo", first);
    CHECK(first != std::string::npos);
    CHECK(second != std::string::npos);
    CHECK(response.find("\r\n\r\nthree", second) != std::string::npos);
}

// Guards against requests that a graceful stop interrupts: those on connections that are queued
// when the listener closes, and those of callers that connect to a listener that accepts no more.
TEST_CASE("stopListening serves earlier connections and rejects later ones", "[http]")
{
    const auto server = echoServer();
    const Poco::Net::SocketAddress address(server->address());
    std::vector<Poco::Net::StreamSocket> connectedEarlier;
    connectedEarlier.reserve(50);
    for (int i = 0; i < 50; ++i) {
        connectedEarlier.emplace_back(address);
    }
    server->stopListening();
    for (auto &socket : connectedEarlier) {
        sendText(socket,
                 "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                 "Connection: close\r\n\r\nbody");
        const std::string response = readToEnd(socket);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(response.ends_with("body"));
    }
    CHECK_THROWS_AS(Poco::Net::StreamSocket(address), Poco::Net::ConnectionRefusedException);
}

// Guards against a rejection that its client gets only after the idle timeout, and a thread that is
// held until then, because the client does not send the small body that it has announced.
TEST_CASE("a response does not wait for a body that does not arrive", "[http]")
{
    const auto server = *http_server::listen(
        {}, [](server_exchange &exchange) { exchange.respond(503, "", "text/plain"); });
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
    const steady_time start = std::chrono::steady_clock::now();
    sendText(socket, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\n123");
    const std::string response = readToEnd(socket);
    CHECK(response.starts_with("HTTP/1.1 503"));
    CHECK(response.find("Connection: Close") != std::string::npos);
    CHECK(std::chrono::steady_clock::now() - start < 5s);
}

// Guards against connections that are established while the listener closes: the system would reset
// them, and their clients, which have sent a request, would not learn that it has not run.
TEST_CASE("stopListening resets no connection that is being established", "[http]")
{
    constexpr int stopCount = 25;
    constexpr int clientCount = 4;
    constexpr size_t maxOpenPerClient = 50;
    std::atomic<int> responses{0};
    std::atomic<int> resets{0};
    const auto readResponse = [&](Poco::Net::StreamSocket &socket) {
        const bool hasResponse = readToEnd(socket).starts_with("HTTP/1.1 ");
        ++(hasResponse ? responses : resets);
    };
    const auto connectUntilRefused = [&](const Poco::Net::SocketAddress &address) {
        std::deque<Poco::Net::StreamSocket> sockets;
        try {
            for (;;) {
                Poco::Net::StreamSocket socket;
                socket.connect(address, Poco::Timespan(0, 100'000));
                sockets.push_back(socket);
                sendText(socket, "GET / HTTP/1.1\r\nHost: x\r\n\r\n");
                if (sockets.size() > maxOpenPerClient) {
                    readResponse(sockets.front());
                    sockets.pop_front();
                }
            }
        } catch (const Poco::Exception &) {
            // The server no longer accepts connections.
        }
        std::for_each(sockets.begin(), sockets.end(), readResponse);
    };
    for (int i = 0; i < stopCount; ++i) {
        const auto server = *http_server::listen({}, [](server_exchange &exchange) {
            exchange.closeAfterResponse();
            exchange.respond(200, "", "text/plain");
        });
        std::vector<std::jthread> clients;
        clients.reserve(clientCount);
        for (int client = 0; client < clientCount; ++client) {
            clients.emplace_back(connectUntilRefused, Poco::Net::SocketAddress(server->address()));
        }
        std::this_thread::sleep_for(2ms);
        server->stopListening();
    }
    CHECK(responses > 0);
    CHECK(resets == 0);
}

// Guards against a server that serves no request for seconds after a burst of requests, because
// the threads of the burst end slowly on a busy host.
TEST_CASE("threads that end slowly do not delay later requests", "[http]")
{
    struct slow_exit
    {
        std::atomic<bool> isUsed{false};
        ~slow_exit() { std::this_thread::sleep_for(200ms); }
    };
    constexpr int burst = 40;
    constexpr milliseconds burstTime{300};
    // Threads of the server end after they had no request for 2 s.
    constexpr milliseconds pauseTime{3200};
    auto server = *http_server::listen({}, [&](server_exchange &exchange) {
        thread_local slow_exit atThreadExit;
        atThreadExit.isUsed = true;
        if (exchange.request().getURI() == "/burst") {
            std::this_thread::sleep_for(burstTime);
        }
        exchange.respond(200, "", "text/plain");
    });
    const auto send = [&](const std::string &path) {
        http_client client(std::make_shared<connection_pool>());
        return simpleRequest(client, server->address(), "GET", path, "", timeAfter(testTimeout))
            .ok();
    };
    std::vector<std::thread> callers;
    callers.reserve(burst);
    for (int i = 0; i < burst; ++i) {
        callers.emplace_back([&] { send("/burst"); });
    }
    for (std::thread &caller : callers) {
        caller.join();
    }
    std::this_thread::sleep_for(pauseTime);
    std::chrono::nanoseconds longest{0};
    for (int i = 0; i < burst; ++i) {
        const steady_time start = std::chrono::steady_clock::now();
        CHECK(send("/later"));
        longest =
            std::max<std::chrono::nanoseconds>(longest, std::chrono::steady_clock::now() - start);
    }
    CHECK(longest < 2s);
}
