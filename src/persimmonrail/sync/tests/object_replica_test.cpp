#include "persimmonrail/sync/object_replica.h"

#include <catch2/catch.hpp>

#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const steady_time start = steady_time{} + 1h;
const instance_id requester{"requester", 1};

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

// Pulls until the replica `to` applies no further reply. Returns the number of applied replies.
int pullAll(object_replica &from, object_replica &to)
{
    for (int pages = 0;; ++pages) {
        const auto pull = to.nextPullRequest();
        if (!to.applyPull(pull.after_revision(), from.respondToPull(pull, requester), start)) {
            return pages;
        }
    }
}

} // namespace

// Guards against skipped changes and against versions that decrease.
TEST_CASE("a pull reply is applied only if no change is skipped")
{
    struct row
    {
        std::string name;
        uint64_t afterRevision;
        uint64_t completeTo;
        uint64_t horizon;
        bool applied;
        uint64_t revision;
    };
    const auto row = GENERATE(values<struct row>({
        {"continues the known state", 10, 20, 5, true, 20},
        {"starts below the known revision", 3, 20, 0, true, 20},
        {"starts above the known revision", 11, 20, 0, false, 10},
        {"contains nothing new", 5, 10, 0, false, 10},
        {"older than the known state", 0, 7, 0, false, 10},
        {"sender lacks tombstones that are needed", 10, 20, 11, false, 10},
    }));
    CAPTURE(row.name);
    object_replica replica(noHooks());
    REQUIRE(replica.applyList({10, {object("a", 9, "known")}}, start));
    const auto pulled =
        reply({object("a", 4, "old"), object("b", 15)}, row.completeTo, 20, row.horizon);
    CHECK(replica.applyPull(row.afterRevision, pulled, start) == row.applied);
    CHECK(replica.revision() == row.revision);
    CHECK(replica.find("a")->value == "known");
    CHECK((replica.find("b") != nullptr) == row.applied);
}

TEST_CASE("a watch result is applied only if no change is skipped")
{
    const auto [since, revision, applied] = GENERATE(table<uint64_t, uint64_t, bool>(
        {{10, 12, true}, {8, 12, true}, {11, 12, false}, {10, 10, false}, {3, 9, false}}));
    object_replica replica(noHooks());
    REQUIRE(replica.applyList({10, {object("a", 9)}}, start));
    CHECK(replica.applyWatch(since, {revision, {tombstone("a", 12)}}, start) == applied);
    CHECK((replica.find("a") == nullptr) == applied);
}

// Guards against deletions that a relay missed because the store compacted the revision of its
// watch, and against an old list that restores deleted objects.
TEST_CASE("a list deletes the objects that it does not contain, and an old list is ignored")
{
    object_replica replica(noHooks());
    replica.applyList({10, {object("a", 9), object("b", 10)}}, start);
    CHECK(replica.applyList({20, {object("b", 15)}}, start));
    CHECK(replica.find("a") == nullptr);
    CHECK(replica.find("b")->version == 15);
    CHECK_FALSE(replica.applyList({10, {object("a", 9)}}, start));
    CHECK(replica.find("a") == nullptr);
}

// Guards against truncated replies that lose objects, against objects larger than a reply that are
// never sent, and against objects of one version that are split between two replies.
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
    CHECK(to.tombstoneCount() == 2);
}

// Guards against a daemon that may be behind and passes its state on to peers, and against a
// minimum revision that is not kept.
TEST_CASE("a pull reply contains the minimum revision, and objects only once the replica is ready")
{
    object_replica replica(noHooks());
    replica.applyList({10, {object("a", 9)}}, start);
    wire::Pull pull;
    pull.set_after_revision(7);
    CHECK(replica.respondToPull(pull, requester).objects().empty());
    CHECK(replica.respondToPull(pull, requester).revision() == 0);
    replica.markReady();
    pull.set_after_revision(2);
    const auto reply = replica.respondToPull(pull, {"requester", 2});
    CHECK(reply.floor() == 7);
    CHECK(reply.objects_size() == 1);
    CHECK(reply.complete_to() == 10);
    CHECK(replica.respondToPull(pull, {"other", 1}).floor() == 0);
}

// Guards against a daemon that misses a deletion because its peers have dropped the tombstone.
TEST_CASE("a daemon that needs dropped tombstones pulls the whole state")
{
    constexpr uint64_t deletions = minRetainedTombstones + 1000;
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
    peer.expireTombstones(start + minTombstoneRetention);
    CHECK(peer.tombstoneCount() == deletions - 1);
    peer.expireTombstones(start + minTombstoneRetention + 1s);
    CHECK(peer.tombstoneCount() == minRetainedTombstones);

    for (int i = 0; i < maxRejectedPullReplies; ++i) {
        CHECK(behind.nextPullRequest().after_revision() == deletions);
        CHECK(pullAll(peer, behind) == 0);
    }
    CHECK(behind.nextPullRequest().after_revision() == 0);
    pullAll(peer, behind);
    CHECK(behind.revision() == 2 * deletions);
    CHECK(behind.find("key1") == nullptr);
    CHECK(behind.find("key" + std::to_string(deletions)) != nullptr);
}

// Guards against a deletion between two pages that is missed because the second page comes from a
// peer that lacks the tombstone.
TEST_CASE("a full pull applies only pages of peers that hold the deletions since the first page")
{
    const auto [horizon, applied] = GENERATE(table<uint64_t, bool>({{100, true}, {101, false}}));
    object_replica replica(noHooks());
    // The first page is complete up to revision 50 and comes from a peer at revision 100. Object
    // "a" is deleted at revision 101.
    REQUIRE(replica.applyPull(0, reply({object("a", 10)}, 50, 100, 20), start));
    CHECK(replica.applyPull(50, reply({object("b", 60)}, 110, 110, horizon), start) == applied);
    CHECK(replica.revision() == (applied ? 110 : 0));
}

// Guards against a page that ends between deletions found by one list, which share a version.
TEST_CASE("all deletions of one version are sent in one page")
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
    CHECK(from.respondToPull(pull, requester).objects_size() == 1001);
    pull.set_after_revision(1);
    CHECK(from.respondToPull(pull, requester).complete_to() == 2001);
}

TEST_CASE("the number of tombstones has a hard limit")
{
    object_replica replica(noHooks());
    object_list changes{2 * maxTombstones, {}};
    for (uint64_t i = 1; i <= maxTombstones + 10; ++i) {
        changes.objects.push_back(tombstone("key" + std::to_string(i), i));
    }
    replica.applyWatch(0, changes, start);
    replica.expireTombstones(start);
    CHECK(replica.tombstoneCount() == maxTombstones);
}

// Guards against an invalid object that makes the whole view, or its own last valid version,
// unavailable.
TEST_CASE("the view keeps the last valid version of an object that can't be decoded")
{
    std::vector<std::string> reported;
    object_replica replica({[](std::string_view value) -> absl::StatusOr<service_document> {
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
    replica.applyList(
        {10, {object("member/m", 1, encodeMember(member)), object("accepted/s", 2, "s")}}, start);
    const auto before = replica.buildView();
    replica.applyWatch(10,
                       {15,
                        {object("member/m", 11, "{"), object("accepted/s", 12, "bad"),
                         object("accepted/t", 13, "s"), object("placement/s/0", 14, "[]"),
                         object("status/s", 15, "{")}},
                       start);
    const auto after = replica.buildView();
    CHECK(after == before);
    CHECK(after->findMember({"m", 7}) != nullptr);
    CHECK(after->documents.count("s") == 1);
    CHECK(reported
          == std::vector<std::string>{"accepted/s", "accepted/t", "member/m", "placement/s/0"});
    replica.applyWatch(15, {20, {tombstone("member/m", 20)}}, start);
    const auto last = replica.buildView();
    CHECK(last->members.empty());
    CHECK(last->revision == 20);
    CHECK(before->members.size() == 1);
}

// Guards against a view that changes while another owner holds a reference to it, and against a
// reused view that is updated incompletely.
TEST_CASE("views equal newly built ones and don't change while a reference is held")
{
    std::mt19937_64 random(11);
    object_replica replica(noHooks());
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
        replica.applyWatch(version - 1, {version, {changed}}, start);
        platform[changed.key] = changed;
        const auto view = replica.buildView();
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
            object_replica rebuilt(noHooks());
            rebuilt.applyList(list, start);
            REQUIRE(describe(*view) == describe(*rebuilt.buildView()));
        }
    }
}
