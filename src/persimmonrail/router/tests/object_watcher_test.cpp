#include "persimmonrail/router/object_watcher.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <deque>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

// A store that returns scripted responses. Further calls wait for end() and then fail.
struct scripted_store
{
    std::mutex mutex;
    std::condition_variable changed;
    std::deque<absl::StatusOr<object_list>> lists;
    std::deque<absl::StatusOr<object_list>> watches;
    std::vector<uint64_t> watchedFrom;
    std::vector<std::string> events;
    bool ended = false;

    absl::StatusOr<object_list> takeResponse(std::deque<absl::StatusOr<object_list>> &responses)
    {
        std::unique_lock lock(mutex);
        changed.wait_for(lock, 10s, [&] { return ended || !responses.empty(); });
        if (responses.empty()) {
            return absl::UnavailableError("no response");
        }
        auto response = responses.front();
        responses.pop_front();
        return response;
    }
    object_api makeApi()
    {
        object_api api;
        api.list = [this](const std::string &) { return takeResponse(lists); };
        api.watch = [this](const std::string &, uint64_t revision, milliseconds) {
            {
                const std::lock_guard lock(mutex);
                watchedFrom.push_back(revision);
            }
            return takeResponse(watches);
        };
        return api;
    }
    void recordEvent(const std::string &event)
    {
        const std::lock_guard lock(mutex);
        events.push_back(event);
        changed.notify_all();
    }
    bool waitFor(size_t count)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, 10s, [&] { return events.size() >= count; });
    }
    void end()
    {
        const std::lock_guard lock(mutex);
        ended = true;
        changed.notify_all();
    }
};

} // namespace

// Guards against missed changes after the store dropped its history or a watch failed.
TEST_CASE("the watcher lists again after a lost history or a failed watch", "[router]")
{
    scripted_store store;
    store.lists = {object_list{5, {}}, object_list{9, {}}, object_list{12, {}}};
    store.watches = {object_list{7, {}}, absl::OutOfRangeError("gone"),
                     absl::UnavailableError("cut")};
    {
        object_watcher::hooks hooks;
        hooks.onList = [&](const object_list &list, boot_time) {
            store.recordEvent("list " + std::to_string(list.revision));
        };
        hooks.onChanges = [&](const object_list &changes, boot_time) {
            store.recordEvent("changes " + std::to_string(changes.revision));
        };
        hooks.onReachabilityChange = [&](bool isReachable, const absl::Status &) {
            store.recordEvent(isReachable ? "regained" : "lost");
        };
        object_watcher watcher(store.makeApi(), "fleet/", hooks, {10ms, 1ms, 2ms});
        watcher.start();
        REQUIRE(store.waitFor(7));
        store.end();
    }
    const std::vector<std::string> first(store.events.begin(), store.events.begin() + 7);
    CHECK(first
          == std::vector<std::string>{"list 5", "regained", "changes 7", "list 9", "lost",
                                      "list 12", "regained"});
    CHECK(store.watchedFrom[0] == 5);
    CHECK(store.watchedFrom[1] == 7);
    CHECK(store.watchedFrom[2] == 9);
}

namespace {

// A store whose watches get no response, while it lists what it holds.
struct silent_store
{
    std::mutex mutex;
    std::condition_variable changed;
    object_list content{5, {{"config/main", 5, false, "a"}}};
    int listCalls = 0;
    int watchCalls = 0;
    // Ends the watch with the number `endedWatch`, with this result.
    std::optional<absl::StatusOr<object_list>> watchResult;
    int endedWatch = 1;
    bool ended = false;
    // Runs while a list is on its way back.
    std::function<void()> duringList;

    object_api makeApi()
    {
        object_api api;
        api.list = [this](const std::string &) -> absl::StatusOr<object_list> {
            object_list list;
            {
                const std::lock_guard lock(mutex);
                ++listCalls;
                list = content;
                changed.notify_all();
            }
            if (duringList) {
                duringList();
            }
            return list;
        };
        api.watch = [this](const std::string &, uint64_t,
                           milliseconds) -> absl::StatusOr<object_list> {
            std::unique_lock lock(mutex);
            const int number = ++watchCalls;
            changed.notify_all();
            changed.wait(lock, [&] { return ended || (watchResult && number == endedWatch); });
            if (ended) {
                return absl::UnavailableError("no response");
            }
            auto result = *watchResult;
            watchResult.reset();
            changed.notify_all();
            return result;
        };
        return api;
    }
    template <typename Condition> bool waitUntil(const Condition &condition)
    {
        std::unique_lock lock(mutex);
        return changed.wait_for(lock, 10s, condition);
    }
    void end()
    {
        const std::lock_guard lock(mutex);
        ended = true;
        changed.notify_all();
    }
};

// A watcher of a silent_store, and what it has applied.
struct silent_watch
{
    silent_store store;
    std::vector<std::string> applied;
    std::vector<uint64_t> confirmed;
    std::unique_ptr<object_watcher> watcher;

    silent_watch()
    {
        object_watcher::hooks hooks;
        hooks.onList = [this](const object_list &list, boot_time) { record("list", list); };
        hooks.onChanges = [this](const object_list &changes, boot_time) {
            record("changes", changes);
        };
        hooks.onReachabilityChange = [](bool, const absl::Status &) {};
        hooks.onConfirmed = [this](uint64_t newestChange, boot_time) {
            const std::lock_guard lock(store.mutex);
            confirmed.push_back(newestChange);
            store.changed.notify_all();
        };
        object_watcher_options options;
        options.initialRetryDelay = 1ms;
        options.freshness = watch_freshness_options();
        watcher = std::make_unique<object_watcher>(store.makeApi(), "config/", hooks, options);
        watcher->start();
        REQUIRE(store.waitUntil([this] { return store.watchCalls == 1; }));
    }
    ~silent_watch()
    {
        store.end();
        watcher.reset();
    }
    void record(const std::string &call, const object_list &objects)
    {
        const std::lock_guard lock(store.mutex);
        applied.push_back(call + " " + std::to_string(objects.revision));
    }
    bool waitForApplied(size_t count)
    {
        return store.waitUntil([this, count] { return confirmed.size() >= count; });
    }
    void setContent(const object_list &content)
    {
        const std::lock_guard lock(store.mutex);
        store.content = content;
    }
};

} // namespace

// Guards against a lost response to a watch, which hides all changes until the wait has ended.
TEST_CASE("the objects are listed while a watch that waits is doubted", "[router]")
{
    silent_watch site;
    site.setContent({8, {{"config/main", 7, false, "b"}}});
    const boot_time now = bootNow();
    SECTION("another daemon knows a newer change")
    {
        site.watcher->onNotice(7, now, now);
        site.watcher->checkIfDoubtful(now + 300ms);
    }
    SECTION("the store is silent for too long")
    {
        site.watcher->checkIfDoubtful(now + 2s);
    }
    REQUIRE(site.waitForApplied(2));
    CHECK(site.applied == std::vector<std::string>{"list 5", "list 8"});
    CHECK(site.confirmed == std::vector<uint64_t>{5, 7});
    CHECK(site.watcher->age(bootNow()) < 2s);
    // A new watch takes over, so that the lost one doesn't hide the next change.
    CHECK(site.store.waitUntil([&] { return site.store.watchCalls == 2; }));
}

// Guards against calls to the store without a cause.
TEST_CASE("a watch that is not doubted causes no further call", "[router]")
{
    silent_watch site;
    const boot_time now = bootNow();
    site.watcher->checkIfDoubtful(now);
    site.watcher->onNotice(5, now, now);
    site.watcher->checkIfDoubtful(now + 4s);
    std::this_thread::sleep_for(100ms);
    const std::lock_guard lock(site.store.mutex);
    CHECK(site.store.listCalls == 1);
}

// Guards against the late response to a watch, and the late one to a list, that set back what was
// read meanwhile.
TEST_CASE("a result is dropped if a later one was applied", "[router]")
{
    silent_watch site;
    const boot_time now = bootNow();
    SECTION("the watch is late")
    {
        site.setContent({8, {{"config/main", 8, false, "c"}}});
        site.watcher->checkIfDoubtful(now + 2s);
        REQUIRE(site.waitForApplied(2));
        {
            const std::lock_guard lock(site.store.mutex);
            site.store.watchResult = object_list{7, {{"config/main", 7, false, "b"}}};
            site.store.changed.notify_all();
        }
        REQUIRE(site.store.waitUntil([&] { return !site.store.watchResult; }));
        std::this_thread::sleep_for(50ms);
    }
    SECTION("the check is late")
    {
        site.store.duringList = [&] {
            site.setContent({8, {{"config/main", 8, false, "c"}}});
            {
                const std::lock_guard lock(site.store.mutex);
                site.store.watchResult = object_list{8, {{"config/main", 8, false, "c"}}};
                site.store.changed.notify_all();
            }
            site.waitForApplied(2);
        };
        site.watcher->checkIfDoubtful(now + 2s);
        REQUIRE(site.waitForApplied(2));
    }
    REQUIRE(site.store.waitUntil([&] { return site.store.watchCalls == 2; }));
    CHECK(site.confirmed == std::vector<uint64_t>{5, 8});
    CHECK(site.applied.size() == 2);
    CHECK(site.applied.back().ends_with(" 8"));
}

// Guards against followers that are told of no change when an object was removed, because a list
// has no version of a removal.
TEST_CASE("a removal counts as a change, also if a list shows it", "[router]")
{
    silent_watch site;
    site.setContent({9, {}});
    site.watcher->checkIfDoubtful(bootNow() + 2s);
    REQUIRE(site.waitForApplied(2));
    CHECK(site.confirmed == std::vector<uint64_t>{5, 9});
}
