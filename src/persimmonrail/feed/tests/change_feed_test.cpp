#include "persimmonrail/feed/change_feed.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

constexpr uint64_t feedId = 7;

stored_object object(const std::string &name, uint64_t version)
{
    return {"fleet/" + name, version, false, "{\"v\":" + std::to_string(version) + "}"};
}

std::vector<std::string> keysOf(const feed_changes &changes)
{
    std::vector<std::string> keys;
    for (const stored_object &changed : changes.changes.objects) {
        keys.push_back(changed.key);
    }
    return keys;
}

struct followed_feed
{
    steady_time now = std::chrono::steady_clock::now();
    change_feed feed{feedId};

    followed_feed()
    {
        feed.reset({10, {object("a", 3), object("b", 9)}});
        feed.confirm(now);
    }
    absl::StatusOr<feed_changes> read(const feed_cursor &cursor, uint64_t revision = 0)
    {
        return feed.changesAfter(cursor, revision, now, now);
    }
};

} // namespace

TEST_CASE("a follower gets what is newer than its list, then each change once", "[feed]")
{
    followed_feed site;
    const auto first = site.read({}, 5);
    REQUIRE(first.ok());
    CHECK(keysOf(*first) == std::vector<std::string>{"fleet/b"});
    CHECK(first->changes.revision == 10);
    const auto nothing = site.read(first->cursor);
    REQUIRE(nothing.ok());
    CHECK(nothing->changes.objects.empty());
    site.feed.apply({12, {object("a", 11)}});
    // An older version of an object that is known newer changes nothing.
    site.feed.applyOne(object("b", 8));
    const auto second = site.read(nothing->cursor);
    REQUIRE(second.ok());
    CHECK(keysOf(*second) == std::vector<std::string>{"fleet/a"});
    CHECK(second->changes.revision == 12);
}

// Guards against changes that are skipped: a daemon knows its own write before the store's watch
// has told it of earlier ones.
TEST_CASE("a single object does not advance the revision of the feed", "[feed]")
{
    followed_feed site;
    const auto cursor = site.read({}, 10)->cursor;
    site.feed.applyOne(object("a", 15));
    const auto own = site.read(cursor);
    REQUIRE(own.ok());
    CHECK(keysOf(*own) == std::vector<std::string>{"fleet/a"});
    CHECK(own->changes.revision == 10);
    site.feed.apply({15, {object("b", 13), object("a", 15)}});
    const auto earlier = site.read(own->cursor);
    CHECK(keysOf(*earlier) == std::vector<std::string>{"fleet/b"});
    CHECK(earlier->changes.revision == 15);
}

TEST_CASE("a follower waits for the next change", "[feed]")
{
    followed_feed site;
    const auto cursor = site.read({}, 10)->cursor;
    std::thread writer([&] { site.feed.apply({11, {object("a", 11)}}); });
    const auto changes = site.feed.changesAfter(cursor, 0, site.now, site.now + 20s);
    writer.join();
    REQUIRE(changes.ok());
    CHECK(keysOf(*changes) == std::vector<std::string>{"fleet/a"});
}

// Guards against followers that keep an old view because their relay is cut off from the store.
TEST_CASE("a feed that the store no longer confirms gives nothing out", "[feed]")
{
    followed_feed site;
    const auto cursor = site.read({}, 10)->cursor;
    site.now += 6s;
    CHECK(site.read(cursor).ok());
    site.now += 2s;
    CHECK(absl::IsUnavailable(site.read(cursor).status()));
    CHECK(absl::IsUnavailable(site.read({}, 0).status()));
    site.feed.confirm(site.now);
    CHECK(site.read(cursor).ok());
    site.feed.stop();
    CHECK(absl::IsUnavailable(site.read(cursor).status()));
}

TEST_CASE("followers list the store where single changes can't tell", "[feed]")
{
    followed_feed site;
    const auto cursor = site.read({}, 10)->cursor;
    SECTION("the cursor is of another feed")
    {
        CHECK(absl::IsOutOfRange(site.read({feedId + 5, 1}).status()));
    }
    SECTION("an object was deleted")
    {
        stored_object deleted = object("a", 11);
        deleted.deleted = true;
        site.feed.apply({11, {deleted}});
        CHECK(absl::IsOutOfRange(site.read(cursor).status()));
    }
    SECTION("an object is missing in a list")
    {
        site.feed.reset({11, {object("b", 9)}});
        CHECK(absl::IsOutOfRange(site.read(cursor).status()));
    }
    // An object that was written after the list was read is no removal.
    SECTION("an object is newer than the list")
    {
        site.feed.applyOne(object("c", 20));
        site.feed.reset({11, {object("a", 3), object("b", 9)}});
        CHECK(site.read(cursor).ok());
    }
}
