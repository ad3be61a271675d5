#include "persimmonrail/http/http_client.h"
#include "persimmonrail/http/http_server.h"
#include "standins/scripted_server.h"

#include <Poco/Net/NetException.h>

#include <catch2/catch.hpp>

#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <random>
#include <thread>

#include <sys/resource.h>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Never expires in a passing test, even on a slow machine. Only tests of timeouts use shorter ones.
constexpr milliseconds testTimeout{60'000};

steady_time timeAfter(milliseconds delay)
{
    return std::chrono::steady_clock::now() + delay;
}

class recording_sink : public response_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &, const body_framing &, std::string_view first,
               bool isComplete) override
    {
        body = first;
        finished = isComplete;
        return true;
    }
    bool write(std::string_view piece) override
    {
        body += piece;
        return true;
    }
    bool finish() override
    {
        finished = true;
        return true;
    }

    std::string body;
    bool finished = false;
};

client_request requestTo(const std::string &address)
{
    client_request request;
    request.address = address;
    request.message.setURI("/x");
    request.deadline = timeAfter(testTimeout);
    return request;
}

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
        {"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "HTTP/1.1 400"},
        {"no host", "GET / HTTP/1.1\r\n\r\n", "HTTP/1.1 400"},
        {"authority form", "GET example:80 HTTP/1.1\r\nHost: a\r\n\r\n", "HTTP/1.1 400"},
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

// Guards against a truncated response that is forwarded as complete after its connection closed
// early.
TEST_CASE("the client distinguishes complete responses from truncated ones", "[http]")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    struct
    {
        const char *name;
        std::string response;
        exchange_state state;
        const char *body;
    } const table[] = {
        {"length", ok + "Content-Length: 5\r\n\r\nhello", exchange_state::Complete, "hello"},
        {"empty", ok + "Content-Length: 0\r\n\r\n", exchange_state::Complete, ""},
        {"chunks",
         ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3;x=1\r\nllo\r\n0\r\nT: 1\r\n\r\n",
         exchange_state::Complete, "hello"},
        {"interim response", "HTTP/1.1 102 Processing\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
         exchange_state::Complete, "ok"},
        {"short length", ok + "Content-Length: 6\r\n\r\nhello", exchange_state::Truncated, ""},
        {"truncated chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
         exchange_state::Truncated, ""},
        {"no last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
         exchange_state::Truncated, ""},
        {"truncated last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
         exchange_state::Truncated, ""},
        {"no framing", ok + "\r\nhello", exchange_state::Truncated, ""},
        {"truncated head", ok + "Content-Le", exchange_state::NoResponse, ""},
        {"not HTTP", "what?\r\n\r\n", exchange_state::Truncated, ""},
        {"no bytes", "", exchange_state::NoResponse, ""},
    };
    for (const auto &row : table) {
        CAPTURE(row.name);
        scripted_server server([&](Poco::Net::StreamSocket &socket, int) {
            readHeadText(socket);
            sendText(socket, row.response);
        });
        http_client client(std::make_shared<connection_pool>());
        recording_sink sink;
        const exchange_result result = client.exchange(requestTo(server.address()), sink);
        CHECK(toString(result.state) == toString(row.state));
        CHECK(sink.body == row.body);
        CHECK(sink.finished == (row.state == exchange_state::Complete));
    }
}

// Guards against running a request twice: if a reused connection is found closed after bytes of a
// request that may not be repeated were sent, the client must not send the request again.
TEST_CASE("a closed reused connection is replaced only if resending is safe", "[http]")
{
    struct
    {
        const char *name;
        bool repeatable;
        bool closesWhileIdle;
        exchange_state state;
    } const table[] = {
        {"repeatable", true, false, exchange_state::Complete},
        {"not repeatable", false, false, exchange_state::NoResponse},
        {"closed before anything was sent", false, true, exchange_state::Complete},
    };
    for (const auto &row : table) {
        CAPTURE(row.name);
        scripted_server server([&](Poco::Net::StreamSocket &socket, int index) {
            readHeadText(socket);
            sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
            if (index > 0 || !row.closesWhileIdle) {
                readHeadText(socket);
            }
        });
        connection_pool_options options;
        options.nonRepeatableIdleTimeout = testTimeout;
        options.idleTimeout = testTimeout;
        const auto pool = std::make_shared<connection_pool>(options);
        http_client client(pool);
        recording_sink sink;
        client_request request = requestTo(server.address());
        request.repeatable = row.repeatable;
        REQUIRE(client.exchange(request, sink).state == exchange_state::Complete);
        REQUIRE(pool->idleCount() == 1);
        if (row.closesWhileIdle) {
            server.waitUntilClosed(1);
        }
        CHECK(toString(client.exchange(request, sink).state) == toString(row.state));
        CHECK(server.connectionCount() == (row.state == exchange_state::Complete ? 2 : 1));
    }
}

// Guards P4 (a request reported as not run did not run): the first attempt sent the request, which
// may have run, and the connection of the second attempt is refused.
TEST_CASE("a refused second attempt does not hide that the first attempt sent the request",
          "[http]")
{
    class server_stopping_body : public body_source
    {
    public:
        body_framing framing() const override { return {body_framing::kind::Length, 1}; }
        io_status read(std::string &piece, steady_time) override
        {
            piece = m_wasRead ? "" : "x";
            m_wasRead = true;
            return io_status::Ok;
        }
        bool rewind() override
        {
            server.reset();
            m_wasRead = false;
            return true;
        }
        std::unique_ptr<scripted_server> server;

    private:
        bool m_wasRead = false;
    };
    server_stopping_body body;
    body.server = std::make_unique<scripted_server>([](Poco::Net::StreamSocket &socket, int) {
        readHeadText(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
        readHeadText(socket);
    });
    connection_pool_options options;
    options.idleTimeout = testTimeout;
    http_client client(std::make_shared<connection_pool>(options));
    recording_sink sink;
    client_request request = requestTo(body.server->address());
    request.repeatable = true;
    REQUIRE(client.exchange(request, sink).state == exchange_state::Complete);
    request.body = &body;
    CHECK(toString(client.exchange(request, sink).state) == toString(exchange_state::NoResponse));
}

// Guards against waiting for an unresponsive peer beyond the deadline, and against abandoning a
// connection whose peer is merely slow.
TEST_CASE("an unresponsive connection fails at the deadline or after a successful probe", "[http]")
{
    for (const bool probeSucceeds : {false, true}) {
        CAPTURE(probeSucceeds);
        scripted_server server([](Poco::Net::StreamSocket &socket, int) {
            readHeadText(socket);
            readHeadText(socket);
        });
        http_client client(std::make_shared<connection_pool>());
        recording_sink sink;
        client_request request = requestTo(server.address());
        request.deadline = timeAfter(probeSucceeds ? testTimeout : 100ms);
        request.progressTimeout = 20ms;
        request.probe = [probeSucceeds] { return probeSucceeds; };
        const exchange_state expected =
            probeSucceeds ? exchange_state::Unresponsive : exchange_state::TimedOut;
        CHECK(toString(client.exchange(request, sink).state) == toString(expected));
    }
}

// Guards against idle connections that exhaust the descriptors, and against the reuse of a
// connection that its server is about to close.
TEST_CASE("idle connections are limited in number and idle time", "[http]")
{
    scripted_server server([](Poco::Net::StreamSocket &socket, int) { readHeadText(socket); });
    connection_pool_options options;
    options.maxIdlePerAddress = 2;
    options.maxIdle = 2;
    connection_pool pool(options);
    const steady_time start = std::chrono::steady_clock::now();
    const auto release = [&](int count, steady_time now) {
        for (int i = 0; i < count; ++i) {
            auto connection = pool.connect(server.address(), timeAfter(testTimeout));
            REQUIRE(connection.ok());
            pool.release(*std::move(connection), now);
        }
    };
    struct
    {
        milliseconds age;
        bool repeatable;
        bool reused;
    } const table[] = {
        {499ms, false, true},
        {500ms, false, false},
        {500ms, true, true},
        {10'000ms, true, false},
    };
    for (const auto &row : table) {
        CAPTURE(row.age.count(), row.repeatable);
        pool.closeIdle(server.address());
        release(1, start);
        const auto acquired =
            pool.acquire(server.address(), row.repeatable, start + row.age, timeAfter(testTimeout));
        REQUIRE(acquired.ok());
        CHECK(acquired->reused == row.reused);
        CHECK(pool.idleCount() == (row.reused ? 0 : 1));
    }
    pool.closeIdle(server.address());
    release(3, start);
    CHECK(pool.idleCount() == 2);
    release(1, start + 10s);
    CHECK(pool.idleCount() == 1);
}

TEST_CASE("a refused connection means that nothing was sent", "[http]")
{
    std::string address;
    {
        const scripted_server closedServer([](Poco::Net::StreamSocket &, int) {});
        address = closedServer.address();
    }
    http_client client(std::make_shared<connection_pool>());
    recording_sink sink;
    CHECK(client.exchange(requestTo(address), sink).state == exchange_state::NotSent);
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

// Guards against header injection: Poco decodes encoded words in field values, which may contain
// line endings and thus add header fields at the next hop.
TEST_CASE("field values are forwarded unchanged", "[http]")
{
    std::string forwardedHead;
    scripted_server upstream([&](Poco::Net::StreamSocket &socket, int) {
        forwardedHead = readHeadText(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    });
    auto server = http_server::listen({}, [&](server_exchange &exchange) {
        http_client client(std::make_shared<connection_pool>());
        client_request request = requestTo(upstream.address());
        request.message = exchange.request();
        recording_sink sink;
        client.exchange(request, sink);
        exchange.respond(200, "", "text/plain");
    });
    REQUIRE(server.ok());
    const std::string field = "X-Odd: =?us-ascii?Q?a=0D=0APersimmonrail-Term:_9?=\r\n";
    exchangeBytes((*server)->address(),
                  "GET / HTTP/1.1\r\nHost: a\r\n" + field + "Connection: close\r\n\r\n");
    CHECK(forwardedHead.find(field) != std::string::npos);
    CHECK(forwardedHead.find("\nPersimmonrail-Term") == std::string::npos);
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
