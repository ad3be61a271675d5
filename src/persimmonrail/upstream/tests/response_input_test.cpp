#include "persimmonrail/http/discarding_sink.h"
#include "persimmonrail/objects/http_object_api.h"
#include "persimmonrail/upstream/upstream_client.h"
#include "standins/input_mutator.h"
#include "standins/scripted_server.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

namespace {

// Long enough not to elapse while a test runs.
constexpr milliseconds testTimeout{60'000};
constexpr uint64_t responseCount = 200;

// Responds to the request on each connection with a mutation of one of the messages and closes the
// connection. The connection's index is the seed of the mutation.
scripted_server::script malformedResponses(const std::vector<std::string> &messages)
{
    return [messages](Poco::Net::StreamSocket &socket, int index) {
        if (!readHeadText(socket).empty()) {
            sendText(socket, input_mutator(static_cast<uint64_t>(index)).next(messages));
        }
    };
}

} // namespace

// Guards against a malformed response of the upstream that terminates the daemon, or that is
// reported as "not run" although the request may have run (requirement P4 in docs/design.md).
TEST_CASE("malformed responses of the upstream result in an outcome", "[upstream][input]")
{
    const scripted_server server(malformedResponses(
        {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n"}));
    upstream_client upstreamClient{{}};
    const steady_time start = std::chrono::steady_clock::now();
    REQUIRE(upstreamClient
                .announce({"standin", "standin-1", server.address(), 10, "b", false, true},
                          start + testTimeout)
                .ok());
    for (uint64_t i = 0; i < responseCount; ++i) {
        CAPTURE(i);
        const steady_time now = std::chrono::steady_clock::now();
        dispatch_request request;
        request.message.setMethod("GET");
        request.message.setURI("/standin/x");
        request.requestId = "r";
        request.deadline = now + testTimeout;
        discarding_sink sink;
        const dispatch_result result = upstreamClient.dispatch(request, sink, now);
        CHECK(result.outcome != request_outcome::NotRun);
        CHECK_FALSE(result.reason.empty());
        upstreamClient.probe(std::chrono::steady_clock::now());
    }
}

// Guards against a response with an invalid status that a caller of the gateway gets, and against
// its connection being used again.
TEST_CASE("a response of the upstream with an invalid status is no response", "[upstream][input]")
{
    const std::string status = GENERATE("000", "0", "199", "600");
    CAPTURE(status);
    const scripted_server server([&](Poco::Net::StreamSocket &socket, int index) {
        while (!readHeadText(socket).empty()) {
            sendText(socket,
                     index > 0 ? std::string("HTTP/1.1 204 No Content\r\n\r\n")
                               : "HTTP/1.1 " + status + " X\r\nContent-Length: 0\r\n\r\n");
        }
    });
    upstream_client upstreamClient{{}};
    const steady_time now = std::chrono::steady_clock::now();
    REQUIRE(upstreamClient
                .announce({"standin", "standin-1", server.address(), 10, "b", false, true},
                          now + testTimeout)
                .ok());
    const auto dispatch = [&] {
        dispatch_request request;
        request.message.setMethod("GET");
        request.message.setURI("/standin/x");
        request.requestId = "r";
        request.deadline = std::chrono::steady_clock::now() + testTimeout;
        discarding_sink sink;
        return upstreamClient.dispatch(request, sink, std::chrono::steady_clock::now()).outcome;
    };
    CHECK(dispatch() == request_outcome::Unknown);
    CHECK(dispatch() == request_outcome::Run);
    CHECK(server.connectionCount() == 2);
}

// Guards against a malformed response of the platform that terminates the daemon.
TEST_CASE("malformed responses of the platform result in a status", "[upstream][input]")
{
    const auto message = [](const std::string &body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n"
            + body;
    };
    const scripted_server server(malformedResponses(
        {message(R"({"key":"k","version":3,"value":"v"})"),
         message(R"({"revision":9,"objects":[{"key":"k","version":3,"value":"v"}]})"),
         message(R"({"revision":9,"events":[{"key":"k","version":3,"deleted":true}]})"),
         message(R"({"version":4})")}));
    const auto api = makeHttpObjectApi(server.address(), testTimeout);
    for (uint64_t i = 0; i < responseCount / 4; ++i) {
        CAPTURE(i);
        const auto object = api.get("k");
        CHECK((!object.ok() || object->key == "k"));
        const auto written = api.put("k", 3, "v");
        CHECK((written.ok() || !written.status().message().empty()));
        for (const auto &list : {api.list(""), api.watch("", 1, milliseconds(0))}) {
            CHECK((list.ok() || !list.status().message().empty()));
        }
    }
}
