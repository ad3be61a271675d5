#include "persimmonrail/http/http_client.h"

#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

class recording_sink : public response_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &, const body_framing &bodyFraming,
               std::string_view first, bool isComplete) override
    {
        receivedFraming = bodyFraming;
        wasCompleted = isComplete;
        text = first;
        return true;
    }
    bool write(std::string_view piece) override
    {
        text += piece;
        return true;
    }
    bool finish() override { return wasCompleted = true; }

    body_framing receivedFraming;
    std::string text;
    bool wasCompleted = false;
};

// Sends a GET request to `address` and passes the response to `sink`.
exchange_result exchangeWith(const std::string &address, recording_sink &sink, bool acceptsUnframed)
{
    http_client client(std::make_shared<connection_pool>());
    client_request request;
    request.address = address;
    request.message.setMethod("GET");
    request.message.setURI("/");
    request.acceptsUnframed = acceptsUnframed;
    request.deadline = std::chrono::steady_clock::now() + 10s;
    return client.exchange(request, sink);
}

// Returns a script that responds with a body of `bytes` bytes without a length, and then closes or
// resets the connection.
scripted_server::script respondUnframed(size_t bytes, bool shouldReset)
{
    return [bytes, shouldReset](Poco::Net::StreamSocket &socket, int) {
        readHeadText(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\n\r\n" + std::string(bytes, 'x'));
        if (shouldReset) {
            socket.setLinger(true, 0);
            socket.close();
        }
    };
}

} // namespace

// Guards against the rejection of a complete response of an upstream that marks its end by closing
// the connection.
TEST_CASE("the close of the connection may mark the end of a response", "[http]")
{
    const size_t bytes = GENERATE(5U, 200'000U);
    scripted_server server(respondUnframed(bytes, false));
    recording_sink sink;
    CHECK(exchangeWith(server.address(), sink, true).state == exchange_state::Complete);
    CHECK(sink.wasCompleted);
    CHECK(sink.text.size() == bytes);
    CHECK(sink.receivedFraming.type == body_framing::kind::Chunked);
}

// Guards against a truncated response that is reported as complete.
TEST_CASE("a response without a length is incomplete if its connection is reset", "[http]")
{
    const size_t bytes = GENERATE(5U, 200'000U);
    scripted_server server(respondUnframed(bytes, true));
    recording_sink sink;
    CHECK(exchangeWith(server.address(), sink, true).state != exchange_state::Complete);
    CHECK_FALSE(sink.wasCompleted);
}

TEST_CASE("responses without a length are rejected unless the request accepts them", "[http]")
{
    scripted_server server(respondUnframed(5, false));
    recording_sink sink;
    CHECK(exchangeWith(server.address(), sink, false).state == exchange_state::Truncated);
}
