#include "persimmonrail/router/explain_endpoint.h"

#include <catch2/catch.hpp>

#include <future>
#include <vector>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const std::string good = "/v1/explain?host=h&path=/k/x";

explain_hooks makeHooks(proxy_reason rejected = proxy_reason::None)
{
    explain_hooks hooks;
    hooks.isStopping = [] { return false; };
    hooks.explain = [rejected](const explained_request &) {
        request_explanation result;
        result.table = std::make_shared<route_table>(
            7, std::vector<route>{{"k", "h", "/k/", true, 2000ms, 500ms, 0, 2, {{"keyed", 1}}}},
            std::vector<service_rule>{}, 1000ms);
        result.found = &result.table->routes()[0];
        if (rejected == proxy_reason::MissingKey) {
            result.services.emplace_back().rejections.push_back({rejected});
        } else {
            result.rejected.reason = rejected;
        }
        return result;
    };
    hooks.ages = [] { return explanation_ages{12ms, std::nullopt, std::nullopt}; };
    return hooks;
}

} // namespace

TEST_CASE("the query of an explanation is percent-decoded and validated", "[explain]")
{
    const auto parsed = parseExplainQuery(
        "method=POST&host=h.example%3A80&path=%2Fa%252Fb%3Fc%3D1%26d&key=65535&bytes=9&timeout=0");
    REQUIRE(parsed.ok());
    CHECK(parsed->method == "POST");
    CHECK(parsed->host == "h.example:80");
    CHECK(parsed->path == "/a%2Fb?c=1&d");
    CHECK(parsed->key == shard_key(65535));
    CHECK(parsed->bytes == 9);
    CHECK(parsed->timeout == 0ms);
    CHECK_FALSE(parseExplainQuery("host=h&path=/")->key.has_value());

    const std::string longPath = "host=h&path=/" + std::string(9000, 'a');
    for (const std::string &query : {std::string(),
                                     std::string("host=h"),
                                     std::string("path=/"),
                                     std::string("host=&path=/"),
                                     std::string("host=h&path=x"),
                                     std::string("host=h&path=/%zz"),
                                     std::string("host=h&path=/%0d%0aX:1"),
                                     std::string("host=a%20b&path=/"),
                                     std::string("host=h&path=/%00"),
                                     std::string("host=h&path=/&path=/a"),
                                     std::string("host=h&path=/&color=red"),
                                     std::string("host=h&path=/&key="),
                                     std::string("host=h&path=/&key=65536"),
                                     std::string("host=h&path=/&key=-1"),
                                     std::string("host=h&path=/&key=+1"),
                                     std::string("host=h&path=/&bytes=1e3"),
                                     std::string("host=h&path=/&bytes=99999999999999999999"),
                                     std::string("host=h&path=/&timeout=2s"),
                                     std::string("host=h&path=/&method="),
                                     std::string("host=h&path=/&method=G%20T"),
                                     std::string("host=h&path=/%ff"),
                                     longPath}) {
        CAPTURE(query);
        CHECK_FALSE(parseExplainQuery(query).ok());
        const explain_response response =
            explain_endpoint(makeHooks()).serve("GET", "/v1/explain?" + query);
        CHECK(response.status == 400);
        CHECK(response.body.find(R"("error":"bad-request")") != std::string::npos);
    }
}

TEST_CASE("each reason against an explanation has its status and word", "[explain]")
{
    using row = std::tuple<proxy_reason, int, std::string>;
    const auto [reason, status, word] = GENERATE(
        row{proxy_reason::NoDesiredState, 503, "no-desired-state"},
        row{proxy_reason::NoRoute, 404, "no-route"}, row{proxy_reason::Stopping, 503, "stopping"},
        row{proxy_reason::MissingKey, 400, "missing-key"});
    const explain_response response = explain_endpoint(makeHooks(reason)).serve("GET", good);
    CAPTURE(response.body);
    CHECK(response.status == status);
    CHECK(response.body.find("\"error\":\"" + word + "\"") != std::string::npos);
}

TEST_CASE("the endpoint serves GET on its path only, and nothing while the daemon stops",
          "[explain]")
{
    CHECK(explain_endpoint::isExplainUri("/v1/explain"));
    CHECK(explain_endpoint::isExplainUri(good));
    CHECK_FALSE(explain_endpoint::isExplainUri("/metrics"));
    CHECK_FALSE(explain_endpoint::isExplainUri("/v1/explainer?host=h"));
    explain_hooks hooks = makeHooks();
    CHECK(explain_endpoint(hooks).serve("POST", good).status == 405);
    CHECK(explain_endpoint(hooks).serve("GET", "/v1/explain").status == 400);
    const explain_response response = explain_endpoint(hooks).serve("GET", good);
    CHECK(response.status == 200);
    CHECK(response.body.find(R"("desired_state":{"age_ms":12,"version":7})") != std::string::npos);
    hooks.isStopping = [] { return true; };
    CHECK(explain_endpoint(hooks).serve("GET", good).status == 503);
}

// Guards against explanations that take the processor time of requests.
TEST_CASE("at most four explanations are served at the same time", "[explain]")
{
    std::promise<void> go;
    const std::shared_future<void> released = go.get_future().share();
    std::atomic<int> entered{0};
    explain_hooks hooks = makeHooks();
    hooks.explain = [&, explain = hooks.explain](const explained_request &request) {
        ++entered;
        released.wait();
        return explain(request);
    };
    explain_endpoint endpoint(hooks);
    std::vector<std::future<explain_response>> running;
    running.reserve(4);
    for (int i = 0; i < 4; ++i) {
        running.push_back(
            std::async(std::launch::async, [&] { return endpoint.serve("GET", good); }));
    }
    while (entered < 4) {
        std::this_thread::yield();
    }
    const explain_response fifth = endpoint.serve("GET", good);
    CHECK(fifth.status == 503);
    CHECK(fifth.body.find("\"busy\"") != std::string::npos);
    go.set_value();
    for (auto &response : running) {
        CHECK(response.get().status == 200);
    }
    CHECK(endpoint.serve("GET", good).status == 200);
}
