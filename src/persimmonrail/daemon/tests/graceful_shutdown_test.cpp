#include "daemon_fixture.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

#include <future>

using namespace persimmonrail;
using std::chrono::seconds;

// Guards requirements P6 and P7: a daemon that is stopping dispatches no requests to its upstream
// after 3 s, and does not interrupt a request in flight that takes longer.
TEST_CASE("a stopping daemon rejects new requests and completes requests in flight", "[daemon]")
{
    daemon_fixture fixture;
    REQUIRE(fixture.sendRequest("PUT", "/photos/records/k", "k", "first").status == 200);
    Poco::Net::StreamSocket slowCaller{
        Poco::Net::SocketAddress(fixture.runningDaemon->callerAddress())};
    sendText(slowCaller,
             "PUT /photos/records/s HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
             "Connection: close\r\n\r\n");
    waitFor([&] {
        fixture.announce("first");
        return fixture.upstream->running() == 1;
    });
    const auto stopStartedAt = std::chrono::steady_clock::now();
    auto stopResult = std::async(std::launch::async, [&] { return fixture.runningDaemon->stop(); });
    simple_response response;
    waitFor([&] {
        fixture.announce("first");
        response = fixture.sendForwardedRequest("GET", "/photos/records/k");
        return response.status != 200;
    });
    CHECK(std::chrono::steady_clock::now() - stopStartedAt >= seconds(3));
    CHECK(response.status == 503);
    CHECK(response.body.find("not-run") != std::string::npos);
    CHECK(response.body.find("draining") != std::string::npos);
    sendText(slowCaller, "s");
    CHECK(readToEnd(slowCaller).starts_with("HTTP/1.1 200"));
    CHECK(stopResult.get());
}
