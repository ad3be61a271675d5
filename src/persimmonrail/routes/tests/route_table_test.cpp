#include "persimmonrail/routes/route_table.h"

#include <catch2/catch.hpp>

#include <map>

using namespace persimmonrail;

namespace {

route makeRoute(const std::string &name, const std::string &host, const std::string &prefix)
{
    route made;
    made.name = name;
    made.host = host;
    made.pathPrefix = prefix;
    made.trafficShares = {{"ledger", 1}};
    return made;
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

// Guards against a request that runs under the rules of another route.
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

TEST_CASE("services are found by name", "[routes]")
{
    const route_table routes = makeTable();
    REQUIRE(routes.findService("haulbook") != nullptr);
    CHECK(routes.findService("haulbook")->isKeyed);
    CHECK(routes.findService("none") == nullptr);
}

// Guards against parts that get another share than their weight says.
TEST_CASE("parts of a route are chosen by weight", "[routes]")
{
    route split = makeRoute("split", "a.example", "/");
    split.trafficShares = {{"old", 90}, {"new", 10}, {"off", 0}};
    std::map<std::string, int> chosen;
    for (uint64_t draw = 0; draw < 1000; ++draw) {
        ++chosen[chooseTrafficShare(split, draw).service];
    }
    CHECK(chosen == std::map<std::string, int>{{"old", 900}, {"new", 100}});
    split.trafficShares = {{"only", 0}};
    CHECK(chooseTrafficShare(split, 5).service == "only");
}
