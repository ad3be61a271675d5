#include "persimmonrail/router/range_release.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <mutex>

using namespace persimmonrail;
using namespace std::chrono_literals;

namespace {

std::vector<release_request> requestsFor(size_t count)
{
    std::vector<release_request> requests;
    for (size_t i = 0; i < count; ++i) {
        const auto key = static_cast<shard_key>(i * 10);
        requests.push_back({{{key, key + 9}, 5, ""}, {"t" + std::to_string(i), 1}});
    }
    return requests;
}

} // namespace

// Load pattern: an overloaded owner moves several ranges that all have running requests. Releases
// one after the other would leave the keys unserved for the sum of the waits.
TEST_CASE("releases run concurrently", "[router]")
{
    std::mutex mutex;
    std::condition_variable changed;
    size_t startedReleases = 0;
    bool haveAllStarted = true;
    grant_api grants;
    grants.release = [&](const std::string &, key_interval keys,
                         uint64_t) -> absl::StatusOr<std::string> {
        std::unique_lock lock(mutex);
        ++startedReleases;
        changed.notify_all();
        haveAllStarted =
            changed.wait_for(lock, 10s, [&] { return startedReleases == 6; }) && haveAllStarted;
        return "h" + std::to_string(keys.first);
    };
    const release_outcome outcome = releaseAll(grants, "127.0.0.1:1", requestsFor(6));
    CHECK(haveAllStarted);
    CHECK(outcome.failures.empty());
    REQUIRE(outcome.released.size() == 6);
    for (size_t i = 0; i < 6; ++i) {
        CHECK(outcome.released[i].newOwner.name == "t" + std::to_string(i));
        CHECK(outcome.released[i].handover == "h" + std::to_string(i * 10));
    }
}

TEST_CASE("only certainly released ranges are reported as released", "[router]")
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
            return absl::UnknownError("no response");
        }
    };
    const release_outcome outcome = releaseAll(grants, "127.0.0.1:1", requestsFor(30));
    CHECK(outcome.released.size() == 20);
    CHECK(outcome.failures.size() == 10);
    CHECK(outcome.released[1].handover.empty());
    CHECK(releaseAll(grants, "127.0.0.1:1", {}).released.empty());
}

// Guards against a handover that is lost, or given to keys that it doesn't belong to, if an
// upstream reports its releases in other pieces than the moves have.
TEST_CASE("what heartbeats report as released gets its new owner and handover", "[router]")
{
    const upstream_id a{"a", 1};
    const upstream_id b{"b", 1};
    const upstream_id c{"c", 1};
    const key_placement placement =
        moveRange(assignUnowned(emptyPlacement("haulbook"), {{a, 9}}), {150, 160}, a, "");
    const std::vector<planned_move> moves{{{100, 199}, b}, {{300, 399}, c}};
    const std::vector<released_keys> handovers{
        {{100, 159}, "first"}, {{100, 159}, "first"}, {{300, 500}, "second"}};
    const auto released = releasedByHeartbeat(moves, placement, handovers);
    key_placement next = *recordNewOwners(placement, a, released);
    CHECK(isValid(next));
    const auto check = [&next](shard_key key, const upstream_id &owner, const char *handover) {
        CAPTURE(key);
        CHECK(next.rangeOf(key).owner == owner);
        CHECK(next.rangeOf(key).handover == handover);
    };
    check(99, a, "");
    check(100, b, "first");
    check(155, b, "first");
    check(160, b, "");
    check(199, b, "");
    check(200, a, "");
    check(300, c, "second");
    check(399, c, "second");
    check(400, a, "");
    CHECK(released.size() == 5);
}
