#include "persimmonrail/keyspace/range_plan.h"
#include "persimmonrail/router/placement_update.h"
#include "persimmonrail/router/range_release.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const upstream_id a{"a", 1};
const upstream_id b{"b", 1};
const upstream_id c{"c", 1};
const std::string service = "s";
constexpr boot_time start = 1000s;

// Returns a placement in which `a` owns the first third of the keys, `b` the second and `c` the
// last.
key_placement threeOwners()
{
    return assignUnowned(emptyPlacement(service), {{a, 9}, {b, 9}, {c, 9}});
}

// The move of some keys of `a` to `b`, after their release.
const std::vector<released_range> released{{{{10, 20}, 1, ""}, b, 1, "h"}};

placement_update makeMove(boot_time deadline)
{
    return {[](const key_placement &current) { return recordNewOwners(current, a, released); },
            "give", deadline};
}

// Record in a simulated store and simulated time. Each call takes `callTime`; the store handles it
// in the middle of this time.
class simulated_store
{
public:
    object_api api()
    {
        object_api api;
        api.get = [this](const std::string &key) -> absl::StatusOr<stored_object> {
            advance(callTime / 2);
            ++reads;
            const absl::Status fault = takeFault(readFaults);
            const stored_object object{key, version, false, encodePlacement(placement)};
            advance(callTime / 2);
            return fault.ok() ? absl::StatusOr<stored_object>(object) : fault;
        };
        api.put = [this](const std::string &, uint64_t expectedVersion,
                         const std::string &value) -> absl::StatusOr<uint64_t> {
            advance(callTime / 2);
            expectedVersions.push_back(expectedVersion);
            if (conflictsLeft > 0) {
                --conflictsLeft;
                changeByOther();
            }
            const absl::Status fault = takeFault(writeFaults);
            const bool isExecuted = fault.ok() || executesFaultyWrites;
            const bool isApplied = isExecuted && expectedVersion == version;
            if (isApplied) {
                placement = *parsePlacement(value);
                ++version;
            }
            const uint64_t newVersion = version;
            advance(callTime / 2);
            if (!fault.ok()) {
                return fault;
            }
            return isApplied ? absl::StatusOr<uint64_t>(newVersion) : absl::AbortedError("409");
        };
        return api;
    }
    placement_update_hooks hooks()
    {
        return {[this] { return now; }, [this](milliseconds time) { advance(time); },
                [this] { return random(); }};
    }
    // Another owner moves keys between `b` and `c`.
    void changeByOther()
    {
        const shard_key key = 30000;
        const upstream_id target = placement.rangeOf(key).owner == b ? c : b;
        placement = moveRange(placement, {key, key + 9}, target, "x");
        ++version;
    }

    key_placement placement = threeOwners();
    uint64_t version = 5;
    boot_time now = start;
    std::chrono::nanoseconds callTime = 10ms;
    // Times of further changes by other owners, in order.
    std::deque<boot_time> changeTimes;
    // Writes that another owner's change precedes.
    int conflictsLeft = 0;
    // Results of the next calls; OK afterwards.
    std::deque<absl::Status> writeFaults;
    std::deque<absl::Status> readFaults;
    bool executesFaultyWrites = false;
    int reads = 0;
    std::vector<uint64_t> expectedVersions;
    std::mt19937_64 random{1};

private:
    void advance(std::chrono::nanoseconds time)
    {
        now += time;
        while (!changeTimes.empty() && changeTimes.front() <= now) {
            changeTimes.pop_front();
            changeByOther();
        }
    }
    static absl::Status takeFault(std::deque<absl::Status> &faults)
    {
        if (faults.empty()) {
            return absl::OkStatus();
        }
        absl::Status fault = faults.front();
        faults.pop_front();
        return fault;
    }
};

} // namespace

// Guards against an owner that lost every race for the record while it held back the keys that it
// had released. A planned move has to end while the requests for its keys wait, which is 400 ms
// (request_proxy_options::maxOwnerWait).
TEST_CASE("an owner with slow store calls records its move beside 20 changes a second", "[router]")
{
    simulated_store store;
    const unsigned seed = GENERATE(range(1U, 21U));
    store.random.seed(seed);
    store.callTime = 20ms;
    std::exponential_distribution<double> gap(20.0);
    boot_time at = start;
    while (at < start + 10s) {
        at +=
            std::chrono::duration_cast<boot_time>(std::chrono::duration<double>(gap(store.random)));
        store.changeTimes.push_back(at);
    }
    const fleet_directory::versioned_placement base{store.placement, store.version};
    // The owner's view of the record is as old as a view that comes through a relay.
    store.hooks().pause(150ms);
    const boot_time releasedAt = store.now;
    const auto result =
        updatePlacement(store.api(), service, base, makeMove(store.now + 3s), store.hooks());
    CAPTURE(seed, result.conflicts);
    CHECK(result.result == write_result::Written);
    CHECK(store.now - releasedAt <= 400ms);
    CHECK(store.placement.rangeOf(15).owner == b);
    CHECK(store.reads == result.conflicts);
}

// Guards against two owners of one key: a change that is computed again has to take account of the
// record that won, and its fences have to exceed all fences of that record.
TEST_CASE("a change is computed again for the record that won", "[router]")
{
    simulated_store store;
    const fleet_directory::versioned_placement base{store.placement, store.version};
    SECTION("the keys are still recorded for their owner")
    {
        store.conflictsLeft = 9;
        const auto result =
            updatePlacement(store.api(), service, base, makeMove(start + 3s), store.hooks());
        CHECK(result.result == write_result::Written);
        CHECK(result.conflicts == 9);
        CHECK(store.reads == 9);
        CHECK(result.object->version == store.version);
        const owned_range &moved = store.placement.rangeOf(15);
        CHECK(moved.owner == b);
        CHECK(moved.handover == "h");
        // Three owners at first, nine moves of another owner, and this move.
        CHECK(moved.fence == 13);
        CHECK(store.placement.rangeOf(9).owner == a);
        CHECK(store.placement.rangeOf(30000).fence == 12);
    }
    SECTION("an update that ends at a conflict reads and retries nothing")
    {
        store.conflictsLeft = 1;
        placement_update update = makeMove(start + 3s);
        update.endsAtConflict = true;
        const auto result = updatePlacement(store.api(), service, base, update, store.hooks());
        CHECK(result.result == write_result::Superseded);
        CHECK(result.conflicts == 1);
        CHECK_FALSE(result.object);
        CHECK(store.reads == 0);
        CHECK(store.placement.rangeOf(15).owner == a);
    }
    SECTION("the keys were reassigned meanwhile")
    {
        store.placement = reassignLost(
            store.placement, [](const upstream_id &id) { return id == a; }, {{c, 9}}, 10s);
        ++store.version;
        const key_placement before = store.placement;
        const auto result =
            updatePlacement(store.api(), service, base, makeMove(start + 3s), store.hooks());
        CHECK(result.result == write_result::Unneeded);
        CHECK(store.placement == before);
        CHECK(result.object->version == store.version);
    }
    SECTION("the owner got the keys back with another fence")
    {
        store.placement = reclaimRanges(
            reassignLost(
                store.placement, [](const upstream_id &id) { return id == a; }, {{c, 9}}, 10s),
            a);
        ++store.version;
        const auto result =
            updatePlacement(store.api(), service, base, makeMove(start + 3s), store.hooks());
        CHECK(result.result == write_result::Unneeded);
        CHECK(store.placement.rangeOf(15).owner == a);
    }
}

TEST_CASE("an update ends at its deadline or at an error that is no conflict", "[router]")
{
    simulated_store store;
    const fleet_directory::versioned_placement base{store.placement, store.version};
    SECTION("conflicts without end")
    {
        store.conflictsLeft = 1000;
        const auto result =
            updatePlacement(store.api(), service, base, makeMove(start + 500ms), store.hooks());
        CHECK(result.result == write_result::Superseded);
        // The last try may begin right before the deadline.
        CHECK(store.now - start < 600ms);
    }
    SECTION("the store rejects the write")
    {
        store.writeFaults = {absl::UnavailableError("503")};
        const auto result =
            updatePlacement(store.api(), service, base, makeMove(start + 500ms), store.hooks());
        CHECK(result.result == write_result::NotApplied);
        CHECK(result.status.code() == absl::StatusCode::kUnavailable);
        CHECK(store.expectedVersions.size() == 1);
    }
}

// Guards against an owner that writes again, or serves the keys again, although a write without a
// response may still take effect: the caller has to learn which record that write expected.
TEST_CASE("an update ends with an unknown outcome and the record that its write expected",
          "[router]")
{
    simulated_store store;
    const absl::Status noResponse = absl::UnknownError("no response");
    const absl::Status unavailable = absl::UnavailableError("503");
    store.executesFaultyWrites = GENERATE(false, true);
    const int conflicts = GENERATE(0, 2);
    const bool isReadable = GENERATE(true, false);
    CAPTURE(store.executesFaultyWrites, conflicts, isReadable);
    store.conflictsLeft = conflicts;
    store.writeFaults = std::deque<absl::Status>(conflicts, absl::OkStatus());
    store.writeFaults.push_back(noResponse);
    if (!isReadable) {
        store.readFaults = std::deque<absl::Status>(conflicts, absl::OkStatus());
        store.readFaults.push_back(unavailable);
    }
    const fleet_directory::versioned_placement base{store.placement, store.version};
    const auto result =
        updatePlacement(store.api(), service, base, makeMove(start + 3s), store.hooks());
    const bool isSeenAsWritten = isReadable && store.executesFaultyWrites;
    CHECK(toString(result.result)
          == toString(isSeenAsWritten ? write_result::Written : write_result::Unconfirmed));
    CHECK(store.expectedVersions.size() == static_cast<size_t>(conflicts) + 1);
    if (isSeenAsWritten) {
        CHECK(result.object->version == store.version);
    } else if (result.object) {
        CHECK(result.object->version == store.expectedVersions.back());
    } else {
        CHECK(store.expectedVersions.back() == base.version);
    }
}
