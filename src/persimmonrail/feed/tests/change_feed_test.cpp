#include "persimmonrail/feed/change_feed.h"
#include "persimmonrail/objects/object_version.h"

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

std::vector<std::string> changedKeys(const feed_changes &changes)
{
    std::vector<std::string> keys;
    for (const stored_object &changed : changes.changes.objects) {
        keys.push_back(changed.key);
    }
    return keys;
}

struct feed_fixture
{
    boot_time now = std::chrono::hours(1);
    change_feed feed{feedId};

    feed_fixture()
    {
        feed.reset({10, {object("a", 3), object("b", 9)}});
        feed.confirm(now);
    }
    absl::StatusOr<feed_changes> read(const feed_cursor &cursor, uint64_t revision = 0)
    {
        return feed.changesAfter(cursor, revision, now, std::chrono::steady_clock::now());
    }
};

} // namespace

TEST_CASE("a follower receives the objects newer than its list, then each change once", "[feed]")
{
    feed_fixture fixture;
    const auto first = fixture.read({}, 5);
    REQUIRE(first.ok());
    CHECK(changedKeys(*first) == std::vector<std::string>{"fleet/b"});
    CHECK(first->changes.revision == 10);
    const auto unchanged = fixture.read(first->cursor);
    REQUIRE(unchanged.ok());
    CHECK(unchanged->changes.objects.empty());
    fixture.feed.apply({12, {object("a", 11)}});
    // The feed ignores a version that is older than its own version of the object.
    fixture.feed.applyObject(object("b", 8));
    const auto second = fixture.read(unchanged->cursor);
    REQUIRE(second.ok());
    CHECK(changedKeys(*second) == std::vector<std::string>{"fleet/a"});
    CHECK(second->changes.revision == 12);
}

// Guards against skipped changes: a daemon applies its own write before the store's watch has
// returned earlier changes.
TEST_CASE("a single object does not advance the revision of the feed", "[feed]")
{
    feed_fixture fixture;
    const auto cursor = fixture.read({}, 10)->cursor;
    fixture.feed.applyObject(object("a", 15));
    const auto own = fixture.read(cursor);
    REQUIRE(own.ok());
    CHECK(changedKeys(*own) == std::vector<std::string>{"fleet/a"});
    CHECK(own->changes.revision == 10);
    fixture.feed.apply({15, {object("b", 13), object("a", 15)}});
    const auto earlier = fixture.read(own->cursor);
    CHECK(changedKeys(*earlier) == std::vector<std::string>{"fleet/b"});
    CHECK(earlier->changes.revision == 15);
}

TEST_CASE("a follower waits for the next change", "[feed]")
{
    feed_fixture fixture;
    const auto cursor = fixture.read({}, 10)->cursor;
    std::thread writer([&] { fixture.feed.apply({11, {object("a", 11)}}); });
    const auto changes =
        fixture.feed.changesAfter(cursor, 0, fixture.now, std::chrono::steady_clock::now() + 20s);
    writer.join();
    REQUIRE(changes.ok());
    CHECK(changedKeys(*changes) == std::vector<std::string>{"fleet/a"});
}

// Guards against followers that keep an outdated view because their relay cannot reach the store.
TEST_CASE("a feed without a recent response from the store returns no changes", "[feed]")
{
    feed_fixture fixture;
    const auto cursor = fixture.read({}, 10)->cursor;
    fixture.now += 6s;
    CHECK(fixture.read(cursor).ok());
    fixture.now += 2s;
    CHECK(absl::IsUnavailable(fixture.read(cursor).status()));
    CHECK(absl::IsUnavailable(fixture.read({}, 0).status()));
    fixture.feed.confirm(fixture.now);
    CHECK(fixture.read(cursor).ok());
    fixture.feed.stop();
    CHECK(absl::IsUnavailable(fixture.read(cursor).status()));
}

// Guards against leases that a follower renews by what the store held earlier: the age of the
// changes must be counted from the arrival of the follower's call, whenever the feed responds.
TEST_CASE("changes tell how old they are", "[feed]")
{
    feed_fixture fixture;
    const auto cursor = fixture.read({}, 10)->cursor;
    fixture.now += 1500ms;
    CHECK(fixture.read(cursor)->changes.age == 1500ms);
    fixture.now += 1ns;
    CHECK(fixture.read(cursor)->changes.age == 1501ms);
    // The store has responded while the call was waiting.
    fixture.feed.confirm(fixture.now + 200ms);
    CHECK(fixture.read(cursor)->changes.age == -200ms);
    // A response that arrives late doesn't make the feed older.
    fixture.feed.confirm(fixture.now - 3s);
    CHECK(fixture.read(cursor)->changes.age == -200ms);
}

TEST_CASE("followers list the store if the feed cannot supply all changes", "[feed]")
{
    feed_fixture fixture;
    const auto cursor = fixture.read({}, 10)->cursor;
    SECTION("the cursor belongs to another feed")
    {
        CHECK(absl::IsOutOfRange(fixture.read({feedId + 5, 1}).status()));
    }
    SECTION("an object was deleted")
    {
        stored_object deleted = object("a", 11);
        deleted.deleted = true;
        fixture.feed.apply({11, {deleted}});
        CHECK(absl::IsOutOfRange(fixture.read(cursor).status()));
    }
    SECTION("an object is missing from a list")
    {
        fixture.feed.reset({11, {object("b", 9)}});
        CHECK(absl::IsOutOfRange(fixture.read(cursor).status()));
    }
    // An object that was written after the list was read has not been removed.
    SECTION("an object is newer than the list")
    {
        fixture.feed.applyObject(object("c", 20));
        fixture.feed.reset({11, {object("a", 3), object("b", 9)}});
        CHECK(fixture.read(cursor).ok());
    }
}

// Guards against followers that keep what they read before the store was restored from a copy. They
// may know objects that neither the restored store nor the feed has, such as their own writes.
TEST_CASE("followers list the store after a restore", "[feed]")
{
    feed_fixture fixture;
    const auto cursor = fixture.read({}, 10)->cursor;
    fixture.feed.reset(
        {makeVersion(2, 8), {object("a", makeVersion(2, 3)), object("b", makeVersion(2, 8))}});
    SECTION("a follower with a cursor")
    {
        CHECK(absl::IsOutOfRange(fixture.read(cursor).status()));
    }
    SECTION("a follower whose list is from before the restore")
    {
        CHECK(absl::IsOutOfRange(fixture.read({}, 10).status()));
    }
    SECTION("a follower whose list is from after the restore")
    {
        const auto changes = fixture.read({}, makeVersion(2, 3));
        REQUIRE(changes.ok());
        CHECK(changedKeys(*changes) == std::vector<std::string>{"fleet/b"});
        CHECK(changes->changes.revision == makeVersion(2, 8));
        CHECK(fixture.read(changes->cursor)->changes.objects.empty());
    }
}

// Guards against a waiting follower that does not notice the restore until its wait ends.
TEST_CASE("a restore ends the wait of a follower", "[feed]")
{
    feed_fixture fixture;
    const auto cursor = fixture.read({}, 10)->cursor;
    const object_list restored{makeVersion(2, 8),
                               {object("a", makeVersion(2, 3)), object("b", makeVersion(2, 8))}};
    std::thread writer([&] { fixture.feed.reset(restored); });
    const auto changes =
        fixture.feed.changesAfter(cursor, 0, fixture.now, std::chrono::steady_clock::now() + 20s);
    writer.join();
    CHECK(absl::IsOutOfRange(changes.status()));
}

// Guards against objects that the restored store lost and that return through a slower path.
TEST_CASE("objects from before a restore are not passed on after it", "[feed]")
{
    feed_fixture fixture;
    fixture.feed.reset({makeVersion(2, 8), {object("a", makeVersion(2, 3))}});
    fixture.feed.applyObject(object("b", makeVersion(1, 90)));
    fixture.feed.apply({makeVersion(1, 91), {object("c", makeVersion(1, 91))}});
    const auto changes = fixture.read({}, makeVersion(2, 0));
    REQUIRE(changes.ok());
    CHECK(changedKeys(*changes) == std::vector<std::string>{"fleet/a"});
    CHECK(changes->changes.revision == makeVersion(2, 8));
}

// Guards against a follower that goes back to the content from before a restore, because its relay
// has not noticed the restore yet.
TEST_CASE("a feed that has not noticed a restore passes on nothing older", "[feed]")
{
    feed_fixture fixture;
    const auto before = fixture.read({}, makeVersion(2, 5));
    REQUIRE(before.ok());
    CHECK(before->changes.objects.empty());
    fixture.feed.reset({makeVersion(2, 8), {object("a", makeVersion(2, 3))}});
    CHECK(absl::IsOutOfRange(fixture.read(before->cursor).status()));
}
