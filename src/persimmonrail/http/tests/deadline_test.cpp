#include "http_fixture.h"
#include "persimmonrail/http/discarding_sink.h"
#include "persimmonrail/http/http_server.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

#include <functional>
#include <future>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr milliseconds deadline{300};
// How long a slow receiver takes for a piece of 64 KB.
constexpr milliseconds pieceTime{2};
// How long the sender of an endless message goes on if nothing ends it.
constexpr milliseconds senderTime{10'000};

// Sends `start`, then `repeated` until the peer closes the connection or senderTime has passed.
void sendWithoutEnd(Poco::Net::StreamSocket &socket, const std::string &start,
                    const std::string &repeated)
{
    const steady_time end = timeAfter(senderTime);
    sendText(socket, start);
    while (std::chrono::steady_clock::now() < end) {
        sendText(socket, repeated);
    }
}

// Takes pieces more slowly than they arrive, so that the next bytes are always there.
class slow_sink : public discarding_sink
{
public:
    bool write(std::string_view) override
    {
        std::this_thread::sleep_for(pieceTime);
        return true;
    }
};

// Writes a response without end until a write fails. Returns whether one did before senderTime had
// passed.
bool wasEndedAtDeadline(server_exchange &exchange)
{
    exchange.setDeadline(timeAfter(deadline));
    const steady_time end = timeAfter(senderTime);
    Poco::Net::HTTPResponse head;
    bool isOpen = exchange.beginResponse(head, {body_framing::kind::Chunked, 0});
    while (isOpen && std::chrono::steady_clock::now() < end) {
        isOpen = exchange.writeResponse(std::string(maxBodyPieceBytes, 'x'));
    }
    return !isOpen;
}

// Connects with small buffers, so that the server notices how slowly the client reads.
Poco::Net::StreamSocket connectSlowReader(const std::string &address)
{
    Poco::Net::StreamSocket socket;
    socket.init(AF_INET);
    socket.setReceiveBufferSize(16 * 1024);
    socket.connect(Poco::Net::SocketAddress(address));
    return socket;
}

// Reads a little at a time until the connection ends or `isDone` is set. Returns the bytes read.
std::string readSlowly(Poco::Net::StreamSocket &socket, const std::atomic<bool> &isDone)
{
    std::string text;
    std::string piece(64 * 1024, ' ');
    try {
        while (!isDone) {
            const int count = socket.receiveBytes(piece.data(), static_cast<int>(piece.size()));
            if (count <= 0) {
                break;
            }
            text.append(piece, 0, static_cast<size_t>(count));
            std::this_thread::sleep_for(pieceTime);
        }
    } catch (const Poco::Exception &) {
        // The server reset the connection.
    }
    return text;
}

} // namespace

// Guards against CONFIG: a response of which the next bytes are always there got no end at its
// route's timeout.
TEST_CASE("a deadline ends an exchange while bytes keep coming", "[http]")
{
    const std::string piece(64 * 1024, 'x');
    const auto [name, start, repeated] = GENERATE_COPY(table<std::string, std::string, std::string>(
        {{"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
          "10000\r\n" + piece + "\r\n"},
         {"stated length", "HTTP/1.1 200 OK\r\nContent-Length: 900000000000\r\n\r\n", piece},
         {"no framing", "HTTP/1.1 200 OK\r\n\r\n", piece}}));
    CAPTURE(name);
    scripted_server server([&, start = start, repeated = repeated](auto &socket, int) {
        readHeadText(socket);
        sendWithoutEnd(socket, start, repeated);
    });
    http_client client(std::make_shared<connection_pool>());
    client_request request = requestTo(server.address());
    request.acceptsUnframed = true;
    request.deadline = timeAfter(deadline);
    slow_sink sink;
    const exchange_result result = client.exchange(request, sink);
    CHECK(result.state == exchange_state::TimedOut);
    CHECK(result.deadlinePassed);
}

// Guards against a request body of which the next bytes are always there, which the upstream would
// get beyond the deadline.
TEST_CASE("a deadline ends the reading of a request while its bytes keep coming", "[http]")
{
    std::promise<io_status> ended;
    const auto server = std::move(*http_server::listen({}, [&](server_exchange &exchange) {
        const steady_time until = timeAfter(deadline);
        std::string piece;
        io_status status = io_status::Ok;
        while (status == io_status::Ok) {
            status = exchange.read(piece, until);
            std::this_thread::sleep_for(pieceTime);
        }
        ended.set_value(status);
    }));
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
    auto sender = std::async(std::launch::async, [&] {
        try {
            sendWithoutEnd(socket,
                           "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n",
                           "10000\r\n" + std::string(64 * 1024, 'x') + "\r\n");
        } catch (const Poco::Exception &) {
            // The server closed the connection.
        }
        socket.shutdown();
    });
    CHECK(ended.get_future().get() == io_status::TimedOut);
}

// Guards against a caller that takes a little at a time and so holds an endless response, and the
// requests behind it on its connection, past the deadline.
TEST_CASE("a deadline ends a response at a slow reader", "[http]")
{
    const int pipelined = GENERATE(1, 4);
    CAPTURE(pipelined);
    http_server_options options;
    options.maxPipelinedRequests = pipelined;
    options.isIdempotent = [](const Poco::Net::HTTPRequest &) { return true; };
    std::vector<bool> ended;
    std::mutex mutex;
    std::atomic<bool> isDone{false};
    std::atomic<int> running{0};
    const auto server = std::move(*http_server::listen(options, [&](server_exchange &exchange) {
        ++running;
        const bool wasEnded = wasEndedAtDeadline(exchange);
        const std::lock_guard lock(mutex);
        ended.push_back(wasEnded);
        isDone = --running == 0;
    }));
    Poco::Net::StreamSocket socket = connectSlowReader(server->address());
    std::string requests;
    for (int i = 0; i < pipelined; ++i) {
        requests += "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
    }
    sendText(socket, requests);
    const std::string text = readSlowly(socket, isDone);
    CHECK(server->waitUntilClosed(timeAfter(testTimeout)));
    CHECK(text.find("\r\n0\r\n\r\n") == std::string::npos);
    const std::lock_guard lock(mutex);
    CHECK(ended == std::vector<bool>(static_cast<size_t>(pipelined), true));
}

// Guards against megabytes that the system takes for a caller that reads slowly: they delay the end
// of the response at the caller, by seconds in case 10 of the review.
TEST_CASE("little of a response is taken for a caller that reads nothing", "[http]")
{
    constexpr size_t maxTakenBytes = size_t{1024} * 1024;
    std::promise<size_t> taken;
    const auto server = std::move(*http_server::listen({}, [&](server_exchange &exchange) {
        exchange.setDeadline(timeAfter(deadline));
        Poco::Net::HTTPResponse head;
        bool isOpen = exchange.beginResponse(head, {body_framing::kind::Chunked, 0});
        size_t bytes = 0;
        while (isOpen && bytes < 64 * maxTakenBytes) {
            isOpen = exchange.writeResponse(std::string(1024, 'x'));
            bytes += 1024;
        }
        taken.set_value(bytes);
    }));
    Poco::Net::StreamSocket socket = connectSlowReader(server->address());
    sendText(socket, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(taken.get_future().get() < maxTakenBytes);
}

// Guards against a deadline that cuts what it need not: a response that is ready, of which only the
// caller takes the rest late, and a long one within its deadline.
TEST_CASE("a slow reader gets a response that is ready or within its deadline", "[http]")
{
    using respond_function = std::function<void(server_exchange &)>;
    static const std::string piece(size_t{8} * 1024 * 1024, 'x');
    const auto [name, respond] = GENERATE(table<std::string, respond_function>({
        {"ready after its deadline",
         [](server_exchange &exchange) {
             exchange.setDeadline(timeAfter(0ms));
             exchange.respond(200, piece, "text/plain");
         }},
        {"last piece is there at the deadline",
         [](server_exchange &exchange) {
             const steady_time end = timeAfter(deadline);
             exchange.setDeadline(end);
             Poco::Net::HTTPResponse head;
             exchange.beginResponse(head, {body_framing::kind::Length, piece.size() + 1});
             exchange.writeResponse("x");
             exchange.connection().waitUntilClosed(end);
             exchange.writeResponse(piece);
             exchange.endResponse();
         }},
        {"long and within its deadline",
         [](server_exchange &exchange) {
             exchange.setDeadline(timeAfter(testTimeout));
             Poco::Net::HTTPResponse head;
             exchange.beginResponse(head, {body_framing::kind::Length, 3 * piece.size()});
             for (int i = 0; i < 3; ++i) {
                 exchange.writeResponse(piece);
             }
             exchange.endResponse();
         }},
    }));
    CAPTURE(name);
    const auto server =
        std::move(*http_server::listen({}, [respond = respond](server_exchange &exchange) {
            exchange.closeAfterResponse();
            respond(exchange);
        }));
    Poco::Net::StreamSocket socket = connectSlowReader(server->address());
    sendText(socket, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string text = readSlowly(socket, std::atomic<bool>{false});
    const size_t length = std::stoul(text.substr(text.find("Content-Length: ") + 16));
    CHECK(text.size() == text.find("\r\n\r\n") + 4 + length);
}

// Guards against a response that has arrived and is discarded because its thread runs late.
TEST_CASE("a short response that has arrived by the deadline is read after it", "[http]")
{
    const auto [bytes, expected] = GENERATE(table<size_t, io_status>({
        {1, io_status::Ok},
        {maxLateBytes / 2, io_status::Ok},
        {4 * maxLateBytes, io_status::TimedOut},
    }));
    CAPTURE(bytes);
    std::promise<void> isSent;
    scripted_server server([&, count = bytes](Poco::Net::StreamSocket &socket, int) {
        sendText(socket, std::string(count, 'x'));
        isSent.set_value();
        readToEnd(socket);
    });
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server.address())};
    http_stream stream(socket);
    isSent.get_future().wait();
    while (static_cast<size_t>(socket.available()) < std::min(bytes, maxLateBytes)) {
        std::this_thread::yield();
    }
    body_reader reader(stream, {body_framing::kind::Length, bytes});
    const steady_time passed = std::chrono::steady_clock::now();
    std::string piece;
    io_status status = io_status::Ok;
    while (status == io_status::Ok && !reader.isComplete()) {
        status = reader.read(piece, passed);
    }
    CHECK(status == expected);
    stream.shutdown();
}
