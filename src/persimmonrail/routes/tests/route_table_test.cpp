#include "persimmonrail/routes/route_table.h"

#include <catch2/catch.hpp>

#include <map>

using namespace persimmonrail;

namespace {

route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    route result;
    result.name = name;
    result.host = host;
    result.pathPrefix = prefix;
    result.trafficShares = {{"ledger", 1}};
    return result;
}

route_table makeTable()
{
    return {7,
            {makeRoute("short", "a.example", "/x/"), makeRoute("long", "a.example", "/x/y/"),
             makeRoute("other", "b.example", "/x/")},
            {{"ledger", false, 10, "/health"}, {"haulbook", true, 10, "/health"}},
            milliseconds(15000)};
}

} // namespace

// Guards against a request that is handled by the rules of another route.
TEST_CASE("the longest prefix of the host selects the route", "[routes]")
{
    const auto [host, path, expected] = GENERATE(table<std::string, std::string, std::string>({
        {"a.example", "/x/1", "short"},
        {"a.example", "/x/y/1", "long"},
        {"a.example", "/x/y", "short"},
        {"A.Example:8080", "/x/y/?q=/x/", "long"},
        {"b.example", "/x/y/1", "other"},
        {"b.example", "/z/", ""},
        {"b.example", "/x?y=/x/", ""},
        {"c.example", "/x/", ""},
        {"", "", ""},
    }));
    const route_table routes = makeTable();
    const route *found = routes.find(host, path);
    CHECK((found == nullptr ? std::string() : found->name) == expected);
}

// Guards against a request that the upstream reads as one of another route, since it decodes the
// path or resolves dot segments.
TEST_CASE("a path that other readers find on another route has no single route", "[routes]")
{
    const auto [path, expected] = GENERATE(table<std::string, bool>({
        {"/x/1", true},
        {"/x/1?q=/../%zz", true},
        {"/x/a%20b", true},
        {"/x/a//b", true},
        {"/x/a/../b", true},
        {"/x/y/../../x/1", false},
        {"/x/./y/1", false},
        {"/x/%79/1", false},
        {"/x/y%2F1", false},
        {"/x//y/1", false},
        {"/x/%2e%2E/z/", false},
        {"/x/%2", false},
        {"/x/%zz", false},
        {"/x/y/..", false},
        {"/x/y/../", false},
    }));
    CAPTURE(path);
    CHECK(makeTable().hasOneRoute("a.example", path) == expected);
}

// Guards against a request that is cancelled or run twice, although the upstream reads it as one of
// a route whose requests must run once.
TEST_CASE("only a request of one repeatable route is repeatable", "[routes]")
{
    const auto [path, expected] = GENERATE(table<std::string, bool>({
        {"/x/1", true},
        {"/x/y/1", false},
        {"/x/%79/1", false},
        {"/z/", false},
    }));
    CAPTURE(path);
    std::vector<route> routes = {makeRoute("once", "a.example", "/x/y/"),
                                 makeRoute("repeatable", "a.example", "/x/")};
    routes.back().repeatable = true;
    const route_table table(1, routes, {}, milliseconds(15000));
    CHECK(table.isRepeatable("a.example", path) == expected);
}

TEST_CASE("services are found by name", "[routes]")
{
    const route_table routes = makeTable();
    REQUIRE(routes.findService("haulbook") != nullptr);
    CHECK(routes.findService("haulbook")->isKeyed);
    CHECK(routes.findService("none") == nullptr);
}

// Guards against services that get a share of requests other than the share of their weight.
TEST_CASE("traffic shares of a route are chosen by weight", "[routes]")
{
    route split = makeRoute("split", "a.example", "/");
    split.trafficShares = {{"old", 90}, {"new", 10}, {"off", 0}};
    std::map<std::string, int> chosen;
    for (uint64_t randomValue = 0; randomValue < 1000; ++randomValue) {
        ++chosen[chooseTrafficShare(split, randomValue).service];
    }
    CHECK(chosen == std::map<std::string, int>{{"old", 900}, {"new", 100}});
    split.trafficShares = {{"only", 0}};
    CHECK(chooseTrafficShare(split, 5).service == "only");
}
