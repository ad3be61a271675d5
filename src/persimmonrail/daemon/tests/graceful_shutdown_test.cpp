#include "single_daemon.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

#include <future>

using namespace persimmonrail;
using std::chrono::seconds;

// Guards P6 and P7: a stopping daemon hands nothing to its upstream after 3 s, and does not
// interrupt a request that takes longer.
TEST_CASE("a stopping daemon refuses new work and completes what is in flight", "[daemon]")
{
    single_daemon fleet;
    REQUIRE(fleet.call("PUT", "/photos/records/k", "k", "first").status == 200);
    Poco::Net::StreamSocket slow{Poco::Net::SocketAddress(fleet.running->callerAddress())};
    sendText(slow,
             "PUT /photos/records/s HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n"
             "Connection: close\r\n\r\n");
    waitFor([&] {
        fleet.announce("first");
        return fleet.upstream->running() == 1;
    });
    const auto begun = std::chrono::steady_clock::now();
    auto stopped = std::async(std::launch::async, [&] { return fleet.running->stop(); });
    simple_response response;
    waitFor([&] {
        fleet.announce("first");
        response = fleet.forward("GET", "/photos/records/k");
        return response.status != 200;
    });
    CHECK(std::chrono::steady_clock::now() - begun >= seconds(3));
    CHECK(response.status == 503);
    CHECK(response.body.find("not-run") != std::string::npos);
    CHECK(response.body.find("draining") != std::string::npos);
    sendText(slow, "s");
    CHECK(readToEnd(slow).starts_with("HTTP/1.1 200"));
    CHECK(stopped.get());
}
