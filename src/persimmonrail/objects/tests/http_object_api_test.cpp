#include "persimmonrail/objects/http_object_api.h"
#include "standins/platform_standin.h"
#include "standins/scripted_server.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <future>
#include <thread>

using namespace persimmonrail;
using standins::platform_standin;

namespace {

// Long enough for a heavily loaded machine. Only tests that provoke a timeout use a shorter one.
constexpr milliseconds timeout{60'000};

// Accepts `count` connections. Sends fixed bytes on each connection after the header of a request
// has arrived, then closes the connection.
class fixed_response_server
{
public:
    fixed_response_server(std::string bytes, int count)
        : m_socket(Poco::Net::SocketAddress("127.0.0.1:0"))
        , m_thread([this, bytes = std::move(bytes), count] {
            for (int i = 0; i < count; ++i) {
                serve(bytes);
            }
        })
    { }
    ~fixed_response_server() { m_thread.join(); }
    std::string address() const { return m_socket.address().toString(); }

private:
    void serve(const std::string &bytes)
    {
        auto connection = m_socket.acceptConnection();
        std::string received;
        char buffer[1024];
        while (received.find("\r\n\r\n") == std::string::npos) {
            const int size = connection.receiveBytes(buffer, sizeof buffer);
            if (size <= 0) {
                return;
            }
            received.append(buffer, static_cast<size_t>(size));
        }
        connection.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        connection.shutdownSend();
        // Unread data at the close would cause a TCP reset, which could discard the response.
        while (connection.receiveBytes(buffer, sizeof buffer) > 0) { }
    }

    Poco::Net::ServerSocket m_socket;
    std::thread m_thread;
};

std::string httpResponse(int status, const std::string &body, size_t declaredLength)
{
    return "HTTP/1.1 " + std::to_string(status) + " x\r\nConnection: close\r\nContent-Length: "
        + std::to_string(declaredLength) + "\r\n\r\n" + body;
}

std::string httpResponse(int status, const std::string &body)
{
    return httpResponse(status, body, body.size());
}

std::string sendControlRequest(const std::string &address, const std::string &method,
                               const std::string &target)
{
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    Poco::Net::HTTPRequest request(method, target, "HTTP/1.1");
    request.setContentLength(0);
    session.sendRequest(request);
    Poco::Net::HTTPResponse response;
    std::string body;
    Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
    return std::to_string(response.getStatus()) + " " + body;
}

} // namespace

TEST_CASE("a write succeeds only with the current version", "[platform]")
{
    platform_standin standin;
    const auto api = makeHttpObjectApi(standin.address(), timeout);
    CHECK(absl::IsNotFound(api.get("config/a").status()));
    REQUIRE(*api.put("config/a", 0, "one") == 1);
    CHECK(absl::IsAborted(api.put("config/a", 0, "two").status()));
    CHECK(absl::IsAborted(api.put("config/a", 7, "two").status()));
    REQUIRE(*api.put("config/b", 0, "other") == 2);
    REQUIRE(*api.put("config/a", 1, "two") == 3);
    const auto object = api.get("config/a");
    CHECK(object->value == "two");
    CHECK(object->version == 3);
    CHECK(absl::IsAborted(api.remove("config/a", 1).status()));
    CHECK(*api.remove("config/a", 3) == 4);
    CHECK(absl::IsNotFound(api.get("config/a").status()));
    CHECK(absl::IsAborted(api.remove("config/a", 0).status()));
}

// Guards against keys or values that are altered by URL or JSON encoding.
TEST_CASE("keys and values arrive unchanged", "[platform]")
{
    platform_standin standin;
    const auto api = makeHttpObjectApi(standin.address(), timeout);
    const std::string key = "placement/a b+c%2F?d=e&f#g/\xc3\xa9:@";
    std::string value = "{\"a\":\"\\u00e9 \xc3\xa9 \xf0\x9f\x8d\x82\"}";
    for (char c = 0; c < 127; ++c) {
        value.push_back(c);
    }
    REQUIRE(api.put(key, 0, value).ok());
    CHECK(api.get(key)->value == value);
    REQUIRE(api.put("placement/other", 0, "").ok());
    const auto list = api.list("placement/a b+c%2F?d=e&f#g/");
    REQUIRE(list.ok());
    CHECK(list->revision == 2);
    REQUIRE(list->objects.size() == 1);
    CHECK(list->objects[0].key == key);
    CHECK(list->objects[0].value == value);
    CHECK(api.list("placement/")->objects.size() == 2);
    const std::string large(maxObjectBytes, 'x');
    CHECK(api.put("large", 0, large).ok());
    CHECK(api.get("large")->value == large);
    CHECK(absl::IsInvalidArgument(api.put("large2", 0, large + "x").status()));
    CHECK(absl::IsInvalidArgument(api.put("binary", 0, "\xff").status()));
}

TEST_CASE("a watch returns changes and tombstones after its revision", "[platform]")
{
    platform_standin standin;
    const auto api = makeHttpObjectApi(standin.address(), timeout);
    REQUIRE(api.put("a/1", 0, "x").ok());
    REQUIRE(api.put("a/2", 0, "y").ok());
    REQUIRE(api.put("b/1", 0, "z").ok());
    REQUIRE(api.remove("a/1", 1).ok());
    const auto changes = api.watch("a/", 1, milliseconds(0));
    REQUIRE(changes.ok());
    CHECK(changes->revision == 4);
    REQUIRE(changes->objects.size() == 2);
    CHECK(changes->objects[0].key == "a/2");
    CHECK(changes->objects[1].deleted);
    CHECK(api.watch("a/", 4, milliseconds(0))->objects.empty());

    auto waiting = std::async(std::launch::async, [&] { return api.watch("a/", 4, timeout); });
    standin.awaitWaitingWatches(1);
    REQUIRE(api.put("b/2", 0, "unrelated").ok());
    REQUIRE(api.put("a/3", 0, "new").ok());
    const auto change = waiting.get();
    REQUIRE(change->objects.size() == 1);
    CHECK(change->objects[0].value == "new");
}

// Guards against a relay, a daemon that watches the store for others, that misses changes which the
// store has already compacted.
TEST_CASE("a watch of a compacted revision fails", "[platform]")
{
    platform_standin standin;
    const auto api = makeHttpObjectApi(standin.address(), timeout);
    REQUIRE(api.put("a", 0, "x").ok());
    REQUIRE(api.put("b", 0, "y").ok());
    standin.compact();
    CHECK(absl::IsOutOfRange(api.watch("", 1, timeout).status()));
    const uint64_t revision = api.list("")->revision;
    CHECK(api.watch("", revision, milliseconds(0)).ok());

    auto waiting =
        std::async(std::launch::async, [&] { return api.watch("b", revision, timeout); });
    standin.awaitWaitingWatches(1);
    REQUIRE(api.put("a", 1, "z").ok());
    standin.compact();
    CHECK(absl::IsOutOfRange(waiting.get().status()));
}

// Guards against two owners of one key, which would result if a daemon assumed that a write whose
// response was lost had or had not taken effect.
TEST_CASE("a write without a response is unknown and can be read back", "[platform]")
{
    platform_standin standin;
    const auto api = makeHttpObjectApi(standin.address(), timeout);
    REQUIRE(*api.put("a", 0, "first") == 1);
    standin.dropResponses(1);
    CHECK(absl::IsUnknown(api.put("a", 1, "second").status()));
    CHECK(standin.calls().writes == 2);
    auto result = readBack(api, "a", 1, "second");
    CHECK(result->state == read_back_state::Written);
    CHECK(result->version == 2);
    CHECK(readBack(api, "a", 2, "third")->state == read_back_state::NotWritten);
    CHECK(readBack(api, "b", 0, "third")->state == read_back_state::NotWritten);
    CHECK(readBack(api, "a", 1, "third")->state == read_back_state::Replaced);
    standin.dropResponses(1);
    CHECK(absl::IsUnknown(api.remove("a", 2).status()));
    CHECK(readBack(api, "a", 2, "third")->state == read_back_state::Replaced);
    standin.setOutage(true);
    CHECK(absl::IsUnavailable(readBack(api, "a", 1, "second").status()));
}

TEST_CASE("calls are unavailable during an outage and work after it", "[platform]")
{
    platform_standin standin;
    const auto api = makeHttpObjectApi(standin.address(), timeout);
    auto waiting = std::async(std::launch::async, [&] { return api.watch("", 0, timeout); });
    standin.awaitWaitingWatches(1);
    standin.setOutage(true);
    CHECK(absl::IsUnavailable(waiting.get().status()));
    CHECK(absl::IsUnavailable(api.get("a").status()));
    CHECK(absl::IsUnavailable(api.put("a", 0, "x").status()));
    standin.setOutage(false);
    CHECK(api.put("a", 0, "x").ok());
}

TEST_CASE("a platform that does not listen is unavailable", "[platform]")
{
    std::string address;
    {
        const Poco::Net::ServerSocket socket(Poco::Net::SocketAddress("127.0.0.1:0"));
        address = socket.address().toString();
    }
    const auto api = makeHttpObjectApi(address, timeout);
    CHECK(absl::IsUnavailable(api.get("a").status()));
    CHECK(absl::IsUnavailable(api.put("a", 0, "x").status()));
    CHECK(absl::IsInvalidArgument(makeHttpObjectApi("host:1", timeout).list("").status()));
}

TEST_CASE("a write to an unresponsive platform is unknown", "[platform]")
{
    platform_standin standin;
    standin.setDelay(timeout);
    const auto api = makeHttpObjectApi(standin.address(), milliseconds(50));
    CHECK(absl::IsUnavailable(api.get("a").status()));
    CHECK(absl::IsUnknown(api.put("a", 0, "x").status()));
}

// Guards against taking damaged responses, or responses for another object, as state of the fleet.
TEST_CASE("each kind of response maps to its error", "[platform]")
{
    using code = absl::StatusCode;
    const auto [bytes, read, write] = GENERATE(table<std::string, code, code>({
        {httpResponse(200, "{}"), code::kDataLoss, code::kUnknown},
        {httpResponse(200, "[1]"), code::kDataLoss, code::kUnknown},
        {httpResponse(200, "{\"version\""), code::kDataLoss, code::kUnknown},
        {httpResponse(200, R"({"key":"a","version":"1","value":"x"})"), code::kDataLoss,
         code::kUnknown},
        {httpResponse(200, R"({"key":"a","version":-1,"value":"x"})"), code::kDataLoss,
         code::kUnknown},
        {httpResponse(200, R"({"key":"b","version":1,"value":"x"})"), code::kDataLoss, code::kOk},
        {httpResponse(200, R"({"key":"a","version":1,"value":2})"), code::kDataLoss, code::kOk},
        {httpResponse(200, R"({"key":"a","version":1,"value":"x"})"), code::kOk, code::kOk},
        {httpResponse(200, R"({"key":"a","version":1,"value":"x"})", 900), code::kUnavailable,
         code::kUnknown},
        {httpResponse(302, "{}"), code::kDataLoss, code::kUnknown},
        {httpResponse(400, "{}"), code::kInvalidArgument, code::kInvalidArgument},
        {httpResponse(409, "{}"), code::kAborted, code::kAborted},
        {httpResponse(429, "{}"), code::kResourceExhausted, code::kResourceExhausted},
        {httpResponse(500, "{}"), code::kUnavailable, code::kUnknown},
        {httpResponse(503, "{}"), code::kUnavailable, code::kUnavailable},
        {httpResponse(0, R"({"key":"a","version":1,"value":"x"})"), code::kDataLoss,
         code::kUnknown},
        {httpResponse(999, "{}"), code::kDataLoss, code::kUnknown},
        {"HTTP/1.1 103 X\r\n\r\n" + httpResponse(200, R"({"key":"a","version":1,"value":"x"})"),
         code::kDataLoss, code::kUnknown},
        {std::string("SSH-2.0-x\r\n\r\n"), code::kDataLoss, code::kUnknown},
        {std::string(), code::kUnavailable, code::kUnknown},
    }));
    CAPTURE(bytes);
    fixed_response_server server(bytes, 2);
    const auto api = makeHttpObjectApi(server.address(), timeout);
    CHECK(api.get("a").status().code() == read);
    CHECK(api.put("a", 0, "x").status().code() == write);
}

// Guards against a response that is read for another request, since it follows an invalid one on
// the same connection.
TEST_CASE("a connection with an invalid response is not reused", "[platform]")
{
    const std::string object = R"({"key":"a","version":1,"value":"x"})";
    const std::string valid =
        absl::StrCat("HTTP/1.1 200 OK\r\nContent-Length: ", object.size(), "\r\n\r\n", object);
    const std::string status = GENERATE("000", "103", "199", "600", "999");
    CAPTURE(status);
    scripted_server server([&](Poco::Net::StreamSocket &socket, int index) {
        while (!readHeadText(socket).empty()) {
            sendText(socket,
                     index > 0
                         ? valid
                         : absl::StrCat("HTTP/1.1 ", status, " X\r\nContent-Length: 0\r\n\r\n"));
        }
    });
    const auto api = makeHttpObjectApi(server.address(), timeout);
    CHECK(absl::IsDataLoss(api.get("a").status()));
    CHECK(api.get("a").ok());
    CHECK(server.connectionCount() == 2);
}

// Guards against a stand-in that lets daemons exceed the platform's rate unnoticed: a waiting watch
// counts as a call too.
TEST_CASE("the rate budget counts calls and waiting watches", "[platform]")
{
    standins::rate_window window;
    const std::chrono::steady_clock::time_point start{};
    CHECK(window.admit(start, 2, 0));
    CHECK(window.admit(start + milliseconds(999), 2, 0));
    CHECK(!window.admit(start + milliseconds(999), 2, 0));
    CHECK(window.admit(start + milliseconds(1000), 2, 1));
    CHECK(!window.admit(start + milliseconds(1000), 2, 1));
    CHECK(!window.admit(start + milliseconds(2000), 2, 2));

    platform_standin standin("127.0.0.1:0", {0, 1'000});
    const auto api = makeHttpObjectApi(standin.address(), timeout);
    CHECK(absl::IsResourceExhausted(api.get("a").status()));
    CHECK(absl::IsResourceExhausted(api.watch("", 0, timeout).status()));
    CHECK(api.put("a", 0, "x").ok());
    standin.setBudget({1'000, 0});
    CHECK(absl::IsResourceExhausted(api.put("a", 1, "y").status()));
    CHECK(api.get("a")->value == "x");
    const auto calls = standin.calls();
    CHECK(calls.reads == 3);
    CHECK(calls.writes == 2);
    CHECK(calls.refused == 3);
}

TEST_CASE("faults can be set over HTTP", "[platform]")
{
    platform_standin standin;
    const auto api = makeHttpObjectApi(standin.address(), timeout);
    CHECK(sendControlRequest(standin.address(), "POST", "/control/outage?state=on")
              .starts_with("200"));
    CHECK(absl::IsUnavailable(api.get("a").status()));
    CHECK(sendControlRequest(standin.address(), "POST", "/control/outage?state=off")
              .starts_with("200"));
    CHECK(sendControlRequest(standin.address(), "POST", "/control/drop-answers?count=1")
              .starts_with("200"));
    CHECK(absl::IsUnknown(api.put("a", 0, "x").status()));
    CHECK(sendControlRequest(standin.address(), "POST", "/control/compact").starts_with("200"));
    CHECK(absl::IsOutOfRange(api.watch("", 0, milliseconds(0)).status()));
    CHECK(sendControlRequest(standin.address(), "POST", "/control/delay?ms=1").starts_with("200"));
    CHECK(sendControlRequest(standin.address(), "POST", "/control/nonsense").starts_with("400"));
    CHECK(sendControlRequest(standin.address(), "POST", "/control/budget?reads=0&writes=9")
              .starts_with("200"));
    CHECK(absl::IsResourceExhausted(api.get("a").status()));
    CHECK(sendControlRequest(standin.address(), "GET", "/control/calls")
          == R"(200 {"reads":3,"refused":1,"waiting_watches":0,"writes":1})");
}

// Guards against two threads that receive each other's responses on a shared connection.
TEST_CASE("one client serves several threads", "[platform]")
{
    platform_standin standin("127.0.0.1:0", {1'000'000, 1'000'000});
    const auto api = makeHttpObjectApi(standin.address(), timeout);
    std::vector<std::future<bool>> threads;
    threads.reserve(4);
    for (int thread = 0; thread < 4; ++thread) {
        threads.push_back(std::async(std::launch::async, [&api, thread] {
            const std::string key = "t/" + std::to_string(thread);
            uint64_t version = 0;
            for (int i = 0; i < 100; ++i) {
                const auto written = api.put(key, version, key + std::to_string(i));
                if (!written.ok() || api.get(key)->value != key + std::to_string(i)) {
                    return false;
                }
                version = *written;
            }
            return true;
        }));
    }
    for (auto &thread : threads) {
        CHECK(thread.get());
    }
    CHECK(api.list("")->revision == 400);
}
