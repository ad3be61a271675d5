#include "persimmonrail/base/header_names.h"
#include "persimmonrail/upstream/upstream_client.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

constexpr milliseconds testTimeout{60'000};

// Keeps the body of a response.
class body_sink : public response_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &, const body_framing &, std::string_view first,
               bool) override
    {
        m_body += first;
        return true;
    }
    bool write(std::string_view piece) override
    {
        m_body += piece;
        return true;
    }
    bool finish() override { return true; }
    const std::string &body() const { return m_body; }

private:
    std::string m_body;
};

std::string responseTo(const std::string &id)
{
    return "HTTP/1.1 200 OK\r\n" + std::string(requestIdHeader) + ": " + id
        + "\r\nContent-Length: " + std::to_string(id.size()) + "\r\n\r\n" + id;
}

} // namespace

// Guards property P3 in docs/design.md: the next caller on a connection must not get the second
// copy of an earlier response, which the upstream sends late.
TEST_CASE("a late copy of an earlier response is skipped", "[upstream]")
{
    const scripted_server server([](Poco::Net::StreamSocket &socket, int) {
        if (!readHeadText(socket).empty()) {
            sendText(socket, responseTo("r1"));
        }
        if (!readHeadText(socket).empty()) {
            sendText(socket, responseTo("r1") + responseTo("r2"));
        }
    });
    upstream_client upstreamClient{{}};
    REQUIRE(upstreamClient
                .announce({"standin", "standin-1", server.address(), 10, "b", false, true},
                          std::chrono::steady_clock::now() + testTimeout)
                .ok());
    for (const std::string id : {"r1", "r2"}) {
        CAPTURE(id);
        const steady_time now = std::chrono::steady_clock::now();
        dispatch_request request;
        request.message.setMethod("GET");
        request.message.setURI("/standin/x");
        request.requestId = id;
        request.repeatable = true;
        request.deadline = now + testTimeout;
        body_sink sink;
        CHECK(upstreamClient.dispatch(request, sink, now).outcome == request_outcome::Run);
        CHECK(sink.body() == id);
    }
    CHECK(server.connectionCount() == 1);
}
