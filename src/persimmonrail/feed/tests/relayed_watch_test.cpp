#include "persimmonrail/feed/relayed_watch.h"

#include "persimmonrail/http/http_server.h"

#include <catch2/catch.hpp>

#include <set>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

stored_object object(const std::string &name, uint64_t version)
{
    return {"fleet/" + name, version, false, "{}"};
}

// A relay, a follower of it, and the store that the follower can watch itself.
struct relay_site
{
    change_feed feed{7};
    std::unique_ptr<http_server> relay;
    std::vector<std::string> relays;
    std::vector<std::string> sources;
    std::vector<milliseconds> storeWaits;
    std::vector<milliseconds> pauses;
    absl::StatusOr<object_list> storeResult = object_list{30, {}};
    int confirmations = 0;
    milliseconds passed{0};
    object_api follower;

    relay_site()
    {
        relay = std::move(*http_server::listen({}, [this](server_exchange &exchange) {
            exchange.respond(
                200,
                serveChanges(feed, exchange.request().getURI(), std::chrono::steady_clock::now()),
                "application/json");
        }));
        relays = {relay->address()};
        feed.reset({20, {object("a", 20)}});
        feed.confirm(std::chrono::steady_clock::now());
        object_api store;
        store.watch = [this](const std::string &, uint64_t, milliseconds wait) {
            storeWaits.push_back(wait);
            return storeResult;
        };
        relayed_watch_hooks hooks;
        hooks.relays = [this] { return relays; };
        hooks.onDirectResponse = [this](steady_time) { ++confirmations; };
        hooks.onSource = [this](std::string_view source, const absl::Status &) {
            sources.emplace_back(source);
        };
        hooks.now = [this] { return std::chrono::steady_clock::now() + passed; };
        hooks.pause = [this](milliseconds time) { pauses.push_back(time); };
        relayed_watch_options options;
        options.relayWait = 0ms;
        follower = makeRelayedWatch(store, hooks, options);
    }
    ~relay_site() { feed.stop(); }
    absl::StatusOr<object_list> watch() { return follower.watch(fleetPrefix, 10, 20s); }
};

upstream_member member(const std::string &name, const std::string &zone, int port,
                       bool isDraining = false)
{
    return {{name, 1}, "ledger", zone, "127.0.0.1:" + std::to_string(port), 9, isDraining, false};
}

std::shared_ptr<const fleet_directory> directoryOf(const std::vector<upstream_member> &members)
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    uint64_t version = 0;
    for (const upstream_member &known : members) {
        builder.applyOne({memberKey(known.id.name), ++version, false, encodeMember(known)});
    }
    return builder.build();
}

} // namespace

// Load pattern: frequent changes of key owners wake the watches of all daemons. Followers of a
// relay make no call to the store at all.
TEST_CASE("followers of a relay spare the store", "[feed]")
{
    relay_site site;
    REQUIRE(site.watch()->objects.size() == 1);
    for (uint64_t version = 21; version < 41; ++version) {
        site.feed.apply({version, {object("keys", version)}});
        const auto changes = site.watch();
        REQUIRE(changes.ok());
        CHECK(changes->revision == version);
        CHECK(changes->objects.size() == 1);
    }
    CHECK(site.storeWaits.empty());
    CHECK(site.sources == std::vector<std::string>{site.relay->address()});
}

TEST_CASE("a follower whose relay fails watches the store and returns later", "[feed]")
{
    relay_site site;
    site.feed.stop();
    SECTION("the relay does not follow the store") { }
    SECTION("the relay can't be reached")
    {
        site.relays = {"127.0.0.1:1"};
    }
    CHECK(site.watch()->revision == 30);
    CHECK(site.confirmations == 1);
    CHECK(site.sources == std::vector<std::string>{"store"});
    // The wait is short, so that the daemon notices when it is cut off, and finds its relay again.
    CHECK(site.storeWaits == std::vector<milliseconds>{5000ms});
    CHECK(site.watch().ok());
    CHECK(site.storeWaits.size() == 2);
    relay_site other;
    site.relays = {other.relay->address()};
    CHECK(site.watch()->revision == 20);
}

// Load pattern: many changes within a moment reach a daemon that watches the store in few answers.
TEST_CASE("changes that follow each other are gathered", "[feed]")
{
    relay_site site;
    site.relays.clear();
    site.storeResult = object_list{31, {object("keys", 31)}};
    CHECK(site.watch().ok());
    CHECK(site.pauses.empty());
    CHECK(site.watch().ok());
    REQUIRE(site.pauses.size() == 1);
    CHECK(site.pauses[0] > 100ms);
    site.passed = 10s;
    CHECK(site.watch().ok());
    CHECK(site.pauses.size() == 1);
}

TEST_CASE("faults of the store reach the watcher", "[feed]")
{
    relay_site site;
    site.relays.clear();
    site.storeResult = absl::OutOfRangeError("gone");
    CHECK(absl::IsOutOfRange(site.watch().status()));
    CHECK(site.confirmations == 0);
}

TEST_CASE("malformed requests for changes are answered with an error", "[feed]")
{
    change_feed feed(7);
    const std::string query = GENERATE("?feed=x", "?feed=1&position=-1", "?revision=1e9",
                                       "?wait_ms=99999999999999999999999", "?%zz");
    const std::string response =
        serveChanges(feed, changesPath + query, std::chrono::steady_clock::now());
    CHECK(response.find("\"code\":3") != std::string::npos);
}

// Load pattern: a change of a large placement goes to 25 followers at once, several times a second.
// A host with 0.1 of a processor and 15 Mbit/s has neither for that; every zone has stronger ones.
TEST_CASE("the strongest hosts of an availability zone are its relays", "[feed]")
{
    upstream_member weak = member("a", "nord", 1);
    weak.host = {0.1, 15};
    upstream_member strong = member("b", "nord", 2);
    strong.host = {0.5, 200};
    upstream_member narrow = member("c", "nord", 3);
    narrow.host = {0.5, 15};
    const upstream_member unknown = member("d", "nord", 4);
    const auto directory = directoryOf({weak, strong, narrow, unknown});
    CHECK(relaysFor(*directory, "nord", "127.0.0.1:1") == std::vector<std::string>{"127.0.0.1:2"});
    CHECK(relaysFor(*directory, "nord", "127.0.0.1:2").empty());
    strong.isDraining = true;
    const auto later = directoryOf({weak, strong, narrow, unknown});
    CHECK(relaysFor(*later, "nord", "127.0.0.1:1") == std::vector<std::string>{"127.0.0.1:3"});
}

TEST_CASE("the first members of an availability zone are its relays", "[feed]")
{
    const auto directory = directoryOf({member("a", "nord", 1, true), member("b", "nord", 2),
                                        member("c", "nord", 3), member("d", "sued", 4)});
    CHECK(relaysFor(*directory, "nord", "127.0.0.1:3") == std::vector<std::string>{"127.0.0.1:2"});
    CHECK(relaysFor(*directory, "nord", "127.0.0.1:2").empty());
    CHECK(relaysFor(*directory, "sued", "127.0.0.1:4").empty());
    CHECK(relaysFor(*directory, "mitte", "127.0.0.1:9").empty());
    std::vector<upstream_member> many;
    many.reserve(130);
    for (int i = 0; i < 130; ++i) {
        many.push_back(member("m" + std::to_string(1000 + i), "nord", 1000 + i));
    }
    const auto large = directoryOf(many);
    std::set<std::string> first;
    for (int i = 3; i < 130; ++i) {
        const auto relays = relaysFor(*large, "nord", "127.0.0.1:" + std::to_string(1000 + i));
        REQUIRE(relays.size() == 3);
        first.insert(relays[0]);
    }
    CHECK(first.size() == 3);
}
