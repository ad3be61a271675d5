#include "persimmonrail/daemon/control_loop.h"
#include "persimmonrail/daemon/platform_worker.h"

#include <catch2/catch.hpp>

#include <future>

using namespace persimmonrail;

// Guards against tasks that change control state in the wrong order.
TEST_CASE("tasks run in the order in which they were posted", "[daemon]")
{
    control_loop loop;
    loop.start();
    std::vector<int> order;
    for (int i = 0; i < 100; ++i) {
        loop.post([&order, i](steady_time) { order.push_back(i); });
    }
    REQUIRE(loop.postAndWait([](steady_time) {}));
    for (int i = 0; i < 100; ++i) {
        CHECK(order[i] == i);
    }
}

// Guards against heartbeats that stop because posted tasks keep the loop busy.
TEST_CASE("periodic tasks run while tasks are being posted", "[daemon]")
{
    control_loop loop;
    std::promise<void> ranTwice;
    int runs = 0;
    loop.every(milliseconds(1), [&](steady_time) {
        if (++runs == 2) {
            ranTwice.set_value();
        }
    });
    std::function<void(steady_time)> repost = [&](steady_time) { loop.post(repost); };
    loop.start();
    loop.post(repost);
    ranTwice.get_future().wait();
    loop.stop();
    CHECK(runs >= 2);
}

// Guards against a thread that waits forever for a task that a stopped loop never runs.
TEST_CASE("postAndWait returns false on a stopped loop", "[daemon]")
{
    control_loop loop;
    loop.start();
    loop.stop();
    CHECK_FALSE(loop.postAndWait([](steady_time) {}));
}

// Guards against results of the platform that are handled outside the control thread, or whose
// status is lost.
TEST_CASE("platform results are delivered on the control thread", "[daemon]")
{
    object_api api;
    api.put = [](const std::string &, uint64_t expected,
                 const std::string &) -> absl::StatusOr<uint64_t> {
        if (expected != 0) {
            return absl::AbortedError("version differs");
        }
        return 7;
    };
    control_loop loop;
    loop.start();
    std::thread::id controlThread;
    loop.postAndWait([&](steady_time) { controlThread = std::this_thread::get_id(); });
    platform_worker worker(api, loop);
    for (const uint64_t expected : {0, 1}) {
        std::promise<absl::StatusOr<uint64_t>> result;
        worker.put("key", expected, "value",
                   [&](const absl::StatusOr<uint64_t> &version, steady_time) {
                       CHECK(std::this_thread::get_id() == controlThread);
                       result.set_value(version);
                   });
        const auto version = result.get_future().get();
        CHECK(version.ok() == (expected == 0));
    }
    CHECK(worker.writeCount() == 2);
}
