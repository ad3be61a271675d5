#include "daemon_fixture.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against idle connections that use unbounded memory, and against a rejection that breaks
// connections within the limit or does not tell the caller that the request did not run.
TEST_CASE("caller connections beyond the limit are rejected as not-run", "[daemon]")
{
    constexpr int connectionLimit = 4;
    daemon_fixture fixture(
        [](daemon_settings &settings) { settings.maxCallerConnections = connectionLimit; });
    REQUIRE(fixture.sendRequest("PUT", "/photos/records/k", "k", "first").status == 200);
    const std::string &address = fixture.runningDaemon->callerAddress();
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    std::vector<Poco::Net::StreamSocket> openConnections;
    const auto isServed = [&](Poco::Net::StreamSocket &socket) {
        sendText(socket, request);
        return readHeadText(socket).starts_with("HTTP/1.1 404");
    };
    // The connection of the previous request may still count towards the limit for a short time.
    waitFor([&] {
        Poco::Net::StreamSocket newConnection{Poco::Net::SocketAddress(address)};
        if (isServed(newConnection)) {
            openConnections.push_back(newConnection);
        }
        return openConnections.size() == connectionLimit;
    });
    for (int i = 0; i < 20; ++i) {
        const std::string rejection = exchangeBytes(address, request);
        CHECK(rejection.starts_with("HTTP/1.1 503"));
        CHECK(rejection.find("Persimmonrail-Outcome: not-run") != std::string::npos);
        CHECK(rejection.find("Persimmonrail-Reason: too-many-connections") != std::string::npos);
        CHECK(rejection.find("Retry-After: ") != std::string::npos);
        // The other ports have separate limits.
        CHECK(fixture.sendAdminRequest("GET", "/healthz").status == 200);
    }
    for (auto &socket : openConnections) {
        // The body of the previous response has not been read yet.
        std::string remainingBody(4096, '\0');
        socket.receiveBytes(remainingBody.data(), static_cast<int>(remainingBody.size()));
        CHECK(isServed(socket));
    }
    openConnections.pop_back();
    waitFor([&] {
        Poco::Net::StreamSocket newConnection{Poco::Net::SocketAddress(address)};
        return isServed(newConnection);
    });
}
