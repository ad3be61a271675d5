#include "persimmonrail/router/range_release.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

std::vector<release_order> ordersFor(size_t count)
{
    std::vector<release_order> orders;
    for (size_t i = 0; i < count; ++i) {
        const auto key = static_cast<shard_key>(i * 10);
        orders.push_back({{{key, key + 9}, 5, ""}, {"t" + std::to_string(i), 1}});
    }
    return orders;
}

} // namespace

// Load pattern: a hot owner gives several ranges, on each of which requests run. One release after
// the other would leave the keys unserved for the sum of their waits.
TEST_CASE("releases wait at the same time", "[router]")
{
    std::mutex mutex;
    std::condition_variable changed;
    size_t begun = 0;
    bool allMet = true;
    grant_api grants;
    grants.release = [&](const std::string &, key_interval keys,
                         uint64_t) -> absl::StatusOr<std::string> {
        std::unique_lock lock(mutex);
        ++begun;
        changed.notify_all();
        allMet = changed.wait_for(lock, 10s, [&] { return begun == 6; }) && allMet;
        return "h" + std::to_string(keys.first);
    };
    const release_outcome outcome = releaseAll(grants, "127.0.0.1:1", ordersFor(6));
    CHECK(allMet);
    CHECK(outcome.failures.empty());
    REQUIRE(outcome.released.size() == 6);
    for (size_t i = 0; i < 6; ++i) {
        CHECK(outcome.released[i].target.name == "t" + std::to_string(i));
        CHECK(outcome.released[i].handover == "h" + std::to_string(i * 10));
    }
}

TEST_CASE("only what certainly is released is given on", "[router]")
{
    grant_api grants;
    grants.release = [](const std::string &, key_interval keys,
                        uint64_t) -> absl::StatusOr<std::string> {
        switch (keys.first / 10 % 3) {
        case 0:
            return "token";
        case 1:
            return absl::FailedPreconditionError("connection refused");
        default:
            return absl::UnknownError("no answer");
        }
    };
    const release_outcome outcome = releaseAll(grants, "127.0.0.1:1", ordersFor(30));
    CHECK(outcome.released.size() == 20);
    CHECK(outcome.failures.size() == 10);
    CHECK(outcome.released[1].handover.empty());
    CHECK(releaseAll(grants, "127.0.0.1:1", {}).released.empty());
}
