#include "daemon_fixture.h"

#include "persimmonrail/base/header_names.h"
#include "persimmonrail/objects/http_object_api.h"

#include <Poco/Net/HTTPClientSession.h>
#include <Poco/StreamCopier.h>

#include <catch2/catch.hpp>

#include <thread>

namespace persimmonrail {
namespace {

constexpr std::chrono::minutes testTimeout{1};
constexpr char document[] = R"({
  "service": "photos",
  "ranks": [{"name": "urgent", "target_ms": 50, "worth": 1, "floor": 0.5}],
  "operations": [{"name": "write", "method": "PUT", "path_prefix": "/records", "rank": "urgent",
                  "timeout_ms": 60000, "repeatable": true},
                 {"name": "read", "method": "GET", "path_prefix": "/records", "rank": "urgent",
                  "timeout_ms": 60000, "repeatable": true}]
})";

simple_response send(const std::string &address, const std::string &method, const std::string &uri,
                     const std::string &body,
                     const std::vector<std::pair<std::string, std::string>> &fields)
{
    Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(address)};
    session.setTimeout(Poco::Timespan(60, 0));
    Poco::Net::HTTPRequest request(method, uri, Poco::Net::HTTPMessage::HTTP_1_1);
    for (const auto &[name, value] : fields) {
        request.add(name, value);
    }
    request.setContentLength(static_cast<std::streamsize>(body.size()));
    session.sendRequest(request) << body << std::flush;
    Poco::Net::HTTPResponse head;
    simple_response response;
    Poco::StreamCopier::copyToString(session.receiveResponse(head), response.body);
    response.status = head.getStatus();
    return response;
}

} // namespace

void waitFor(const std::function<bool()> &condition)
{
    const auto deadline = std::chrono::steady_clock::now() + testTimeout;
    while (!condition()) {
        REQUIRE(std::chrono::steady_clock::now() < deadline);
        std::this_thread::sleep_for(milliseconds(5));
    }
}

daemon_fixture::daemon_fixture(const std::function<void(daemon_settings &)> &configure)
{
    settings.instance = "photos-0";
    settings.region = "region";
    settings.availabilityZone = "zone";
    settings.service = "photos";
    for (auto *address : {&settings.callerAddress, &settings.peerAddress, &settings.controlAddress,
                          &settings.adminAddress}) {
        *address = "127.0.0.1:0";
    }
    settings.platformAddress = platform.address();
    settings.logLevel = "error";
    if (configure) {
        configure(settings);
    }
    auto api = makeHttpObjectApi(platform.address(), testTimeout);
    REQUIRE(api.put("config/photos", 0, document).ok());
    upstream_standin_options options;
    options.service = "photos";
    options.instance = settings.instance;
    options.checksGrants = false;
    upstream = *upstream_standin::start(options);
    upstream->setCrash([] {});
    runningDaemon = *daemon::start(settings);
    waitFor([&] {
        announce("first");
        return api.get("accepted/photos").ok();
    });
}

void daemon_fixture::announce(const std::string &bootId, bool draining)
{
    auto announcement = upstream->announcement();
    announcement.bootId = bootId;
    announcement.draining = draining;
    REQUIRE(sendAdminRequest("POST", "/v1/announce", encodeAnnouncement(announcement)).status / 100
            == 2);
}

simple_response
daemon_fixture::sendRequest(const std::string &method, const std::string &uri,
                            const std::string &body, const std::string &bootId,
                            const std::vector<std::pair<std::string, std::string>> &fields)
{
    simple_response response;
    waitFor([&] {
        announce(bootId);
        response = send(runningDaemon->callerAddress(), method, uri, body, fields);
        for (const char *reason : {"unknown-service", "no-instance", "upstream-down"}) {
            if (response.body.find(reason) != std::string::npos) {
                return false;
            }
        }
        return true;
    });
    return response;
}

simple_response daemon_fixture::sendForwardedRequest(const std::string &method,
                                                     const std::string &uri)
{
    return send(runningDaemon->peerAddress(), method, uri, "",
                {{requestIdHeader, "forwarded"}, {deadlineHeader, "30000"}});
}

simple_response daemon_fixture::sendAdminRequest(const std::string &method, const std::string &uri,
                                                 const std::string &body)
{
    return send(runningDaemon->adminAddress(), method, uri, body, {});
}

} // namespace persimmonrail
