#include "persimmonrail/router/grant_connection.h"

#include "persimmonrail/keyspace/grant_fence.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// Sends grants through a grant_connection and records them.
struct grant_recorder
{
    bool isConnectionOpen = false;
    absl::Status connectStatus;
    absl::Status grantStatus;
    bool canSend = true;
    std::vector<uint32_t> connections;
    grant_connection sender{api()};

    grant_api api()
    {
        grant_api api;
        api.connect = [this](const std::string &) {
            isConnectionOpen = connectStatus.ok();
            return connectStatus;
        };
        api.grant = [this](const std::string &, const range_grant &grant, milliseconds) {
            if (!isConnectionOpen) {
                return absl::NotFoundError("closed");
            }
            connections.push_back(grant.connection);
            return grantStatus;
        };
        return api;
    }
    absl::StatusCode send()
    {
        return sender
            .send("127.0.0.1:1", {{0, 9}, 3, ""}, 1s, [this](boot_time) { return canSend; })
            .status.code();
    }
};

} // namespace

TEST_CASE("each connection for grants has a number of its own", "[router]")
{
    grant_recorder recorder;
    REQUIRE(recorder.send() == absl::StatusCode::kOk);
    REQUIRE(recorder.send() == absl::StatusCode::kOk);
    SECTION("after the connection was closed by the upstream")
    {
        recorder.isConnectionOpen = false;
    }
    SECTION("after it was closed here, since another process may listen at the address")
    {
        recorder.sender.close();
    }
    REQUIRE(recorder.send() == absl::StatusCode::kOk);
    CHECK(recorder.connections == std::vector<uint32_t>{1, 1, 2});
}

TEST_CASE("a grant that can't be sent reports why", "[router]")
{
    struct row
    {
        std::string name;
        absl::Status connectStatus;
        bool canSend;
        absl::StatusCode expected;
    };
    const row rows[] = {
        {"refused", absl::FailedPreconditionError("refused"), true,
         absl::StatusCode::kFailedPrecondition},
        {"unreachable", absl::UnavailableError("timeout"), true, absl::StatusCode::kUnavailable},
        {"out of date", absl::OkStatus(), false, absl::StatusCode::kCancelled},
    };
    for (const row &row : rows) {
        CAPTURE(row.name);
        grant_recorder recorder;
        recorder.connectStatus = row.connectStatus;
        recorder.canSend = row.canSend;
        CHECK(recorder.send() == row.expected);
        CHECK(recorder.connections.empty());
    }
}

// Guards against a fence that two connections share after the numbers have run out.
TEST_CASE("grants need a new recorded fence once all connections are numbered", "[router]")
{
    grant_recorder recorder;
    for (uint32_t i = 1; i <= maxGrantConnection; ++i) {
        recorder.isConnectionOpen = false;
        REQUIRE(recorder.send() == absl::StatusCode::kOk);
    }
    recorder.isConnectionOpen = false;
    CHECK(recorder.send() == absl::StatusCode::kResourceExhausted);
    CHECK(recorder.connections.back() == maxGrantConnection);
    recorder.sender.restartNumbers();
    CHECK(recorder.send() == absl::StatusCode::kOk);
    CHECK(recorder.connections.back() == 1);
}
