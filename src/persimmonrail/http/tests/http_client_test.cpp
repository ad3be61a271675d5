#include "http_fixture.h"
#include "persimmonrail/http/http_server.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

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
        {"not HTTP", "what?\r\n\r\n", exchange_state::InvalidResponse, ""},
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

// Guards against a response that is none and is passed on, and against a request that waits until
// its deadline for a final response that never follows. The script keeps the connection open.
TEST_CASE("a response with an invalid status ends the request at once", "[http]")
{
    const std::string ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    struct
    {
        const char *name;
        std::string response;
        bool isValid;
    } const table[] = {
        {"000", "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", false},
        {"099", "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n", false},
        {"600", "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n", false},
        {"999", "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n", false},
        {"two digits", "HTTP/1.1 20 X\r\nContent-Length: 0\r\n\r\n", false},
        {"four digits", "HTTP/1.1 2000 X\r\nContent-Length: 0\r\n\r\n", false},
        {"sign", "HTTP/1.1 +20 X\r\nContent-Length: 0\r\n\r\n", false},
        {"letters", "HTTP/1.1 2xx X\r\nContent-Length: 0\r\n\r\n", false},
        {"missing", "HTTP/1.1 \r\nContent-Length: 0\r\n\r\n", false},
        {"101", "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n", false},
        {"199", "HTTP/1.1 199 X\r\n\r\n", false},
        {"interim with a length", "HTTP/1.1 103 X\r\nContent-Length: 40\r\n\r\n" + ok, false},
        {"interim with chunks", "HTTP/1.1 100 X\r\nTransfer-Encoding: chunked\r\n\r\n" + ok, false},
        {"interim of length 0", "HTTP/1.1 100 X\r\nContent-Length: 0\r\n\r\n" + ok, true},
        {"interim", "HTTP/1.1 103 X\r\n\r\n" + ok, true},
        {"599", "HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", true},
    };
    for (const auto &row : table) {
        CAPTURE(row.name);
        scripted_server server([&](Poco::Net::StreamSocket &socket, int) {
            while (!readHeadText(socket).empty()) {
                sendText(socket, row.response);
            }
        });
        const auto pool = std::make_shared<connection_pool>();
        http_client client(pool);
        recording_sink sink;
        const exchange_result result = client.exchange(requestTo(server.address()), sink);
        CHECK(
            toString(result.state)
            == toString(row.isValid ? exchange_state::Complete : exchange_state::InvalidResponse));
        CHECK(sink.finished == row.isValid);
        CHECK(pool->idleCount() == (row.isValid ? 1 : 0));
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
            piece.assign(m_wasRead ? 0 : 1, 'x');
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
