#include "persimmonrail/proxy/peer_client.h"
#include "persimmonrail/proxy/peer_fields.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

exchange_codec makeCodec()
{
    exchange_codec codec;
    codec.readCallerFields = [](const Poco::Net::HTTPRequest &request) {
        caller_fields fields;
        fields.requestId = request.get("Id", "");
        if (request.has("Key")) {
            fields.key = static_cast<shard_key>(std::stoi(request.get("Key")));
        }
        return fields;
    };
    return codec;
}

// Returns a request as another daemon forwards it.
Poco::Net::HTTPRequest forwardedRequest()
{
    Poco::Net::HTTPRequest request("GET", "/x", Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &[name, value] : std::vector<std::pair<std::string, std::string>>{
             {"Host", "h"},
             {"Id", "r1"},
             {"Key", "5"},
             {requestIdHeader, "r1"},
             {serviceHeader, "ledger"},
             {upstreamHeader, "i-1"},
             {upstreamStartHeader, "17"},
             {callerServiceHeader, "haulbook"},
             {routeHeader, "r"},
             {objectiveHeader, "400"},
             {rankHeader, "1"},
             {repeatableHeader, "1"},
             {deadlineHeader, "2000"},
             {objectiveLeftHeader, "-20"},
             {shardKeyHeader, "5"},
         }) {
        request.add(name, value);
    }
    return request;
}

struct change_case
{
    std::string title;
    std::function<void(Poco::Net::HTTPRequest &request)> change;
};

} // namespace

TEST_CASE("a request of another daemon is decoded", "[proxy]")
{
    const steady_time now{};
    const auto request = readPeerRequest(forwardedRequest(), makeCodec(), now);
    REQUIRE(request.ok());
    CHECK(request->key == 5);
    CHECK(request->deadline == now + 2000ms);
    CHECK(request->objectiveEnd == now - 20ms);
    CHECK_FALSE(request->message.has(rankHeader));
}

// Guards against a request that the daemon admits by one value of a field while the upstream runs
// it by another, or by a number that was cut to another range.
TEST_CASE("a request whose fields contradict each other is rejected", "[proxy]")
{
    const auto set = [](const char *name, const std::string &value) {
        return [name, value](Poco::Net::HTTPRequest &request) { request.set(name, value); };
    };
    const auto add = [](const std::string &name, const std::string &value) {
        return [name, value](Poco::Net::HTTPRequest &request) { request.add(name, value); };
    };
    const auto row = GENERATE_COPY(values<change_case>({
        {"rank missing", [](Poco::Net::HTTPRequest &request) { request.erase(rankHeader); }},
        {"rank twice", add(rankHeader, "0")},
        {"rank in another case", add("persimmonrail-rank", "0")},
        {"rank spelled otherwise", add("Persimmonrail_Rank", "0")},
        {"rank listed", add("Connection", "close, Persimmonrail-Rank")},
        {"negative rank", set(rankHeader, "-1")},
        {"rank past its range", set(rankHeader, "4294967296")},
        {"deadline past its range", set(deadlineHeader, "9223372036854775807")},
        {"end of the objective past its range", set(objectiveLeftHeader, "-9223372036854775807")},
        {"objective past its range", set(objectiveHeader, "9223372036854775807")},
        {"start past its range", set(upstreamStartHeader, "9223372036854775808")},
        {"key past its range", set(shardKeyHeader, "65536")},
        {"key twice", add(shardKeyHeader, "6")},
        {"another key for the upstream", set("Key", "6")},
        {"no key for the upstream", [](Poco::Net::HTTPRequest &request) { request.erase("Key"); }},
        {"another id for the upstream", set("Id", "r2")},
        {"no id for the upstream", [](Poco::Net::HTTPRequest &request) { request.erase("Id"); }},
    }));
    CAPTURE(row.title);
    Poco::Net::HTTPRequest request = forwardedRequest();
    row.change(request);
    CHECK_FALSE(readPeerRequest(request, makeCodec(), {}).ok());
}

// Guards against retries that count as first attempts at a cold upstream. Daemons of earlier
// releases don't send the field.
TEST_CASE("a retry is marked as one", "[proxy]")
{
    const auto [value, isRetry] = GENERATE(table<const char *, bool>({
        {"", false},
        {"0", false},
        {"1", true},
    }));
    Poco::Net::HTTPRequest message = forwardedRequest();
    if (*value != '\0') {
        message.set(retryHeader, value);
    }
    const auto request = readPeerRequest(message, makeCodec(), steady_time(1000s));
    REQUIRE(request.ok());
    CHECK(request->isRetry == isRetry);
    CHECK_FALSE(request->message.has(retryHeader));
}
