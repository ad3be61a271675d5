#include "persimmonrail/http/discarding_sink.h"
#include "persimmonrail/http/http_client.h"

#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

#include <atomic>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Bytes that the client may read of a response that it does not pass on, plus what the buffers of
// the two sockets may hold.
constexpr size_t maxSentBytes = maxSkippedBodyBytes + size_t{16} * 1024 * 1024;

struct endless_response
{
    const char *name;
    // Sent once, then `repeated` follows until the client closes the connection.
    std::string start;
    std::string repeated;
};

} // namespace

// Guards against an upstream in trouble that sends bytes without end: a request must not read them
// until its deadline.
TEST_CASE("a response without end is given up soon", "[http]")
{
    const std::string piece(64 * 1024, 'x');
    const auto response = GENERATE_COPY(
        endless_response{"status line", "HTTP/1.1 2", "00000000"},
        endless_response{"header field", "HTTP/1.1 200 OK\r\nX-Filler: ", piece},
        endless_response{"header fields", "HTTP/1.1 200 OK\r\n", "X-Filler: 1\r\n"},
        endless_response{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        endless_response{"empty lines", "", "\r\n\r\n"},
        endless_response{"body of another response",
                         "HTTP/1.1 200 OK\r\nX-Other: 1\r\nContent-Length: 900000000000\r\n\r\n",
                         piece},
        endless_response{"chunks of another response",
                         "HTTP/1.1 200 OK\r\nX-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
                         "4\r\nabcd\r\n"},
        endless_response{"body of a declined response",
                         "HTTP/1.1 200 OK\r\nX-Declined: 1\r\nContent-Length: 900000000000\r\n\r\n",
                         piece},
        endless_response{"unframed body of a declined response",
                         "HTTP/1.1 200 OK\r\nX-Declined: 1\r\n\r\n", piece});
    CAPTURE(response.name);
    std::atomic<size_t> sentBytes{0};
    scripted_server server([&](Poco::Net::StreamSocket &socket, int) {
        readHeadText(socket);
        sendText(socket, response.start);
        // Bounds the test if the client does not stop reading.
        while (sentBytes < 4 * maxSentBytes) {
            sendText(socket, response.repeated);
            sentBytes += response.repeated.size();
        }
    });
    http_client client(std::make_shared<connection_pool>());
    client_request request;
    request.address = server.address();
    request.message.setMethod("GET");
    request.message.setURI("/");
    request.acceptsUnframed = true;
    request.deadline = std::chrono::steady_clock::now() + 60s;
    request.matchesRequest = [](const Poco::Net::HTTPResponse &head) {
        return !head.has("X-Other");
    };
    request.acceptsResponse = [](const Poco::Net::HTTPResponse &head) {
        return !head.has("X-Declined");
    };
    discarding_sink sink;
    const exchange_result result = client.exchange(request, sink);
    server.waitUntilClosed(1);
    CHECK(result.state != exchange_state::Complete);
    CHECK_FALSE(result.deadlinePassed);
    CHECK(sentBytes < maxSentBytes);
}
