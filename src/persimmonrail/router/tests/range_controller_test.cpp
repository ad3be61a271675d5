#include "wait_until.h"

#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/objects/object_version.h"
#include "persimmonrail/router/range_controller.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <optional>
#include <utility>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const upstream_id a{"a", 1};
const upstream_id b{"b", 1};
const upstream_id c{"c", 1};
const std::string service = "s";

// Record of the service in a store, which other owners change.
class contended_store
{
public:
    explicit contended_store(std::vector<range_candidate> owners = {{a, 9}, {b, 9}, {c, 9}})
        : m_placement(assignUnowned(emptyPlacement(service), std::move(owners)))
    { }

    object_api api()
    {
        object_api api;
        api.get = [this](const std::string &) -> absl::StatusOr<stored_object> {
            ++reads;
            if (m_isSilent || m_isRejecting) {
                return absl::UnavailableError("down");
            }
            return read();
        };
        api.put = [this](const std::string &, uint64_t expectedVersion, const std::string &value) {
            return write(expectedVersion, value);
        };
        return api;
    }
    stored_object read()
    {
        const std::lock_guard lock(m_mutex);
        return {placementKey(service), m_version, false, encodePlacement(m_placement)};
    }
    upstream_id ownerOf(shard_key key)
    {
        const std::lock_guard lock(m_mutex);
        return m_placement.rangeOf(key).owner;
    }
    // Writes a change as a writer does. Returns the version of the record.
    uint64_t writeChange(const owner_change &change)
    {
        const std::lock_guard lock(m_mutex);
        m_placement = applyChange(m_placement, change);
        return ++m_version;
    }
    // Lets another owner change the record right before each of the next writes.
    void setConflicts(int conflicts)
    {
        const std::lock_guard lock(m_mutex);
        m_conflictsLeft = conflicts;
    }

    // Executes a move of the key to `c` by a process that knew the record's first version and ended
    // before it got a response. Returns whether it took effect.
    bool executeLateMove(shard_key key)
    {
        key_placement moved;
        {
            const std::lock_guard lock(m_mutex);
            moved = moveRange(m_placement, {key, key}, c, "late");
        }
        return write(firstVersion, encodePlacement(moved)).ok();
    }
    // Whether the store rejects all calls.
    void setRejecting(bool isRejecting) { m_isRejecting = isRejecting; }
    bool hasDelayedWrite()
    {
        const std::lock_guard lock(m_mutex);
        return m_delayedWrite.has_value();
    }
    // While the store is silent it responds to no read, and executes the first write only when the
    // silence ends, without a response.
    void setSilent(bool isSilent)
    {
        std::optional<std::pair<uint64_t, std::string>> delayed;
        {
            const std::lock_guard lock(m_mutex);
            m_isSilent = isSilent;
            delayed = std::exchange(m_delayedWrite, std::nullopt);
        }
        if (delayed) {
            static_cast<void>(write(delayed->first, delayed->second));
        }
    }

    std::atomic<int> reads{0};
    std::atomic<int> writes{0};

private:
    absl::StatusOr<uint64_t> write(uint64_t expectedVersion, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        ++writes;
        if (m_isRejecting) {
            return absl::UnavailableError("down");
        }
        if (m_isSilent) {
            m_delayedWrite = m_delayedWrite.value_or(std::pair(expectedVersion, value));
            return absl::UnknownError("no response");
        }
        if (m_conflictsLeft > 0) {
            --m_conflictsLeft;
            const upstream_id target = m_placement.rangeOf(30000).owner == b ? c : b;
            m_placement = moveRange(m_placement, {30000, 30009}, target, "x");
            ++m_version;
        }
        if (expectedVersion != m_version) {
            return absl::AbortedError("409");
        }
        m_placement = *parsePlacement(value);
        return ++m_version;
    }

    static constexpr uint64_t firstVersion = 1;
    std::mutex m_mutex;
    key_placement m_placement;
    uint64_t m_version = firstVersion;
    int m_conflictsLeft = 0;
    std::atomic<bool> m_isSilent{false};
    std::atomic<bool> m_isRejecting{false};
    std::optional<std::pair<uint64_t, std::string>> m_delayedWrite;
};

// The controller beside upstream `a`, with its control loop.
class controlled_upstream
{
public:
    // `isFirst` tells that no daemon ran before, so no earlier grant can delay a move.
    explicit controlled_upstream(bool isFirst = false,
                                 std::vector<range_candidate> owners = {{a, 9}, {b, 9}, {c, 9}},
                                 decltype(range_controller::hooks::submitChange) submit = {})
        : store(std::move(owners))
        , m_controller(
              service, timing(), store.api(), grants(), m_loop, m_log,
              {[this](const stored_object &object) { apply(object); }, {}, std::move(submit)})
    {
        m_loop.every(10ms, [this](steady_time now) { m_controller.tick(now); });
        m_loop.start();
        m_loop.postAndWait([this, isFirst](steady_time) {
            if (isFirst) {
                m_controller.onDirectory(m_builder.build(), store_confirmation{1, bootNow()});
            }
            m_controller.setUpstream(a, "127.0.0.1:1", false);
            m_controller.setPeers({{{a, 9}, {b, 9}, {c, 9}}, {}, {}, false});
            m_builder.applyObject(store.read());
            m_controller.onDirectory(m_builder.build(), store_confirmation{1, bootNow()});
        });
    }
    ~controlled_upstream() { m_loop.stop(); }
    void drain()
    {
        m_loop.postAndWait(
            [this](steady_time) { m_controller.setUpstream(a, "127.0.0.1:1", true); });
    }
    // Records upstream `b` as a member of the fleet.
    void recordMember(bool isDraining, uint64_t version)
    {
        const upstream_member member{b, service, "z", "127.0.0.1:2", 9, isDraining};
        m_loop.postAndWait([&](steady_time) {
            apply({memberKey(b.name), version, false, encodeMember(member)});
        });
    }
    // Records a member of the fleet in this zone.
    void recordMemberIn(const std::string &zone, const upstream_id &id, bool isTerminated)
    {
        const upstream_member member{id, service,      zone,        "127.0.0.1:2",
                                     9,  isTerminated, isTerminated};
        m_loop.postAndWait([&](steady_time) {
            apply({memberKey(id.name), 2, false, encodeMember(member)});
        });
    }
    void evacuate(const std::string &zone)
    {
        m_loop.postAndWait([&](steady_time) { m_builder.setEvacuatedZones({zone}); });
    }
    void makeCoordinator()
    {
        m_loop.postAndWait([this](steady_time) {
            m_controller.setPeers({{{a, 9}, {b, 9}, {c, 9}}, {}, {}, true});
        });
    }
    bool canServe(shard_key key) { return m_controller.canServe(key); }
    // Shows the present record of the store, as a watch of the relay does.
    void showRecord()
    {
        m_loop.postAndWait([this](steady_time) { apply(store.read()); });
    }
    bool isMoving()
    {
        bool isMoving = false;
        m_loop.postAndWait([&](steady_time) { isMoving = !m_controller.isIdle(); });
        return isMoving;
    }
    // Performs what is due after `delay`, beside the periodic ticks.
    void tickAfter(milliseconds delay)
    {
        m_loop.postAndWait([&](steady_time now) { m_controller.tick(now + delay); });
    }

    contended_store store;
    std::atomic<int> grantsAfterRelease{0};
    std::atomic<int> releases{0};

private:
    static range_lease_timing timing()
    {
        range_lease_timing timing;
        timing.holdTime = 400ms;
        timing.renewalInterval = 100ms;
        return timing;
    }
    grant_api grants()
    {
        grant_api api;
        api.connect = [](const std::string &) { return absl::OkStatus(); };
        api.grant = [this](const std::string &, const range_grant &, milliseconds) {
            grantsAfterRelease += releases > 0 ? 1 : 0;
            return absl::OkStatus();
        };
        api.release = [this](const std::string &, key_interval, uint64_t) {
            ++releases;
            return absl::StatusOr<std::string>("h");
        };
        return api;
    }
    void apply(const stored_object &object)
    {
        m_builder.applyObject(object);
        m_controller.onDirectory(m_builder.build(), {});
    }

    control_loop m_loop;
    decision_log m_log{{log_level::Off, "", 0, false}};
    fleet_directory_builder m_builder{[](const std::string &, std::string_view) {}};
    range_controller m_controller;
};

// The controller beside upstream `a`, which performs nothing by itself.
class uncontrolled_upstream
{
public:
    explicit uncontrolled_upstream(const store_confirmation &confirmation)
        : m_controller(service, {}, {}, grants(), m_loop, m_log, {})
    {
        m_loop.start();
        m_loop.postAndWait(
            [this](steady_time) { m_controller.setUpstream(a, "127.0.0.1:1", false); });
        // No daemon ran before, so the recorded fences are this daemon's.
        show(store_confirmation{1, bootNow()});
        m_builder.applyObject(contended_store().read());
        show(confirmation);
        m_loop.postAndWait([](steady_time) {});
    }
    ~uncontrolled_upstream() { m_loop.stop(); }
    void show(const std::optional<store_confirmation> &confirmation)
    {
        m_loop.postAndWait(
            [&](steady_time) { m_controller.onDirectory(m_builder.build(), confirmation); });
    }
    // Makes the store hold a record that can't be decoded.
    void showMalformedRecord(uint64_t version)
    {
        m_builder.applyObject({placementKey(service), version, false, "?"});
    }
    void leave()
    {
        m_loop.postAndWait([this](steady_time now) {
            m_controller.setPeers({{{a, 9}, {b, 9}}, {}, {}, false});
            m_controller.setUpstream(a, "127.0.0.1:1", true);
            m_controller.tick(now);
        });
    }
    void end()
    {
        m_loop.postAndWait([this](steady_time now) {
            m_controller.setUpstream(std::nullopt, "", true);
            m_controller.tick(now);
        });
    }
    bool isMoving()
    {
        bool isMoving = false;
        m_loop.postAndWait([&](steady_time) { isMoving = !m_controller.isIdle(); });
        return isMoving;
    }
    // A response to a heartbeat lists what the upstream is to hold only within the lease.
    bool hasLease()
    {
        bool hasLease = false;
        m_loop.postAndWait(
            [&](steady_time) { hasLease = m_controller.onHeartbeat({}, bootNow()).has_value(); });
        return hasLease;
    }

private:
    static grant_api grants()
    {
        grant_api api;
        api.connect = [](const std::string &) { return absl::OkStatus(); };
        api.grant = [](const std::string &, const range_grant &, milliseconds) {
            return absl::UnavailableError("the upstream takes no calls");
        };
        return api;
    }

    control_loop m_loop;
    decision_log m_log{{log_level::Off, "", 0, false}};
    fleet_directory_builder m_builder{[](const std::string &, std::string_view) {}};
    range_controller m_controller;
};

} // namespace

// Guards against an owner that releases keys, loses five conditional writes of the record to other
// owners, grants the keys again and then releases them once more: the keys are unserved for
// seconds.
TEST_CASE("keys are released once for a move that other owners' writes delay", "[router]")
{
    controlled_upstream upstream;
    REQUIRE(waitUntil([&] { return upstream.canServe(5); }));
    upstream.store.setConflicts(9);
    upstream.drain();
    REQUIRE(waitUntil([&] { return upstream.store.ownerOf(5) != a; }));
    REQUIRE(waitUntil([&] { return !upstream.canServe(5); }));
    // The only range of `a` moves in two parts.
    CHECK(upstream.releases == 2);
    CHECK(upstream.grantsAfterRelease == 0);
    CHECK(upstream.store.ownerOf(21000) != a);
}

// Guards against two owners of one key: an owner that grants released keys again while the write of
// their new owner may still take effect.
TEST_CASE("keys of an unconfirmed move are not granted again before the write is decided",
          "[router]")
{
    controlled_upstream upstream(true);
    REQUIRE(waitUntil([&] { return upstream.canServe(5); }));
    upstream.store.setSilent(true);
    upstream.drain();
    REQUIRE(waitUntil([&] { return upstream.store.hasDelayedWrite(); }));
    REQUIRE(upstream.releases > 0);
    for (const milliseconds delay : {1s, 8s, 20s}) {
        upstream.tickAfter(delay);
    }
    upstream.store.setSilent(false);
    CHECK(waitUntil([&] { return upstream.store.ownerOf(5) != a; }));
    CHECK(upstream.grantsAfterRelease == 0);
}

// Guards against two owners of one key: an owner that takes keys back, since its own write was
// rejected, while the writer to which it has passed the move may still write it.
TEST_CASE("keys of an open move are taken back only under a new fence", "[router]")
{
    std::mutex mutex;
    std::optional<owner_change> change;
    controlled_upstream upstream(
        true, {{a, 9}, {b, 9}, {c, 9}},
        [&](const owner_change &submitted, const std::vector<std::string> &) {
            const std::lock_guard lock(mutex);
            change = change.value_or(submitted);
            return change_submission{true, {change_outcome::Unknown, 0}};
        });
    REQUIRE(waitUntil([&] { return upstream.canServe(5); }));
    upstream.store.setRejecting(true);
    upstream.drain();
    const auto isSubmitted = [&] {
        const std::lock_guard lock(mutex);
        return change.has_value();
    };
    REQUIRE(waitUntil(isSubmitted));
    for (const milliseconds delay : {1s, 8s, 20s}) {
        upstream.tickAfter(delay);
    }
    CHECK(upstream.grantsAfterRelease == 0);
    CHECK_FALSE(isSettled(*parsePlacement(upstream.store.read().value), *change));
    upstream.store.setRejecting(false);
    CHECK(waitUntil(
        [&] { return isSettled(*parsePlacement(upstream.store.read().value), *change); }));
    CHECK(waitUntil([&] { return upstream.store.ownerOf(5) != a; }));
}

// Guards against a read of the store for each move that a writer has recorded, and against two
// owners of one key: an owner that grants moved keys again by the record that it knew before.
TEST_CASE("an owner waits for the record of a writer before it reads it", "[router]")
{
    std::atomic<controlled_upstream *> self{nullptr};
    std::atomic<uint64_t> recordedVersion{0};
    controlled_upstream upstream(
        true, {{a, 9}, {b, 9}, {c, 9}},
        [&](const owner_change &change, const std::vector<std::string> &) {
            const uint64_t version = self.load()->store.writeChange(change);
            recordedVersion = version;
            return change_submission{true, {change_outcome::Recorded, version}};
        });
    self = &upstream;
    REQUIRE(waitUntil([&] { return upstream.canServe(5); }));
    const int readsBefore = upstream.store.reads;
    upstream.drain();
    REQUIRE(waitUntil([&] { return recordedVersion > 0; }));
    CHECK(upstream.isMoving());
    SECTION("the watch shows the record in time")
    {
        upstream.showRecord();
        CHECK(waitUntil([&] { return !upstream.isMoving(); }));
        CHECK(upstream.store.reads == readsBefore);
        CHECK(upstream.store.writes == 0);
    }
    SECTION("the watch is lost")
    {
        CHECK(waitUntil([&] { return !upstream.isMoving(); }));
        CHECK(upstream.store.reads == readsBefore + 1);
        CHECK(upstream.store.writes == 0);
    }
    SECTION("the store fails as well")
    {
        upstream.store.setRejecting(true);
        upstream.tickAfter(1s);
        upstream.tickAfter(8s);
        CHECK(upstream.isMoving());
        upstream.store.setRejecting(false);
        CHECK(waitUntil([&] { return !upstream.isMoving(); }));
    }
    CHECK(upstream.grantsAfterRelease == 0);
    CHECK(upstream.store.ownerOf(5) != a);
    CHECK(upstream.store.read().version == recordedVersion);
}

// Guards against OWNER: a daemon that starts grants keys which its killed predecessor has released,
// and the predecessor's write of their new owner takes effect later.
TEST_CASE("no late move of an earlier process takes effect once keys are granted", "[router]")
{
    controlled_upstream upstream;
    REQUIRE(waitUntil([&] { return upstream.canServe(5); }));
    CHECK_FALSE(upstream.store.executeLateMove(5));
    CHECK(upstream.store.ownerOf(5) == a);
}

// Guards against a lease that is renewed by a response that doesn't show the record of the owner:
// one that is older than the record, of another epoch of the store, or followed by another record.
TEST_CASE("only what shows the present record renews the lease of its owner", "[router]")
{
    const boot_time longAgo = bootNow() - range_lease_timing().leaseDuration;
    uncontrolled_upstream upstream(store_confirmation{1, longAgo});
    REQUIRE_FALSE(upstream.hasLease());
    SECTION("a response up to the record's version")
    {
        upstream.show(store_confirmation{1, bootNow()});
        CHECK(upstream.hasLease());
    }
    SECTION("a later response")
    {
        upstream.show(store_confirmation{7, bootNow()});
        CHECK(upstream.hasLease());
    }
    SECTION("a response from before the record")
    {
        upstream.show(store_confirmation{0, bootNow()});
        CHECK_FALSE(upstream.hasLease());
    }
    SECTION("a response of unknown age")
    {
        upstream.show(std::nullopt);
        CHECK_FALSE(upstream.hasLease());
    }
    SECTION("a response of a later epoch")
    {
        upstream.show(store_confirmation{makeVersion(2, 7), bootNow()});
        CHECK_FALSE(upstream.hasLease());
    }
    SECTION("a later record that can't be decoded")
    {
        upstream.showMalformedRecord(5);
        upstream.show(store_confirmation{7, bootNow()});
        CHECK_FALSE(upstream.hasLease());
    }
}

// Guards against keys that an owner moves to an upstream that is about to leave, which has to move
// them once more: what peers reported is older than what the fleet's directory shows.
TEST_CASE("no keys are moved to an upstream that is recorded as leaving", "[router]")
{
    controlled_upstream upstream(true, {{a, 18}, {c, 9}});
    upstream.recordMember(true, 2);
    REQUIRE(waitUntil([&] { return upstream.canServe(5); }));
    upstream.tickAfter(2s);
    upstream.tickAfter(4s);
    CHECK(upstream.releases == 0);
    upstream.recordMember(false, 3);
    CHECK(waitUntil([&] { return upstream.store.ownerOf(40000) == b; }));
}

// Guards against a daemon that changes no record any more, since it waits for a heartbeat of an
// upstream that has ended.
TEST_CASE("a move ends with its upstream, before a heartbeat shows the release", "[router]")
{
    uncontrolled_upstream upstream(store_confirmation{1, bootNow()});
    REQUIRE(upstream.hasLease());
    upstream.leave();
    CHECK(upstream.isMoving());
    upstream.end();
    CHECK_FALSE(upstream.isMoving());
}

// Guards against keys of a lost owner that the coordinator gives to upstreams of an evacuated zone,
// while what peers reported still shows them as live.
TEST_CASE("a coordinator assigns no keys to upstreams of an evacuated zone", "[router]")
{
    controlled_upstream upstream(true, {{a, 9}, {c, 9}});
    upstream.evacuate("west");
    upstream.recordMemberIn("west", b, false);
    upstream.makeCoordinator();
    REQUIRE(waitUntil([&] { return upstream.canServe(5); }));
    upstream.recordMemberIn("east", c, true);
    REQUIRE(waitUntil([&] { return upstream.store.ownerOf(40000) != c; }));
    upstream.tickAfter(4s);
    for (const shard_key key : {5U, 40000U, 65535U}) {
        CHECK(upstream.store.ownerOf(key) == a);
    }
}

// Guards against a read and a retry of each owner whose write another one has made out of date, and
// against a change that is never written if the watch of the relay is lost.
TEST_CASE("a rejected change waits for the watch of the relay before it is tried again", "[router]")
{
    controlled_upstream upstream(true, {{a, 9}, {b, 9}, {c, 9}},
                                 [](const auto &, const auto &) { return change_submission{}; });
    upstream.makeCoordinator();
    REQUIRE(waitUntil([&] { return upstream.canServe(5); }));
    upstream.store.setConflicts(1);
    const int readsBefore = upstream.store.reads;
    const bool isWatchLost = GENERATE(false, true);
    upstream.recordMemberIn("east", c, true);
    REQUIRE(waitUntil([&] { return upstream.store.writes == 1; }));
    if (!isWatchLost) {
        upstream.showRecord();
    }
    CHECK(waitUntil([&] { return upstream.store.ownerOf(60000) != c; }));
    CHECK(upstream.store.reads == readsBefore + (isWatchLost ? 1 : 0));
}
