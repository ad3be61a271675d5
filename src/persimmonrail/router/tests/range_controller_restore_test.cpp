#include "wait_until.h"

#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/router/range_controller.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const upstream_id a{"a", 1};
const upstream_id b{"b", 1};
const std::string service = "s";
constexpr uint64_t restoredEpoch = 2;

// A store that can be restored from an older copy.
class restorable_store
{
public:
    object_api api()
    {
        object_api api;
        api.get = [this](const std::string &key) -> absl::StatusOr<stored_object> {
            const std::lock_guard lock(m_mutex);
            const auto object = m_objects.find(key);
            if (object == m_objects.end()) {
                return absl::NotFoundError(key);
            }
            return object->second;
        };
        api.put = [this](const std::string &key, uint64_t expectedVersion,
                         const std::string &value) -> absl::StatusOr<uint64_t> {
            const std::lock_guard lock(m_mutex);
            const auto object = m_objects.find(key);
            if ((object == m_objects.end() ? 0 : object->second.version) != expectedVersion) {
                return absl::AbortedError("409");
            }
            m_objects[key] = {key, makeVersion(m_epoch, ++m_revision), false, value};
            return m_objects[key].version;
        };
        return api;
    }
    // Replaces the content by a copy that holds only the base record with this placement.
    void restore(uint64_t epoch, const key_placement &placement)
    {
        const std::lock_guard lock(m_mutex);
        m_epoch = epoch;
        const std::string key = placementKey(service);
        m_objects = {
            {key, {key, makeVersion(m_epoch, m_revision), false, encodePlacement(placement)}}};
    }
    object_list list()
    {
        const std::lock_guard lock(m_mutex);
        object_list list{makeVersion(m_epoch, m_revision), {}};
        for (const auto &[key, object] : m_objects) {
            list.objects.push_back(object);
        }
        return list;
    }
    // Returns the placement in the record of the epoch, or nothing if there is no such record.
    std::optional<key_placement> placementOf(uint64_t epoch)
    {
        const auto object = api().get(placementKey(service, epoch));
        return object.ok() ? std::optional(*parsePlacement(object->value)) : std::nullopt;
    }

private:
    std::mutex m_mutex;
    uint64_t m_epoch = baseEpoch;
    uint64_t m_revision = 10;
    std::map<std::string, stored_object> m_objects;
};

// The controller beside upstream `a`, which coordinates, with its control loop.
class coordinating_upstream
{
public:
    explicit coordinating_upstream(restorable_store &store)
        : m_controller(service, {}, store.api(), grants(), m_loop, m_log,
                       {[this](const stored_object &object) {
                           m_builder.applyObject(object);
                           m_controller.onDirectory(m_builder.build(), {});
                       }})
    {
        m_loop.every(10ms, [this](steady_time now) { m_controller.tick(now); });
        m_loop.start();
        m_loop.postAndWait([this](steady_time) {
            m_controller.setUpstream(a, "127.0.0.1:1", false);
            m_controller.setPeers({{{a, 9}, {b, 9}}, {}, {}, true});
        });
        show(store.list());
    }
    ~coordinating_upstream() { m_loop.stop(); }
    void show(const object_list &list)
    {
        m_loop.postAndWait([this, &list](steady_time) {
            m_builder.reset(list);
            m_controller.onDirectory(m_builder.build(),
                                     store_confirmation{m_builder.build()->revision(), bootNow()});
        });
    }
    bool canServe(shard_key key) { return m_controller.canServe(key); }
    // Returns the highest fence with which a grant of the key was sent; 0 if there was none.
    uint64_t highestFence(shard_key key)
    {
        const std::lock_guard lock(m_mutex);
        uint64_t highest = 0;
        for (const range_grant &grant : m_grants) {
            highest = grant.keys.contains(key) ? std::max(highest, grant.fence) : highest;
        }
        return highest;
    }
    int releases()
    {
        const std::lock_guard lock(m_mutex);
        return m_releases;
    }

private:
    grant_api grants()
    {
        grant_api api;
        api.connect = [](const std::string &) { return absl::OkStatus(); };
        api.grant = [this](const std::string &, const range_grant &grant, milliseconds) {
            const std::lock_guard lock(m_mutex);
            m_grants.push_back(grant);
            return absl::OkStatus();
        };
        api.release = [this](const std::string &, key_interval, uint64_t) {
            const std::lock_guard lock(m_mutex);
            ++m_releases;
            return absl::StatusOr<std::string>("h");
        };
        return api;
    }

    std::mutex m_mutex;
    std::vector<range_grant> m_grants;
    int m_releases = 0;
    control_loop m_loop;
    decision_log m_log{{log_level::Off, "", 0, false}};
    fleet_directory_builder m_builder{[](const std::string &, std::string_view) {}};
    range_controller m_controller;
};

} // namespace

// Guards against an owner that stops serving after a restore of the store, since the record that it
// knows is never confirmed again, and against grants of keys that only the older copy records for
// it.
TEST_CASE("an owner serves what it holds across a restore of the store", "[router]")
{
    restorable_store store;
    const key_placement before = assignUnowned(emptyPlacement(service), {{a, 9}, {b, 9}});
    store.restore(baseEpoch, before);
    coordinating_upstream upstream(store);
    REQUIRE(waitUntil([&] { return upstream.canServe(5); }));

    // The copy is from before keys moved to `b`, and has a lower fence.
    key_placement copy = emptyPlacement(service);
    copy.highestFence = copy.ranges[0].fence = 1;
    copy.ranges[0].owner = a;
    store.restore(restoredEpoch, copy);
    upstream.show(store.list());

    REQUIRE(waitUntil([&] { return store.placementOf(restoredEpoch).has_value(); }));
    REQUIRE(waitUntil([&] { return upstream.highestFence(5) > firstFence(restoredEpoch); }));
    CHECK(upstream.canServe(5));
    CHECK(upstream.releases() == 0);
    CHECK(upstream.highestFence(60000) == 0);
    CHECK(store.placementOf(baseEpoch) == copy);
    const key_placement carried = *store.placementOf(restoredEpoch);
    // The daemon knew the newer record.
    CHECK(carried.rangeOf(60000).owner == b);
    CHECK(carried.rangeOf(5).isCarriedOver());
}
