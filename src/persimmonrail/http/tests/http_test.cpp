#include "persimmonrail/http/http_client.h"
#include "persimmonrail/http/http_server.h"
#include "standins/scripted_server.h"

#include <Poco/Net/NetException.h>

#include <catch2/catch.hpp>

#include <condition_variable>
#include <filesystem>
#include <random>
#include <thread>

#include <sys/resource.h>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Long enough for any machine; only tests of timeouts use shorter ones.
constexpr milliseconds generous{60'000};

steady_time after(milliseconds time)
{
    return std::chrono::steady_clock::now() + time;
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
    request.deadline = after(generous);
    return request;
}

std::unique_ptr<http_server> echoServer(const http_server_options &options = {})
{
    auto server = http_server::listen(options, [](server_exchange &exchange) {
        std::string body;
        if (exchange.readAll(body, 16 * 1024 * 1024, after(generous)) == io_status::Ok) {
            exchange.respond(200, body, "text/plain");
        } else {
            exchange.closeAfterResponse();
            exchange.respond(400, "", "text/plain");
        }
    });
    REQUIRE(server.ok());
    return *std::move(server);
}

// Threads of this process.
int threadCount()
{
    const std::filesystem::directory_iterator tasks("/proc/self/task");
    return static_cast<int>(std::distance(begin(tasks), end(tasks)));
}

} // namespace

// Guards against requests that two hops would split differently, and against crashes on input that
// is not HTTP.
TEST_CASE("malformed requests are refused", "[http]")
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
        {"old version", "GET / HTTP/1.0\r\nHost: a\r\n\r\n", "HTTP/1.1 505"},
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

// Guards against an answer that is passed on as whole although its connection broke off.
TEST_CASE("the client tells whole answers from truncated ones", "[http]")
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
        {"interim answer", "HTTP/1.1 102 Processing\r\n\r\n" + ok + "Content-Length: 2\r\n\r\nok",
         exchange_state::Complete, "ok"},
        {"short length", ok + "Content-Length: 6\r\n\r\nhello", exchange_state::Truncated, ""},
        {"cut in chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhel",
         exchange_state::Truncated, ""},
        {"no last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
         exchange_state::Truncated, ""},
        {"cut in last chunk", ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
         exchange_state::Truncated, ""},
        {"no framing", ok + "\r\nhello", exchange_state::Truncated, ""},
        {"cut in head", ok + "Content-Le", exchange_state::NoResponse, ""},
        {"no HTTP", "what?\r\n\r\n", exchange_state::Truncated, ""},
        {"nothing", "", exchange_state::NoResponse, ""},
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

// Guards against running a request twice: bytes of a request that may not be repeated must not be
// sent again when a reused connection turns out to be closed.
TEST_CASE("a closed reused connection is replaced only where that is safe", "[http]")
{
    struct
    {
        const char *name;
        bool repeatable;
        bool closeWhileIdle;
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
            if (index > 0 || !row.closeWhileIdle) {
                readHeadText(socket);
            }
        });
        connection_pool_options options;
        options.freshTime = generous;
        options.idleTime = generous;
        const auto pool = std::make_shared<connection_pool>(options);
        http_client client(pool);
        recording_sink sink;
        client_request request = requestTo(server.address());
        request.repeatable = row.repeatable;
        REQUIRE(client.exchange(request, sink).state == exchange_state::Complete);
        REQUIRE(pool->idleCount() == 1);
        if (row.closeWhileIdle) {
            server.waitClosed(1);
        }
        CHECK(toString(client.exchange(request, sink).state) == toString(row.state));
        CHECK(server.connectionCount() == (row.state == exchange_state::Complete ? 2 : 1));
    }
}

// Guards P4: a request that was sent and whose second attempt was refused may have run.
TEST_CASE("a refused second attempt does not hide that the first one was sent", "[http]")
{
    class closing_body : public body_source
    {
    public:
        body_framing framing() const override { return {body_framing::kind::Length, 1}; }
        io_status read(std::string &piece, steady_time) override
        {
            piece = m_read ? "" : "x";
            m_read = true;
            return io_status::Ok;
        }
        bool rewind() override
        {
            server.reset();
            m_read = false;
            return true;
        }
        std::unique_ptr<scripted_server> server;

    private:
        bool m_read = false;
    };
    closing_body body;
    body.server = std::make_unique<scripted_server>([](Poco::Net::StreamSocket &socket, int) {
        readHeadText(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
        readHeadText(socket);
    });
    connection_pool_options options;
    options.idleTime = generous;
    http_client client(std::make_shared<connection_pool>(options));
    recording_sink sink;
    client_request request = requestTo(body.server->address());
    request.repeatable = true;
    REQUIRE(client.exchange(request, sink).state == exchange_state::Complete);
    request.body = &body;
    CHECK(toString(client.exchange(request, sink).state) == toString(exchange_state::NoResponse));
}

// Guards against waiting for a silent peer beyond the deadline, and against giving up a peer that
// is merely slow.
TEST_CASE("a silent connection ends at the deadline or by the probe", "[http]")
{
    for (const bool probeResponds : {false, true}) {
        CAPTURE(probeResponds);
        scripted_server server([](Poco::Net::StreamSocket &socket, int) {
            readHeadText(socket);
            readHeadText(socket);
        });
        http_client client(std::make_shared<connection_pool>());
        recording_sink sink;
        client_request request = requestTo(server.address());
        request.deadline = after(probeResponds ? generous : 100ms);
        request.progressTimeout = 20ms;
        request.probe = [probeResponds] { return probeResponds; };
        const exchange_state expected =
            probeResponds ? exchange_state::Silent : exchange_state::TimedOut;
        CHECK(toString(client.exchange(request, sink).state) == toString(expected));
    }
}

// Guards against idle connections that use up the descriptors, and against reusing one that its
// server is about to close.
TEST_CASE("idle connections are bounded in number and age", "[http]")
{
    scripted_server server([](Poco::Net::StreamSocket &socket, int) { readHeadText(socket); });
    connection_pool_options options;
    options.maxIdlePerAddress = 2;
    options.maxIdle = 2;
    connection_pool pool(options);
    const steady_time start = std::chrono::steady_clock::now();
    const auto release = [&](int count, steady_time now) {
        for (int i = 0; i < count; ++i) {
            auto connection = pool.connect(server.address(), after(generous));
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
        const auto taken =
            pool.acquire(server.address(), row.repeatable, start + row.age, after(generous));
        REQUIRE(taken.ok());
        CHECK(taken->reused == row.reused);
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
        const scripted_server gone([](Poco::Net::StreamSocket &, int) {});
        address = gone.address();
    }
    http_client client(std::make_shared<connection_pool>());
    recording_sink sink;
    CHECK(client.exchange(requestTo(address), sink).state == exchange_state::NotSent);
}

// Guards against an unbounded number of threads.
TEST_CASE("connections beyond the limit are refused with an answer", "[http]")
{
    http_server_options options;
    options.maxConnections = 2;
    options.crowdedIdleTimeout = generous;
    const auto server = echoServer(options);
    const std::string request = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    std::vector<Poco::Net::StreamSocket> held;
    for (int i = 0; i < options.maxConnections; ++i) {
        held.emplace_back(Poco::Net::SocketAddress(server->address()));
        sendText(held.back(), request);
        CHECK(readHeadText(held.back()).substr(0, 12) == "HTTP/1.1 200");
    }
    const std::string refused = exchangeBytes(server->address(), "");
    CHECK(refused.substr(0, 12) == "HTTP/1.1 503");
    for (const char *field : {"Persimmonrail-Outcome: not-run", "Persimmonrail-Request-Id: ",
                              "Persimmonrail-Reason: too-many-connections", "{\"outcome\":"}) {
        CAPTURE(field, refused);
        CHECK(refused.find(field) != std::string::npos);
    }
    CHECK(server->refusedConnections() == 1);
    CHECK(server->connectionCount() == options.maxConnections);
}

// Guards against field values that turn into further fields on the next hop: Poco decodes encoded
// words, which may contain line endings.
TEST_CASE("field values are passed on as they came", "[http]")
{
    std::string seen;
    scripted_server upstream([&](Poco::Net::StreamSocket &socket, int) {
        seen = readHeadText(socket);
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
    CHECK(seen.find(field) != std::string::npos);
    CHECK(seen.find("\nPersimmonrail-Term") == std::string::npos);
}

// Guards P7: a planned stop ends no request in progress and takes no new connection.
TEST_CASE("a server that stops listening finishes its requests", "[http]")
{
    std::mutex mutex;
    std::condition_variable changed;
    int step = 0;
    auto server = http_server::listen({}, [&](server_exchange &exchange) {
        std::unique_lock lock(mutex);
        step = 1;
        changed.notify_all();
        changed.wait(lock, [&] { return step == 2; });
        exchange.respond(200, "whole", "text/plain");
    });
    REQUIRE(server.ok());
    const std::string address = (*server)->address();
    std::string response;
    std::thread caller(
        [&] { response = exchangeBytes(address, "GET / HTTP/1.1\r\nHost: a\r\n\r\n"); });
    {
        std::unique_lock lock(mutex);
        changed.wait(lock, [&] { return step == 1; });
    }
    (*server)->stopListening();
    CHECK_FALSE((*server)->waitClosed(after(0ms)));
    http_client client(std::make_shared<connection_pool>());
    recording_sink sink;
    CHECK(client.exchange(requestTo(address), sink).state == exchange_state::NotSent);
    {
        const std::lock_guard lock(mutex);
        step = 2;
        changed.notify_all();
    }
    CHECK((*server)->waitClosed(after(generous)));
    caller.join();
    CHECK(response.substr(response.size() - 5) == "whole");
}

// Guards against idle connections that keep new ones out.
TEST_CASE("idle connections make room when the server is crowded", "[http]")
{
    http_server_options options;
    options.maxConnections = 2;
    options.idleTimeout = generous;
    options.crowdedIdleTimeout = 0ms;
    const auto server = echoServer(options);
    std::vector<Poco::Net::StreamSocket> idle;
    idle.reserve(options.maxConnections);
    for (int i = 0; i < options.maxConnections; ++i) {
        idle.emplace_back(Poco::Net::SocketAddress(server->address()));
    }
    // Returns only once the server has closed the connection.
    CHECK(readToEnd(idle.front()).empty());
}

// Load pattern: hundreds of connections stay idle for long. Each look at one of them wakes a
// thread.
TEST_CASE("idle connections wait long, and a stop ends them at once", "[http]")
{
    http_server_options options;
    options.idleTimeout = 60s;
    const auto server = echoServer(options);
    std::vector<Poco::Net::StreamSocket> idle;
    for (int i = 0; i < 8; ++i) {
        idle.emplace_back(Poco::Net::SocketAddress(server->address()));
        sendText(idle.back(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        readHeadText(idle.back());
    }
    rusage before{};
    rusage later{};
    ::getrusage(RUSAGE_SELF, &before);
    std::this_thread::sleep_until(std::chrono::steady_clock::now() + 1s);
    ::getrusage(RUSAGE_SELF, &later);
    // Four looks a second at each of them would be 32.
    CHECK(later.ru_nvcsw - before.ru_nvcsw < 16);
    const steady_time begun = std::chrono::steady_clock::now();
    server->stopListening();
    CHECK(server->waitClosed(after(generous)));
    CHECK(std::chrono::steady_clock::now() - begun < 1900ms);
}

// Load pattern: hundreds of callers and daemons keep their connections between requests. Memory and
// the system's number of threads are bounded by the requests in progress, not by the connections.
TEST_CASE("idle connections hold no thread", "[http]")
{
    constexpr int connectionCount = 100;
    http_server_options options;
    options.idleTimeout = generous;
    const auto server = echoServer(options);
    std::vector<Poco::Net::StreamSocket> idle;
    idle.reserve(connectionCount);
    const auto askAll = [&] {
        for (auto &socket : idle) {
            sendText(socket, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        for (auto &socket : idle) {
            CHECK(readHeadText(socket).starts_with("HTTP/1.1 200"));
        }
    };
    const int before = threadCount();
    for (int i = 0; i < connectionCount; ++i) {
        idle.emplace_back(Poco::Net::SocketAddress(server->address()));
    }
    askAll();
    // Threads without work leave when others are asked for.
    const steady_time end = after(generous);
    while (threadCount() > before + 8 && std::chrono::steady_clock::now() < end) {
        sendText(idle.front(), "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        readHeadText(idle.front());
        std::this_thread::sleep_for(50ms);
    }
    CHECK(threadCount() <= before + 8);
    CHECK(server->connectionCount() == connectionCount);
    askAll();
}

// Guards against requests that get lost or mixed up on one connection.
TEST_CASE("requests sent ahead on one connection are answered in order", "[http]")
{
    const auto server = echoServer();
    const std::string response = exchangeBytes(
        server->address(),
        "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none"
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"
        "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 5\r\n\r\nthree");
    const size_t one = response.find("\r\n\r\none");
    const size_t two = response.find("\r\n\r\ntwo", one);
    CHECK(one != std::string::npos);
    CHECK(two != std::string::npos);
    CHECK(response.find("\r\n\r\nthree", two) != std::string::npos);
}

// Guards against requests that are cut by a graceful stop: connections that wait in a queue when
// the listener closes, and callers that connect to a listener that nobody serves.
TEST_CASE("stopListening serves earlier connections and refuses later ones", "[http]")
{
    const auto server = echoServer();
    const Poco::Net::SocketAddress address(server->address());
    std::vector<Poco::Net::StreamSocket> earlier;
    earlier.reserve(50);
    for (int i = 0; i < 50; ++i) {
        earlier.emplace_back(address);
    }
    server->stopListening();
    for (auto &socket : earlier) {
        sendText(socket,
                 "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n"
                 "Connection: close\r\n\r\nbody");
        const std::string response = readToEnd(socket);
        CHECK(response.starts_with("HTTP/1.1 200"));
        CHECK(response.ends_with("body"));
    }
    CHECK_THROWS_AS(Poco::Net::StreamSocket(address), Poco::Net::ConnectionRefusedException);
}
