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
