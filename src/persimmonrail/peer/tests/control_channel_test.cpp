#include "persimmonrail/peer/control_channel.h"

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/StreamSocket.h>

#include <catch2/catch.hpp>

#include <future>
#include <random>

using namespace persimmonrail;

namespace {

constexpr milliseconds generousTimeout{20000};
constexpr milliseconds shortTimeout{100};

std::unique_ptr<control_channel> echoChannel()
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

wire::Request pullAfter(uint64_t revision)
{
    wire::Request request;
    request.mutable_pull()->set_after_revision(revision);
    return request;
}

std::future<absl::StatusOr<wire::Reply>> ask(control_channel &channel, const std::string &address,
                                             const wire::Request &request, milliseconds timeout)
{
    auto promise = std::make_shared<std::promise<absl::StatusOr<wire::Reply>>>();
    auto future = promise->get_future();
    channel.send(address, request, timeout, [promise](absl::StatusOr<wire::Reply> reply) {
        promise->set_value(std::move(reply));
    });
    return future;
}

} // namespace

// Guards against replies that reach another request than their own.
TEST_CASE("concurrent requests get their own replies", "[peer]")
{
    const auto server = echoChannel();
    const auto client = echoChannel();
    std::vector<std::future<absl::StatusOr<wire::Reply>>> replies;
    for (uint64_t i = 1; i <= 200; ++i) {
        replies.push_back(ask(*client, server->address(), pullAfter(i), generousTimeout));
    }
    for (uint64_t i = 1; i <= 200; ++i) {
        const auto reply = replies[i - 1].get();
        REQUIRE(reply.ok());
        CHECK(reply->ping().revision() == i);
    }
    CHECK(server->traffic().messagesReceived == 200);
}

// Guards against a request that waits for ever on a peer that accepts and never answers, and
// against reusing that connection once new ones work.
TEST_CASE("a silent connection is replaced", "[peer]")
{
    const auto client = echoChannel();
    std::string address;
    {
        Poco::Net::ServerSocket silent(Poco::Net::SocketAddress("127.0.0.1", 0));
        address = silent.address().toString();
        const auto reply = ask(*client, address, pullAfter(1), shortTimeout).get();
        CHECK(reply.status().code() == absl::StatusCode::kDeadlineExceeded);
    }
    const auto server = control_channel::listen(
        address, [](const wire::Request &, const control_channel::responder &respond) {
            wire::Reply reply;
            reply.mutable_ping();
            respond(reply);
        });
    REQUIRE(server.ok());
    CHECK(ask(*client, address, pullAfter(2), generousTimeout).get().ok());
}

// Guards against a crash or a stuck server when bytes that are no message arrive.
TEST_CASE("malformed bytes do not stop the server", "[peer]")
{
    const auto server = echoChannel();
    const auto client = echoChannel();
    std::mt19937 random(1);
    for (int round = 0; round < 20; ++round) {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
        std::string bytes(64, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random());
        }
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
    }
    CHECK(ask(*client, server->address(), pullAfter(7), generousTimeout).get().ok());
}

TEST_CASE("a request without a body is answered with an error", "[peer]")
{
    const auto server = echoChannel();
    const auto client = echoChannel();
    const auto reply = ask(*client, server->address(), wire::Request(), generousTimeout).get();
    CHECK(reply.status().code() == absl::StatusCode::kFailedPrecondition);
    CHECK(server->traffic().malformedMessages == 1);
}

TEST_CASE("an address in use is refused", "[peer]")
{
    const auto server = echoChannel();
    const auto second = control_channel::listen(server->address(), nullptr);
    CHECK(second.status().code() == absl::StatusCode::kUnavailable);
}
