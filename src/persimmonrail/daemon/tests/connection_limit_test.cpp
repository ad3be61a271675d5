#include "single_daemon.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against unbounded memory for idle connections, and against a refusal that harms the
// connections within the limit or is unclear to the caller.
TEST_CASE("caller connections beyond the limit are refused as not-run", "[daemon]")
{
    constexpr int limit = 4;
    single_daemon fleet([](daemon_settings &settings) { settings.maxCallerConnections = limit; });
    REQUIRE(fleet.call("PUT", "/photos/records/k", "k", "first").status == 200);
    const std::string &address = fleet.running->callerAddress();
    const std::string request = "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n";
    std::vector<Poco::Net::StreamSocket> held;
    const auto hasResponse = [&](Poco::Net::StreamSocket &socket) {
        sendText(socket, request);
        return readHeadText(socket).starts_with("HTTP/1.1 404");
    };
    // The connection of the request before may still count for a moment.
    waitFor([&] {
        Poco::Net::StreamSocket next{Poco::Net::SocketAddress(address)};
        if (hasResponse(next)) {
            held.push_back(next);
        }
        return held.size() == limit;
    });
    for (int i = 0; i < 20; ++i) {
        const std::string refused = exchangeBytes(address, request);
        CHECK(refused.starts_with("HTTP/1.1 503"));
        CHECK(refused.find("Persimmonrail-Outcome: not-run") != std::string::npos);
        CHECK(refused.find("Persimmonrail-Reason: too-many-connections") != std::string::npos);
        CHECK(refused.find("Retry-After: ") != std::string::npos);
        // The other ports have limits of their own.
        CHECK(fleet.admin("GET", "/healthz").status == 200);
    }
    for (auto &socket : held) {
        // The body of the earlier answer is still to be read.
        std::string rest(4096, '\0');
        socket.receiveBytes(rest.data(), static_cast<int>(rest.size()));
        CHECK(hasResponse(socket));
    }
    held.pop_back();
    waitFor([&] {
        Poco::Net::StreamSocket next{Poco::Net::SocketAddress(address)};
        return hasResponse(next);
    });
}
