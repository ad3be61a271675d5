#include "persimmonrail/feed/relayed_watch.h"

#include "persimmonrail/http/http_server.h"
#include "persimmonrail/objects/object_version.h"

#include <catch2/catch.hpp>

#include <set>
#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

stored_object object(const std::string &name, uint64_t version)
{
    return {"fleet/" + name, version, false, "{}"};
}

// A relay, a follower of the relay, and the store that the follower can watch directly.
struct relay_fixture
{
    change_feed feed{7};
    std::unique_ptr<http_server> relay;
    std::vector<std::string> relays;
    std::vector<std::string> sources;
    std::vector<milliseconds> storeWaits;
    std::vector<milliseconds> pauses;
    std::vector<change_notice> notices;
    absl::StatusOr<object_list> storeResult = object_list{30, {}};
    milliseconds clockOffset{0};
    object_api follower;

    relay_fixture()
    {
        relay = std::move(*http_server::listen({}, [this](server_exchange &exchange) {
            exchange.respond(200,
                             serveChanges(feed, exchange.request().getURI(), bootNow(),
                                          std::chrono::steady_clock::now()),
                             "application/json");
        }));
        relays = {relay->address()};
        feed.reset({20, {object("a", 20)}});
        feed.confirm(bootNow() - 1s);
        object_api store;
        store.watch = [this](const std::string &, uint64_t, milliseconds wait) {
            storeWaits.push_back(wait);
            return storeResult;
        };
        relayed_watch_hooks hooks;
        hooks.relays = [this] { return relays; };
        hooks.onSourceChanged = [this](std::string_view source, const absl::Status &) {
            sources.emplace_back(source);
        };
        hooks.onNotice = [this](const change_notice &notice, boot_time) {
            notices.push_back(notice);
        };
        hooks.now = [this] { return std::chrono::steady_clock::now() + clockOffset; };
        hooks.pause = [this](milliseconds time) { pauses.push_back(time); };
        relayed_watch_options options;
        options.relayWaitTimeout = 0ms;
        follower = makeRelayedWatch(store, hooks, options);
    }
    ~relay_fixture() { feed.stop(); }
    absl::StatusOr<object_list> watch() { return follower.watch(fleetPrefix, 10, 20s); }
};

upstream_member makeMember(const std::string &name, const std::string &zone, int port,
                           bool isDraining = false)
{
    return {{name, 1}, "ledger", zone, "127.0.0.1:" + std::to_string(port), 9, isDraining, false};
}

std::shared_ptr<const fleet_directory> makeDirectory(const std::vector<upstream_member> &members,
                                                     const zone_set &evacuatedZones = {})
{
    fleet_directory_builder builder([](const std::string &, std::string_view) {});
    builder.setEvacuatedZones(evacuatedZones);
    uint64_t version = 0;
    for (const upstream_member &member : members) {
        builder.applyObject({memberKey(member.id.name), ++version, false, encodeMember(member)});
    }
    return builder.build();
}

} // namespace

// Load pattern: frequent changes of key owners end the waiting watches of all daemons. Followers of
// a relay send no request to the store.
TEST_CASE("followers of a relay send no requests to the store", "[feed]")
{
    relay_fixture fixture;
    REQUIRE(fixture.watch()->objects.size() == 1);
    for (uint64_t version = 21; version < 41; ++version) {
        fixture.feed.apply({version, {object("keys", version)}});
        const auto changes = fixture.watch();
        REQUIRE(changes.ok());
        CHECK(changes->revision == version);
        CHECK(changes->objects.size() == 1);
    }
    CHECK(fixture.watch()->age >= 1000ms);
    CHECK(fixture.storeWaits.empty());
    CHECK(fixture.sources == std::vector<std::string>{fixture.relay->address()});
}

// Guards against a follower that leaves its relay, and calls the store, because the store responded
// to the relay after the follower had asked.
TEST_CASE("a state that is newer than the request comes from the relay", "[feed]")
{
    relay_fixture fixture;
    fixture.feed.confirm(bootNow() + 1s);
    const auto changes = fixture.watch();
    REQUIRE(changes.ok());
    REQUIRE(changes->age);
    CHECK(*changes->age < 0ms);
    CHECK(fixture.storeWaits.empty());
}

// Guards against followers that learn of a change only from a response that was lost.
TEST_CASE("a relay tells its followers of changes that they read elsewhere", "[feed]")
{
    relay_fixture fixture;
    REQUIRE(fixture.watch().ok());
    CHECK(fixture.notices.empty());
    fixture.feed.notice("config/", 25, bootNow() - 3s);
    const auto changes = fixture.watch();
    REQUIRE(changes.ok());
    CHECK(changes->objects.empty());
    REQUIRE(fixture.notices.size() == 1);
    CHECK(fixture.notices[0].prefix == "config/");
    CHECK(fixture.notices[0].version == 25);
    CHECK(fixture.notices[0].age >= 3s);
    CHECK(fixture.notices[0].age < 5s);
    // An older version confirms nothing and takes nothing back.
    fixture.feed.notice("config/", 24, bootNow() - 5s);
    REQUIRE(fixture.watch().ok());
    REQUIRE(fixture.notices.size() == 2);
    CHECK(fixture.notices[1].version == 25);
    CHECK(fixture.notices[1].age < 5s);
}

// Guards against followers that hear of a newer change only when their wait ends.
TEST_CASE("a newer change that a relay notices ends the waits of its followers", "[feed]")
{
    change_feed feed(7);
    feed.reset({20, {object("a", 20)}});
    feed.confirm(bootNow());
    feed.notice("config/", 25, bootNow());
    const auto first = feed.changesAfter({}, 20, bootNow(), std::chrono::steady_clock::now());
    REQUIRE(first.ok());
    std::thread relay([&] {
        std::this_thread::sleep_for(50ms);
        feed.notice("config/", 26, bootNow());
    });
    const steady_time askedAt = std::chrono::steady_clock::now();
    const auto second = feed.changesAfter(first->cursor, 20, bootNow(), askedAt + 10s);
    relay.join();
    REQUIRE(second.ok());
    CHECK(std::chrono::steady_clock::now() - askedAt < 5s);
    REQUIRE(second->notices.size() == 1);
    CHECK(second->notices[0].version == 26);
    // A confirmation alone ends no wait.
    feed.notice("config/", 26, bootNow());
    const auto third =
        feed.changesAfter(second->cursor, 20, bootNow(), std::chrono::steady_clock::now() + 20ms);
    REQUIRE(third.ok());
    CHECK(third->cursor == second->cursor);
}

TEST_CASE("a follower whose relay fails watches the store and returns to a relay later", "[feed]")
{
    relay_fixture fixture;
    fixture.feed.stop();
    SECTION("the relay does not receive changes from the store") { }
    SECTION("the relay is unreachable")
    {
        fixture.relays = {"127.0.0.1:1"};
    }
    const auto changes = fixture.watch();
    CHECK(changes->revision == 30);
    CHECK(changes->age == 0ms);
    CHECK(fixture.sources == std::vector<std::string>{"store"});
    // The wait is short, since each response renews leases.
    CHECK(fixture.storeWaits == std::vector<milliseconds>{1500ms});
    CHECK(fixture.watch().ok());
    CHECK(fixture.storeWaits.size() == 2);
    relay_fixture other;
    fixture.relays = {other.relay->address()};
    CHECK(fixture.watch()->revision == 20);
}

// Guards against a follower that keeps the content from before a restore of the store, whose
// revisions are lower.
TEST_CASE("a follower lists the store after a restore, then follows its relay again", "[feed]")
{
    relay_fixture fixture;
    REQUIRE(fixture.watch().ok());
    const uint64_t listed = makeVersion(2, 15);
    fixture.feed.reset({listed, {object("a", makeVersion(2, 12))}});
    CHECK(absl::IsOutOfRange(fixture.watch().status()));
    const auto unchanged = fixture.follower.watch(fleetPrefix, listed, 20s);
    REQUIRE(unchanged.ok());
    CHECK(unchanged->objects.empty());
    CHECK(unchanged->revision == listed);
    const uint64_t version = makeVersion(2, 16);
    fixture.feed.apply({version, {object("a", version)}});
    const auto changes = fixture.follower.watch(fleetPrefix, listed, 20s);
    REQUIRE(changes.ok());
    REQUIRE(changes->objects.size() == 1);
    CHECK(changes->objects[0].version == version);
    CHECK(fixture.storeWaits.empty());
}

// Load pattern: many changes in a short time reach a daemon that watches the store in few
// responses.
TEST_CASE("changes in quick succession arrive in one response", "[feed]")
{
    relay_fixture fixture;
    fixture.relays.clear();
    fixture.storeResult = object_list{31, {object("keys", 31)}};
    CHECK(fixture.watch().ok());
    CHECK(fixture.pauses.empty());
    CHECK(fixture.watch().ok());
    REQUIRE(fixture.pauses.size() == 1);
    CHECK(fixture.pauses[0] > 100ms);
    fixture.clockOffset = 10s;
    CHECK(fixture.watch().ok());
    CHECK(fixture.pauses.size() == 1);
}

TEST_CASE("errors of the store are returned to the watcher", "[feed]")
{
    relay_fixture fixture;
    fixture.relays.clear();
    fixture.storeResult = absl::OutOfRangeError("gone");
    CHECK(absl::IsOutOfRange(fixture.watch().status()));
}

TEST_CASE("malformed requests for changes receive an error response", "[feed]")
{
    change_feed feed(7);
    const std::string query = GENERATE("?feed=x", "?feed=1&position=-1", "?revision=1e9",
                                       "?wait_ms=99999999999999999999999", "?%zz");
    const std::string response =
        serveChanges(feed, changesPath + query, bootNow(), std::chrono::steady_clock::now());
    CHECK(response.find("\"code\":3") != std::string::npos);
}

// Load pattern: a relay sends each change of a large placement to 25 followers at once, several
// times a second. A host with 0.1 of a processor and a link of 15 Mbit/s has too little of both for
// this load; every zone has hosts with more capacity.
TEST_CASE("the hosts with the most capacity in an availability zone are its relays", "[feed]")
{
    upstream_member weak = makeMember("a", "nord", 1);
    weak.host = {0.1, 15};
    upstream_member strong = makeMember("b", "nord", 2);
    strong.host = {0.5, 200};
    upstream_member slowLink = makeMember("c", "nord", 3);
    slowLink.host = {0.5, 15};
    const upstream_member unknown = makeMember("d", "nord", 4);
    const auto directory = makeDirectory({weak, strong, slowLink, unknown});
    CHECK(selectRelayAddresses(*directory, "nord", "127.0.0.1:1")
          == std::vector<std::string>{"127.0.0.1:2"});
    CHECK(selectRelayAddresses(*directory, "nord", "127.0.0.1:2").empty());
    strong.isDraining = true;
    const auto updatedDirectory = makeDirectory({weak, strong, slowLink, unknown});
    CHECK(selectRelayAddresses(*updatedDirectory, "nord", "127.0.0.1:1")
          == std::vector<std::string>{"127.0.0.1:3"});
}

// Guards against a zone without relays, whose daemons all watch the store while the zone is
// evacuated.
TEST_CASE("an evacuated zone keeps its relays", "[feed]")
{
    const std::vector<upstream_member> members{makeMember("a", "nord", 1),
                                               makeMember("b", "nord", 2)};
    const auto directory = makeDirectory(members, {"nord"});
    REQUIRE(directory->findMember("a")->member.isDraining);
    CHECK(selectRelayAddresses(*directory, "nord", "127.0.0.1:2")
          == std::vector<std::string>{"127.0.0.1:1"});
}

TEST_CASE("hosts with equal capacity become relays in the order of their names", "[feed]")
{
    const auto directory =
        makeDirectory({makeMember("a", "nord", 1, true), makeMember("b", "nord", 2),
                       makeMember("c", "nord", 3), makeMember("d", "sued", 4)});
    CHECK(selectRelayAddresses(*directory, "nord", "127.0.0.1:3")
          == std::vector<std::string>{"127.0.0.1:2"});
    CHECK(selectRelayAddresses(*directory, "nord", "127.0.0.1:2").empty());
    CHECK(selectRelayAddresses(*directory, "sued", "127.0.0.1:4").empty());
    CHECK(selectRelayAddresses(*directory, "mitte", "127.0.0.1:9").empty());
    std::vector<upstream_member> members;
    members.reserve(130);
    for (int i = 0; i < 130; ++i) {
        members.push_back(makeMember("m" + std::to_string(1000 + i), "nord", 1000 + i));
    }
    const auto large = makeDirectory(members);
    std::set<std::string> firstRelays;
    for (int i = 3; i < 130; ++i) {
        const auto relays =
            selectRelayAddresses(*large, "nord", "127.0.0.1:" + std::to_string(1000 + i));
        REQUIRE(relays.size() == 3);
        firstRelays.insert(relays[0]);
    }
    CHECK(firstRelays.size() == 3);
}
