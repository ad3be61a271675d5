#include "persimmonrail/objects/http_object_api.h"
#include "persimmonrail/ownership/placement_record.h"
#include "persimmonrail/peer/control_channel.h"
#include "persimmonrail/sync/fleet_view.h"
#include "single_daemon.h"
#include "standins/input_mutator.h"
#include "standins/scripted_server.h"

#include <absl/strings/str_cat.h>

#include <catch2/catch.hpp>

#include <future>

using namespace persimmonrail;

namespace {

constexpr uint64_t inputsPerPort = 150;

// Sends the bytes, ends the sending direction and returns all that comes back.
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

void checkServes(single_daemon &fleet)
{
    CHECK(fleet.admin("GET", "/healthz").status == 200);
    CHECK(fleet.call("PUT", "/photos/records/check", "body", "first").status == 200);
}

std::string controlAddress(single_daemon &fleet)
{
    const auto api = makeHttpObjectApi(fleet.platform.address(), milliseconds(60'000));
    return decodeMember(api.get("member/photos-0")->value)->controlAddress;
}

// The transport of nng: a greeting of 8 bytes, then messages with their length in 8 bytes before.
constexpr std::string_view requesterGreeting{"\0SP\0\0\x30\0\0", 8};

std::string framed(const std::string &message)
{
    const std::string payload = std::string("\x80\0\0\1", 4) + message;
    std::string frame;
    for (int shift = 56; shift >= 0; shift -= 8) {
        frame += static_cast<char>(payload.size() >> shift);
    }
    return frame + payload;
}

std::vector<std::string> controlRequests()
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
    std::vector<std::string> texts;
    for (auto &request : requests) {
        request.mutable_sender()->set_name("other");
        texts.push_back(request.SerializeAsString());
    }
    return texts;
}

} // namespace

// Guards against input at an HTTP port that ends or blocks the daemon, or gets no clear answer.
TEST_CASE("faulty HTTP input leaves the daemon serving", "[daemon][input]")
{
    single_daemon fleet;
    checkServes(fleet);
    const std::string announcement = encodeAnnouncement(fleet.upstream->announcement());
    const std::string tail = " HTTP/1.1\r\nHost: h\r\n";
    const std::string length = "Content-Length: ";
    const std::vector<std::string> callers = {
        "PUT /photos/records/a?x=%41" + tail + length + "4\r\n\r\nbody",
        "PUT /photos/records/a" + tail + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
        "GET /photos/records/a" + tail + "Persimmonrail-Deadline-Ms: 100\r\n\r\n"};
    const std::vector<std::string> peers = {
        "GET /photos/records/a" + tail
        + "Persimmonrail-Request-Id: r\r\n"
          "Persimmonrail-Deadline-Ms: 100\r\nPersimmonrail-Key-Hash: 0123456789abcdef\r\n\r\n"};
    const std::vector<std::string> admins = {
        "POST /v1/announce" + tail + length + std::to_string(announcement.size()) + "\r\n\r\n"
            + announcement,
        "GET /v1/explain?service=photos&key=k" + tail + "\r\n", "GET /metrics" + tail + "\r\n"};
    const std::pair<std::string, const std::vector<std::string> *> ports[] = {
        {fleet.running->callerAddress(), &callers},
        {fleet.running->peerAddress(), &peers},
        {fleet.running->adminAddress(), &admins}};
    for (const auto &[address, messages] : ports) {
        for (uint64_t seed = 1; seed <= inputsPerPort; ++seed) {
            CAPTURE(seed, messages->front());
            input_mutator mutator(seed);
            const std::string response = exchangeInput(address, mutator.next(*messages));
            CHECK((response.empty() || response.starts_with("HTTP/1.1 ")));
        }
        const std::string large(40'000, 'x');
        const auto put = [&](const char *contentLength) {
            return absl::StrCat("PUT /a", tail, length, contentLength, "\r\n\r\n");
        };
        struct
        {
            std::string bytes;
            const char *status;
        } const table[] = {
            {absl::StrCat("GET /", large, tail, "\r\n"), "431"},
            {absl::StrCat("GET /a", tail, large, ": 1\r\n\r\n"), "431"},
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
        checkServes(fleet);
    }
    // An announcement that a mutation left valid must not keep the right one out.
    const std::string oversized(2'000'000, ' ');
    const std::string response =
        exchangeBytes(fleet.running->adminAddress(),
                      "POST /v1/announce" + tail + length + std::to_string(oversized.size())
                          + "\r\n\r\n" + oversized);
    CHECK((response.empty() || response.starts_with("HTTP/1.1 4")));
    checkServes(fleet);
}

// Guards against a requester that blocks others by sending slowly, and against a request that is
// misread because its bytes come one at a time.
TEST_CASE("slow partial input leaves the daemon serving", "[daemon][input]")
{
    single_daemon fleet;
    const std::string request =
        "PUT /photos/records/slow HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
        "Connection: close\r\n\r\nbody";
    checkServes(fleet);
    for (const std::string &address :
         {fleet.running->callerAddress(), fleet.running->adminAddress(),
          fleet.running->peerAddress(), controlAddress(fleet)}) {
        std::vector<Poco::Net::StreamSocket> partial;
        for (size_t i = 0; i < 20; ++i) {
            partial.emplace_back(Poco::Net::SocketAddress(address));
            sendText(partial.back(), request.substr(0, i * 4));
        }
        checkServes(fleet);
    }
    Poco::Net::StreamSocket slow{Poco::Net::SocketAddress(fleet.running->callerAddress())};
    slow.setNoDelay(true);
    fleet.announce("first");
    for (const char byte : request) {
        sendText(slow, std::string(1, byte));
    }
    CHECK(readToEnd(slow).starts_with("HTTP/1.1 200"));
}

// Guards against a control message that ends or blocks the daemon.
TEST_CASE("faulty control input leaves the daemon serving", "[daemon][input]")
{
    single_daemon fleet;
    const std::string address = controlAddress(fleet);
    for (uint64_t seed = 1; seed <= inputsPerPort; ++seed) {
        input_mutator mutator(seed);
        std::string bytes(requesterGreeting);
        for (int i = 0; i < 8; ++i) {
            bytes += framed(mutator.next(controlRequests()));
        }
        if (seed % 8 == 0) {
            // An oversized length, and bytes that are no greeting.
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
    std::promise<bool> replied;
    (*client)->send(address, ping, milliseconds(60'000),
                    [&](const auto &reply) { replied.set_value(reply.ok() && reply->has_ping()); });
    CHECK(replied.get_future().get());
    checkServes(fleet);
}

// Guards against an object in the platform that ends the daemon or hides the valid ones.
TEST_CASE("faulty objects of the platform leave the daemon serving", "[daemon][input]")
{
    single_daemon fleet;
    const auto api = makeHttpObjectApi(fleet.platform.address(), milliseconds(60'000));
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
    uint64_t last = 0;
    uint64_t stored = 0;
    for (uint64_t seed = 1; seed <= inputsPerPort; ++seed) {
        input_mutator mutator(seed);
        const auto &[prefix, value] = valid[seed % valid.size()];
        // The platform itself refuses values that are no text.
        const auto version = api.put(prefix + std::to_string(seed), 0, mutator.next({value}));
        last = version.value_or(last);
        stored += version.ok() ? 1 : 0;
    }
    REQUIRE(stored > inputsPerPort / 3);
    waitFor([&] {
        const auto state = fleet.admin("GET", "/v1/state").body;
        const auto at = state.find("\"revision\":");
        return at != std::string::npos && std::stoull(state.substr(at + 11)) >= last;
    });
    checkServes(fleet);
}
