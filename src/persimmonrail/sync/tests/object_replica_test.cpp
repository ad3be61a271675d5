#include "persimmonrail/sync/object_replica.h"

#include <catch2/catch.hpp>

#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time{} + 1h;
const instance_id asking{"asking", 1};

object_replica::hooks noHooks()
{
    return {[](std::string_view) { return absl::UnimplementedError("no documents"); }, nullptr};
}

stored_object object(const std::string &key, uint64_t version, std::string value = "value")
{
    return {key, version, false, std::move(value)};
}

stored_object tombstone(const std::string &key, uint64_t version)
{
    return {key, version, true, ""};
}

wire::PullReply reply(const std::vector<stored_object> &objects, uint64_t completeTo,
                      uint64_t revision, uint64_t horizon)
{
    wire::PullReply result;
    for (const auto &object : objects) {
        auto *added = result.add_objects();
        added->set_key(object.key);
        added->set_version(object.version);
        added->set_deleted(object.deleted);
        added->set_value(object.value);
    }
    result.set_complete_to(completeTo);
    result.set_revision(revision);
    result.set_horizon(horizon);
    return result;
}

// Pulls until nothing more comes.
int pullAll(object_replica &from, object_replica &to)
{
    for (int pages = 0;; ++pages) {
        const auto pull = to.nextPull();
        if (!to.applyPull(pull.after_revision(), from.respondToPull(pull, asking), start)) {
            return pages;
        }
    }
}

} // namespace

// Guards against gaps and against versions that go back.
TEST_CASE("an answer is applied only without a gap")
{
    struct row
    {
        std::string name;
        uint64_t after;
        uint64_t completeTo;
        uint64_t horizon;
        bool applied;
        uint64_t revision;
    };
    const auto row = GENERATE(values<struct row>({
        {"continues the known state", 10, 20, 5, true, 20},
        {"starts below it", 3, 20, 0, true, 20},
        {"starts above it", 11, 20, 0, false, 10},
        {"brings nothing new", 5, 10, 0, false, 10},
        {"older than the known state", 0, 7, 0, false, 10},
        {"source lacks tombstones that are needed", 10, 20, 11, false, 10},
    }));
    CAPTURE(row.name);
    object_replica store(noHooks());
    REQUIRE(store.applyList({10, {object("a", 9, "known")}}, start));
    const auto pulled =
        reply({object("a", 4, "old"), object("b", 15)}, row.completeTo, 20, row.horizon);
    CHECK(store.applyPull(row.after, pulled, start) == row.applied);
    CHECK(store.revision() == row.revision);
    CHECK(store.find("a")->value == "known");
    CHECK((store.find("b") != nullptr) == row.applied);
}

TEST_CASE("a watch is applied only without a gap")
{
    const auto [since, revision, applied] = GENERATE(table<uint64_t, uint64_t, bool>(
        {{10, 12, true}, {8, 12, true}, {11, 12, false}, {10, 10, false}, {3, 9, false}}));
    object_replica store(noHooks());
    REQUIRE(store.applyList({10, {object("a", 9)}}, start));
    CHECK(store.applyWatch(since, {revision, {tombstone("a", 12)}}, start) == applied);
    CHECK((store.find("a") == nullptr) == applied);
}

// Guards against deletions that a relay missed while its watch was compacted, and against an old
// list that brings deleted objects back.
TEST_CASE("a list deletes what it lacks, an old list does nothing")
{
    object_replica store(noHooks());
    store.applyList({10, {object("a", 9), object("b", 10)}}, start);
    CHECK(store.applyList({20, {object("b", 15)}}, start));
    CHECK(store.find("a") == nullptr);
    CHECK(store.find("b")->version == 15);
    CHECK_FALSE(store.applyList({10, {object("a", 9)}}, start));
    CHECK(store.find("a") == nullptr);
}

// Guards against truncated replies that lose objects, against objects larger than a reply, and
// against the objects of one version being separated.
TEST_CASE("a large state is pulled in pages")
{
    object_replica from(noHooks());
    object_list list{1000, {}};
    for (uint64_t i = 1; i <= 300; ++i) {
        list.objects.push_back(object("key" + std::to_string(i), i, std::string(1000, 'x')));
    }
    list.objects.push_back(object("large", 500, std::string(1000000, 'y')));
    from.applyList(list, start);
    from.applyList({1001, {list.objects.begin() + 2, list.objects.end()}}, start);
    from.markReady();
    object_replica to(noHooks());
    const int pages = pullAll(from, to);
    CHECK(pages >= 6);
    CHECK(to.revision() == 1001);
    CHECK(to.find("key2") == nullptr);
    CHECK(to.find("key3") != nullptr);
    CHECK(to.find("large")->value.size() == 1000000);
    CHECK(to.tombstones() == 2);
}

// Guards against a daemon that may be behind becoming a source, and against a forgotten floor.
TEST_CASE("answers hold the floor, and objects only once ready")
{
    object_replica store(noHooks());
    store.applyList({10, {object("a", 9)}}, start);
    wire::Pull pull;
    pull.set_after_revision(7);
    CHECK(store.respondToPull(pull, asking).objects().empty());
    CHECK(store.respondToPull(pull, asking).revision() == 0);
    store.markReady();
    pull.set_after_revision(2);
    const auto reply = store.respondToPull(pull, {"asking", 2});
    CHECK(reply.floor() == 7);
    CHECK(reply.objects_size() == 1);
    CHECK(reply.complete_to() == 10);
    CHECK(store.respondToPull(pull, {"other", 1}).floor() == 0);
}

// Guards against a deletion that a daemon misses because its peers have dropped the tombstone.
TEST_CASE("a daemon behind the kept tombstones pulls the whole state")
{
    constexpr uint64_t deletions = tombstonesKept + 1000;
    object_replica behind(noHooks());
    object_replica peer(noHooks());
    object_list list{deletions, {}};
    for (uint64_t i = 1; i <= deletions; ++i) {
        list.objects.push_back(object("key" + std::to_string(i), i));
    }
    behind.applyList(list, start);
    peer.applyList(list, start);
    object_list changes{2 * deletions, {}};
    for (uint64_t i = 1; i < deletions; ++i) {
        changes.objects.push_back(tombstone("key" + std::to_string(i), deletions + i));
    }
    peer.applyWatch(deletions, changes, start);
    peer.markReady();
    peer.expireTombstones(start + tombstoneAge);
    CHECK(peer.tombstones() == deletions - 1);
    peer.expireTombstones(start + tombstoneAge + 1s);
    CHECK(peer.tombstones() == tombstonesKept);

    for (int i = 0; i < refusalsBeforeWholePull; ++i) {
        CHECK(behind.nextPull().after_revision() == deletions);
        CHECK(pullAll(peer, behind) == 0);
    }
    CHECK(behind.nextPull().after_revision() == 0);
    pullAll(peer, behind);
    CHECK(behind.revision() == 2 * deletions);
    CHECK(behind.find("key1") == nullptr);
    CHECK(behind.find("key" + std::to_string(deletions)) != nullptr);
}

// Guards against a page of another peer hiding a deletion that happened between two pages.
TEST_CASE("a whole pull goes on only at peers that know the deletions since its first page")
{
    const auto [horizon, applied] = GENERATE(table<uint64_t, bool>({{100, true}, {101, false}}));
    object_replica store(noHooks());
    // Complete up to 50 in the state of revision 100; "a" is deleted at 101.
    REQUIRE(store.applyPull(0, reply({object("a", 10)}, 50, 100, 20), start));
    CHECK(store.applyPull(50, reply({object("b", 60)}, 110, 110, horizon), start) == applied);
    CHECK(store.revision() == (applied ? 110 : 0));
}

// Guards against a page boundary inside the deletions that a list brought, which share a version.
TEST_CASE("deletions of one version stay in one page")
{
    object_list list{2000, {}};
    for (uint64_t i = 1; i <= 1000; ++i) {
        list.objects.push_back(object(std::string(100, 'k') + std::to_string(i), i));
    }
    object_replica from(noHooks());
    object_replica to(noHooks());
    from.applyWatch(0, list, start);
    to.applyWatch(0, list, start);
    from.applyList({2001, {object("a", 2001)}}, start);
    wire::Pull pull;
    pull.set_after_revision(2000);
    from.markReady();
    CHECK(from.respondToPull(pull, asking).objects_size() == 1001);
    pull.set_after_revision(1);
    CHECK(from.respondToPull(pull, asking).complete_to() == 2001);
}

TEST_CASE("tombstones have a hard limit")
{
    object_replica store(noHooks());
    object_list changes{2 * maxTombstones, {}};
    for (uint64_t i = 1; i <= maxTombstones + 10; ++i) {
        changes.objects.push_back(tombstone("key" + std::to_string(i), i));
    }
    store.applyWatch(0, changes, start);
    store.expireTombstones(start);
    CHECK(store.tombstones() == maxTombstones);
}

// Guards against one faulty object taking the whole view, or its own last good version, out of
// force.
TEST_CASE("an undecodable object keeps its last good version in force")
{
    std::vector<std::string> reported;
    object_replica store({[](std::string_view value) -> absl::StatusOr<service_document> {
                              if (value == "bad") {
                                  return absl::InvalidArgumentError("bad");
                              }
                              service_document document;
                              document.service = std::string(value);
                              return document;
                          },
                          [&](const stored_object &object, const absl::Status &) {
                              reported.push_back(object.key);
                          }});
    member_record member{{"m", 7}, "r", "z", "s", "127.0.0.1:1", "127.0.0.1:2", 1};
    store.applyList(
        {10, {object("member/m", 1, encodeMember(member)), object("accepted/s", 2, "s")}}, start);
    const auto before = store.buildView();
    store.applyWatch(10,
                     {15,
                      {object("member/m", 11, "{"), object("accepted/s", 12, "bad"),
                       object("accepted/t", 13, "s"), object("placement/s/0", 14, "[]"),
                       object("status/s", 15, "{")}},
                     start);
    const auto after = store.buildView();
    CHECK(after == before);
    CHECK(after->findMember({"m", 7}) != nullptr);
    CHECK(after->documents.count("s") == 1);
    CHECK(reported
          == std::vector<std::string>{"accepted/s", "accepted/t", "member/m", "placement/s/0"});
    store.applyWatch(15, {20, {tombstone("member/m", 20)}}, start);
    const auto last = store.buildView();
    CHECK(last->members.empty());
    CHECK(last->revision == 20);
    CHECK(before->members.size() == 1);
}

// Guards against a view that changes while somebody holds it, and against one that is brought up to
// date incompletely.
TEST_CASE("views are equal to newly built ones and don't change while held")
{
    std::mt19937_64 random(11);
    object_replica store(noHooks());
    std::map<std::string, stored_object> platform;
    std::vector<std::pair<std::shared_ptr<const fleet_view>, std::string>> held;
    const auto describe = [](const fleet_view &view) {
        std::string text;
        for (const auto &[name, member] : view.members) {
            text += encodeMember(member);
        }
        for (const auto &[service, records] : view.recordsByService) {
            for (const auto *record : records) {
                text += encodeRecord(record->record) + std::to_string(record->version);
            }
        }
        return text;
    };
    for (uint64_t version = 1; version <= 2000; ++version) {
        const std::string name = std::to_string(random() % 40);
        stored_object changed{"member/" + name, version, random() % 4 == 0, ""};
        if (random() % 2 == 0) {
            const std::string partition = "s" + name.substr(0, 1) + "/" + name;
            const uint64_t hash = random() % 10;
            placement_record record{partition, {hash, hash + random() % 3}, {"o", 1}, 1, {}, {}, {},
                                    {}};
            record.witnesses = {{"a", 1}, {"b", 1}, {"c", version}};
            changed.key = placementKey(partition);
            changed.value = encodeRecord(record);
        } else {
            changed.value = encodeMember({{name, version}, "r", "z", "s", "p", "c", 1});
        }
        store.applyWatch(version - 1, {version, {changed}}, start);
        platform[changed.key] = changed;
        const auto view = store.buildView();
        if (random() % 10 == 0) {
            held.emplace_back(view, describe(*view));
        }
        if (held.size() > 3) {
            REQUIRE(describe(*held.front().first) == held.front().second);
            held.erase(held.begin());
        }
        if (version % 20 == 0) {
            object_list list{version, {}};
            for (const auto &[key, object] : platform) {
                if (!object.deleted) {
                    list.objects.push_back(object);
                }
            }
            object_replica fresh(noHooks());
            fresh.applyList(list, start);
            REQUIRE(describe(*view) == describe(*fresh.buildView()));
        }
    }
}
