#include "daemon_fixture.h"
#include "persimmonrail/objects/http_object_api.h"
#include "persimmonrail/ownership/placement_record.h"
#include "persimmonrail/peer/control_channel.h"
#include "persimmonrail/sync/fleet_view.h"
#include "standins/input_mutator.h"
#include "standins/scripted_server.h"

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <future>

using namespace persimmonrail;

namespace {

// Number of mutated inputs for each port, and of mutated objects in the platform.
constexpr uint64_t mutatedInputs = 150;

// Sends the bytes, shuts down the sending direction and returns all bytes received.
std::string exchangeInput(const std::string &address, const std::string &bytes)
{
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(address)};
    try {
        sendText(socket, bytes);
        socket.shutdownSend();
    } catch (const Poco::Exception &) {
        // The server may close the connection before it has read everything.
    }
    return readToEnd(socket);
}

void checkDaemonServes(daemon_fixture &fixture)
{
    CHECK(fixture.sendAdminRequest("GET", "/healthz").status == 200);
    CHECK(fixture.sendRequest("PUT", "/photos/records/check", "body", "first").status == 200);
}

std::string controlAddress(daemon_fixture &fixture)
{
    const auto api = makeHttpObjectApi(fixture.platform.address(), milliseconds(60'000));
    return decodeMember(api.get("member/photos-0")->value)->controlAddress;
}

// The wire format of nng: a greeting of 8 bytes, then messages that are each preceded by their
// length in 8 bytes.
constexpr std::string_view requesterGreeting{"\0SP\0\0\x30\0\0", 8};

std::string makeFrame(const std::string &message)
{
    const std::string payload = std::string("\x80\0\0\1", 4) + message;
    std::string frame;
    for (int shift = 56; shift >= 0; shift -= 8) {
        frame += static_cast<char>(payload.size() >> shift);
    }
    return frame + payload;
}

std::vector<std::string> validControlRequests()
{
    std::vector<wire::Request> requests(5);
    auto &lease = *requests[0].mutable_claim()->mutable_lease();
    lease.set_partition("photos/0");
    lease.set_record_version(3);
    lease.set_term(1);
    *requests[1].mutable_heartbeat()->add_leases() = lease;
    *requests[2].mutable_release()->mutable_lease() = lease;
    requests[3].mutable_pull()->set_after_revision(1);
    requests[4].mutable_probe()->set_control_address("127.0.0.1:1");
    std::vector<std::string> serialized;
    for (auto &request : requests) {
        request.mutable_sender()->set_name("other");
        serialized.push_back(request.SerializeAsString());
    }
    return serialized;
}

} // namespace

// Guards against input to an HTTP port that ends or blocks the daemon, or that receives a malformed
// response.
TEST_CASE("the daemon keeps serving after malformed HTTP input", "[daemon][input]")
{
    daemon_fixture fixture;
    checkDaemonServes(fixture);
    const std::string announcement = encodeAnnouncement(fixture.upstream->announcement());
    const std::string versionAndHost = " HTTP/1.1\r\nHost: h\r\n";
    const std::string lengthField = "Content-Length: ";
    const std::vector<std::string> callerRequests = {
        "PUT /photos/records/a?x=%41" + versionAndHost + lengthField + "4\r\n\r\nbody",
        "PUT /photos/records/a" + versionAndHost
            + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "GET /photos/records/a" + versionAndHost + "Persimmonrail-Deadline-Ms: 100\r\n\r\n"};
    const std::vector<std::string> peerRequests = {
        "GET /photos/records/a" + versionAndHost
        + "Persimmonrail-Request-Id: r\r\n"
          "Persimmonrail-Deadline-Ms: 100\r\nPersimmonrail-Key-Hash: 0123456789abcdef\r\n\r\n"};
    const std::vector<std::string> adminRequests = {
        "POST /v1/announce" + versionAndHost + lengthField + std::to_string(announcement.size())
            + "\r\n\r\n" + announcement,
        "GET /v1/explain?service=photos&key=k" + versionAndHost + "\r\n",
        "GET /metrics" + versionAndHost + "\r\n"};
    const std::pair<std::string, const std::vector<std::string> *> ports[] = {
        {fixture.runningDaemon->callerAddress(), &callerRequests},
        {fixture.runningDaemon->peerAddress(), &peerRequests},
        {fixture.runningDaemon->adminAddress(), &adminRequests}};
    for (const auto &[address, validRequests] : ports) {
        for (uint64_t seed = 1; seed <= mutatedInputs; ++seed) {
            CAPTURE(seed, validRequests->front());
            input_mutator mutator(seed);
            const std::string response = exchangeInput(address, mutator.next(*validRequests));
            CHECK((response.empty() || response.starts_with("HTTP/1.1 ")));
        }
        const std::string longText(40'000, 'x');
        const auto put = [&](const char *contentLength) {
            return absl::StrCat("PUT /a", versionAndHost, lengthField, contentLength, "\r\n\r\n");
        };
        struct
        {
            std::string bytes;
            const char *status;
        } const table[] = {
            {absl::StrCat("GET /", longText, versionAndHost, "\r\n"), "431"},
            {absl::StrCat("GET /a", versionAndHost, longText, ": 1\r\n\r\n"), "431"},
            {put("99999999999999999999"), "400"},
            {put("-1"), "400"},
            {put("1\r\nContent-Length: 2"), "400"},
            {std::string(100, '\0') + "\r\n\r\n", "400"},
        };
        for (const auto &row : table) {
            CAPTURE(address, row.bytes.substr(0, 100));
            const std::string response = exchangeBytes(address, row.bytes);
            CHECK(response.substr(0, 12) == std::string("HTTP/1.1 ") + row.status);
        }
        checkDaemonServes(fixture);
    }
    // A mutated announcement that is still valid must not prevent the acceptance of the correct
    // one.
    const std::string oversized(2'000'000, ' ');
    const std::string response =
        exchangeBytes(fixture.runningDaemon->adminAddress(),
                      "POST /v1/announce" + versionAndHost + lengthField
                          + std::to_string(oversized.size()) + "\r\n\r\n" + oversized);
    CHECK((response.empty() || response.starts_with("HTTP/1.1 4")));
    checkDaemonServes(fixture);
}

// Guards against a requester that blocks others by sending slowly, and against a request that is
// parsed wrongly because its bytes arrive one at a time.
TEST_CASE("the daemon keeps serving after slow partial input", "[daemon][input]")
{
    daemon_fixture fixture;
    const std::string request =
        "PUT /photos/records/slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        "Connection: close\r\n\r\nbody";
    checkDaemonServes(fixture);
    for (const std::string &address :
         {fixture.runningDaemon->callerAddress(), fixture.runningDaemon->adminAddress(),
          fixture.runningDaemon->peerAddress(), controlAddress(fixture)}) {
        std::vector<Poco::Net::StreamSocket> partialConnections;
        for (size_t i = 0; i < 20; ++i) {
            partialConnections.emplace_back(Poco::Net::SocketAddress(address));
            sendText(partialConnections.back(), request.substr(0, i * 4));
        }
        checkDaemonServes(fixture);
    }
    Poco::Net::StreamSocket slowCaller{
        Poco::Net::SocketAddress(fixture.runningDaemon->callerAddress())};
    slowCaller.setNoDelay(true);
    fixture.announce("first");
    for (const char byte : request) {
        sendText(slowCaller, std::string(1, byte));
    }
    CHECK(readToEnd(slowCaller).starts_with("HTTP/1.1 200"));
}

// Guards against a control message that ends or blocks the daemon.
TEST_CASE("the daemon keeps serving after malformed control input", "[daemon][input]")
{
    daemon_fixture fixture;
    const std::string address = controlAddress(fixture);
    for (uint64_t seed = 1; seed <= mutatedInputs; ++seed) {
        input_mutator mutator(seed);
        std::string bytes(requesterGreeting);
        for (int i = 0; i < 8; ++i) {
            bytes += makeFrame(mutator.next(validControlRequests()));
        }
        if (seed % 8 == 0) {
            // Every second of these inputs is random bytes instead of a greeting; the others state
            // an oversized length.
            bytes = seed % 16 == 0 ? mutator.randomBytes(512)
                                   : std::string(requesterGreeting) + std::string(8, '\x7f');
        }
        exchangeInput(address, bytes);
    }
    const auto client = control_channel::listen(
        "127.0.0.1:0", [](const wire::Request &, const control_channel::responder &) {});
    REQUIRE(client.ok());
    wire::Request ping;
    ping.mutable_ping();
    std::promise<bool> pingReplied;
    (*client)->send(address, ping, milliseconds(60'000), [&](const auto &reply) {
        pingReplied.set_value(reply.ok() && reply->has_ping());
    });
    CHECK(pingReplied.get_future().get());
    checkDaemonServes(fixture);
}

// Guards against an object in the platform that ends the daemon, or that prevents it from using the
// valid objects.
TEST_CASE("the daemon keeps serving after malformed platform objects", "[daemon][input]")
{
    daemon_fixture fixture;
    const auto api = makeHttpObjectApi(fixture.platform.address(), milliseconds(60'000));
    placement_record record;
    record.partition = "photos/0";
    record.owner = {"other", 7};
    record.witnesses = {{"a", 1}, {"b", 2}, {"c", 3}};
    member_record member;
    member.id = {"other", 7};
    member.region = member.availabilityZone = "zone";
    member.peerAddress = member.controlAddress = "127.0.0.1:1";
    const std::vector<std::pair<std::string, std::string>> valid = {
        {"placement/photos/", encodeRecord(record)},
        {"member/other-", encodeMember(member)},
        {"accepted/service-", api.get("accepted/photos")->value},
        {"config/service-", api.get("config/photos")->value}};
    uint64_t lastVersion = 0;
    uint64_t storedCount = 0;
    for (uint64_t seed = 1; seed <= mutatedInputs; ++seed) {
        input_mutator mutator(seed);
        const auto &[prefix, value] = valid[seed % valid.size()];
        // The platform rejects values that are not text.
        const auto version = api.put(prefix + std::to_string(seed), 0, mutator.next({value}));
        lastVersion = version.value_or(lastVersion);
        storedCount += version.ok() ? 1 : 0;
    }
    REQUIRE(storedCount > mutatedInputs / 3);
    waitFor([&] {
        const auto state = fixture.sendAdminRequest("GET", "/v1/state").body;
        const auto position = state.find("\"revision\":");
        return position != std::string::npos
            && std::stoull(state.substr(position + 11)) >= lastVersion;
    });
    checkDaemonServes(fixture);
}
