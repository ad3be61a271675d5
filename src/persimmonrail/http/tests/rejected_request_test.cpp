#include "http_fixture.h"
#include "persimmonrail/http/discarding_sink.h"
#include "persimmonrail/http/rejected_requests.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr char rejection[] = "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n";
constexpr char success[] = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";

bool isAccepted(const Poco::Net::HTTPResponse &head)
{
    return head.getStatus() != 421;
}

} // namespace

// Guards against REFUSED: a late copy of the rejection of a request that is taken for the response
// to the same request, sent once more on the same connection.
TEST_CASE("a rejected request is sent again on another connection", "[http]")
{
    const auto [name, response, firstId, secondId, age, connections] =
        GENERATE(table<const char *, const char *, const char *, const char *, milliseconds, int>({
            {"rejected, the same request", rejection, "x", "x", testTimeout, 2},
            {"rejected, another request", rejection, "x", "y", testTimeout, 1},
            {"rejected, the same id after the deadline", rejection, "x", "x", 50ms, 1},
            {"rejected, no id", rejection, "", "", testTimeout, 1},
            {"served, the same request", success, "x", "x", testTimeout, 1},
        }));
    CAPTURE(name);
    scripted_server server([&, text = response](Poco::Net::StreamSocket &socket, int) {
        while (!readHeadText(socket).empty()) {
            sendText(socket, text);
        }
    });
    const auto pool = std::make_shared<connection_pool>();
    http_client client(pool);
    discarding_sink sink;
    client_request request = requestTo(server.address());
    request.acceptsResponse = isAccepted;
    request.repeatable = true;
    request.requestId = firstId;
    request.deadline = timeAfter(age);
    const exchange_state first = client.exchange(request, sink).state;
    REQUIRE((first == exchange_state::Complete || first == exchange_state::Declined));
    REQUIRE(pool->idleCount() == 1);
    while (age < testTimeout && std::chrono::steady_clock::now() < request.deadline) {
        std::this_thread::yield();
    }
    request.requestId = secondId;
    request.deadline = timeAfter(testTimeout);
    CHECK(client.exchange(request, sink).state == first);
    CHECK(server.connectionCount() == connections);
    // Both connections serve further requests.
    CHECK(pool->idleCount() == static_cast<size_t>(connections));
    request.requestId = "z";
    CHECK(client.exchange(request, sink).state == first);
    CHECK(server.connectionCount() == connections);
}

// Guards against memory that grows with the rejections of a busy connection.
TEST_CASE("a connection remembers a bounded number of rejected requests", "[http]")
{
    rejected_requests requests;
    const steady_time start = timeAfter(0ms);
    int recorded = 0;
    while (!requests.isFull(start) && recorded < 10'000) {
        requests.record(std::to_string(recorded++), start + 10s, start);
    }
    CHECK(recorded < 1000);
    for (int i = 0; i < recorded; ++i) {
        CHECK(requests.contains(std::to_string(i), start));
    }
    CHECK_FALSE(requests.contains("other", start));
    CHECK_FALSE(requests.isFull(start + 10s));
    CHECK_FALSE(requests.contains("0", start + 10s));
}
