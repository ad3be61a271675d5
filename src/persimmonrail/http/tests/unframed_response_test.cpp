#include "persimmonrail/http/http_client.h"

#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

class keeping_sink : public response_sink
{
public:
    bool begin(const Poco::Net::HTTPResponse &, const body_framing &passed, std::string_view first,
               bool isComplete) override
    {
        framing = passed;
        whole = isComplete;
        text = first;
        return true;
    }
    bool write(std::string_view piece) override
    {
        text += piece;
        return true;
    }
    bool finish() override { return whole = true; }

    body_framing framing;
    std::string text;
    bool whole = false;
};

exchange_result request(const std::string &address, keeping_sink &sink, bool acceptsUnframed)
{
    http_client client(std::make_shared<connection_pool>());
    client_request call;
    call.address = address;
    call.message.setMethod("GET");
    call.message.setURI("/");
    call.acceptsUnframed = acceptsUnframed;
    call.deadline = std::chrono::steady_clock::now() + 10s;
    return client.exchange(call, sink);
}

scripted_server::script responding(size_t bytes, bool reset)
{
    return [bytes, reset](Poco::Net::StreamSocket &socket, int) {
        readHeadText(socket);
        sendText(socket, "HTTP/1.1 200 OK\r\n\r\n" + std::string(bytes, 'x'));
        if (reset) {
            socket.setLinger(true, 0);
            socket.close();
        }
    };
}

} // namespace

// Guards against an upstream's answer that is thrown away because it ends with its connection.
TEST_CASE("an answer may end with its connection", "[http]")
{
    const size_t bytes = GENERATE(5U, 200'000U);
    scripted_server server(responding(bytes, false));
    keeping_sink sink;
    CHECK(request(server.address(), sink, true).state == exchange_state::Complete);
    CHECK(sink.whole);
    CHECK(sink.text.size() == bytes);
    CHECK(sink.framing.type == body_framing::kind::Chunked);
}

// Guards against a broken answer that looks complete.
TEST_CASE("an answer without length whose connection is reset is not whole", "[http]")
{
    const size_t bytes = GENERATE(5U, 200'000U);
    scripted_server server(responding(bytes, true));
    keeping_sink sink;
    CHECK(request(server.address(), sink, true).state != exchange_state::Complete);
    CHECK_FALSE(sink.whole);
}

TEST_CASE("answers without length are refused unless they are expected", "[http]")
{
    scripted_server server(responding(5, false));
    keeping_sink sink;
    CHECK(request(server.address(), sink, false).state == exchange_state::Truncated);
}
