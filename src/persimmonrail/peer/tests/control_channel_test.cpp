#include "persimmonrail/peer/control_channel.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <future>
#include <random>

using namespace persimmonrail;

namespace {

constexpr milliseconds longTimeout{20000};
constexpr milliseconds shortTimeout{100};

// Returns a channel whose ping replies hold the revision of the pull request.
std::unique_ptr<control_channel> createEchoChannel()
{
    auto channel = control_channel::listen(
        "127.0.0.1:0", [](const wire::Request &request, const control_channel::responder &respond) {
            wire::Reply reply;
            *reply.mutable_sender() = request.sender();
            reply.mutable_ping()->set_revision(request.pull().after_revision());
            respond(reply);
        });
    REQUIRE(channel.ok());
    return *std::move(channel);
}

wire::Request createPullRequest(uint64_t revision)
{
    wire::Request request;
    request.mutable_pull()->set_after_revision(revision);
    return request;
}

std::future<absl::StatusOr<wire::Reply>> sendRequest(control_channel &channel,
                                                     const std::string &address,
                                                     const wire::Request &request,
                                                     milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<absl::StatusOr<wire::Reply>>>();
    auto future = promise->get_future();
    channel.send(address, request, timeout, [promise](absl::StatusOr<wire::Reply> reply) {
        promise->set_value(std::move(reply));
    });
    return future;
}

} // namespace

// Guards against a reply that is delivered to the wrong request.
TEST_CASE("concurrent requests get their own replies", "[peer]")
{
    const auto server = createEchoChannel();
    const auto client = createEchoChannel();
    std::vector<std::future<absl::StatusOr<wire::Reply>>> replies;
    for (uint64_t i = 1; i <= 200; ++i) {
        replies.push_back(
            sendRequest(*client, server->address(), createPullRequest(i), longTimeout));
    }
    for (uint64_t i = 1; i <= 200; ++i) {
        const auto reply = replies[i - 1].get();
        REQUIRE(reply.ok());
        CHECK(reply->ping().revision() == i);
    }
    CHECK(server->traffic().messagesReceived == 200);
}

// Guards against a request that waits forever because the peer accepts the connection and never
// replies, and against further use of this connection when new connections work.
TEST_CASE("an unresponsive connection is replaced", "[peer]")
{
    const auto client = createEchoChannel();
    std::string address;
    {
        Poco::Net::ServerSocket unresponsive(Poco::Net::SocketAddress("127.0.0.1", 0));
        address = unresponsive.address().toString();
        const auto reply = sendRequest(*client, address, createPullRequest(1), shortTimeout).get();
        CHECK(reply.status().code() == absl::StatusCode::kDeadlineExceeded);
    }
    const auto server = control_channel::listen(
        address, [](const wire::Request &, const control_channel::responder &respond) {
            wire::Reply reply;
            reply.mutable_ping();
            respond(reply);
        });
    REQUIRE(server.ok());
    CHECK(sendRequest(*client, address, createPullRequest(2), longTimeout).get().ok());
}

// Guards against a server that crashes or hangs when it receives bytes that are not a message.
TEST_CASE("malformed bytes do not stop the server", "[peer]")
{
    const auto server = createEchoChannel();
    const auto client = createEchoChannel();
    std::mt19937 random(1);
    for (int round = 0; round < 20; ++round) {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
        std::string bytes(64, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    CHECK(sendRequest(*client, server->address(), createPullRequest(7), longTimeout).get().ok());
}

TEST_CASE("a request without a body gets an error reply", "[peer]")
{
    const auto server = createEchoChannel();
    const auto client = createEchoChannel();
    const auto reply = sendRequest(*client, server->address(), wire::Request(), longTimeout).get();
    CHECK(reply.status().code() == absl::StatusCode::kFailedPrecondition);
    CHECK(server->traffic().malformedMessages == 1);
}

TEST_CASE("listening on an address in use fails", "[peer]")
{
    const auto server = createEchoChannel();
    const auto second = control_channel::listen(server->address(), nullptr);
    CHECK(second.status().code() == absl::StatusCode::kUnavailable);
}
