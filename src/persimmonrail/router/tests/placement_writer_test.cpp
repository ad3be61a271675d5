#include "persimmonrail/router/placement_writer.h"
#include "persimmonrail/router/submitted_update.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

const upstream_id a{"a", 1};
const upstream_id b{"b", 1};
const upstream_id c{"c", 1};
const std::string service = "s";
const std::string otherDaemon = "192.0.2.1:1";

// The record of the service in a store.
struct record_store
{
    key_placement placement = assignUnowned(emptyPlacement(service), {{a, 9}, {b, 9}, {c, 9}});
    uint64_t version = 1;
    int writes = 0;
    int reads = 0;
    // Status of all calls, unless it is OK.
    absl::Status error;
    // Whether the next write gets no response after it has taken effect.
    bool losesResponse = false;

    object_api api()
    {
        object_api api;
        api.get = [this](const std::string &key) -> absl::StatusOr<stored_object> {
            ++reads;
            return error.ok() ? absl::StatusOr<stored_object>(
                       stored_object{key, version, false, encodePlacement(placement)})
                              : error;
        };
        api.put = [this](const std::string &, uint64_t expected,
                         const std::string &value) -> absl::StatusOr<uint64_t> {
            ++writes;
            if (!error.ok()) {
                return error;
            }
            if (expected != version) {
                return absl::AbortedError("409");
            }
            placement = *parsePlacement(value);
            ++version;
            if (losesResponse) {
                error = absl::UnknownError("no response");
                return error;
            }
            return version;
        };
        return api;
    }
    fleet_directory::versioned_placement record() const { return {placement, version, baseEpoch}; }
    owner_change change(const upstream_id &owner, key_interval keys,
                        const upstream_id &target) const
    {
        return {owner, baseEpoch, {{keys, placement.rangeOf(keys.first).fence, target, "h"}}};
    }
};

// A writer, and an owner that asks it with or without losses on the way.
struct writer_fixture
{
    record_store store;
    boot_time now = 1000s;
    // The record that the writer knows, if it is not the present one.
    std::optional<fleet_directory::versioned_placement> knownRecord;
    // Called in the time for which the writer gathers changes.
    std::function<void()> onGather = [] {};
    std::unique_ptr<placement_writer> writer = makeWriter(1);
    int calls = 0;
    bool isOldDaemon = false;
    bool isTicketLost = false;
    bool isResponseLost = false;
    // Whether the writer's process restarts between the ticket and the change.
    bool restarts = false;
    placement_writer_client client{
        {[this](const std::string &, const std::string &method, const std::string &body,
                steady_time) { return call(method, body); },
         [this] { return steady_time(now); }}};

    std::unique_ptr<placement_writer> makeWriter(uint64_t run)
    {
        placement_writer_hooks hooks;
        hooks.record = [this] { return knownRecord ? knownRecord : store.record(); };
        hooks.onObject = [](const stored_object &) {};
        hooks.onBatch = [](size_t, const placement_update_result &) {};
        hooks.update = updateHooks();
        hooks.update.pause = [this](milliseconds) { onGather(); };
        return std::make_unique<placement_writer>(service, run, store.api(), hooks);
    }
    placement_update_hooks updateHooks()
    {
        return {[this] { return now; }, [](milliseconds) {}, [] { return uint64_t{0}; }};
    }
    absl::StatusOr<simple_response> call(const std::string &method, const std::string &body)
    {
        ++calls;
        if (isOldDaemon) {
            return simple_response{404, ""};
        }
        if (isTicketLost) {
            return absl::UnknownError("no response");
        }
        if (method == "POST" && restarts) {
            writer = makeWriter(2);
        }
        auto response = servePlacementChange(*writer, method, body);
        if (method == "POST" && isResponseLost) {
            return absl::UnknownError("no response");
        }
        return simple_response{200, *response};
    }
    // Moves keys of `a` to `b`, as the owner's daemon does.
    placement_update_result move(key_interval keys)
    {
        const owner_change change = store.change(a, keys, b);
        const placement_update update{[change](const key_placement &current) {
                                          return applyChanges(current, baseEpoch, {change});
                                      },
                                      "give", now + 3s};
        return updateThroughWriter(
            store.api(), service, store.record(), update,
            [&] { return client.submit(service, change, {otherDaemon}); }, updateHooks());
    }
};

} // namespace

// Guards against released keys that stay unserved, are moved twice, or are given back while the
// writer may still move them, if the writer or the way to it fails.
TEST_CASE("an owner's keys are moved whatever fails at the writer", "[router]")
{
    struct row
    {
        std::string name;
        std::function<void(writer_fixture &)> prepare;
        bool isWriterUsed;
        bool isChangeOpen;
        write_result result = write_result::Written;
        int writes = 1;
        int reads = 0;
    };
    const std::vector<row> rows = {
        {"nothing", [](auto &) {}, true, true},
        {"a daemon of an earlier release", [](auto &f) { f.isOldDaemon = true; }, false, false},
        {"no ticket", [](auto &f) { f.isTicketLost = true; }, false, false},
        {"the response is lost after the write", [](auto &f) { f.isResponseLost = true; }, false,
         true, write_result::Unneeded, 1, 1},
        {"a restart of the writer", [](auto &f) { f.restarts = true; }, true, true},
        {"the change expires on its way",
         [](auto &f) { f.onGather = [&f] { f.now += changeLifetime; }; }, false, false},
        {"the writer has an old record",
         [](auto &f) {
             f.onGather = [&f] {
                 f.knownRecord = f.store.record();
                 f.store.placement = moveRange(f.store.placement, {60000, 60009}, a, "");
                 f.store.version += 1;
             };
         },
         true, true, write_result::Written, 2, 1},
    };
    for (const row &row : rows) {
        CAPTURE(row.name);
        writer_fixture fixture;
        row.prepare(fixture);
        const placement_update_result result = fixture.move({100, 199});
        CHECK(fixture.store.placement.rangeOf(150).owner == b);
        CHECK(result.result == row.result);
        CHECK(result.isWriterUsed == row.isWriterUsed);
        CHECK(result.isChangeOpen == row.isChangeOpen);
        CHECK(fixture.store.writes == row.writes);
        CHECK(fixture.store.reads == row.reads);
        // The owner waits for the record only if a writer has recorded the move.
        CHECK(result.isRecordAwaited == row.isWriterUsed);
        CHECK(result.object.has_value() != row.isWriterUsed);
        CHECK((row.isWriterUsed || result.object->version == fixture.store.version));
    }
}

// Guards against an owner that takes keys back at once although the writer may move them later.
TEST_CASE("a change stays open while the store is down", "[router]")
{
    writer_fixture fixture;
    fixture.store.losesResponse = true;
    const placement_update_result result = fixture.move({100, 199});
    CHECK(result.isChangeOpen);
    CHECK(result.result != write_result::Written);
    CHECK(result.result != write_result::Unneeded);
}

// Guards against moves that wait for the timeout of a lost writer again and again.
TEST_CASE("a writer that failed is avoided for two seconds", "[router]")
{
    writer_fixture fixture;
    fixture.isTicketLost = true;
    static_cast<void>(fixture.move({100, 199}));
    static_cast<void>(fixture.move({300, 399}));
    CHECK(fixture.calls == 1);
    fixture.isTicketLost = false;
    fixture.now += 2s;
    CHECK(fixture.move({500, 599}).isWriterUsed);
}

// Load pattern: many owners move keys while the record changes often. An owner whose change the
// writer declines must not write itself at once: its write would make the writer decline others.
TEST_CASE("a writer that declines a change is asked again", "[router]")
{
    writer_fixture fixture;
    int gathered = 0;
    fixture.onGather = [&] { fixture.now += ++gathered == 1 ? changeLifetime : milliseconds(0); };
    CHECK(fixture.move({100, 199}).isWriterUsed);
    CHECK(gathered == 2);
    CHECK(fixture.calls == 4);
    CHECK(fixture.store.writes == 1);
    CHECK(fixture.store.reads == 0);
}

// Load pattern: changes keep arriving. Without a least time between batches, 30 writes a second and
// their watch responses reach all relays.
TEST_CASE("a writer writes at most ten batches a second", "[router]")
{
    writer_fixture fixture;
    std::vector<milliseconds> gathered;
    placement_writer_hooks hooks;
    hooks.record = [&] { return fixture.store.record(); };
    hooks.onObject = [](const stored_object &) {};
    hooks.onBatch = [](size_t, const placement_update_result &) {};
    hooks.update = fixture.updateHooks();
    hooks.update.pause = [&](milliseconds time) {
        gathered.push_back(time);
        fixture.now += time;
    };
    placement_writer writer(service, 1, fixture.store.api(), hooks);
    for (const milliseconds idle : {0ms, 0ms, 30ms, 95ms, 500ms}) {
        fixture.now += idle;
        const owner_change change = fixture.store.change(a, {100, 199}, a);
        CHECK(writer.submit({service, change, writer.issueTicket()}).outcome
              == change_outcome::Recorded);
    }
    // The first change after a pause is written soon.
    CHECK(gathered == std::vector<milliseconds>{20ms, 100ms, 70ms, 20ms, 20ms});
}

// Load pattern: 80 owners move keys at the same time. With a write for each, up to 549 writes in a
// second were lost for 14 moves.
TEST_CASE("the moves of many owners are written together", "[router]")
{
    constexpr size_t owners = 80;
    writer_fixture fixture;
    // A batch starts when all owners wait.
    fixture.onGather = [&] {
        while (fixture.writer->queuedChanges() < owners) {
            std::this_thread::yield();
        }
    };
    std::vector<change_outcome> outcomes(owners);
    std::vector<std::thread> threads;
    for (size_t i = 0; i < owners; ++i) {
        const auto key = static_cast<shard_key>(i * 10);
        const change_request request{service, fixture.store.change(a, {key, key + 4}, b),
                                     fixture.writer->issueTicket()};
        threads.emplace_back([&fixture, &outcomes, request, i] {
            outcomes[i] = fixture.writer->submit(request).outcome;
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    CHECK(fixture.store.writes == 1);
    CHECK(std::count(outcomes.begin(), outcomes.end(), change_outcome::Recorded) == owners);
    CHECK(fixture.store.placement.rangeOf(794).owner == b);
}
