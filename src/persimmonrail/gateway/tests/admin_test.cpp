#include "test_fleet.h"

#include <catch2/catch.hpp>

using namespace persimmonrail;

// Guards against responses of the admin port with a wrong status or text, which scripts and health
// probes would misinterpret.
TEST_CASE("the admin port serves its resources", "[gateway]")
{
    test_fleet fleet;
    auto &owner = fleet.add("owner");
    owner.holdsLease = true;
    fleet.setPlacement("owner");
    std::string notReady = "no platform state yet";
    std::vector<std::string> announced;
    admin_hooks hooks;
    hooks.announce = [&](const upstream_announcement &announcement) {
        announced.push_back(announcement.instance);
        return announced.size() < 2 ? absl::OkStatus() : absl::FailedPreconditionError("other");
    };
    hooks.renderMetrics = [&] { return owner.counters.renderText(); };
    hooks.notReadyReason = [&] { return notReady; };
    hooks.explain = [&](const std::string &service, const std::string &key) {
        return owner.router->explain(service, key, std::chrono::steady_clock::now());
    };
    hooks.state = [] { return std::string("{\"state\":1}"); };
    auto admin = admin_server::listen({}, hooks);
    REQUIRE(admin.ok());
    const std::string announcement = encodeAnnouncement(owner.standin->announcement());
    call(owner.callerServer->address(), "GET", "/standin/records/k");
    // Destroying the server waits for its requests, which update the counters after the response
    // has been sent.
    owner.callerServer.reset();
    struct
    {
        const char *method;
        const char *uri;
        std::string body;
        int status;
        const char *text;
    } const table[] = {
        {"GET", "/healthz", "", 200, "ok"},
        {"GET", "/readyz", "", 503, "no platform state yet"},
        {"GET", "/metrics", "", 200,
         "persimmonrail_answers_total{service=\"standin\",outcome=\"run\""},
        {"GET", "/v1/state", "", 200, "{\"state\":1}"},
        {"GET", "/v1/explain?service=standin&key=k", "", 200, "\"held_by\":\"owner\""},
        {"GET", "/v1/explain?service=standin", "", 400, "required"},
        {"GET", "/v1/nosuch", "", 404, "error"},
        {"GET", "/%zz", "", 400, "error"},
        {"POST", "/v1/announce", announcement, 200, "{}"},
        {"POST", "/v1/announce", announcement, 409, "other"},
        {"POST", "/v1/announce", "{}", 400, "service"},
        {"POST", "/v1/announce", std::string(20'000, ' '), 413, "too-large"},
    };
    for (const auto &row : table) {
        CAPTURE(row.method, row.uri);
        const caller_response response = call((*admin)->address(), row.method, row.uri, row.body);
        CHECK(response.status == row.status);
        CAPTURE(response.body);
        CHECK(response.body.find(row.text) != std::string::npos);
    }
    notReady.clear();
    CHECK(call((*admin)->address(), "GET", "/readyz").status == 200);
    CHECK(announced.size() == 2);
}
